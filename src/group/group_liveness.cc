// @file group_liveness.cc Failure detection, fencing and removal of members.
#include <algorithm>

#include "src/group/group.h"
#include "src/routing/routing.h"

namespace medlargauge {
namespace {

/// Members with more live peers than this send heartbeats less often.
constexpr int64_t kPeersAtFullRate = 8;

/// Returns whether a heartbeat of the peer's current incarnation has arrived.
bool HasSentHeartbeat(const Peer& peer) {
  return peer.last_sent_at != 0;
}

}  // namespace

void Group::RefuteRemoval(const AgentFacts& facts) {
  const bool falsely_removed = facts.state == AgentState::kGone &&
                               facts.incarnation >= m_self.incarnation &&
                               m_self.state != AgentState::kGone;
  if (falsely_removed) {
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
  m_next_rejoin = now;
}

Duration Group::HeartbeatInterval() const {
  const auto live_peers = static_cast<int64_t>(std::count_if(
      m_peers.begin(), m_peers.end(),
      [](const Peer& peer) { return peer.facts.state != AgentState::kGone; }));
  // The interval grows with the group to limit the bytes that each member
  // sends, but stays short enough that the loss of a few heartbeats does not
  // look like a crash.
  const Duration scaled = m_timeouts.heartbeat *
                          std::max(live_peers, kPeersAtFullRate) /
                          kPeersAtFullRate;
  return std::clamp(scaled, m_timeouts.heartbeat, m_timeouts.removal / 4);
}

bool Group::HasHomeMovedByRemoval(TimePoint now,
                                  ClassId class_id,
                                  FlowId flow) const {
  for (const RemovalView& removal : m_removal_views) {
    if (now >= removal.deadline) {
      continue;
    }
    const auto had_other_home = [&](const ServiceView& view) {
      const AgentFacts* home = HomeOf(view, class_id, flow);
      if (home != nullptr && home->id == removal.removed) {
        home = HomeExcluding(view, class_id, flow, removal.removed);
      }
      return home == nullptr || home->id != m_self.id;
    };
    const bool may_have_moved =
        removal.before.empty() ||
        std::any_of(removal.before.begin(), removal.before.end(),
                    had_other_home);
    if (may_have_moved) {
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
  size_t echoing = 0;
  for (const Peer& peer : m_peers) {
    if (peer.facts.state == AgentState::kGone || !HasSentHeartbeat(peer)) {
      continue;
    }
    ++others;
    if (peer.fence_deadline >= now) {
      ++echoing;
    }
  }
  // Half is enough, because a removal needs the votes of more than half.
  return echoing * 2 >= others;
}

bool Group::MayRemove(TimePoint now, const Peer& peer) const {
  if (now <= peer.removal_deadline) {
    return false;
  }
  size_t voters = 1;  // This member, which finds the peer silent.
  size_t votes = 1;
  for (const Peer& voter : m_peers) {
    const bool may_vote = voter.facts.id != peer.facts.id &&
                          voter.facts.state != AgentState::kGone &&
                          HasSentHeartbeat(voter);
    if (!may_vote) {
      continue;
    }
    ++voters;
    const bool is_heartbeat_recent =
        voter.removal_deadline - m_timeouts.removal + HeartbeatInterval() * 2 >=
        now;
    const bool finds_silent =
        is_heartbeat_recent &&
        std::find(voter.silent.begin(), voter.silent.end(),
                  peer.facts.id.value) != voter.silent.end();
    votes += finds_silent ? 1 : 0;
  }
  return votes * 2 > voters;
}

void Group::RemoveSilentPeers(TimePoint now) {
  if (m_fenced) {
    return;
  }
  bool view_changed = false;
  for (Peer& peer : m_peers) {
    const bool must_remove =
        peer.facts.state != AgentState::kGone && MayRemove(now, peer);
    if (must_remove) {
      RecordRemoval(now, &peer);
      peer.facts.state = AgentState::kGone;
      view_changed = true;
    }
  }
  if (view_changed) {
    RebuildView();
  }
}

}  // namespace medlargauge
