// @file target_fleet_test.cc Tests of how soon a change of the targets reaches
// the balancers of a fleet while some are cut off from the store.
#include <doctest/doctest.h>

#include <algorithm>
#include <memory>
#include <random>
#include <vector>

#include "src/forwarding/member_fixture.h"
#include "src/forwarding/status_schedule.h"
#include "src/forwarding/target_reader.h"

namespace medlargauge {
namespace {

constexpr Duration kStep = Milliseconds(10);
constexpr Duration kTick = Milliseconds(100);
constexpr Duration kReadTimeout = Milliseconds(900);
constexpr Duration kWatchGrace = Milliseconds(600);
/// The operators' bound for a change to be in force.
constexpr Duration kApplyBound = Milliseconds(3000);
constexpr uint64_t kFirstRevision = 5;

/// A call that has not ended.
struct Call {
  bool is_under_way = false;
  TimePoint started;
  Duration wait;            ///< Of a watch.
  bool is_overdue = false;  ///< Made because the targets may be too old.
};

struct Balancer {
  MemberId id;
  MembershipTable members;
  TargetReader reader;
  StatusSchedule schedule;
  uint64_t revision = 0;
  bool reaches_store = true;
  bool is_old_build = false;  ///< States contact whether it has any or not.
  TimePoint next_tick;
  uint32_t sequence = 0;
  Call read;
  Call watch;
};

/// Balancers that hear each other and one store. Calls of a balancer that is
/// cut off end without an answer, those under way included.
class TargetFleet {
 public:
  explicit TargetFleet(uint64_t size, Duration apply_bound = kApplyBound) {
    TargetReaderLimits limits;
    limits.apply_bound = apply_bound;
    for (uint64_t id = 1; id <= size; ++id) {
      m_balancers.push_back(std::make_unique<Balancer>(
          Balancer{MemberId{id},
                   MembershipTable(MemberId{id}, MembershipTimeouts()),
                   TargetReader(m_now, id, limits),
                   StatusSchedule(MemberRole::kBalancer, kTick, id),
                   0,
                   true,
                   false,
                   m_now + Milliseconds(static_cast<int64_t>(id * 37 % 100)),
                   0,
                   {},
                   {}}));
    }
    for (const auto& balancer : m_balancers) {
      Broadcast(*balancer);
    }
  }

  void RunFor(Duration time) {
    for (const TimePoint end = m_now + time; m_now < end; m_now += kStep) {
      for (const auto& balancer : m_balancers) {
        EndCalls(balancer.get());
        if (m_now >= balancer->next_tick) {
          balancer->next_tick += kTick;
          SendDueStatuses(balancer.get());
          StartCall(balancer.get());
        }
      }
    }
  }

  void SetReach(size_t index, bool reaches) {
    m_balancers[index]->reaches_store = reaches;
  }
  void SetOldBuild(size_t index) { m_balancers[index]->is_old_build = true; }
  void ChangeTargets() { ++m_store_revision; }
  /// Returns the number of balancers that reach the store and lack the newest
  /// targets.
  size_t CountLate() const {
    return static_cast<size_t>(std::count_if(
        m_balancers.begin(), m_balancers.end(), [this](const auto& balancer) {
          return balancer->reaches_store &&
                 balancer->revision != m_store_revision;
        }));
  }
  /// Returns the number of calls that reached the store.
  size_t Calls() const { return m_calls; }

 private:
  static TargetIdentity Held(const Balancer& balancer) {
    return {{0, balancer.revision}, 0};
  }

  proto::PeerStatus StatusOf(Balancer* balancer) {
    proto::PeerStatus status = member_fixture::MakeStatus(
        m_now, balancer->id.value, MemberRole::kBalancer, ++balancer->sequence);
    status.mutable_self()->set_revision(balancer->revision);
    status.set_members(static_cast<uint32_t>(m_balancers.size()) - 1);
    status.set_store_failing(balancer->reader.IsFailing());
    const TimePoint current_as_of =
        balancer->reader.CurrentAsOf(balancer->members, Held(*balancer));
    if (current_as_of != TimePoint()) {
      status.set_checked_ms(
          static_cast<uint32_t>(ToMilliseconds(m_now - current_as_of)) + 1);
    }
    if (balancer->is_old_build) {
      status.set_protocol(2);
      status.set_checked_ms(1);
    }
    return status;
  }

  void Broadcast(Balancer& sender) {
    const proto::PeerStatus status = StatusOf(&sender);
    for (const auto& receiver : m_balancers) {
      Deliver(status, receiver.get());
    }
  }

  void Deliver(const proto::PeerStatus& status, Balancer* receiver) {
    if (MemberId{status.self().id()} == receiver->id) {
      return;
    }
    receiver->members.OnStatus(m_now, status);
    receiver->schedule.Add(m_now, MemberId{status.self().id()},
                           m_balancers.size() - 1);
    // A balancer that is behind fetches the targets of the sender.
    receiver->revision =
        std::max<uint64_t>(receiver->revision, status.self().revision());
  }

  void SendDueStatuses(Balancer* sender) {
    for (const MemberId id :
         sender->schedule.TakeDue(m_now, m_balancers.size() - 1)) {
      Deliver(StatusOf(sender), m_balancers[id.value - 1].get());
    }
  }

