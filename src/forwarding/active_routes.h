// @file active_routes.h Route table in force and the services of past routes.
#ifndef MEDLARGAUGE_FORWARDING_ACTIVE_ROUTES_H_
#define MEDLARGAUGE_FORWARDING_ACTIVE_ROUTES_H_

#include <algorithm>
#include <map>
#include <string>
#include <vector>

#include "src/forwarding/forwarding_type.h"

namespace medlargauge {

/// A service that receives a weighted share of the new flows of a route.
struct RouteShare {
  ServiceId service;    ///< Receiver of the share.
  uint32_t weight = 1;  ///< Share relative to the sum of weights.
};

/// Settings of one service address.
struct ServiceRoute {
  std::string name;                ///< Name in logs.
  SocketAddress4 address;          ///< Callers connect to this address.
  std::vector<RouteShare> shares;  ///< Services; never empty.
  bool repeatable = true;          ///< Callers may retry requests.
  uint32_t timeout_ms = 0;         ///< Callers time out after this; 0: unknown.
  uint32_t goal_ms = 0;            ///< Response time goal; 0: unknown.
  uint32_t priority = 0;           ///< 0 is the most urgent.
};

/// An entry of the targets that could not be read.
struct UnreadRoute {
  std::string name;        ///< Empty if that could not be read either.
  SocketAddress4 address;  ///< Its `ip` is 0 if that could not be read either.
};

/// All routes of one version of the operators' targets.
struct RouteTable {
  TargetIdentity identity;  ///< Its revision is 0 if there are no targets yet.
  /// Entries that are left out of `routes`. An earlier route with the name or
  /// the address of one of them stays in force.
  std::vector<UnreadRoute> unread;
  /// Idle flows may be dropped after this time; 0: unknown.
  uint32_t idle_timeout_ms = 0;
  std::vector<ServiceRoute> routes;  ///< In the order of the targets.
  /// New flows per second that a server of a service bears while it is cold;
  /// services without a limit have no entry.
  std::map<ServiceId, uint32_t> warmup_per_second;
};

/// Services that are known to hold or to have held flows of an address. An
/// agent of any other service may hold some as well: the route may have changed
/// before this process started.
struct RouteServices {
  std::vector<ServiceId> current;  ///< With a share, also one of weight 0.
  std::vector<ServiceId> known;    ///< Of all routes since the process started.

  /// Returns whether the current route has the service. Thread-safe.
  bool IsCurrent(ServiceId service) const {
    return std::find(current.begin(), current.end(), service) != current.end();
  }
  /// Returns whether a route is known to have had the service. Thread-safe.
  bool IsKnown(ServiceId service) const {
    return std::find(known.begin(), known.end(), service) != known.end();
  }
};

/// Routes in force, and the services that earlier routes are known to have
/// used. The newest targets win whatever the order of arrival, so
/// all processes converge to the same table. Not thread-safe.
class ActiveRoutes {
 public:
  /// Puts a table in force if it supersedes the current one.
  /// @return whether the table was put in force
  bool Adopt(RouteTable table);

  /// Returns the route of an address, or null if it has none.
  const ServiceRoute* Find(SocketAddress4 address) const;

  /// Returns whether the address has had a route since this process started.
  bool HadRoute(SocketAddress4 address) const;

  /// Returns the services that the address is known to have had.
  RouteServices ServicesOf(SocketAddress4 address) const;

  /// Returns whether requests of a route of the service may be repeated.
  bool HasRepeatableRoute(ServiceId service) const;

  /// Returns the service for a new flow by weighted hash. Thread-safe.
  /// Precondition: `route` has a share.
  static ServiceId SelectService(const ServiceRoute& route, uint64_t flow_hash);

  /// Returns the revision in force; 0 before the first table.
  uint64_t Revision() const { return m_table.identity.version.revision; }
  /// Returns which targets are in force.
  const TargetIdentity& Identity() const { return m_table.identity; }
  /// Returns the table in force.
  const RouteTable& Table() const { return m_table; }

 private:
  /// Adds the routes in force that the unread entries of a new table mean.
  void KeepUnread(RouteTable* table) const;

  RouteTable m_table;                             ///< Table in force.
  std::map<SocketAddress4, size_t> m_by_address;  ///< Index in m_table.
  /// Services that each address has had since this process started.
  std::map<SocketAddress4, std::vector<ServiceId>> m_services;
};

}  // namespace medlargauge

#endif  // MEDLARGAUGE_FORWARDING_ACTIVE_ROUTES_H_
