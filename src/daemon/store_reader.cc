// @file store_reader.cc Polling with backoff.
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

constexpr Duration kReadTimeout = Seconds(1);
constexpr Duration kMaxBackoff = Seconds(5);
constexpr int kMaxDoublings = 6;
constexpr Duration kStopCheck = Milliseconds(50);

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
    const auto limit =
        std::chrono::duration_cast<std::chrono::microseconds>(timeout);
    client.set_connection_timeout(limit);
    client.set_read_timeout(limit);
    client.set_write_timeout(limit);
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
  const Duration longest = std::max(kMaxBackoff, interval);
  const Duration wait =
      std::min<Duration>(interval * (1 << doublings), longest);
  if (failures == 0) {
    return wait;
  }
  const uint64_t hash = MixHash(salt, static_cast<uint64_t>(failures));
  const auto half = static_cast<uint64_t>(wait.count() / 2);
  return wait / 2 + Duration(static_cast<int64_t>(hash % (half + 1)));
}

StoreReader::StoreReader(ControlPlane* node,
                         const std::string& address,
                         Duration interval)
    : m_node(node),
      m_store(MakeHttpStoreTransport(address, kReadTimeout)),
      m_interval(interval) {}

void StoreReader::Run(const std::atomic<bool>& stopping) {
  int failures = 0;
  TimePoint next;
  while (!stopping) {
    std::this_thread::sleep_for(kStopCheck);
    if (SteadyNow() < next || !m_node->IsStoreReader()) {
      continue;
    }
    failures = ReadOnce() ? 0 : failures + 1;
    next =
        SteadyNow() + ReadBackoff(m_interval, failures, m_node->Self().value);
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
  m_node->MergeTargets(targets);
  m_next_revision = std::max(m_next_revision, read->store_revision + 1);
  return true;
}

}  // namespace medlargauge
