// @file target_codec.h Targets as JSON in the store and as gossip items.
#ifndef MEDLARGAUGE_TARGET_TARGET_CODEC_H_
#define MEDLARGAUGE_TARGET_TARGET_CODEC_H_

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "src/core/error_type.h"
#include "src/gossip/gossip.pb.h"
#include "src/target/target_type.h"

namespace medlargauge {

/// Largest value that the key-value service holds, in bytes.
constexpr size_t kMaxStoreValue = 1024 * 1024;

/// One past change, as kept with the target.
struct TargetChange {
  std::string change_id;   ///< Identifies the change.
  std::string changed_by;  ///< Operator.
  std::string changed_at;  ///< UTC, ISO 8601.
  std::string summary;     ///< What was changed.
};

/// A target with its past, as the store holds it.
struct StoredTarget {
  ClassTarget target;                 ///< The target in force.
  std::vector<TargetChange> history;  ///< Newest first, bounded.
};

/// Returns the store's value for a target. Thread-safe.
std::string EncodeTarget(const StoredTarget& stored);

/// Reads a store value. Thread-safe.
/// @param reason kMalformedValue or kValueTooLarge when there is no result
std::optional<StoredTarget> DecodeTarget(std::string_view value,
                                         uint64_t revision,
                                         Error* reason);

/// Returns the gossip item of a target. Thread-safe.
proto::GossipItem TargetToItem(const ClassTarget& target);

/// Reads a target from a gossip item; nullopt if it is none. Thread-safe.
std::optional<ClassTarget> ItemToTarget(const proto::GossipItem& item);

/// Parses a share such as "5%", "0.5%" or "0.05" into ten-thousandths.
/// Thread-safe.
std::optional<uint32_t> ParseShare(std::string_view text);

/// Formats ten-thousandths as a percentage. Thread-safe.
std::string FormatShare(uint32_t share);

}  // namespace medlargauge

#endif  // MEDLARGAUGE_TARGET_TARGET_CODEC_H_
