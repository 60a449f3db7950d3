// @file backend_server.cc A backend server with TCP-shaped segments and UDP.
#include <httplib.h>

#include <algorithm>
#include <fstream>
#include <iostream>
#include <map>
#include <mutex>
#include <nlohmann/json.hpp>
#include <set>
#include <thread>

#include "src/core/hash.h"
#include "src/daemon/address.h"
#include "src/packet/envelope.h"
#include "src/packet/packet.h"
#include "standin/datagram_socket.h"
#include "standin/standin.h"
#include "standin/stop_flag.h"
#include "standin/work_message.h"

namespace medlargauge {
namespace {

constexpr int kWaitMs = 50;
constexpr uint32_t kPartSize = 1000;

/// One connection of a caller.
struct BackendConnection {
  uint32_t initial_sequence = 0;  ///< Of the SYN.
  bool closed = false;            ///< FIN or RST was seen.
};

/// What the server counts.
struct BackendCounts {
  uint64_t accepted = 0;       ///< Connections.
  uint64_t executed = 0;       ///< Requests run.
  uint64_t cross_service = 0;  ///< Requests of another service.
  uint64_t resets = 0;         ///< Segments of unknown connections.
  uint64_t open = 0;           ///< Open connections.
};

/// One backend server.
class Backend {
 public:
  explicit Backend(const BackendOptions& options) : m_options(options) {}

  int Run() {
    const std::optional<HostPort> caller = ParseHostPort(m_options.caller);
    if (!caller.has_value() || !m_socket.Bind(m_options.listen)) {
      std::cerr << "backend: bad address\n";
      return 1;
    }
    m_caller = ToSocketAddress(*caller);
    httplib::Server http;
    ServeLoad(&http);
    const std::optional<HostPort> load = ParseHostPort(m_options.load_listen);
    if (!load.has_value() ||
        !http.bind_to_port(load->host.c_str(), load->port)) {
      std::cerr << "backend: cannot bind load address\n";
      return 1;
    }
    std::thread http_thread([&http] { http.listen_after_bind(); });
    while (!IsStopRequested()) {
      m_socket.Receive(kWaitMs, [this](ByteView datagram) {
        const std::lock_guard<std::mutex> lock(m_mutex);
        OnDatagram(datagram);
      });
    }
    http.stop();
    http_thread.join();
    WriteExecuted();
    return 0;
  }

 private:
  /// Lists the requests that ran here, one id a line, to compare servers.
  void WriteExecuted() const {
    std::cout << Stats().dump() << std::endl;
    if (m_options.executed_file.empty()) {
      return;
    }
    std::ofstream file(m_options.executed_file);
    for (const uint64_t id : m_executed) {
      file << id << "\n";
    }
  }

  nlohmann::json Stats() const {
    return {{"accepted", m_counts.accepted},
            {"executed", m_counts.executed},
            {"cross_service", m_counts.cross_service},
            {"resets", m_counts.resets},
            {"open", m_counts.open}};
  }

  void ServeLoad(httplib::Server* http) {
    http->Get("/load",
              [this](const httplib::Request&, httplib::Response& response) {
                const std::lock_guard<std::mutex> lock(m_mutex);
                const nlohmann::json body = {{"open", m_counts.open},
                                             {"shedding", m_shedding},
                                             {"draining", m_draining}};
                response.set_content(body.dump(), "application/json");
              });
    http->Get("/stats",
              [this](const httplib::Request&, httplib::Response& response) {
                const std::lock_guard<std::mutex> lock(m_mutex);
                response.set_content(Stats().dump(), "application/json");
              });
    http->Post("/set",
               [this](const httplib::Request& request, httplib::Response&) {
                 const std::lock_guard<std::mutex> lock(m_mutex);
                 m_shedding = request.get_param_value("shedding") == "1";
                 m_draining = request.get_param_value("draining") == "1";
               });
  }

  void OnDatagram(ByteView datagram) {
    const std::optional<GueDatagram> gue = ParseGue(datagram, nullptr);
    const std::optional<PacketInfo> packet =
        gue.has_value() ? ParsePacket(gue->packet, nullptr) : std::nullopt;
    if (!packet.has_value()) {
      return;
    }
    if (packet->tuple.transport == Transport::kUdp) {
      OnUdp(*packet);
    } else {
      OnTcp(*packet);
    }
  }

