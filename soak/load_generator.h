// @file load_generator.h Callers that open flows, ask, repeat and give up.
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

/// All callers of a run. Not thread-safe.
class Callers {
 public:
  Callers(EventLoop* loop,
          Router* router,
          Referee* referee,
          const std::vector<WorkClass>* classes,
          uint64_t seed);

  /// Binds one address. @return false with kIo if that fails
  bool Add(uint32_t ip, Error* reason);
  /// Begins to ask.
  void Start();
  /// Asks nothing new; what is under way goes on.
  void Stop() { m_asking = false; }

 private:
  struct Request {
    size_t class_index = 0;
    TimePoint asked;
    int attempts = 0;
  };
  struct Flow {
    size_t class_index = 0;
    size_t socket = 0;
    uint32_t first = 0;    ///< Number of the opening packet.
    int copies = 0;        ///< Opening packets sent.
    TimePoint opened_at;   ///< First opening packet.
    uint64_t request = 0;  ///< Being asked; 0: idle.
    std::unique_ptr<platform::standin::Stream> stream;  ///< Once open.
    std::string received;                               ///< Not yet read.
    TimePoint idle_until;                               ///< Long flows pause.
  };
  using FlowMap = std::map<FlowKey, Flow>;

  void ScheduleArrival(size_t class_index);
  void Attempt(uint64_t request);
  void SendOpening(const FlowKey& key, Flow* flow);
  void SendRequest(Flow* flow);
  void Send(const FlowKey& key,
            const FlowPacket& packet,
            std::string_view data,
            size_t socket);
  void OnDatagram(size_t socket, ByteSpan datagram);
  void OnReset(FlowMap::iterator found, bool by_system);
  void OnAnswer(FlowMap::iterator found,
                const platform::standin::WorkAnswer& answer);
  void FailAttempt(uint64_t request, bool may_have_run);
  void EndRequest(uint64_t request, bool served);
  void EndFlow(FlowMap::iterator found);
  void Tick();

  EventLoop* m_loop;
  Router* m_router;
  Referee* m_referee;
  const std::vector<WorkClass>* m_classes;
  std::mt19937_64 m_random;
  std::vector<std::unique_ptr<UdpSocket>> m_sockets;
  std::vector<uint32_t> m_ips;
  std::map<uint64_t, Request> m_requests;
  FlowMap m_flows;
  uint64_t m_next_request = 1;
  uint32_t m_next_port = 1024;
  bool m_asking = true;
};

}  // namespace medlargauge::soak

#endif  // MEDLARGAUGE_SOAK_LOAD_GENERATOR_H_
