// @file group_liveness.cc Who is alive, who may decide, who is removed.
#include <algorithm>

#include "src/group/group.h"
#include "src/routing/routing.h"

namespace medlargauge {
namespace {

/// Groups with more peers send heartbeats less often.
constexpr int64_t kPeersAtFullRate = 8;

/// Returns whether the peer's present incarnation has been heard directly.
bool HasBeenHeard(const Peer& peer) {
  return peer.last_sent_at != 0;
}

}  // namespace

void Group::RefuteRemoval(const AgentFacts& facts) {
  const bool removed = facts.state == AgentState::kGone &&
                       facts.incarnation >= m_self.incarnation &&
                       m_self.state != AgentState::kGone;
  if (removed) {
    Rejoin(facts.incarnation + 1);
  }
}

void Group::Rejoin(uint64_t incarnation) {
  m_self.incarnation = incarnation;
  m_views_since_complete.clear();
  for (Peer& peer : m_peers) {
    peer.synced_view = ViewId();
    peer.indexed_view = ViewId();
  }
  RebuildView();
}

void Group::UpdateFence(TimePoint now) {
  if (m_fenced || HasEchoQuorum(now)) {
    return;
  }
  m_fenced = true;
  m_views_since_complete.clear();
  m_rejoin_deadline = now;
}

Duration Group::HeartbeatInterval() const {
  const auto peers = static_cast<int64_t>(std::count_if(
      m_peers.begin(), m_peers.end(),
      [](const Peer& peer) { return peer.facts.state != AgentState::kGone; }));
  // Larger groups beat more slowly, which bounds the bytes of each member, but
  // never so slowly that a few lost heartbeats look like a dead member.
  const Duration stretched = m_timeouts.heartbeat *
                             std::max(peers, kPeersAtFullRate) /
                             kPeersAtFullRate;
  return std::clamp(stretched, m_timeouts.heartbeat, m_timeouts.removal / 4);
}

bool Group::HasHomeMovedByRemoval(TimePoint now,
                                  ClassId class_id,
                                  FlowId flow) const {
  for (const RemovalView& removal : m_removal_views) {
    if (now >= removal.deadline) {
      continue;
    }
    const auto was_elsewhere = [&](const ServiceView& view) {
      const AgentFacts* before = HomeOf(view, class_id, flow);
      if (before != nullptr && before->id == removal.removed) {
        before = HomeExcluding(view, class_id, flow, removal.removed);
      }
      return before == nullptr || before->id != m_self.id;
    };
    const bool moved = removal.before.empty() ||
                       std::any_of(removal.before.begin(), removal.before.end(),
                                   was_elsewhere);
    if (moved) {
      return true;
    }
  }
  return false;
}

void Group::RecordRemoval(TimePoint now, Peer* peer) {
  peer->rejoin_grace_deadline = now + m_timeouts.rejoin_grace;
  if (peer->observer) {
    return;
  }
  m_removal_views.erase(
      std::remove_if(m_removal_views.begin(), m_removal_views.end(),
                     [now](const RemovalView& removal) {
                       return now >= removal.deadline;
                     }),
      m_removal_views.end());
  m_removal_views.push_back(
      {peer->facts.id, peer->rejoin_grace_deadline, m_views_since_complete});
}

bool Group::MayHaveUnreachableFlows(TimePoint now) const {
  return std::any_of(m_peers.begin(), m_peers.end(), [&](const Peer& peer) {
    if (now < peer.rejoin_grace_deadline) {
      return true;
    }
    return !peer.observer && peer.facts.state != AgentState::kGone &&
           now + m_timeouts.removal / 2 > peer.removal_deadline;
  });
}

bool Group::HasEchoQuorum(TimePoint now) const {
  size_t others = 0;
  size_t hearing = 0;
  for (const Peer& peer : m_peers) {
    if (peer.facts.state == AgentState::kGone || !HasBeenHeard(peer)) {
      continue;
    }
    ++others;
    if (peer.fence_deadline >= now) {
      ++hearing;
    }
  }
  // Half is enough: a removal needs more than half of the others.
  return hearing * 2 >= others;
}

bool Group::MayRemove(TimePoint now, const Peer& peer) const {
  if (now <= peer.removal_deadline) {
    return false;
  }
  size_t others = 1;  // This member, which finds the peer silent.
  size_t agreeing = 1;
  for (const Peer& witness : m_peers) {
    const bool counts = witness.facts.id != peer.facts.id &&
                        witness.facts.state != AgentState::kGone &&
                        HasBeenHeard(witness);
    if (!counts) {
      continue;
    }
    ++others;
    const bool recent = witness.removal_deadline - m_timeouts.removal +
                            HeartbeatInterval() * 2 >=
                        now;
    const bool agrees =
        recent && std::find(witness.silent.begin(), witness.silent.end(),
                            peer.facts.id.value) != witness.silent.end();
    agreeing += agrees ? 1 : 0;
  }
  return agreeing * 2 > others;
}

void Group::RemoveSilentPeers(TimePoint now) {
  if (m_fenced) {
    return;
  }
  bool removed = false;
  for (Peer& peer : m_peers) {
    const bool silent =
        peer.facts.state != AgentState::kGone && MayRemove(now, peer);
    if (silent) {
      RecordRemoval(now, &peer);
      peer.facts.state = AgentState::kGone;
      removed = true;
    }
  }
  if (removed) {
    RebuildView();
  }
}

}  // namespace medlargauge
