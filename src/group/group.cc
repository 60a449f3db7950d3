// @file group.cc Messages, views and synchronisation of a service group.
#include "src/group/group.h"

#include <algorithm>

#include "src/packet/envelope_type.h"
#include "src/routing/routing.h"

namespace medlargauge {
namespace {

/// After this many views without a complete index, the home asks its peers
/// about every new flow until the index is complete again.
constexpr size_t kMaxViewsSinceComplete = 8;
/// Ticks come every 100 ms or faster. After a longer gap than this, the process
/// is taken to have been paused.
constexpr Duration kMaxTickGap = Milliseconds(1000);
/// Heartbeats carry the ramp in thousandths.
constexpr double kRampScale = 1000.0;
/// A member from which no heartbeat has arrived yet may be removed after this
/// many removal timeouts, so that its peers have counted it before it votes
/// about them.
constexpr int kNoHeartbeatRemovalFactor = 3;

/// Writes facts into a message.
void WriteFacts(const AgentFacts& facts, proto::AgentFacts* out) {
  out->set_id(facts.id.value);
  out->set_incarnation(facts.incarnation);
  out->set_state(static_cast<uint32_t>(facts.state));
  out->set_version(facts.version.value);
  out->set_domain(facts.domain.value);
}

/// Reads facts from a message; an unknown state counts as gone.
AgentFacts ReadFacts(const proto::AgentFacts& in) {
  AgentFacts facts;
  facts.id.value = in.id();
  facts.incarnation = in.incarnation();
  const bool is_valid = in.state() <= static_cast<uint32_t>(AgentState::kGone);
  facts.state =
      is_valid ? static_cast<AgentState>(in.state()) : AgentState::kGone;
  facts.version.value = in.version();
  facts.domain.value = in.domain();
  return facts;
}

/// Returns whether `a` is newer than `b`: by incarnation, then by state.
bool IsNewer(const AgentFacts& a, const AgentFacts& b) {
  if (a.incarnation != b.incarnation) {
    return a.incarnation > b.incarnation;
  }
  return a.state > b.state;
}

}  // namespace

Group::Group(ServiceId service,
             AgentFacts self,
             bool observer,
             GroupTimeouts timeouts)
    : m_service(service),
      m_self(self),
      m_observer(observer),
      m_timeouts(timeouts) {
  RebuildView();
}

void Group::UpdateMember(TimePoint now,
                         const AgentFacts& facts,
                         bool observer) {
  if (facts.id == m_self.id) {
    RefuteRemoval(facts);
    return;
  }
  const std::optional<PeerSlot> slot = FindSlot(facts.id);
  if (slot.has_value() && !IsNewer(facts, PeerAt(*slot).facts)) {
    return;
  }
  if (!slot.has_value()) {
    if (facts.state == AgentState::kGone) {
      return;
    }
    m_peers.emplace_back();
  }
  Peer& peer = slot.has_value() ? PeerAt(*slot) : m_peers.back();
  const bool restarted =
      slot.has_value() && facts.incarnation != peer.facts.incarnation;
  const bool new_incarnation = !slot.has_value() || restarted;
  const bool gone = facts.state == AgentState::kGone;
  if (gone && peer.facts.state != AgentState::kGone) {
    // Counts as a removal by other members; OnHeartbeat takes this back for a
    // member that announces by itself that it leaves.
    RecordRemoval(now, &peer);
  }
  peer.facts = facts;
  peer.observer = observer;
  if (new_incarnation) {
    peer.removal_deadline =
        now + m_timeouts.removal * kNoHeartbeatRemovalFactor;
    peer.fence_deadline = TimePoint();
    peer.last_sent_at = 0;
    peer.synced_view = ViewId();
    peer.indexed_view = ViewId();
    peer.incoming_sync = 0;
    peer.recovering = false;
    peer.silent.clear();
  }
  RebuildView();
}

void Group::SetSplits(std::vector<VersionSplit> splits) {
  m_splits = std::move(splits);
  RebuildView();
}

void Group::SetOwnState(TimePoint now, AgentState state, const OwnLoad& load) {
  if (m_self.state == state) {
    return;
  }
  m_self.state = state;
  RebuildView();
  SendHeartbeats(now, load);
}

void Group::OnHeartbeat(TimePoint now, const proto::GroupMessage& message) {
  const proto::Heartbeat& heartbeat = message.heartbeat();
  const AgentFacts facts = ReadFacts(heartbeat.facts());
  UpdateMember(now, facts, heartbeat.observer());
  const std::optional<PeerSlot> slot = FindSlot(facts.id);
  if (slot.has_value() && facts.state == AgentState::kGone) {
    // The member itself announced that it leaves, so it will not return.
    PeerAt(*slot).rejoin_grace_deadline = TimePoint();
    m_removal_views.erase(
        std::remove_if(m_removal_views.begin(), m_removal_views.end(),
                       [&facts](const RemovalView& removal) {
                         return removal.removed == facts.id;
                       }),
        m_removal_views.end());
  }
  if (!slot.has_value()) {
    return;
  }
  Peer& peer = PeerAt(*slot);
  const bool outdated = facts.incarnation != peer.facts.incarnation ||
                        peer.facts.state == AgentState::kGone ||
                        heartbeat.sent_at() < peer.last_sent_at;
  if (outdated) {
    return;
  }
  if (peer.last_sent_at == 0) {
    // The peer's first heartbeat cannot contain an echo yet.
    peer.fence_deadline = now + m_timeouts.fence;
  }
  peer.last_sent_at = heartbeat.sent_at();
  // After a pause of this process, heartbeats queued in its sockets prove only
  // that the peer was alive when the pause began.
  const bool was_paused =
      m_last_tick != TimePoint() && now - m_last_tick > kMaxTickGap;
  peer.removal_deadline = (was_paused ? m_last_tick : now) + m_timeouts.removal;
  if (heartbeat.echo_incarnation() == m_self.incarnation &&
      heartbeat.echo() != 0) {
    // Counted from the time of sending, so that a pause of this process cannot
    // extend the deadline.
    const TimePoint sent{Duration(static_cast<int64_t>(heartbeat.echo()))};
    peer.fence_deadline =
        std::max(peer.fence_deadline, sent + m_timeouts.fence);
  }
  const double interval_s =
      std::chrono::duration<double>(now - peer.reported_at).count();
  const double growth = static_cast<double>(heartbeat.open_flows()) -
                        static_cast<double>(peer.open_flows);
  peer.flow_growth_per_s = interval_s > 0 ? growth / interval_s : 0;
  peer.reported_at = now;
  peer.open_flows = heartbeat.open_flows();
  peer.declined = false;
  peer.capacity = heartbeat.capacity();
  peer.ramp = heartbeat.ramp() / kRampScale;
  peer.shedding = heartbeat.shedding();
  if (heartbeat.recovering() && !peer.recovering) {
    peer.next_sync_at = now;
    peer.restore_due = true;
  }
  peer.recovering = heartbeat.recovering();
  peer.indexed_view.value = heartbeat.indexed_view();
  peer.silent.assign(heartbeat.silent().begin(), heartbeat.silent().end());
}

void Group::OnSyncDone(MemberId from,
                       const proto::SyncDone& done,
                       bool recovering) {
  const std::optional<PeerSlot> slot = FindSlot(from);
  if (!slot.has_value()) {
    return;
  }
  Peer& peer = PeerAt(*slot);
  const uint32_t received =
      peer.incoming_sync == done.sync() ? peer.received_registrations : 0;
  if (received != done.count() || (recovering && !done.returned())) {
    // A registration was lost, or the own flows were not sent back. The peer
    // repeats the synchronisation when this member does not confirm it.
    return;
  }
  peer.synced_view.value = done.view();
  RecordCompleteView();
}

void Group::OnRegistrations(MemberId from,
                            const proto::Registration& registration) {
  const std::optional<PeerSlot> slot = FindSlot(from);
  if (!slot.has_value() || registration.sync() == 0) {
    return;
  }
  Peer& peer = PeerAt(*slot);
  if (peer.incoming_sync != registration.sync()) {
    peer.incoming_sync = registration.sync();
    peer.received_registrations = 0;
  }
  peer.received_registrations += registration.flow_low_size();
}

void Group::OnTick(TimePoint now, const OwnLoad& load) {
  m_last_tick = now;
  m_fenced = m_fenced && !HasEchoQuorum(now);
  if (m_fenced && now >= m_next_rejoin) {
    // The others may have removed this member, so it announces itself with a
    // new incarnation, which has to synchronise. This repeats until the quorum
    // of echoes is back.
    Rejoin(m_self.incarnation + 1);
    m_next_rejoin = now + m_timeouts.removal;
  }
  RemoveSilentPeers(now);
  RecordCompleteView();
  if (now >= m_next_heartbeat) {
    SendHeartbeats(now, load);
    m_next_heartbeat = now + HeartbeatInterval();
  }
}

void Group::FinishDiscovery() {
  m_discovery_finished = true;
}

bool Group::TakeViewChange() {
  const bool changed = m_view_changed;
  m_view_changed = false;
  return changed;
}

std::vector<MemberId> Group::TakePeersDueForSync(TimePoint now) {
  std::vector<MemberId> due;
  for (Peer& peer : m_peers) {
    const bool live_agent =
        !peer.observer && peer.facts.state != AgentState::kGone;
    const bool needs_sync = peer.indexed_view != m_view_id || peer.restore_due;
    if (live_agent && needs_sync && now >= peer.next_sync_at) {
      peer.next_sync_at = now + m_timeouts.resend;
      peer.restore_due = false;
      due.push_back(peer.facts.id);
    }
  }
  return due;
}

void Group::ScheduleFullSync() {
  for (Peer& peer : m_peers) {
    peer.next_sync_at = TimePoint();
    peer.restore_due = true;
  }
}

bool Group::IsAuthoritativeHome(ClassId class_id, FlowId flow) const {
  if (m_views_since_complete.empty()) {
    return false;
  }
  const auto is_home = [&](const ServiceView& view) {
    const AgentFacts* home = HomeOf(view, class_id, flow);
    return home != nullptr && home->id == m_self.id;
  };
  return std::all_of(m_views_since_complete.begin(),
                     m_views_since_complete.end(), is_home);
}

bool Group::IsSynced(const Peer& peer) const {
  return peer.synced_view == m_view_id;
}

bool Group::IsIndexComplete() const {
  return std::all_of(m_peers.begin(), m_peers.end(), [&](const Peer& peer) {
    return peer.observer || peer.facts.state == AgentState::kGone ||
           IsSynced(peer);
  });
}

std::optional<PeerSlot> Group::FindSlot(MemberId id) const {
  for (size_t i = 0; i < m_peers.size(); ++i) {
    if (m_peers[i].facts.id == id) {
      return PeerSlot{static_cast<uint16_t>(i)};
    }
  }
  return std::nullopt;
}

std::optional<PeerSlot> Group::FindSlotByShortId(uint32_t short_id) const {
  for (size_t i = 0; i < m_peers.size(); ++i) {
    if (ShortId(m_peers[i].facts.id) == short_id) {
      return PeerSlot{static_cast<uint16_t>(i)};
    }
  }
  return std::nullopt;
}

proto::GroupMessage Group::NewMessage() const {
  proto::GroupMessage message;
  message.set_from(m_self.id.value);
  message.set_incarnation(m_self.incarnation);
  message.set_service(m_service.value);
  return message;
}

std::vector<OutgoingGroupMessage> Group::TakeOutgoing() {
  std::vector<OutgoingGroupMessage> outgoing;
  outgoing.swap(m_outgoing);
  return outgoing;
}

void Group::RebuildView() {
  ServiceView view;
  view.service = m_service;
  view.splits = m_splits;
  if (!m_observer && m_self.state != AgentState::kGone) {
    view.agents.push_back(m_self);
  }
  for (const Peer& peer : m_peers) {
    if (!peer.observer && peer.facts.state != AgentState::kGone) {
      view.agents.push_back(peer.facts);
    }
  }
  std::sort(
      view.agents.begin(), view.agents.end(),
      [](const AgentFacts& a, const AgentFacts& b) { return a.id < b.id; });
  const ViewId id = HashView(view);
  m_view = std::move(view);
  if (id == m_view_id) {
    return;
  }
  m_view_id = id;
  m_view_changed = true;
  for (Peer& peer : m_peers) {
    peer.next_sync_at = TimePoint();
  }
  if (m_views_since_complete.size() >= kMaxViewsSinceComplete) {
    m_views_since_complete.clear();
  }
  if (!m_views_since_complete.empty()) {
    m_views_since_complete.push_back(m_view);
  }
  RecordCompleteView();
}

void Group::SendHeartbeats(TimePoint now, const OwnLoad& load) {
  for (const Peer& peer : m_peers) {
    // Observers send each other no heartbeats: only agents decide about flows.
    const bool skipped =
        peer.facts.state == AgentState::kGone || (m_observer && peer.observer);
    if (skipped) {
      continue;
    }
    proto::GroupMessage message = NewMessage();
    proto::Heartbeat* heartbeat = message.mutable_heartbeat();
    WriteFacts(m_self, heartbeat->mutable_facts());
    heartbeat->set_sent_at(now.time_since_epoch().count());
    heartbeat->set_echo(peer.last_sent_at);
    heartbeat->set_echo_incarnation(peer.facts.incarnation);
    heartbeat->set_view(m_view_id.value);
    heartbeat->set_indexed_view(peer.synced_view.value);
    heartbeat->set_open_flows(load.open_flows);
    heartbeat->set_capacity(load.capacity);
    heartbeat->set_ramp(static_cast<uint32_t>(load.ramp * kRampScale));
    heartbeat->set_shedding(load.shedding);
    heartbeat->set_recovering(load.recovering);
    heartbeat->set_observer(m_observer);
    for (const Peer& other : m_peers) {
      // Removed peers stay listed during their rejoin grace period, so that all
      // members count the same votes.
      const bool silent = other.facts.state == AgentState::kGone
                              ? now < other.rejoin_grace_deadline
                              : now > other.removal_deadline;
      if (silent) {
        heartbeat->add_silent(other.facts.id.value);
      }
    }
    m_outgoing.push_back({peer.facts.id, std::move(message)});
  }
}

void Group::RecordCompleteView() {
  if (m_discovery_finished && !m_fenced && IsIndexComplete()) {
    m_views_since_complete.assign(1, m_view);
  }
}

}  // namespace medlargauge
