// @file agent.cc Timers, messages, start and drain of an agent.
#include "src/locate/agent.h"

#include <algorithm>

#include "src/locate/agent_internal.h"
#include "src/routing/routing.h"

namespace medlargauge {
namespace {

/// Maximum number of flows in one registration message.
constexpr int kRegistrationBatch = 256;
/// Number of flow table slots that each tick examines for expiry.
constexpr size_t kSweptSlotsPerTick = 4096;
/// Interval at which ended flows are reported to the agents with a pointer to
/// them, so that peers do not send back many ended flows after a restart.
constexpr Duration kEndedFlowsInterval = Seconds(5);
/// Share of the mean load that a backend server may carry just after its start.
constexpr double kMinRamp = 0.1;

/// Returns the facts of the agent at its start.
AgentFacts InitialFacts(const AgentConfig& config) {
  AgentFacts facts = config.self;
  facts.state = config.start == StartKind::kColdStart ? AgentState::kJoining
                                                      : AgentState::kReady;
  return facts;
}

}  // namespace

Agent::Agent(TimePoint now, AgentConfig config)
    : m_config(std::move(config)),
      m_group(m_config.service,
              InitialFacts(m_config),
              false,
              m_config.timeouts),
      m_join_deadline(now + m_config.limits.join),
      m_ramp_start(now),
      m_recovery_deadline(m_config.start == StartKind::kUnplannedRestart
                              ? now + m_config.limits.recovery
                              : TimePoint()) {}

void Agent::OnMessage(TimePoint now, const proto::GroupMessage& message) {
  m_group.UpdateFence(now);
  switch (message.body_case()) {
    case proto::GroupMessage::kHeartbeat:
      m_group.OnHeartbeat(now, message);
      break;
    case proto::GroupMessage::kRegistration:
      OnRegistration(now, message);
      break;
    case proto::GroupMessage::kDone:
      m_group.OnSyncDone(MemberId{message.from()}, message.done(),
                         IsRecovering(now));
      break;
    case proto::GroupMessage::kEnded:
      OnEndedFlows(message);
      break;
    case proto::GroupMessage::BODY_NOT_SET:
      break;
  }
  SynchroniseDuePeers(now);
}

void Agent::UpdateMember(TimePoint now,
                         const AgentFacts& facts,
                         bool observer) {
  m_group.UpdateFence(now);
  m_group.UpdateMember(now, facts, observer);
  SynchroniseDuePeers(now);
}

void Agent::SetSplits(TimePoint now, std::vector<VersionSplit> splits) {
  m_group.UpdateFence(now);
  m_group.SetSplits(std::move(splits));
  SynchroniseDuePeers(now);
}

void Agent::OnTick(TimePoint now) {
  m_group.UpdateFence(now);
  m_flows.Sweep(ToFlowDeadline(now), kSweptSlotsPerTick,
                [this](const FlowEntry& entry) {
                  RemoveFromFlowCounts(entry);
                  QueueEndedFlow(entry);
                });
  SendEndedFlows(now);
  if (now >= m_join_deadline) {
    m_group.FinishDiscovery();
  }
  m_group.OnTick(now, CurrentLoad(now));
  BecomeReadyIfSynced(now);
  SynchroniseDuePeers(now);
}

void Agent::StartDrain(TimePoint now, TimePoint deadline) {
  m_group.UpdateFence(now);
  m_draining = true;
  m_drain_deadline = deadline;
  m_group.SetOwnState(now, AgentState::kDraining, CurrentLoad(now));
  SynchroniseDuePeers(now);
}

bool Agent::IsDrained(TimePoint now) const {
  return m_draining && (m_owned_flows == 0 || now >= m_drain_deadline);
}

void Agent::Leave(TimePoint now) {
  m_group.SetOwnState(now, AgentState::kGone, CurrentLoad(now));
}

AgentSnapshot Agent::ExportSnapshot() const {
  AgentSnapshot snapshot;
  snapshot.peers = m_group.Peers();
  snapshot.flows.reserve(m_flows.Size());
  m_flows.ForEach(
      [&snapshot](const FlowEntry& entry) { snapshot.flows.push_back(entry); });
  return snapshot;
}

void Agent::ImportSnapshot(TimePoint now, const AgentSnapshot& snapshot) {
  for (const Peer& peer : snapshot.peers) {
    m_group.UpdateMember(now, peer.facts, peer.observer);
  }
  for (const FlowEntry& exported : snapshot.flows) {
    FlowEntry copy = exported;
    if (!copy.IsOwned() && copy.state != FlowState::kRefused) {
      const std::optional<PeerSlot> owner =
          m_group.FindSlot(snapshot.peers[copy.owner.value].facts.id);
      if (!owner.has_value()) {
        continue;  // The owner had left before the restart.
      }
      copy.owner = *owner;
    }
    FlowEntry& entry = m_flows.Insert(copy.flow);
    RemoveFromFlowCounts(entry);
    entry = copy;
    AddToFlowCounts(entry);
  }
}

std::vector<OutgoingGroupMessage> Agent::TakeOutgoing() {
  std::vector<OutgoingGroupMessage> outgoing = m_group.TakeOutgoing();
  std::move(m_outgoing.begin(), m_outgoing.end(), std::back_inserter(outgoing));
  m_outgoing.clear();
  return outgoing;
}

bool Agent::MayDecide(TimePoint now) const {
  const bool fenced =
      m_group.IsFenced() && !m_config.fault_injection.skip_fence;
  return !fenced && now >= m_join_deadline;
}

double Agent::OwnRamp(TimePoint now) const {
  const bool no_ramp = m_config.start != StartKind::kColdStart ||
                       m_config.limits.ramp.count() == 0;
  if (no_ramp) {
    return 1.0;
  }
  const double progress = static_cast<double>((now - m_ramp_start).count()) /
                          static_cast<double>(m_config.limits.ramp.count());
  return std::clamp(progress, kMinRamp, 1.0);
}

OwnLoad Agent::CurrentLoad(TimePoint now) const {
  OwnLoad load;
  load.open_flows = m_open_flows;
  load.capacity = m_config.limits.capacity;
  load.ramp = OwnRamp(now);
  // During recovery the flow count is too low to compare it with other agents,
  // so this agent accepts no handed-over flows.
  load.recovering = IsRecovering(now);
  load.shedding = m_server_shedding || IsRecovering(now);
  return load;
}

void Agent::OnRegistration(TimePoint now, const proto::GroupMessage& message) {
  const proto::Registration& registration = message.registration();
  const MemberId from{message.from()};
  const std::optional<PeerSlot> slot = m_group.FindSlot(from);
  const int count = registration.flow_low_size();
  const bool valid = slot.has_value() &&
                     registration.flow_high_size() == count &&
                     registration.class_id_size() == count &&
                     registration.initial_sequence_size() == count &&
                     registration.udp_size() == count;
  if (!valid || m_config.fault_injection.drop_pointers) {
    return;
  }
  const Peer& peer = m_group.PeerAt(*slot);
  if (message.incarnation() != peer.facts.incarnation) {
    return;
  }
  for (int i = 0; i < count; ++i) {
    FlowEntry entry;
    entry.flow = FlowId{registration.flow_high(i), registration.flow_low(i)};
    entry.class_id.value = registration.class_id(i);
    entry.initial_sequence = registration.initial_sequence(i);
    entry.transport = registration.udp(i) ? Transport::kUdp : Transport::kTcp;
    const bool usable = !(entry.flow == FlowId{}) && entry.class_id.value != 0;
    if (usable && registration.returned()) {
      RestoreFlow(now, entry);
    } else if (usable) {
      entry.owner = *slot;
      StorePointer(now, entry);
    }
  }
  m_group.OnRegistrations(from, registration);
}

void Agent::StorePointer(TimePoint now, const FlowEntry& registered) {
  FlowEntry& entry = m_flows.Insert(registered.flow);
  if (entry.class_id.value != 0 && entry.IsOwned()) {
    m_counters.flows_with_two_owners += entry.state == FlowState::kOwned;
    return;
  }
  entry = registered;
  entry.state = FlowState::kPointer;
  // Packets of the flow may not pass this agent and refresh the pointer, so the
  // longer of the two idle timeouts applies to both transports.
  entry.expires = ToFlowDeadline(now + m_config.limits.tcp_idle);
}

void Agent::RestoreFlow(TimePoint now, const FlowEntry& returned) {
  const FlowEntry* known = m_flows.Find(returned.flow);
  const bool replaceable =
      known == nullptr || known->state == FlowState::kReserved;
  if (!IsRecovering(now) || !replaceable) {
    return;
  }
  FlowEntry& entry = m_flows.Insert(returned.flow);
  entry = returned;
  entry.owner = PeerSlot();
  entry.state = FlowState::kRestored;
  entry.expires = ToFlowDeadline(now + IdleTimeout(entry.transport));
  AddToFlowCounts(entry);
  ++m_counters.flows_taken_back;
}

Duration Agent::IdleTimeout(Transport transport) const {
  return transport == Transport::kUdp ? m_config.limits.udp_idle
                                      : m_config.limits.tcp_idle;
}

void Agent::SynchroniseDuePeers(TimePoint now) {
  if (IsRecovering(now) && !m_flows_restored && MayDecide(now) &&
      m_group.IsIndexComplete()) {
    m_flows_restored = true;
    m_group.ScheduleFullSync();
  }
  // Until its flows are restored, this agent must not report to its peers that
  // it has registered all of them. Recovering peers are exempt: they have lost
  // their flow tables too, so they cannot send back any flows.
  const bool restore_pending = IsRecovering(now) && !m_flows_restored;
  for (const MemberId peer_id : m_group.TakePeersDueForSync(now)) {
    const Peer& peer = m_group.PeerAt(*m_group.FindSlot(peer_id));
    if (!restore_pending || peer.recovering) {
      SynchronisePeer(peer_id);
    }
  }
}

void Agent::SynchronisePeer(MemberId peer) {
  const uint32_t sync = m_next_sync++;
  uint32_t count =
      SendRegistrations(peer, sync, false, [&](const FlowEntry& entry) {
        if (!entry.IsOwned()) {
          return false;
        }
        const AgentFacts* home =
            HomeOf(m_group.View(), entry.class_id, entry.flow);
        const bool is_home = home != nullptr && home->id == peer;
        return is_home || BackupOf(entry) == peer;
      });
  const std::optional<PeerSlot> slot = m_group.FindSlot(peer);
  if (m_group.PeerAt(*slot).recovering) {
    count += SendRegistrations(peer, sync, true, [&](const FlowEntry& entry) {
      return entry.state == FlowState::kPointer && entry.owner == *slot;
    });
  }
  proto::GroupMessage done = m_group.NewMessage();
  done.mutable_done()->set_sync(sync);
  done.mutable_done()->set_view(m_group.CurrentViewId().value);
  done.mutable_done()->set_count(count);
  done.mutable_done()->set_returned(m_group.PeerAt(*slot).recovering);
  m_outgoing.push_back({peer, std::move(done)});
}

uint32_t Agent::SendRegistrations(
    MemberId peer,
    uint32_t sync,
    bool returned,
    const std::function<bool(const FlowEntry&)>& is_included) {
  uint32_t count = 0;
  proto::GroupMessage batch;
  const auto start_batch = [&] {
    batch = m_group.NewMessage();
    batch.mutable_registration()->set_sync(sync);
    batch.mutable_registration()->set_returned(returned);
  };
  start_batch();
  m_flows.ForEach([&](const FlowEntry& entry) {
    if (!is_included(entry)) {
      return;
    }
    detail::AddToRegistration(entry, batch.mutable_registration());
    ++count;
    if (batch.registration().flow_low_size() == kRegistrationBatch) {
      m_outgoing.push_back({peer, batch});
      start_batch();
    }
  });
  if (batch.registration().flow_low_size() > 0) {
    m_outgoing.push_back({peer, std::move(batch)});
  }
  return count;
}

void Agent::BecomeReadyIfSynced(TimePoint now) {
  const bool may_become_ready = m_group.Self().state == AgentState::kJoining &&
                                now >= m_join_deadline && !m_group.IsFenced() &&
                                m_group.IsIndexComplete();
  if (may_become_ready) {
    m_ramp_start = now;
    m_group.SetOwnState(now, AgentState::kReady, CurrentLoad(now));
  }
}

void Agent::QueueEndedFlow(const FlowEntry& entry) {
  if (!entry.IsOwned()) {
    return;
  }
  const AgentFacts* home = HomeOf(m_group.View(), entry.class_id, entry.flow);
  if (home != nullptr && home->id != m_group.Self().id) {
    m_ended_flows[home->id].push_back(entry);
  }
  const std::optional<MemberId> backup = BackupOf(entry);
  if (backup.has_value()) {
    m_ended_flows[*backup].push_back(entry);
  }
}

void Agent::SendEndedFlows(TimePoint now) {
  if (now < m_next_ended_send) {
    return;
  }
  m_next_ended_send = now + kEndedFlowsInterval;
  for (const auto& [peer, ended] : m_ended_flows) {
    proto::GroupMessage message = m_group.NewMessage();
    for (const FlowEntry& entry : ended) {
      const FlowEntry* current = m_flows.Find(entry.flow);
      if (current != nullptr && current->IsOwned()) {
        continue;  // The caller has opened the flow again.
      }
      message.mutable_ended()->add_flow_high(entry.flow.high);
      message.mutable_ended()->add_flow_low(entry.flow.low);
      message.mutable_ended()->add_initial_sequence(entry.initial_sequence);
    }
    m_outgoing.push_back({peer, std::move(message)});
  }
  m_ended_flows.clear();
}

void Agent::OnEndedFlows(const proto::GroupMessage& message) {
  const proto::Ended& ended = message.ended();
  const std::optional<PeerSlot> slot =
      m_group.FindSlot(MemberId{message.from()});
  const int count = ended.flow_low_size();
  const bool valid = slot.has_value() && ended.flow_high_size() == count &&
                     ended.initial_sequence_size() == count;
  if (!valid) {
    return;
  }
  for (int i = 0; i < count; ++i) {
    const FlowId flow{ended.flow_high(i), ended.flow_low(i)};
    const FlowEntry* entry = m_flows.Find(flow);
    const bool points_to_sender =
        entry != nullptr && entry->owner == *slot &&
        entry->state == FlowState::kPointer &&
        entry->initial_sequence == ended.initial_sequence(i);
    if (!points_to_sender) {
      continue;
    }
    const AgentFacts* home = HomeOf(m_group.View(), entry->class_id, flow);
    const bool is_home = home != nullptr && home->id == m_group.Self().id;
    // The home may just have forwarded another datagram to the owner. UDP has
    // no sequence number that would show this, so the home keeps the pointer
    // until it expires.
    if (!is_home || entry->transport == Transport::kTcp) {
      m_flows.Erase(flow);
    }
  }
}

void Agent::AddToFlowCounts(const FlowEntry& entry) {
  m_owned_flows += entry.IsOwned() ? 1 : 0;
  m_open_flows += entry.state == FlowState::kOwned ? 1 : 0;
}

void Agent::RemoveFromFlowCounts(const FlowEntry& entry) {
  if (entry.class_id.value == 0) {
    return;
  }
  m_owned_flows -= entry.IsOwned() ? 1 : 0;
  m_open_flows -= entry.state == FlowState::kOwned ? 1 : 0;
}

}  // namespace medlargauge
