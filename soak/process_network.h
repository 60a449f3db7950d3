// @file process_network.h Relays what the processes send to each other and to
// the store, and can cut, delay and lose it.
#ifndef MEDLARGAUGE_SOAK_PROCESS_NETWORK_H_
#define MEDLARGAUGE_SOAK_PROCESS_NETWORK_H_

#include <map>
#include <memory>
#include <random>
#include <vector>

#include "soak/soak_type.h"
#include "soak/tcp_relay.h"
#include "src/runtime/udp_socket.h"

namespace medlargauge::soak {

/// What is wrong with the way from one process to another.
struct LinkFault {
  bool cut = false;             ///< Nothing arrives.
  double loss_probability = 0;  ///< Of each datagram, from 0 to 1.
  Duration delay{};             ///< Mean delay of datagrams; each differs.
};

/// The network between the processes. A process sends datagrams, and opens
/// connections, to the address of the receiver at its own port. So each process
/// gets a port of its own, and this object listens at the address of each
/// process at the ports of all others. Not thread-safe.
class ProcessNetwork {
 public:
  /// @param loop owned by the caller; must outlive this object
  /// @param store address of the store
  /// @param relays whether to relay at all. Without relays all processes use
  ///     the same port and no link can have a fault.
  /// @param seed seed of losses and delays
  ProcessNetwork(EventLoop* loop, bool relays, uint64_t seed);

  /// Adds a process. Precondition: Start was not called.
  void Add(uint32_t ip, bool is_agent);
  /// Starts the relays. @return false with kIo if an address cannot be bound
  bool Start(SocketAddress4 store, Error* reason);

  /// Returns the port of a process for the other processes. Precondition: the
  /// process was added; likewise below.
  uint16_t ControlPort(uint32_t ip) const;
  /// Returns the port at the address of the store through which a process
  /// reaches it.
  uint16_t StorePort(uint32_t ip) const;

  /// Returns whether two processes exchange messages; agents do not.
  bool AreLinked(uint32_t a, uint32_t b) const;
  /// Sets the fault of the way from one process to another. A cut connection
  /// stays silent in both directions. No effect without relays.
  void SetLinkFault(uint32_t from, uint32_t to, const LinkFault& fault);
  /// Sets what happens to the connections of a process to the store. No effect
  /// without relays.
  void SetStoreLinkMode(uint32_t ip, TcpRelayMode mode);

 private:
  struct Process {
    uint32_t ip = 0;
    bool is_agent = false;
    std::unique_ptr<TcpRelay> store_relay;  ///< Null without relays.
  };
  /// The way from one process to another.
  struct Link {
    LinkFault fault;
    /// Bound to the receiver's address at the sender's port; sends what the
    /// receiver sends to the sender.
    UdpSocket socket;
    std::unique_ptr<TcpRelay> relay;  ///< Null unless both are balancers.
  };
  using LinkKey = std::pair<uint32_t, uint32_t>;  ///< Sender and receiver.

  size_t IndexOf(uint32_t ip) const;
  bool StartLink(uint32_t from, uint32_t to, Error* reason);
  void OnDatagram(const LinkKey& key, ByteSpan datagram);

  EventLoop* m_loop;                 ///< Runs all sockets.
  bool m_relays;                     ///< See the constructor.
  std::mt19937_64 m_random;          ///< Draws losses and delays.
  std::vector<Process> m_processes;  ///< In the order of Add.
  std::map<LinkKey, Link> m_links;   ///< Empty without relays.
};

}  // namespace medlargauge::soak

#endif  // MEDLARGAUGE_SOAK_PROCESS_NETWORK_H_
