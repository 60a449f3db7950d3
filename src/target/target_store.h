// @file target_store.h Targets in the platform's key-value service.
//
// Speaks the etcd version 3 key-value interface in its JSON over HTTP form.
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

/// One HTTP exchange with the store.
struct StoreReply {
  bool answered = false;  ///< False: no answer, the effect is unknown.
  int status = 0;         ///< HTTP status.
  std::string body;       ///< JSON.
};

/// Sends one JSON request to a path of the store; may block. Must be
/// thread-safe if the store is used from several threads.
using StoreCall =
    std::function<StoreReply(std::string_view path, const std::string& body)>;

/// Result of a read.
struct TargetsRead {
  std::vector<StoredTarget> targets;   ///< Well-formed ones.
  std::vector<std::string> malformed;  ///< Keys whose values were refused.
  uint64_t store_revision = 0;         ///< Of the whole store.
};

/// How a change ended.
enum class ChangeOutcome : uint8_t {
  kAccepted,  ///< In force, or was until a later change.
  kConflict,  ///< Another change came first; this one has no effect.
  kRefused,   ///< Not a valid change; no effect.
  kUnknown,   ///< No answer from the store within the attempts.
};

/// Result of a change.
struct ChangeResult {
  ChangeOutcome outcome = ChangeOutcome::kUnknown;  ///< See ChangeOutcome.
  std::optional<StoredTarget> current;  ///< What the store holds, if known.
};

/// Edits a target; returns false with a reason if the change is not valid.
using TargetEdit = std::function<bool(ClassTarget* target, Error* reason)>;

/// Who makes a change, and how to recognise it later.
struct ChangeAuthor {
  std::string change_id;   ///< Unique.
  std::string changed_by;  ///< Operator.
  std::string changed_at;  ///< UTC, ISO 8601.
  std::string summary;     ///< What is changed.
};

/// Reads and changes targets. Stateless but for the hook; thread-safe if the
/// hook is.
class TargetStore {
 public:
  explicit TargetStore(StoreCall call);

  /// Reads all targets whose revision is at least `min_revision`; 0 for all.
  std::optional<TargetsRead> Read(uint64_t min_revision, Error* reason) const;

  /// Reads one target, tombstones included. kNotFound if there is none.
  std::optional<StoredTarget> ReadOne(std::string_view name,
                                      Error* reason) const;

  /// Changes a target by compare-and-swap. After a lost answer the same swap
  /// is repeated, which cannot take effect twice.
  ChangeResult Change(std::string_view name,
                      const ChangeAuthor& author,
                      const TargetEdit& edit,
                      Error* reason) const;

  /// Creates a class with a free address of the pool.
  /// @param pool addresses to choose from, in order of preference
  ChangeResult Create(const ClassTarget& target,
                      const std::vector<IpAddress>& pool,
                      const ChangeAuthor& author,
                      Error* reason) const;

  /// Tells whether a change took effect: kAccepted, or kUnknown if the history
  /// does not show it.
  ChangeOutcome FindOutcome(std::string_view name,
                            std::string_view change_id,
                            Error* reason) const;

 private:
  enum class SwapOutcome : uint8_t { kSwapped, kDiffers, kNoAnswer, kBad };

  SwapOutcome Swap(const StoredTarget& next,
                   uint64_t expected_revision,
                   bool claim_address,
                   Error* reason) const;
  ChangeResult Settle(const StoredTarget& next,
                      uint64_t expected_revision,
                      bool claim_address,
                      Error* reason) const;
  std::optional<std::vector<IpAddress>> UsedAddresses(Error* reason) const;

  StoreCall m_call;  ///< One HTTP exchange.
};

/// Expands "203.0.113.0/28" into its host addresses. Thread-safe.
std::optional<std::vector<IpAddress>> ExpandPool(std::string_view text);

}  // namespace medlargauge

#endif  // MEDLARGAUGE_TARGET_TARGET_STORE_H_
