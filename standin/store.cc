// @file store.cc Key-value store with compare-and-swap and fault injection.
//
// Serves the subset of the etcd version 3 JSON interface that the daemon uses:
// POST /v3/kv/range and /v3/kv/txn. POST /faults sets the injected faults, and
// GET /calls returns the number of calls.
#include <absl/strings/escaping.h>
#include <httplib.h>

#include <atomic>
#include <chrono>
#include <iostream>
#include <map>
#include <mutex>
#include <nlohmann/json.hpp>
#include <thread>

#include "src/daemon/address.h"
#include "standin/standin.h"
#include "standin/stop_flag.h"

namespace medlargauge {
namespace {

using nlohmann::json;

constexpr std::chrono::milliseconds kStopPollInterval{50};
constexpr int kStatusBadRequest = 400;
constexpr int kStatusUnavailable = 503;
constexpr size_t kMaxValueBytes = 1024 * 1024;

/// Value and revision of one key.
struct StoreEntry {
  std::string value;          ///< Decoded bytes.
  uint64_t mod_revision = 0;  ///< Store revision of the last write.
};

std::string DecodeBase64Field(const json& object, const char* key) {
  std::string bytes;
  absl::Base64Unescape(object.value(key, ""), &bytes);
  return bytes;
}

/// Keys of the store and the injected faults. The handlers must be called
/// with `mutex` held.
class Store {
 public:
  /// Returns the entries from `key` up to `range_end`, or just that of `key`,
  /// which were last written at or after `min_mod_revision`.
  json HandleRange(const json& request) {
    const std::string key = DecodeBase64Field(request, "key");
    const std::string range_end = DecodeBase64Field(request, "range_end");
    const uint64_t min_revision = std::strtoull(
        request.value("min_mod_revision", "0").c_str(), nullptr, 10);
    json pairs = json::array();
    for (auto entry = m_entries.lower_bound(key); entry != m_entries.end();
         ++entry) {
      const bool in_range =
          range_end.empty() ? entry->first == key : entry->first < range_end;
      if (!in_range) {
        break;
      }
      if (entry->second.mod_revision < min_revision) {
        continue;
      }
      json pair = {
          {"key", absl::Base64Escape(entry->first)},
          {"mod_revision", std::to_string(entry->second.mod_revision)}};
      if (!request.value("keys_only", false)) {
        pair["value"] = absl::Base64Escape(entry->second.value);
      }
      pairs.push_back(pair);
    }
    return {{"header", MakeHeader()}, {"kvs", pairs}};
  }

  /// Executes the writes if all comparisons hold. Returns null and writes
  /// nothing if a value is too large.
  json HandleTransaction(const json& request) {
    for (const json& compare : request.value("compare", json::array())) {
      const auto entry = m_entries.find(DecodeBase64Field(compare, "key"));
      const uint64_t current_revision =
          entry == m_entries.end() ? 0 : entry->second.mod_revision;
      if (std::to_string(current_revision) !=
          compare.value("mod_revision", "0")) {
        return {{"header", MakeHeader()}, {"succeeded", false}};
      }
    }
    const json operations = request.value("success", json::array());
    for (const json& operation : operations) {
      if (DecodeBase64Field(operation.at("request_put"), "value").size() >
          kMaxValueBytes) {
        return nullptr;
      }
    }
    ++m_revision;
    for (const json& operation : operations) {
      const json& put = operation.at("request_put");
      m_entries[DecodeBase64Field(put, "key")] = {
          DecodeBase64Field(put, "value"), m_revision};
    }
    return {{"header", MakeHeader()}, {"succeeded", true}};
  }

  std::mutex mutex;                  ///< Protects the keys and revisions.
  std::atomic<uint64_t> calls{0};    ///< Range and transaction calls so far.
  std::atomic<int64_t> delay_ms{0};  ///< Delay before each answer.
  std::atomic<bool> down{false};     ///< True: every call gets status 503.
  /// Number of next writes that take effect but are answered with 503.
  std::atomic<int64_t> lose_answers{0};

 private:
  json MakeHeader() const { return {{"revision", std::to_string(m_revision)}}; }

  std::map<std::string, StoreEntry> m_entries;  ///< Entries by key.
  uint64_t m_revision = 1;  ///< Revision of the last transaction.
};

/// Handles one call and injects the configured faults. `handler` returns null
/// for a bad request.
void HandleCall(Store* store,
                const httplib::Request& request,
                httplib::Response* response,
                bool is_write,
                const std::function<json(const json&)>& handler) {
  ++store->calls;
  std::this_thread::sleep_for(std::chrono::milliseconds(store->delay_ms));
  if (store->down) {
    response->status = kStatusUnavailable;
    return;
  }
  const json body = json::parse(request.body, nullptr, false);
  json reply = nullptr;
  if (!body.is_discarded()) {
    const std::lock_guard<std::mutex> lock(store->mutex);
    reply = handler(body);
  }
  if (reply.is_null()) {
    response->status = kStatusBadRequest;
    return;
  }
  if (is_write && store->lose_answers > 0) {
    // The write took effect, but the client gets an error.
    --store->lose_answers;
    response->status = kStatusUnavailable;
    return;
  }
  response->set_content(reply.dump(), "application/json");
}

}  // namespace

int RunStore(const StoreOptions& options) {
  Store store;
  httplib::Server http;
  http.Post("/v3/kv/range", [&store](const httplib::Request& request,
                                     httplib::Response& response) {
    HandleCall(&store, request, &response, false,
               [&store](const json& body) { return store.HandleRange(body); });
  });
  http.Post("/v3/kv/txn", [&store](const httplib::Request& request,
                                   httplib::Response& response) {
    HandleCall(&store, request, &response, true, [&store](const json& body) {
      return store.HandleTransaction(body);
    });
  });
  http.Post("/faults",
            [&store](const httplib::Request& request, httplib::Response&) {
              const json body = json::parse(request.body, nullptr, false);
              if (body.is_object()) {
                store.delay_ms = body.value("delay_ms", 0);
                store.down = body.value("down", false);
                store.lose_answers = body.value("lose_answers", 0);
              }
            });
  http.Get("/calls",
           [&store](const httplib::Request&, httplib::Response& response) {
             response.set_content(std::to_string(store.calls), "text/plain");
           });
  const std::optional<HostPort> address = ParseHostPort(options.listen);
  if (!address.has_value() ||
      !http.bind_to_port(address->host.c_str(), address->port)) {
    std::cerr << "store: cannot bind --listen address " << options.listen
              << "\n";
    return 1;
  }
  std::thread http_thread([&http] { http.listen_after_bind(); });
  while (!IsStopRequested()) {
    std::this_thread::sleep_for(kStopPollInterval);
  }
  http.stop();
  http_thread.join();
  return 0;
}

}  // namespace medlargauge
