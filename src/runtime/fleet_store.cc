// @file fleet_store.cc The fleet's calls to the store, and targets from peers.
#include <charconv>

#include "src/core/error.h"
#include "src/core/event_log.h"
#include "src/runtime/fleet.h"
#include "src/target/reader_choice.h"

namespace medlargauge {
namespace {

/// Others may have removed the entry while this host was cut off.
constexpr Duration kRegisterRepeat = Seconds(600);
constexpr Duration kStoreRetry = Seconds(3);
constexpr Duration kLonely = Milliseconds(1500);  ///< All balancers silent.
constexpr Duration kPeerCall = Milliseconds(800);

}  // namespace

void Fleet::AskStoreForPeers(TimePoint now) {
  const bool starts = m_peer_heard == TimePoint();
  const bool alone = m_roster.CountHeard(now, MemberRole::kBalancer) == 0 &&
                     (starts || now - m_peer_heard >= kLonely);
  if (!alone || now < m_list_deadline) {
    return;
  }
  m_store_busy = true;
  m_list_deadline = now + kStoreRetry;
  ++m_store_calls;
  m_platform->list_balancers(
      [this](StoreResult result, const std::vector<uint32_t>& ips) {
        m_store_busy = false;
        NoteStore(result, "list_balancers");
        const TimePoint then = SteadyTime();
        proto::PeerStatus status = MakeStatus(then);
        status.set_wants_members(true);
        for (const uint32_t ip : ips) {
          if (ip != m_self.ip) {
            SendStatus(ip, status);
          }
        }
      });
}

void Fleet::RegisterInStore(TimePoint now) {
  const bool due = m_self.role == MemberRole::kBalancer && !m_store_busy &&
                   now >= m_register_deadline;
  if (!due) {
    return;
  }
  m_store_busy = true;
  m_register_deadline = now + kStoreRetry;
  ++m_store_calls;
  m_platform->add_balancer(m_self.ip, [this](StoreResult result) {
    m_store_busy = false;
    if (result == StoreResult::kOk) {
      m_register_deadline = SteadyTime() + kRegisterRepeat;
    }
    NoteStore(result, "add_balancer");
  });
}

void Fleet::RemoveForgotten(TimePoint now,
                            const std::vector<SteerMember>& forgotten) {
  if (forgotten.empty() || m_self.role != MemberRole::kBalancer) {
    return;
  }
  std::vector<MemberId> balancers{m_self.id};
  for (const auto& [id, entry] : m_roster.Entries()) {
    if (entry.member.role == MemberRole::kBalancer &&
        m_roster.IsHeard(now, entry)) {
      balancers.push_back(id);
    }
  }
  const bool chosen = ChooseStoreReaders(balancers, 1).front() == m_self.id;
  for (const SteerMember& member : forgotten) {
    if (!chosen || m_store_busy || member.role != MemberRole::kBalancer) {
      continue;  // One that stays only costs newcomers a datagram.
    }
    m_store_busy = true;
    ++m_store_calls;
    m_platform->remove_balancer(member.ip, [this](StoreResult result) {
      m_store_busy = false;
      NoteStore(result, "remove_balancer");
    });
  }
}

void Fleet::ReadTargets(TimePoint now) {
  const TargetReaderLimits limits;
  const ReadAction action =
      m_reader.Next(now, m_self.id, m_roster, m_routes.Revision());
  if (action == ReadAction::kNothing) {
    return;
  }
  ++m_store_calls;
  const bool watches = action == ReadAction::kWatch;
  const auto done = [this, watches, now](
                        StoreResult result,
                        const std::optional<StoredTargets>& targets,
                        uint64_t position) {
    const TimePoint then = SteadyTime();
    if (watches) {
      m_reader.OnWatch(then, result, position);
    } else {
      m_reader.OnRead(then, result, position);
      m_store_latency.Add(then - now);
    }
    NoteStore(result, watches ? "watch_targets" : "fetch_targets");
    if (targets.has_value()) {
      Adopt(*targets, "store");
    }
    ReadTargets(then);
  };
  if (watches) {
    m_platform->watch_targets(m_reader.Position(), limits.wait, done);
  } else {
    m_platform->fetch_targets(done);
  }
}

void Fleet::NoteStore(StoreResult result, std::string_view call) {
  const bool lost =
      result == StoreResult::kRefused || result == StoreResult::kNoAnswer;
  if (lost != m_store_lost) {
    m_store_lost = lost;
    EventLine(lost ? Severity::kWarning : Severity::kInfo,
              lost ? "store_lost" : "store_regained")
        .With("call", call)
        .With("result", result == StoreResult::kRefused ? "refused"
                        : lost                          ? "no_answer"
                                                        : "ok");
  }
}

void Fleet::Adopt(const StoredTargets& targets, std::string_view source) {
  if (targets.revision <= m_routes.Revision()) {
    return;
  }
  Error reason;
  std::optional<RouteTable> table = m_platform->read_targets(targets, &reason);
  if (!table.has_value()) {
    EventLine(Severity::kError, "targets_refused")
        .With("revision", targets.revision)
        .With("source", source)
        .With("reason", reason.detail);
    return;
  }
  const uint64_t before = m_routes.Revision();
  const uint64_t version = table->version;
  const size_t routes = table->routes.size();
  m_routes.Adopt(std::move(*table));
  m_stored = targets;
  EventLine(Severity::kInfo, "targets_in_force")
      .With("revision", targets.revision)
      .With("version", version)
      .With("before", before)
      .With("routes", routes)
      .With("source", source);
  Announce();
}

void Fleet::FetchFromPeer(uint32_t ip) {
  if (m_fetch != nullptr && m_fetch->IsBusy()) {
    return;
  }
  m_fetch = std::make_unique<HttpClient>(
      m_loop, SocketAddress4{ip, m_peer_address.port});
  m_fetch->Send(
      "GET", std::string(kTargetsPath), "", kPeerCall,
      [this, ip](const HttpAnswer& answer) {
        StoredTargets targets;
        const char* begin = answer.body.data();
        const char* end = begin + answer.body.size();
        const auto number = std::from_chars(begin, end, targets.revision);
        const bool usable = answer.status == 200 && number.ec == std::errc() &&
                            number.ptr != end && *number.ptr == '\n';
        if (!usable) {
          EventLine(Severity::kWarning, "peer_gave_no_targets")
              .With("ip", FormatIp(ip))
              .With("status", answer.status);
          return;
        }
        targets.value.assign(number.ptr + 1, end);
        Adopt(targets, "peer");
      });
}

}  // namespace medlargauge
