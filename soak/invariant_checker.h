// @file invariant_checker.h What must hold, checked while the soak runs.
#ifndef MEDLARGAUGE_SOAK_INVARIANT_CHECKER_H_
#define MEDLARGAUGE_SOAK_INVARIANT_CHECKER_H_

#include <map>
#include <string>
#include <unordered_map>
#include <vector>

#include "platform/standin/server_standin.h"
#include "soak/process_supervisor.h"
#include "soak/soak_type.h"

namespace medlargauge::soak {

using platform::standin::ServerStandin;

/// How requests ended.
struct Outcome {
  uint64_t asked = 0;
  uint64_t served = 0;
  uint64_t failed = 0;
};

/// Learns of everything that happens and counts broken promises. Not
/// thread-safe.
class Referee {
 public:
  Referee(const std::vector<WorkClass>* classes, Processes* processes)
      : m_classes(classes), m_processes(processes), m_began(SteadyTime()) {}

  /// A promise was broken.
  void Report(const std::string& text);

  /// See ServerHooks.
  void OnAccepted(const FlowKey& flow, bool left);
  void OnPacket(ServerStandin* server, const FlowKey& flow, bool held);
  void OnRun(const ServerStandin& server,
             const FlowKey& flow,
             uint64_t request);

  /// A caller got a reset of an open flow that no server sent.
  void OnReset(const FlowKey& flow);
  /// A caller has no more interest in a flow.
  void OnFlowEnded(const FlowKey& flow) { m_flows.erase(flow); }
  /// A caller got an answer that is not what it asked for.
  void OnBadAnswer(const FlowKey& flow, uint64_t request);
  /// A request was asked at `asked` and has ended.
  void OnRequestEnded(TimePoint asked, bool served);

  /// The operators' newest target was accepted; `well`: the store serves.
  void OnTarget(TimePoint now, uint64_t revision);
  /// The store's mood has changed.
  void OnStoreMood(TimePoint now, bool well);
  /// A balancer has this revision in force; `used`: it is in rotation.
  void OnInForce(TimePoint now,
                 const Daemon& balancer,
                 uint64_t revision,
                 bool used);

  /// Returns the requests that were asked in a time.
  Outcome Between(TimePoint begin, TimePoint end) const;
  /// Returns the broken promises in words.
  const std::vector<std::string>& Broken() const { return m_broken; }
  /// Returns the number of broken promises.
  size_t Count() const { return m_count; }

 private:
  struct Flow {
    ServerStandin* owner = nullptr;
    uint32_t astray = 0;
    TimePoint astray_since;
  };

  bool IsExcused(TimePoint now, const ServerStandin& server) const;

  const std::vector<WorkClass>* m_classes;  ///< By route.
  Processes* m_processes;                   ///< For excuses.
  TimePoint m_began;                        ///< Start.
  std::unordered_map<FlowKey, Flow, FlowKeyHash> m_flows;
  std::unordered_map<uint64_t, uint32_t> m_runs;  ///< By request.
  std::map<int64_t, Outcome> m_seconds;           ///< By second asked.
  uint64_t m_target = 0;                          ///< Newest accepted.
  TimePoint m_target_due;     ///< To be in force everywhere by then.
  bool m_store_well = true;   ///< It serves now.
  TimePoint m_store_changed;  ///< Since then.
  uint64_t m_highest = 0;     ///< Newest in force anywhere.
  TimePoint m_highest_due;    ///< To be in force everywhere by then.
  std::map<std::pair<uint32_t, uint64_t>, uint64_t> m_in_force;  ///< By start.
  std::vector<std::string> m_broken;
  size_t m_count = 0;
};

}  // namespace medlargauge::soak

#endif  // MEDLARGAUGE_SOAK_INVARIANT_CHECKER_H_
