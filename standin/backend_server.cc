// @file backend_server.cc Backend server that exchanges single TCP segments or
// UDP datagrams with callers, without a TCP stack.
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

constexpr int kReceiveTimeoutMs = 50;
constexpr uint32_t kAnswerPartBytes = 1000;

/// A connection that a caller has opened.
struct ServerConnection {
  uint32_t initial_sequence = 0;  ///< Sequence number of the SYN.
  bool closed = false;            ///< True after a FIN or RST.
};

/// Counts of one backend server, all but `open` since the start.
struct BackendServerCounts {
  uint64_t accepted = 0;       ///< Accepted connections and UDP flows.
  uint64_t executed = 0;       ///< Executed requests.
  uint64_t cross_service = 0;  ///< Requests for another service.
  uint64_t resets = 0;         ///< Resets sent for unknown connections.
  uint64_t open = 0;           ///< TCP connections open now.
};

/// A backend server. Packets and HTTP requests run on separate threads.
class BackendServer {
 public:
  explicit BackendServer(const BackendServerOptions& options)
      : m_options(options) {}

  int Run() {
    const std::optional<HostPort> caller_address =
        ParseHostPort(m_options.caller);
    if (!caller_address.has_value() || !m_socket.Bind(m_options.listen)) {
      std::cerr << "backend: invalid --caller or unusable --listen address\n";
      return 1;
    }
    m_caller_address = ToSocketAddress(*caller_address);
    httplib::Server http;
    AddHttpHandlers(&http);
    const std::optional<HostPort> load_address =
        ParseHostPort(m_options.load_listen);
    if (!load_address.has_value() ||
        !http.bind_to_port(load_address->host.c_str(), load_address->port)) {
      std::cerr << "backend: cannot bind --load_listen address\n";
      return 1;
    }
    std::thread http_thread([&http] { http.listen_after_bind(); });
    while (!IsStopRequested()) {
      m_socket.ReceiveBatch(kReceiveTimeoutMs, [this](ByteView datagram) {
        const std::lock_guard<std::mutex> lock(m_mutex);
        OnDatagram(datagram);
      });
    }
    http.stop();
    http_thread.join();
    ReportResults();
    return 0;
  }

 private:
  /// Prints the statistics and writes the ids of the executed requests, one a
  /// line. The files of all servers show requests that were executed twice.
  void ReportResults() const {
    std::cout << MakeStats().dump() << std::endl;
    if (m_options.executed_file.empty()) {
      return;
    }
    std::ofstream file(m_options.executed_file);
    for (const uint64_t id : m_executed_requests) {
      file << id << "\n";
    }
  }

  nlohmann::json MakeStats() const {
    return {{"accepted", m_counts.accepted},
            {"executed", m_counts.executed},
            {"cross_service", m_counts.cross_service},
            {"resets", m_counts.resets},
            {"open", m_counts.open}};
  }