  void OnUdp(const PacketInfo& packet) {
    const auto request = FromBytes<WorkRequest>(packet.payload);
    if (!request.has_value()) {
      return;
    }
    if (m_connections.count(packet.flow) == 0) {
      m_connections[packet.flow] = BackendConnection();
      ++m_counts.accepted;
    }
    Execute(packet, *request);
  }

  void OnTcp(const PacketInfo& packet) {
    if (packet.syn) {
      Accept(packet);
      return;
    }
    const auto found = m_connections.find(packet.flow);
    const bool known =
        found != m_connections.end() &&
        packet.sequence - found->second.initial_sequence < kWindow;
    if (!known) {
      if (!packet.rst) {
        ++m_counts.resets;
        const std::vector<uint8_t> reset = BuildReset(packet);
        m_socket.SendPacket(m_caller, {reset.data(), reset.size()});
      }
      return;
    }
    if (packet.fin || packet.rst) {
      Close(packet, &found->second);
      return;
    }
    const auto request = FromBytes<WorkRequest>(packet.payload);
    if (request.has_value()) {
      Execute(packet, *request);
    }
  }

  void Accept(const PacketInfo& packet) {
    BackendConnection& connection = m_connections[packet.flow];
    const bool repeated = connection.initial_sequence == packet.sequence &&
                          !connection.closed && packet.sequence != 0;
    if (!repeated) {
      const bool was_open =
          connection.initial_sequence != 0 && !connection.closed;
      m_counts.open += was_open ? 0 : 1;
      ++m_counts.accepted;
      connection = BackendConnection{packet.sequence, false};
    }
    PacketInfo answer = AnswerTo(packet);
    answer.syn = true;
    answer.ack = true;
    answer.acknowledged = packet.sequence + 1;
    Send(answer);
  }

  void Close(const PacketInfo& packet, BackendConnection* connection) {
    m_counts.open -= connection->closed ? 0 : 1;
    connection->closed = true;
    PacketInfo answer = AnswerTo(packet);
    answer.fin = true;
    answer.ack = true;
    answer.acknowledged = packet.sequence + 1;
    Send(answer);
  }

  void Execute(const PacketInfo& packet, const WorkRequest& request) {
    if (request.service != ServiceIdOf(m_options.service).value) {
      ++m_counts.cross_service;
      return;
    }
    // A repeated segment of the same request gets the same answer again.
    m_counts.executed += m_executed.insert(request.id).second ? 1 : 0;
    uint32_t offset = 0;
    do {
      const uint32_t size = std::min(kPartSize, request.answer_bytes - offset);
      WorkAnswer part{request.id, offset, request.answer_bytes};
      std::vector<uint8_t> payload = ToBytes(part, size);
      for (uint32_t i = 0; i < size; ++i) {
        payload[sizeof(part) + i] = AnswerByte(request.id, offset + i);
      }
      PacketInfo answer = AnswerTo(packet);
      answer.ack = true;
      answer.acknowledged = packet.sequence + 1;
      answer.payload = ByteView(payload.data(), payload.size());
      Send(answer);
      offset += size;
    } while (offset < request.answer_bytes);
  }

  static PacketInfo AnswerTo(const PacketInfo& packet) {
    PacketInfo answer;
    answer.tuple = packet.tuple;
    std::swap(answer.tuple.source, answer.tuple.destination);
    std::swap(answer.tuple.source_port, answer.tuple.destination_port);
    return answer;
  }

  void Send(const PacketInfo& answer) {
    const std::vector<uint8_t> bytes = BuildPacket(answer);
    m_socket.SendPacket(m_caller, {bytes.data(), bytes.size()});
  }

  static constexpr uint32_t kWindow = 1U << 20U;

  BackendOptions m_options;  ///< As given.
  DatagramSocket m_socket;   ///< Packets in, answers out.
  sockaddr_in m_caller{};    ///< Where answers go.
  std::mutex m_mutex;        ///< Protects all below.
  std::map<FlowId, BackendConnection> m_connections;  ///< By flow.
  std::set<uint64_t> m_executed;                      ///< Requests run.
  BackendCounts m_counts;                             ///< For /load and /stats.
  bool m_shedding = false;                            ///< As set through /set.
  bool m_draining = false;                            ///< As set through /set.
};

}  // namespace

int RunBackend(const BackendOptions& options) {
  return Backend(options).Run();
}

}  // namespace medlargauge
