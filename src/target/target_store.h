// @file target_store.h Client for the targets in the key-value service.
//
// Uses the etcd version 3 key-value API in its form of JSON over HTTP.
#ifndef MEDLARGAUGE_TARGET_TARGET_STORE_H_
#define MEDLARGAUGE_TARGET_TARGET_STORE_H_

#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "src/core/error_type.h"
#include "src/core/time_type.h"
#include "src/target/target_codec.h"

namespace medlargauge {

/// The store's reply to one HTTP request.
struct StoreReply {
  /// False if no reply arrived; the request may still have taken effect.
  bool answered = false;
  int status = 0;    ///< HTTP status code.
  std::string body;  ///< JSON document.
};

/// Sends a JSON request to an HTTP path of the store and returns the reply. May
/// block. Must be thread-safe if the store is used from several threads.
using StoreTransport =
    std::function<StoreReply(std::string_view path, const std::string& body)>;

/// Result of reading targets from the store.
struct TargetReadResult {
  std::vector<StoredTarget> targets;   ///< Targets that could be decoded.
  std::vector<std::string> malformed;  ///< Keys of values that could not be.
  uint64_t store_revision = 0;         ///< Revision of the whole store.
};

/// Outcome of a change to a target.
enum class ChangeOutcome : uint8_t {
  kAccepted,  ///< The change took effect; a later change may have replaced it.
  kConflict,  ///< Another change came first; this one has no effect.
  kRefused,   ///< The change was not valid or not sent; it has no effect.
  kUnknown,   ///< No usable answer from the store within the attempts allowed.
};

/// Result of a change to a target.
struct ChangeResult {
  ChangeOutcome outcome = ChangeOutcome::kUnknown;  ///< Outcome of the change.
  std::optional<StoredTarget> current;  ///< Target in the store, if known.
};

/// Edits a target in place. @return false with a reason if the edit is invalid
using TargetEdit = std::function<bool(ClassTarget* target, Error* reason)>;

/// Description of a change, stored in the history of its target.
struct ChangeInfo {
  std::string change_id;   ///< Unique; identifies the change in the history.
  std::string changed_by;  ///< Operator who makes the change.
  std::string changed_at;  ///< Time of the change in UTC, as ISO 8601.
  std::string summary;     ///< Fields that are changed.
};

/// Reads and changes targets in the store. Its only state is the transport, so
/// it is thread-safe if the transport is.
class TargetStore {
 public:
  explicit TargetStore(StoreTransport transport);

  /// Reads all targets whose revision is at least `min_revision`, or all
  /// targets if it is 0; tombstones are included.
  /// @param reason kStoreUnavailable when there is no result; otherwise it may
  ///     tell about the last value that could not be decoded
  std::optional<TargetReadResult> Read(uint64_t min_revision,
                                       Error* reason) const;

  /// Reads the target of one class, which may be a tombstone.
  /// @param reason when there is no result: kNotFound, kStoreUnavailable,
  ///     kMalformedValue or kValueTooLarge
  std::optional<StoredTarget> ReadOne(std::string_view name,
                                      Error* reason) const;

  /// Edits a target and writes it by compare-and-swap. If the store's answer is
  /// lost, the same swap is repeated; it cannot take effect twice.
  /// @param reason why the outcome is not kAccepted
  ChangeResult Change(std::string_view name,
                      const ChangeInfo& change_info,
                      const TargetEdit& edit,
                      Error* reason) const;

  /// Creates a class and assigns it the first free address of the pool.
  /// @param target target of the new class; its address is ignored
  /// @param pool addresses to choose from, in order of preference
  /// @param reason why the outcome is not kAccepted
  ChangeResult Create(const ClassTarget& target,
                      const std::vector<IpAddress>& pool,
                      const ChangeInfo& change_info,
                      Error* reason) const;

  /// Looks up a change in the history of its target. @return kAccepted if the
  /// change took effect; kUnknown if the history does not contain it or could
  /// not be read, in the latter case with a reason
  ChangeOutcome FindOutcome(std::string_view name,
                            std::string_view change_id,
                            Error* reason) const;

 private:
  /// Outcome of one compare-and-swap request.
  enum class SwapOutcome : uint8_t {
    kSwapped,        ///< The store wrote the new value.
    kCompareFailed,  ///< The revision differs or the address is in use.
    kNoAnswer,       ///< No valid answer; the swap may have taken effect.
    kTooLarge  ///< The value is too large for the store; nothing was sent.
  };

  /// Sends one compare-and-swap request for a target.
  /// @param expected_revision current revision of the key; 0 if it must not
  ///     exist
  /// @param claim_address whether to reserve the target's address in the same
  ///     transaction, which fails if the address is reserved already
  SwapOutcome Swap(const StoredTarget& next,
                   uint64_t expected_revision,
                   bool claim_address,
                   Error* reason) const;
  /// Repeats a compare-and-swap until its outcome is known or the permitted
  /// attempts are used up. Parameters as for Swap.
  ChangeResult SwapUntilResolved(const StoredTarget& next,
                                 uint64_t expected_revision,
                                 bool claim_address,
                                 Error* reason) const;
  /// Returns the addresses that are reserved for classes.
  std::optional<std::vector<IpAddress>> ReadReservedAddresses(
      Error* reason) const;

  StoreTransport m_transport;  ///< Sends a request to the store.
};

/// Expands an IPv4 range such as "203.0.113.0/28" into its host addresses,
/// without network and broadcast address; a single address yields itself.
/// Returns nullopt if the address is malformed or the prefix is not from /16 to
/// /30. Thread-safe.
std::optional<std::vector<IpAddress>> ExpandPool(std::string_view text);

}  // namespace medlargauge

#endif  // MEDLARGAUGE_TARGET_TARGET_STORE_H_
