// @file router_standin.cc Readiness checks and rendezvous hashing.
#include "soak/router_standin.h"

#include "src/core/hash.h"

namespace medlargauge::soak {
namespace {

constexpr Duration kCheckInterval = Milliseconds(500);
constexpr Duration kCheckAnswer = Milliseconds(400);
constexpr int kMissesAllowed = 1;

}  // namespace

Router::Router(EventLoop* loop,
               const std::vector<uint32_t>& balancers,
               uint64_t seed)
    : m_random(seed) {
  for (const uint32_t ip : balancers) {
    Target target;
    target.ip = ip;
    target.check =
        std::make_unique<HttpClient>(loop, SocketAddress4{ip, kAdminPort});
    m_targets.push_back(std::move(target));
  }
  loop->Every(kCheckInterval, [this] { Check(); });
}

void Router::Check() {
  for (size_t i = 0; i < m_targets.size(); ++i) {
    if (m_targets[i].check->IsBusy()) {
      continue;
    }
    m_targets[i].check->Send(
        "GET", "/readyz", "", kCheckAnswer,
        [this, i](const HttpResponse& answer) {
          Target& target = m_targets[i];
          target.misses = answer.status == 200 ? 0 : target.misses + 1;
          target.used = target.misses <= kMissesAllowed &&
                        (target.used || answer.status == 200);
          if (target.misses > 0 && m_on_miss) {
            m_on_miss(target.ip);
          }
        });
  }
}

SocketAddress4 Router::Choose(const FlowKey& flow) const {
  uint32_t best = 0;
  uint64_t best_rank = 0;
  for (const Target& target : m_targets) {
    // Those in rotation first; if there are none, all are used.
    const uint64_t rank = (target.used ? 1ULL << 63U : 0) |
                          (MixHash(HashFlow(flow), target.ip) >> 1U);
    if (rank >= best_rank) {
      best = target.ip;
      best_rank = rank;
    }
  }
  return {best, kPacketPort};
}

void Router::SetTrouble(double lost, double doubled) {
  m_lost = lost;
  m_doubled = doubled;
}

int Router::Arrivals() {
  if (m_lost > 0 && std::bernoulli_distribution(m_lost)(m_random)) {
    return 0;
  }
  return m_doubled > 0 && std::bernoulli_distribution(m_doubled)(m_random) ? 2
                                                                           : 1;
}

bool Router::IsUsed(uint32_t ip) const {
  for (const Target& target : m_targets) {
    if (target.ip == ip) {
      return target.used;
    }
  }
  return false;
}

}  // namespace medlargauge::soak
