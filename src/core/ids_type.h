// @file ids_type.h Strong identifiers shared by every slice.
#ifndef MEDLARGAUGE_CORE_IDS_TYPE_H_
#define MEDLARGAUGE_CORE_IDS_TYPE_H_

#include <cstdint>
#include <functional>

namespace medlargauge {

/// An integer identifier that does not mix with identifiers of another kind.
/// A value type; safe to copy between threads.
template <typename Tag, typename Value>
struct StrongId {
  Value value = 0;  ///< Raw value; 0 means "none".

  friend bool operator==(StrongId a, StrongId b) { return a.value == b.value; }
  friend bool operator!=(StrongId a, StrongId b) { return a.value != b.value; }
  friend bool operator<(StrongId a, StrongId b) { return a.value < b.value; }
  /// Returns whether the identifier names anything. Thread-safe.
  bool IsSet() const { return value != 0; }
};

/// A process of the system: a balancer or an agent.
using MemberId = StrongId<struct MemberTag, uint64_t>;
/// A class of work, which has one address.
using ClassId = StrongId<struct ClassTag, uint32_t>;
/// A service, served by a group of backend servers.
using ServiceId = StrongId<struct ServiceTag, uint32_t>;
/// A released version of a service.
using VersionId = StrongId<struct VersionTag, uint32_t>;
/// A failure domain.
using DomainId = StrongId<struct DomainTag, uint32_t>;
/// One state of a service group, as a hash over its members.
using ViewId = StrongId<struct ViewTag, uint32_t>;
/// A slot in an agent's pool of peers.
using PeerSlot = StrongId<struct PeerSlotTag, uint16_t>;

}  // namespace medlargauge

template <typename Tag, typename Value>
struct std::hash<medlargauge::StrongId<Tag, Value>> {
  size_t operator()(medlargauge::StrongId<Tag, Value> id) const {
    return std::hash<Value>()(id.value);
  }
};

#endif  // MEDLARGAUGE_CORE_IDS_TYPE_H_
