// @file process_network.cc Relays of datagrams and connections between
// processes.
#include "soak/process_network.h"

#include <algorithm>
#include <string>

namespace medlargauge::soak {
namespace {

/// Ports of the processes with relays, below the system's ephemeral ports.
constexpr uint16_t kFirstRelayedPort = 10000;

}  // namespace

ProcessNetwork::ProcessNetwork(EventLoop* loop, bool relays, uint64_t seed)
    : m_loop(loop), m_relays(relays), m_random(seed) {}

void ProcessNetwork::Add(uint32_t ip, bool is_agent) {
  Process process;
  process.ip = ip;
  process.is_agent = is_agent;
  m_processes.push_back(std::move(process));
}

bool ProcessNetwork::Start(SocketAddress4 store, Error* reason) {
  if (!m_relays) {
    return true;
  }
  for (Process& process : m_processes) {
    process.store_relay = std::make_unique<TcpRelay>(m_loop, store);
    if (!process.store_relay->Listen({store.ip, StorePort(process.ip)},
                                     reason)) {
      return false;
    }
    for (const Process& other : m_processes) {
      if (AreLinked(process.ip, other.ip) &&
          !StartLink(process.ip, other.ip, reason)) {
        return false;
      }
    }
  }
  return true;
}

bool ProcessNetwork::StartLink(uint32_t from, uint32_t to, Error* reason) {
  const LinkKey key{from, to};
  Link& link = m_links[key];
  const SocketAddress4 address{to, ControlPort(from)};
  if (!link.socket.Bind(address, reason)) {
    return false;
  }
  m_loop->OnReadable(link.socket.Descriptor(), [this, key] {
    m_links[key].socket.Receive(
        [this, &key](SocketAddress4, ByteSpan datagram) {
          OnDatagram(key, datagram);
        });
  });
  // A relay would accept probes for an agent that does not run, so that
  // connections to agents are refused.
  if (m_processes[IndexOf(to)].is_agent) {
    return true;
  }
  link.relay =
      std::make_unique<TcpRelay>(m_loop, SocketAddress4{to, ControlPort(to)});
  return link.relay->Listen(address, reason);
}

size_t ProcessNetwork::IndexOf(uint32_t ip) const {
  return std::find_if(m_processes.begin(), m_processes.end(),
                      [ip](const Process& p) { return p.ip == ip; }) -
         m_processes.begin();
}

uint16_t ProcessNetwork::ControlPort(uint32_t ip) const {
  return m_relays ? kFirstRelayedPort + IndexOf(ip) : kControlPort;
}

uint16_t ProcessNetwork::StorePort(uint32_t ip) const {
  return m_relays ? kFirstRelayedPort + IndexOf(ip) : kStorePort;
}

bool ProcessNetwork::AreLinked(uint32_t a, uint32_t b) const {
  return a != b && !(m_processes[IndexOf(a)].is_agent &&
                     m_processes[IndexOf(b)].is_agent);
}

void ProcessNetwork::SetLinkFault(uint32_t from,
                                  uint32_t to,
                                  const LinkFault& fault) {
  const auto link = m_links.find({from, to});
  const auto way_back = m_links.find({to, from});
  if (link == m_links.end()) {
    return;
  }
  link->second.fault = fault;
  for (const auto& either : {link, way_back}) {
    if (either->second.relay != nullptr) {
      either->second.relay->SetMode(link->second.fault.cut ||
                                            way_back->second.fault.cut
                                        ? TcpRelayMode::kSilent
                                        : TcpRelayMode::kForward);
    }
  }
}

void ProcessNetwork::SetStoreLinkMode(uint32_t ip, TcpRelayMode mode) {
  if (m_relays) {
    m_processes[IndexOf(ip)].store_relay->SetMode(mode);
  }
}

void ProcessNetwork::OnDatagram(const LinkKey& key, ByteSpan datagram) {
  const LinkFault& fault = m_links[key].fault;
  const bool is_lost =
      fault.cut ||
      (fault.loss_probability > 0 &&
       std::bernoulli_distribution(fault.loss_probability)(m_random));
  if (is_lost) {
    return;
  }
  // The receiver identifies the sender by its address.
  UdpSocket* sender = &m_links[{key.second, key.first}].socket;
  const SocketAddress4 receiver{key.second, ControlPort(key.second)};
  if (fault.delay == Duration()) {
    sender->Send(receiver, ByteView(datagram.data, datagram.size));
    return;
  }
  const Duration delay =
      Duration(static_cast<int64_t>(m_random() % (2 * fault.delay.count())));
  m_loop->After(
      delay, [sender, receiver,
              bytes = std::string(reinterpret_cast<const char*>(datagram.data),
                                  datagram.size)] {
        sender->Send(receiver,
                     ByteView(reinterpret_cast<const uint8_t*>(bytes.data()),
                              bytes.size()));
      });
}

}  // namespace medlargauge::soak
