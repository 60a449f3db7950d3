// @file active_routes.cc Replacing the route table and looking up routes.
#include "src/forwarding/active_routes.h"

#include <algorithm>

namespace medlargauge {

bool ActiveRoutes::Adopt(RouteTable table) {
  if (!Supersedes(table.identity, m_table.identity)) {
    return false;
  }
  KeepUnread(&table);
  m_table = std::move(table);
  m_by_address.clear();
  for (size_t i = 0; i < m_table.routes.size(); ++i) {
    const ServiceRoute& route = m_table.routes[i];
    m_by_address[route.address] = i;
    std::vector<ServiceId>& services = m_services[route.address];
    for (const RouteShare& share : route.shares) {
      services.erase(
          std::remove(services.begin(), services.end(), share.service),
          services.end());
      services.insert(services.begin(), share.service);
    }
  }
  return true;
}

void ActiveRoutes::KeepUnread(RouteTable* table) const {
  for (const ServiceRoute& route : m_table.routes) {
    const bool is_unread = std::any_of(
        table->unread.begin(), table->unread.end(),
        [&route](const UnreadRoute& unread) {
          return unread.address == route.address ||
                 (!unread.name.empty() && unread.name == route.name);
        });
    const bool is_replaced =
        std::any_of(table->routes.begin(), table->routes.end(),
                    [&route](const ServiceRoute& other) {
                      return other.address == route.address;
                    });
    if (is_unread && !is_replaced) {
      table->routes.push_back(route);
    }
  }
}

const ServiceRoute* ActiveRoutes::Find(SocketAddress4 address) const {
  const auto found = m_by_address.find(address);
  return found == m_by_address.end() ? nullptr : &m_table.routes[found->second];
}

bool ActiveRoutes::HadRoute(SocketAddress4 address) const {
  return m_services.count(address) > 0;
}

RouteServices ActiveRoutes::ServicesOf(SocketAddress4 address) const {
  RouteServices services;
  const ServiceRoute* route = Find(address);
  if (route != nullptr) {
    for (const RouteShare& share : route->shares) {
      services.current.push_back(share.service);
    }
  }
  const auto found = m_services.find(address);
  if (found != m_services.end()) {
    services.known = found->second;
  }
  return services;
}

bool ActiveRoutes::HasRepeatableRoute(ServiceId service) const {
  return std::any_of(m_table.routes.begin(), m_table.routes.end(),
                     [&](const ServiceRoute& route) {
                       return route.repeatable &&
                              std::any_of(route.shares.begin(),
                                          route.shares.end(),
                                          [&](const RouteShare& share) {
                                            return share.service == service;
                                          });
                     });
}

ServiceId ActiveRoutes::SelectService(const ServiceRoute& route,
                                      uint64_t flow_hash) {
  uint64_t total = 0;
  for (const RouteShare& share : route.shares) {
    total += share.weight;
  }
  if (total == 0) {
    return route.shares.front().service;
  }
  uint64_t position = (flow_hash >> 32U) * total >> 32U;
  for (const RouteShare& share : route.shares) {
    if (position < share.weight) {
      return share.service;
    }
    position -= share.weight;
  }
  return route.shares.back().service;
}

}  // namespace medlargauge
