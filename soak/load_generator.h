// @file load_generator.h Generates the load of all callers of a soak.
#ifndef MEDLARGAUGE_SOAK_LOAD_GENERATOR_H_
#define MEDLARGAUGE_SOAK_LOAD_GENERATOR_H_

#include <deque>
#include <map>
#include <memory>
#include <random>
#include <vector>

#include "platform/standin/stream.h"
#include "soak/invariant_checker.h"
#include "soak/router_standin.h"
#include "src/runtime/udp_socket.h"

namespace medlargauge::soak {

/// Callers that open flows, send requests, retry failed attempts and give up
/// after a timeout. Not thread-safe.
class LoadGenerator {
 public:
  /// @param router, checker, classes owned by the caller; must outlive this
  ///     object
  /// @param seed seed of arrivals, ports and sequence numbers
  LoadGenerator(EventLoop* loop,
                RouterStandin* router,
                InvariantChecker* checker,
                const std::vector<RequestClass>* classes,
                uint64_t seed);

  /// Adds a caller host with this address.
  /// @return false with kIo if the address cannot be bound
  bool AddCallerHost(uint32_t ip, Error* reason);
  /// Starts the arrivals of requests. Precondition: a caller host was added.
  void Start();
  /// Stops the arrivals; requests in progress continue.
  void Stop() { m_accepting_arrivals = false; }

 private:
  struct Request {
    size_t class_index = 0;  ///< Index of its class.
    TimePoint arrived_at;    ///< Start of the first attempt.
    int attempts = 0;        ///< Attempts so far.
    FlowKey last_flow;       ///< Flow of the last attempt.
  };
  struct Flow {
    size_t class_index = 0;         ///< Class of its requests.
    size_t socket = 0;              ///< Index of its caller host.
    uint32_t initial_sequence = 0;  ///< Sequence number of the opening packet.
    int syn_transmissions = 0;      ///< How often that packet was sent.
    TimePoint opened_at;            ///< When it was first sent.
    uint64_t request_id = 0;        ///< Request in progress; 0: idle.
    std::unique_ptr<platform::standin::Stream> stream;  ///< Null until open.
    std::string received;                               ///< Unparsed bytes.
    TimePoint idle_until;  ///< A long flow carries no request before this.
  };
  using FlowMap = std::map<FlowKey, Flow>;

  void ScheduleArrival(size_t class_index);
  /// Returns whether a flow can carry a request of a class now.
  static bool IsIdle(const Flow& flow, size_t class_index, TimePoint now);
  /// Returns a new flow's key, which no flow has now.
  FlowKey ChooseFlowKey(size_t socket, size_t class_index);
  /// Sends the first attempt of a request on an idle flow of its class, if
  /// there is one; otherwise opens a new flow.
  void StartAttempt(uint64_t request_id);
  void SendOpening(const FlowKey& key, Flow* flow);
  void SendRequest(Flow* flow);
  void Send(const FlowKey& key,
            const FlowPacket& packet,
            std::string_view data,
            size_t socket);
  void OnDatagram(size_t socket, SocketAddress4 from, ByteSpan datagram);
  /// Handles a reset. `is_synthetic` tells whether an agent or a balancer made
  /// it instead of a server.
  void OnReset(FlowMap::iterator entry, SocketAddress4 from, bool is_synthetic);
  void OnAnswer(FlowMap::iterator entry,
                const platform::standin::WorkAnswer& answer);
  /// Retries a request after a pause, or ends it if it has no attempts left or
  /// must not be repeated.
  /// @param may_have_run whether a server may have executed the request
  void OnAttemptFailed(uint64_t request_id, bool may_have_run);
  void EndRequest(uint64_t request_id, bool served);
  void CloseFlow(FlowMap::iterator entry);
  void Tick();

  EventLoop* m_loop;                           ///< Runs the timers.
  RouterStandin* m_router;                     ///< Selects the balancers.
  InvariantChecker* m_checker;                 ///< Receives all events.
  const std::vector<RequestClass>* m_classes;  ///< Classes of requests.
  std::mt19937_64 m_random;                    ///< Makes all choices.
  std::vector<std::unique_ptr<UdpSocket>> m_sockets;  ///< One per caller host.
  std::vector<uint32_t> m_ips;             ///< Addresses of the caller hosts.
  std::map<uint64_t, Request> m_requests;  ///< Requests in progress, by id.
  FlowMap m_flows;                         ///< Flows that were not closed.
  uint64_t m_next_request_id = 1;          ///< Id of the next request.
  uint32_t m_next_port = 1024;             ///< Port of the latest flow.
  bool m_accepting_arrivals = true;        ///< See Stop.
  std::vector<TimePoint> m_next_arrivals;  ///< Next request of each class.
};

}  // namespace medlargauge::soak

#endif  // MEDLARGAUGE_SOAK_LOAD_GENERATOR_H_
