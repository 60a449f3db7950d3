// @file ids_type.h Strongly typed identifiers.
#ifndef MEDLARGAUGE_CORE_IDS_TYPE_H_
#define MEDLARGAUGE_CORE_IDS_TYPE_H_

#include <cstdint>
#include <functional>

namespace medlargauge {

/// An integer identifier that cannot be mixed up with an identifier of another
/// kind. A value type; safe to copy between threads.
template <typename Tag, typename Value>
struct StrongId {
  Value value = 0;  ///< Raw value; 0 means "none".

  friend bool operator==(StrongId a, StrongId b) { return a.value == b.value; }
  friend bool operator!=(StrongId a, StrongId b) { return a.value != b.value; }
  friend bool operator<(StrongId a, StrongId b) { return a.value < b.value; }
  /// Returns whether the identifier is not "none". Thread-safe.
  bool IsSet() const { return value != 0; }
};

/// A process of the load balancer: a balancer or an agent.
using MemberId = StrongId<struct MemberTag, uint64_t>;
/// A class of work, which callers reach at one address.
using ClassId = StrongId<struct ClassTag, uint32_t>;
/// A service, which a group of backend servers runs.
using ServiceId = StrongId<struct ServiceTag, uint32_t>;
/// A released version of a service.
using VersionId = StrongId<struct VersionTag, uint32_t>;
/// A failure domain.
using DomainId = StrongId<struct DomainTag, uint32_t>;
/// One state of a service group: a hash over its members.
using ViewId = StrongId<struct ViewTag, uint32_t>;
/// The index of a peer in the membership table of a group; it never changes.
using PeerSlot = StrongId<struct PeerSlotTag, uint16_t>;

}  // namespace medlargauge

template <typename Tag, typename Value>
struct std::hash<medlargauge::StrongId<Tag, Value>> {
  size_t operator()(medlargauge::StrongId<Tag, Value> id) const {
    return std::hash<Value>()(id.value);
  }
};

#endif  // MEDLARGAUGE_CORE_IDS_TYPE_H_
