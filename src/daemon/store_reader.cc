// @file store_reader.cc HTTP transport and polling with back-off.
#include "src/daemon/store_reader.h"

#include <httplib.h>

#include <algorithm>
#include <thread>

#include "src/core/error.h"
#include "src/core/event_log.h"
#include "src/core/hash.h"
#include "src/daemon/address.h"

namespace medlargauge {
namespace {

constexpr Duration kStoreTimeout = Seconds(1);
constexpr Duration kMaxBackoff = Seconds(5);
constexpr int kMaxDoublings = 6;
constexpr Duration kStopPollInterval = Milliseconds(50);

}  // namespace

StoreTransport MakeHttpStoreTransport(const std::string& address,
                                      Duration timeout) {
  const std::optional<HostPort> parsed = ParseHostPort(address);
  return [parsed, timeout](std::string_view path, const std::string& body) {
    StoreReply reply;
    if (!parsed.has_value()) {
      return reply;
    }
    httplib::Client client(parsed->host, parsed->port);
    const auto timeout_us =
        std::chrono::duration_cast<std::chrono::microseconds>(timeout);
    client.set_connection_timeout(timeout_us);
    client.set_read_timeout(timeout_us);
    client.set_write_timeout(timeout_us);
    const httplib::Result result =
        client.Post(std::string(path).c_str(), body, "application/json");
    if (result) {
      reply.answered = true;
      reply.status = result->status;
      reply.body = result->body;
    }
    return reply;
  };
}

Duration ReadBackoff(Duration interval, int failures, uint64_t salt) {
  const int doublings = std::min(failures, kMaxDoublings);
  const Duration max_wait = std::max(kMaxBackoff, interval);
  const Duration wait =
      std::min<Duration>(interval * (1 << doublings), max_wait);
  if (failures == 0) {
    return wait;
  }
  const uint64_t hash = MixHash(salt, static_cast<uint64_t>(failures));
  const auto half_wait = static_cast<uint64_t>(wait.count() / 2);
  return wait / 2 + Duration(static_cast<int64_t>(hash % (half_wait + 1)));
}

StoreReader::StoreReader(ControlPlane* control_plane,
                         const std::string& address,
                         Duration interval)
    : m_control_plane(control_plane),
      m_store(MakeHttpStoreTransport(address, kStoreTimeout)),
      m_interval(interval) {}

void StoreReader::Run(const std::atomic<bool>& is_stopping) {
  int failures = 0;
  TimePoint next_read;
  while (!is_stopping) {
    std::this_thread::sleep_for(kStopPollInterval);
    if (SteadyNow() < next_read || !m_control_plane->IsStoreReader()) {
      continue;
    }
    failures = ReadOnce() ? 0 : failures + 1;
    next_read = SteadyNow() + ReadBackoff(m_interval, failures,
                                          m_control_plane->Self().value);
  }
}

bool StoreReader::ReadOnce() {
  Error reason;
  ++m_calls;
  const std::optional<TargetReadResult> read =
      m_store.Read(m_next_revision, &reason);
  if (!read.has_value()) {
    EventLine(Severity::kWarning, "store_read_failed")
        .With("kind", Describe(reason.kind).text)
        .With("reason", reason.detail);
    return false;
  }
  for (const std::string& key : read->malformed) {
    EventLine(Severity::kError, "target_refused").With("key", key);
  }
  std::vector<ClassTarget> targets;
  for (const StoredTarget& stored : read->targets) {
    targets.push_back(stored.target);
    EventLine(Severity::kInfo, "target_read")
        .With("class", stored.target.name)
        .With("revision", stored.target.revision);
  }
  m_control_plane->MergeTargets(targets);
  m_next_revision = std::max(m_next_revision, read->store_revision + 1);
  return true;
}

}  // namespace medlargauge
