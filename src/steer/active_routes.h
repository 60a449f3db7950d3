// @file active_routes.h The routes in force, which never go back.
#ifndef MEDLARGAUGE_STEER_ACTIVE_ROUTES_H_
#define MEDLARGAUGE_STEER_ACTIVE_ROUTES_H_

#include <map>
#include <string>
#include <vector>

#include "src/steer/steer_type.h"

namespace medlargauge {

/// One service behind a route and its part of new flows.
struct RouteShare {
  ServiceId service;    ///< The service.
  uint32_t weight = 1;  ///< Part of the sum of weights.
};

/// How the requests of one address and port are treated.
struct SteerRoute {
  std::string name;                ///< For logs.
  SocketAddress4 address;          ///< Callers send here.
  std::vector<RouteShare> shares;  ///< At least one.
  bool repeatable = true;          ///< Callers may repeat requests.
  uint32_t timeout_ms = 0;         ///< Callers give up after this; 0: unknown.
  uint32_t goal_ms = 0;            ///< Answers are wanted within; 0: unknown.
  uint32_t priority = 0;           ///< 0 is served first.
};

/// All routes of one revision of the operators' targets.
struct RouteTable {
  uint64_t revision = 0;           ///< Revision in the store; 0: nothing yet.
  uint64_t version = 0;            ///< Operators' own number, for logs.
  uint32_t idle_timeout_ms = 0;    ///< Idle flows may be dropped; 0: unknown.
  std::vector<SteerRoute> routes;  ///< In the operators' order.
};

/// Routes in force plus what flows opened under earlier ones need. A join: the
/// highest revision wins, whatever the order of arrival. Not thread-safe.
class ActiveRoutes {
 public:
  /// Puts a table in force unless it is older. @return whether it was newer
  bool Adopt(RouteTable table);

  /// Returns the route of an address, or null.
  const SteerRoute* Find(SocketAddress4 address) const;

  /// Returns whether the address had a route in this process's life.
  bool WasRoute(SocketAddress4 address) const;

  /// Returns every service that flows of the address may be at, those of the
  /// present route first.
  std::vector<ServiceId> ServicesOf(SocketAddress4 address) const;

  /// Returns the service for new flows. Precondition: `route` has a share.
  static ServiceId ServiceFor(const SteerRoute& route, uint64_t flow_hash);

  /// Returns the revision in force; 0 before the first table.
  uint64_t Revision() const { return m_table.revision; }
  /// Returns the table in force.
  const RouteTable& Table() const { return m_table; }

 private:
  RouteTable m_table;                             ///< In force.
  std::map<SocketAddress4, size_t> m_by_address;  ///< Index into the table.
  /// Services that each address ever had, newest first.
  std::map<SocketAddress4, std::vector<ServiceId>> m_services;
};

}  // namespace medlargauge

#endif  // MEDLARGAUGE_STEER_ACTIVE_ROUTES_H_
