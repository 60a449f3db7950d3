// @file hash.cc Identifiers derived from names.
#include "src/core/hash.h"

#include <xxhash.h>

namespace medlargauge {
namespace {

/// Returns a 32-bit hash of a name that is 0 only if the name is empty.
uint32_t NonZeroHash32(std::string_view name) {
  if (name.empty()) {
    return 0;
  }
  const auto hash = static_cast<uint32_t>(HashName(name));
  return hash == 0 ? 1 : hash;
}

}  // namespace

uint64_t HashName(std::string_view name) {
  return XXH3_64bits(name.data(), name.size());
}

MemberId MemberIdOf(std::string_view name) {
  return MemberId{name.empty() ? 0 : (HashName(name) | 1U)};
}

ServiceId ServiceIdOf(std::string_view name) {
  return ServiceId{NonZeroHash32(name)};
}

ClassId ClassIdOf(std::string_view name) {
  return ClassId{NonZeroHash32(name)};
}

VersionId VersionIdOf(std::string_view name) {
  return VersionId{NonZeroHash32(name)};
}

DomainId DomainIdOf(std::string_view name) {
  return DomainId{NonZeroHash32(name)};
}

}  // namespace medlargauge
