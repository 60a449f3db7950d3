// @file target_codec.h Encoding of targets as JSON and as gossip items.
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

/// Largest value that the key-value service accepts, in bytes.
constexpr size_t kMaxStoreValue = 1024 * 1024;

/// One past change of a target, as stored with the target.
struct TargetChange {
  std::string change_id;   ///< Identifies the change.
  std::string changed_by;  ///< Operator who made the change.
  std::string changed_at;  ///< Time of the change in UTC, as ISO 8601.
  std::string summary;     ///< Fields that were changed.
};

/// A target and its change history, as the store holds them.
struct StoredTarget {
  ClassTarget target;                 ///< Current target.
  std::vector<TargetChange> history;  ///< Newest first, bounded in length.
};

/// Returns the JSON value that the store holds for a target. Thread-safe.
std::string EncodeTarget(const StoredTarget& stored);

/// Parses a JSON value of the store. Thread-safe.
/// @param revision store revision of the value
/// @param reason kMalformedValue or kValueTooLarge when there is no result
std::optional<StoredTarget> DecodeTarget(std::string_view value,
                                         uint64_t revision,
                                         Error* reason);

/// Returns the gossip item that carries a target. Thread-safe.
proto::GossipItem TargetToItem(const ClassTarget& target);

/// Parses the target that a gossip item carries; nullopt if the item has
/// another key or a malformed or invalid value. Thread-safe.
std::optional<ClassTarget> ItemToTarget(const proto::GossipItem& item);

/// Parses a share such as "5%", "0.5%" or "0.05" into ten-thousandths; nullopt
/// if it is not a number from 0% to 100%. Thread-safe.
std::optional<uint32_t> ParseShare(std::string_view text);

/// Formats a share in ten-thousandths as a percentage. Thread-safe.
std::string FormatShare(uint32_t share);

}  // namespace medlargauge

#endif  // MEDLARGAUGE_TARGET_TARGET_CODEC_H_