  void AddHttpHandlers(httplib::Server* http) {
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
                response.set_content(MakeStats().dump(), "application/json");
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
      HandleUdpPacket(*packet);
    } else {
      HandleTcpSegment(*packet);
    }
  }

  void HandleUdpPacket(const PacketInfo& packet) {
    const auto request = ParseWorkMessage<WorkRequest>(packet.payload);
    if (!request.has_value()) {
      return;
    }
    if (m_connections.count(packet.flow) == 0) {
      m_connections[packet.flow] = ServerConnection();
      ++m_counts.accepted;
    }
    ExecuteRequest(packet, *request);
  }

  void HandleTcpSegment(const PacketInfo& packet) {
    if (packet.syn) {
      AcceptConnection(packet);
      return;
    }
    const auto connection = m_connections.find(packet.flow);
    const bool is_known =
        connection != m_connections.end() &&
        packet.sequence - connection->second.initial_sequence < kSequenceWindow;
    if (!is_known) {
      if (!packet.rst) {
        ++m_counts.resets;
        const std::vector<uint8_t> reset = BuildReset(packet);
        m_socket.SendGuePacket(m_caller_address, {reset.data(), reset.size()});
      }
      return;
    }
    if (packet.fin || packet.rst) {
      CloseConnection(packet, &connection->second);
      return;
    }
    const auto request = ParseWorkMessage<WorkRequest>(packet.payload);
    if (request.has_value()) {
      ExecuteRequest(packet, *request);
    }
  }

  void AcceptConnection(const PacketInfo& packet) {
    ServerConnection& connection = m_connections[packet.flow];
    const bool repeated = connection.initial_sequence == packet.sequence &&
                          !connection.closed && packet.sequence != 0;
    if (!repeated) {
      const bool was_open =
          connection.initial_sequence != 0 && !connection.closed;
      m_counts.open += was_open ? 0 : 1;
      ++m_counts.accepted;
      connection = ServerConnection{packet.sequence, false};
    }
    PacketInfo answer = MakeAnswer(packet);
    answer.syn = true;
    answer.ack = true;
    answer.acknowledged = packet.sequence + 1;
    SendToCaller(answer);
  }

  void CloseConnection(const PacketInfo& packet, ServerConnection* connection) {
    m_counts.open -= connection->closed ? 0 : 1;
    connection->closed = true;
    PacketInfo answer = MakeAnswer(packet);
    answer.fin = true;
    answer.ack = true;
    answer.acknowledged = packet.sequence + 1;
    SendToCaller(answer);
  }

  void ExecuteRequest(const PacketInfo& packet, const WorkRequest& request) {
    if (request.service != ServiceIdOf(m_options.service).value) {
      ++m_counts.cross_service;
      return;
    }
    // A repeated request is not executed again but gets the same answer.
    m_counts.executed += m_executed_requests.insert(request.id).second ? 1 : 0;
    uint32_t offset = 0;
    do {
      const uint32_t part_size =
          std::min(kAnswerPartBytes, request.answer_bytes - offset);
      WorkAnswerPart header{request.id, offset, request.answer_bytes};
      std::vector<uint8_t> payload = SerializeWorkMessage(header, part_size);
      for (uint32_t i = 0; i < part_size; ++i) {
        payload[sizeof(header) + i] = ComputeAnswerByte(request.id, offset + i);
      }
      PacketInfo answer = MakeAnswer(packet);
      answer.ack = true;
      answer.acknowledged = packet.sequence + 1;
      answer.payload = ByteView(payload.data(), payload.size());
      SendToCaller(answer);
      offset += part_size;
    } while (offset < request.answer_bytes);
  }

  static PacketInfo MakeAnswer(const PacketInfo& packet) {
    PacketInfo answer;
    answer.tuple = packet.tuple;
    std::swap(answer.tuple.source, answer.tuple.destination);
    std::swap(answer.tuple.source_port, answer.tuple.destination_port);
    return answer;
  }

  void SendToCaller(const PacketInfo& answer) {
    const std::vector<uint8_t> bytes = BuildPacket(answer);
    m_socket.SendGuePacket(m_caller_address, {bytes.data(), bytes.size()});
  }

  /// Sequence numbers up to this far after the SYN belong to its connection;
  /// others belong to an earlier connection of the same five-tuple.
  static constexpr uint32_t kSequenceWindow = 1U << 20U;

  BackendServerOptions m_options;  ///< Options from the command line.
  DatagramSocket m_socket;         ///< Receives packets and sends answers.
  sockaddr_in m_caller_address{};  ///< Destination of answers.
  std::mutex m_mutex;              ///< Protects the members below.
  std::map<FlowId, ServerConnection> m_connections;  ///< Connections by flow.
  std::set<uint64_t> m_executed_requests;  ///< Ids of executed requests.
  BackendServerCounts m_counts;            ///< Counts for /load and /stats.
  bool m_shedding = false;                 ///< Set through POST /set.
  bool m_draining = false;                 ///< Set through POST /set.
};

}  // namespace

int RunBackendServer(const BackendServerOptions& options) {
  return BackendServer(options).Run();
}

}  // namespace medlargauge
