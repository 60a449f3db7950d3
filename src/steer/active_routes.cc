// @file active_routes.cc Adopting tables and looking routes up.
#include "src/steer/active_routes.h"

#include <algorithm>

namespace medlargauge {

bool ActiveRoutes::Adopt(RouteTable table) {
  if (table.revision <= m_table.revision) {
    return false;
  }
  m_table = std::move(table);
  m_by_address.clear();
  for (size_t i = 0; i < m_table.routes.size(); ++i) {
    const SteerRoute& route = m_table.routes[i];
    m_by_address[route.address] = i;
    std::vector<ServiceId>& known = m_services[route.address];
    for (const RouteShare& share : route.shares) {
      known.erase(std::remove(known.begin(), known.end(), share.service),
                  known.end());
      known.insert(known.begin(), share.service);
    }
  }
  return true;
}

const SteerRoute* ActiveRoutes::Find(SocketAddress4 address) const {
  const auto found = m_by_address.find(address);
  return found == m_by_address.end() ? nullptr : &m_table.routes[found->second];
}

bool ActiveRoutes::WasRoute(SocketAddress4 address) const {
  return m_services.count(address) > 0;
}

std::vector<ServiceId> ActiveRoutes::ServicesOf(SocketAddress4 address) const {
  const auto found = m_services.find(address);
  return found == m_services.end() ? std::vector<ServiceId>() : found->second;
}

ServiceId ActiveRoutes::ServiceFor(const SteerRoute& route,
                                   uint64_t flow_hash) {
  uint64_t total = 0;
  for (const RouteShare& share : route.shares) {
    total += share.weight;
  }
  if (total == 0) {
    return route.shares.front().service;
  }
  uint64_t point = (flow_hash >> 32U) * total >> 32U;
  for (const RouteShare& share : route.shares) {
    if (point < share.weight) {
      return share.service;
    }
    point -= share.weight;
  }
  return route.shares.back().service;
}

}  // namespace medlargauge
