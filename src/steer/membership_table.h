// @file membership_table.h Who is in the fleet, told by direct contact.
#ifndef MEDLARGAUGE_STEER_MEMBERSHIP_TABLE_H_
#define MEDLARGAUGE_STEER_MEMBERSHIP_TABLE_H_

#include <map>
#include <utility>
#include <vector>

#include "src/steer/peer.pb.h"
#include "src/steer/steer_type.h"

namespace medlargauge {

/// Silence after which members count as unreachable or are forgotten. In a
/// large fleet statuses are rare, and all but the first grow with them.
struct MembershipTimeouts {
  Duration cut_off = Milliseconds(900);  ///< Of everybody: own contact ended.
  Duration silent = Milliseconds(900);   ///< Three lost statuses of an agent.
  Duration late = Milliseconds(200);     ///< Above two intervals: silent.
  /// An unplanned restart of an agent takes less; repeatable requests at it
  /// are better tried elsewhere.
  Duration mute = Milliseconds(1300);
  /// Longer than a planned restart of an agent takes, and than the time for
  /// which an impaired host is excused; flows at it are given up then.
  Duration lost = Milliseconds(5000);
  Duration forget = Seconds(60);  ///< Longest life of a flow.
};

/// One other process as this one knows it.
struct MemberEntry {
  SteerMember member;       ///< Newest facts.
  TimePoint heard;          ///< Last direct message; zero: hearsay only.
  TimePoint learnt;         ///< When it was first named.
  TimePoint avoid_until;    ///< It left a packet unanswered; prefer others.
  uint32_t sequence = 0;    ///< Of its newest status.
  uint32_t pending = 0;     ///< Own new flows since its last load report.
  uint32_t fleet_size = 0;  ///< As it counts the others.
  bool leaving = false;     ///< A planned stop has begun there.
  TimePoint store_checked;  ///< Its last word from the store.
};

/// The members of the fleet. Not thread-safe.
class MembershipTable {
 public:
  MembershipTable(MemberId self, MembershipTimeouts timeouts)
      : m_self(self), m_timeouts(timeouts) {}

  /// Takes in a status that came from the member itself. Another one at its
  /// address that started earlier or fell silent is forgotten: its host was
  /// replaced.
  /// @return whether the member is new or has restarted
  bool OnStatus(TimePoint now, const proto::PeerStatus& status);

  /// Takes in a member that somebody else named. Known ones, and those at a
  /// known one's address, are left alone.
  void Learn(TimePoint now, const SteerMember& member);

  /// Takes in a load report of an agent.
  void OnLoad(TimePoint now, MemberId id, const ServerLoad& load);

  /// Forgets members that were silent for too long.
  /// @return those forgotten
  std::vector<SteerMember> OnTick(TimePoint now);

  /// Returns an entry, or null.
  MemberEntry* Find(MemberId id);
  const MemberEntry* Find(MemberId id) const;
  /// Returns the entry of an address and role, or null.
  MemberEntry* FindByAddress(uint32_t ip, MemberRole role);

  /// Returns the members to name to a newcomer of this role: those heard that
  /// are not lost, and for an agent only balancers, as it speaks to no other.
  std::vector<const SteerMember*> KnownPeersFor(TimePoint now,
                                                MemberRole role) const;

  /// Returns whether the member was heard within the silence timeout.
  bool IsReachable(TimePoint now, const MemberEntry& entry) const;
  /// Returns whether the member has been silent for longer than a restart
  /// takes, while others were heard, and had not announced a stop.
  bool IsMute(TimePoint now, const MemberEntry& entry) const;
  /// Returns whether the member was silent for so long that its flows are lost.
  bool IsLost(TimePoint now, const MemberEntry& entry) const;
  /// Returns how many members of a role are heard.
  size_t CountReachable(TimePoint now, MemberRole role) const;

  /// Returns the number of others in the fleet: balancers know all of them,
  /// agents are told.
  size_t FleetSize(MemberRole own_role) const;
  /// Returns how often the member says that it lives.
  static Duration IntervalOf(const MemberEntry& entry);

  /// Returns when any member was last heard; zero if none was.
  TimePoint LastHeard() const { return m_last_heard; }

  /// Returns when the last agent was met or named for the first time; zero if
  /// none was.
  TimePoint LastNewAgent() const { return m_last_new_agent; }

  /// Returns all entries in the order of their ids.
  const std::map<MemberId, MemberEntry>& Entries() const { return m_entries; }

 private:
  using Address = std::pair<uint32_t, MemberRole>;

  bool TakeAddress(TimePoint now, const SteerMember& member);
  Duration SilenceOf(const MemberEntry& entry) const;
  void NoteNew(TimePoint now, const SteerMember& member);
  void NoteContact(TimePoint now);

  MemberId m_self;                            ///< Own id; never an entry.
  MembershipTimeouts m_timeouts;              ///< Of a small fleet.
  std::map<MemberId, MemberEntry> m_entries;  ///< Others.
  std::map<Address, MemberId> m_by_address;   ///< Newest start at each.
  TimePoint m_last_heard;      ///< Any member was last heard then.
  TimePoint m_contact_since;   ///< Since then some member was always heard.
  TimePoint m_last_new_agent;  ///< See LastNewAgent.
};

/// Returns the message form of a member. Thread-safe.
proto::PeerMember EncodeMember(TimePoint now, const SteerMember& member);
/// Returns the member of a message; id 0 if it is unusable. Thread-safe.
SteerMember DecodeMember(TimePoint now, const proto::PeerMember& message);
/// Returns the message form of a load. Thread-safe.
proto::PeerLoad EncodeLoad(TimePoint now, const ServerLoad& load);
/// Returns the load of a message. Thread-safe.
ServerLoad DecodeLoad(TimePoint now, const proto::PeerLoad& message);

}  // namespace medlargauge

#endif  // MEDLARGAUGE_STEER_MEMBERSHIP_TABLE_H_
