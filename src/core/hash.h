// @file hash.h Seeded hashes that are equal on every host.
#ifndef MEDLARGAUGE_CORE_HASH_H_
#define MEDLARGAUGE_CORE_HASH_H_

#include <cstdint>
#include <string_view>

#include "src/core/ids_type.h"

namespace medlargauge {

/// Mixes two words into one well-spread word. Thread-safe.
inline uint64_t MixHash(uint64_t a, uint64_t b) {
  // A multiply-fold over 128 bits: cheap enough to run per packet and agent.
  const auto product = static_cast<unsigned __int128>(a ^ 0x9E3779B97F4A7C15U) *
                       (b ^ 0xD6E8FEB86659FD93U);
  const uint64_t folded =
      static_cast<uint64_t>(product) ^ static_cast<uint64_t>(product >> 64U);
  return (folded ^ (folded >> 32U)) * 0xD6E8FEB86659FD93U;
}

/// Hashes a name. Thread-safe.
uint64_t HashName(std::string_view name);

/// Returns the identifier of a member's name. Thread-safe.
MemberId MemberIdOf(std::string_view name);
/// Returns the identifier of a service's name. Thread-safe.
ServiceId ServiceIdOf(std::string_view name);
/// Returns the identifier of a class's name. Thread-safe.
ClassId ClassIdOf(std::string_view name);
/// Returns the identifier of a version's name; an empty name is "none".
/// Thread-safe.
VersionId VersionIdOf(std::string_view name);
/// Returns the identifier of a failure domain's name. Thread-safe.
DomainId DomainIdOf(std::string_view name);

}  // namespace medlargauge

#endif  // MEDLARGAUGE_CORE_HASH_H_
