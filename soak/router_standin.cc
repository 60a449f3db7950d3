// @file router_standin.cc Readiness checks, rendezvous hashing, packet faults.
#include "soak/router_standin.h"

#include "src/core/hash.h"

namespace medlargauge::soak {
namespace {

constexpr Duration kCheckInterval = Milliseconds(500);
constexpr Duration kCheckTimeout = Milliseconds(400);
constexpr int kMaxFailedChecks = 1;

}  // namespace

RouterStandin::RouterStandin(EventLoop* loop,
                             const std::vector<uint32_t>& balancer_ips,
                             uint64_t seed)
    : m_random(seed) {
  for (const uint32_t ip : balancer_ips) {
    Balancer balancer;
    balancer.ip = ip;
    balancer.check_client =
        std::make_unique<HttpClient>(loop, SocketAddress4{ip, kAdminPort});
    m_balancers.push_back(std::move(balancer));
  }
  loop->Every(kCheckInterval, [this] { CheckReadiness(); });
}

void RouterStandin::CheckReadiness() {
  for (size_t i = 0; i < m_balancers.size(); ++i) {
    if (m_balancers[i].check_client->IsBusy()) {
      continue;
    }
    m_balancers[i].check_client->Send(
        "GET", "/readyz", "", kCheckTimeout,
        [this, i](const HttpResponse& answer) {
          Balancer& balancer = m_balancers[i];
          balancer.failed_checks =
              answer.status == 200 ? 0 : balancer.failed_checks + 1;
          balancer.in_rotation = balancer.failed_checks <= kMaxFailedChecks &&
                                 (balancer.in_rotation || answer.status == 200);
          if (balancer.failed_checks > 0 && m_check_failed_hook) {
            m_check_failed_hook(balancer.ip);
          }
        });
  }
}

SocketAddress4 RouterStandin::SelectBalancer(const FlowKey& flow) const {
  uint32_t best_ip = 0;
  uint64_t best_rank = 0;
  for (const Balancer& balancer : m_balancers) {
    // Balancers in rotation rank higher. If there are none, all are used.
    const uint64_t rank = (balancer.in_rotation ? 1ULL << 63U : 0) |
                          (MixHash(HashFlow(flow), balancer.ip) >> 1U);
    if (rank >= best_rank) {
      best_ip = balancer.ip;
      best_rank = rank;
    }
  }
  return {best_ip, kPacketPort};
}

void RouterStandin::SetPacketFaults(double loss_probability,
                                    double duplication_probability) {
  m_loss_probability = loss_probability;
  m_duplication_probability = duplication_probability;
}

int RouterStandin::DrawDeliveryCount() {
  if (m_loss_probability > 0 &&
      std::bernoulli_distribution(m_loss_probability)(m_random)) {
    return 0;
  }
  return m_duplication_probability > 0 &&
                 std::bernoulli_distribution(m_duplication_probability)(
                     m_random)
             ? 2
             : 1;
}

bool RouterStandin::IsInRotation(uint32_t ip) const {
  for (const Balancer& balancer : m_balancers) {
    if (balancer.ip == ip) {
      return balancer.in_rotation;
    }
  }
  return false;
}

}  // namespace medlargauge::soak