  void StartCall(Balancer* balancer) {
    const ReadAction action = balancer->reader.Next(
        m_now, balancer->id, balancer->members, Held(*balancer));
    if (action == ReadAction::kNothing) {
      return;
    }
    m_calls += balancer->reaches_store ? 1 : 0;
    Call& call = action == ReadAction::kRead ? balancer->read : balancer->watch;
    call = {true, m_now, balancer->reader.WatchTimeout(),
            balancer->reader.Reading().is_overdue};
  }

  void EndCalls(Balancer* balancer) {
    const bool answers = balancer->reaches_store;
    const StoreResult result =
        answers ? StoreResult::kOk : StoreResult::kNoAnswer;
    if (balancer->read.is_under_way &&
        (answers || m_now >= balancer->read.started + kReadTimeout)) {
      balancer->read.is_under_way = false;
      const bool has_changed = Adopt(balancer, answers);
      balancer->reader.OnRead(m_now, result, answers ? m_store_revision : 0);
      if (!answers || (balancer->read.is_overdue && !has_changed)) {
        Broadcast(*balancer);
      }
    }
    const TimePoint watch_end = balancer->watch.started + balancer->watch.wait;
    const bool has_event =
        balancer->reader.Position() < m_store_revision || m_now >= watch_end;
    if (balancer->watch.is_under_way &&
        (answers ? has_event : m_now >= watch_end + kWatchGrace)) {
      balancer->watch.is_under_way = false;
      Adopt(balancer, answers);
      balancer->reader.OnWatch(m_now, result, m_store_revision);
      if (!answers) {
        Broadcast(*balancer);
      }
    }
  }

  /// Puts the newest targets in force. @return whether they are others
  bool Adopt(Balancer* balancer, bool has_answer) {
    const bool has_changed =
        has_answer && balancer->revision != m_store_revision;
    if (has_changed) {
      balancer->revision = m_store_revision;
      Broadcast(*balancer);
    }
    return has_changed;
  }

  TimePoint m_now{Seconds(100)};
  uint64_t m_store_revision = kFirstRevision;
  size_t m_calls = 0;
  std::vector<std::unique_ptr<Balancer>> m_balancers;
};

/// Cuts off all but a few balancers, changes the targets and returns how many
/// of the others lack them after the operators' bound.
size_t CountLateAfterCut(uint64_t size,
                         uint64_t staying,
                         uint64_t seed,
                         Duration apply_bound = kApplyBound) {
  std::mt19937_64 random(seed);
  TargetFleet fleet(size, apply_bound);
  fleet.RunFor(Seconds(8) +
               Milliseconds(static_cast<int64_t>(random() % 6000)));
  std::vector<size_t> order(size);
  for (size_t i = 0; i < size; ++i) {
    order[i] = i;
  }
  std::shuffle(order.begin(), order.end(), random);
  for (size_t i = staying; i < size; ++i) {
    fleet.SetReach(order[i], false);
  }
  fleet.RunFor(Milliseconds(static_cast<int64_t>(random() % 1500)));
  fleet.ChangeTargets();
  fleet.RunFor(apply_bound);
  return fleet.CountLate();
}

TEST_CASE(
    "a balancer relied for the targets on others cut off from the store") {
  for (const uint64_t size : {2, 6, 10}) {
    for (uint64_t seed = 1; seed <= 40; ++seed) {
      CAPTURE(size);
      CAPTURE(seed);
      CHECK(CountLateAfterCut(size, 1, seed) == 0);
    }
  }
}

TEST_CASE("a balancer relied on older builds, which count a call as contact") {
  for (uint64_t seed = 1; seed <= 40; ++seed) {
    CAPTURE(seed);
    std::mt19937_64 random(seed);
    TargetFleet fleet(6);
    for (const size_t index : {1, 2, 3}) {
      fleet.SetOldBuild(index);
    }
    fleet.RunFor(Seconds(8) +
                 Milliseconds(static_cast<int64_t>(random() % 6000)));
    for (size_t index = 1; index < 6; ++index) {
      fleet.SetReach(index, false);
    }
    fleet.RunFor(Milliseconds(static_cast<int64_t>(random() % 1500)));
    fleet.ChangeTargets();
    fleet.RunFor(kApplyBound);
    CHECK(fleet.CountLate() == 0);
  }
}

TEST_CASE("checks of the store cost more calls the larger the fleet is") {
  for (const uint64_t size : {1, 2, 6, 10, 40, 120}) {
    TargetFleet fleet(size);
    fleet.RunFor(Seconds(10));
    const size_t before = fleet.Calls();
    fleet.RunFor(Seconds(30));
    MESSAGE(size << " balancers, calls in 30 s: " << fleet.Calls() - before);
    const auto checks =
        static_cast<size_t>(Seconds(30) / TargetReaderLimits().CheckInterval());
    CHECK(fleet.Calls() - before <= checks * 5 / 4);
  }
}

TEST_CASE("reads did not follow the bound that the operators state") {
  for (const Duration bound : {Seconds(2), Seconds(5), Seconds(10)}) {
    for (uint64_t seed = 1; seed <= 20; ++seed) {
      CAPTURE(ToMilliseconds(bound));
      CAPTURE(seed);
      CHECK(CountLateAfterCut(6, 1, seed, bound) == 0);
    }
    TargetFleet fleet(6, bound);
    fleet.RunFor(Seconds(10));
    const size_t before = fleet.Calls();
    fleet.RunFor(3 * bound);
    CHECK(fleet.Calls() - before <= 13);  // A check every 0.3 of the bound.
  }
}

}  // namespace
}  // namespace medlargauge
