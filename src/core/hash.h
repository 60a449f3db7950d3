// @file hash.h Hashes and identifiers that are equal on every host.
#ifndef MEDLARGAUGE_CORE_HASH_H_
#define MEDLARGAUGE_CORE_HASH_H_

#include <cstdint>
#include <string_view>

#include "src/core/ids_type.h"

namespace medlargauge {

/// Returns a uniformly distributed hash of two 64-bit integers; the order of
/// the arguments matters. Thread-safe.
inline uint64_t MixHash(uint64_t a, uint64_t b) {
  // A 128-bit product folded to 64 bits: cheap enough to run once for each
  // packet and agent.
  const auto product = static_cast<unsigned __int128>(a ^ 0x9E3779B97F4A7C15U) *
                       (b ^ 0xD6E8FEB86659FD93U);
  const uint64_t folded =
      static_cast<uint64_t>(product) ^ static_cast<uint64_t>(product >> 64U);
  return (folded ^ (folded >> 32U)) * 0xD6E8FEB86659FD93U;
}

/// Returns the 64-bit hash of a name. Thread-safe.
uint64_t HashName(std::string_view name);

/// Returns the identifier of a member's name. As for all identifiers below, an
/// empty name has the value 0, which means "none". Thread-safe.
MemberId MemberIdOf(std::string_view name);
/// Returns the identifier of a service's name. Thread-safe.
ServiceId ServiceIdOf(std::string_view name);
/// Returns the identifier of a class's name. Thread-safe.
ClassId ClassIdOf(std::string_view name);
/// Returns the identifier of a version's name. Thread-safe.
VersionId VersionIdOf(std::string_view name);
/// Returns the identifier of a failure domain's name. Thread-safe.
DomainId DomainIdOf(std::string_view name);

}  // namespace medlargauge

#endif  // MEDLARGAUGE_CORE_HASH_H_
