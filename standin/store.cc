// @file store.cc A key-value service with compare-and-swap and outages.
//
// Answers the subset of the etcd version 3 JSON interface that is used here:
// POST /v3/kv/range and /v3/kv/txn. Faults are set through POST /faults and
// calls are counted at GET /calls.
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

constexpr std::chrono::milliseconds kStopCheck{50};
constexpr int kBadRequest = 400;
constexpr int kUnavailable = 503;
constexpr size_t kMaxValue = 1024 * 1024;

/// One key of the store.
struct StoreValue {
  std::string value;          ///< Bytes.
  uint64_t mod_revision = 0;  ///< Store revision of the last write.
};

std::string Unescape(const json& object, const char* key) {
  std::string bytes;
  absl::Base64Unescape(object.value(key, ""), &bytes);
  return bytes;
}

/// The store and its faults.
class Store {
 public:
  json Range(const json& request) {
    const std::string key = Unescape(request, "key");
    const std::string end = Unescape(request, "range_end");
    const uint64_t min_revision = std::strtoull(
        request.value("min_mod_revision", "0").c_str(), nullptr, 10);
    json pairs = json::array();
    for (auto it = m_values.lower_bound(key); it != m_values.end(); ++it) {
      const bool inside = end.empty() ? it->first == key : it->first < end;
      if (!inside) {
        break;
      }
      if (it->second.mod_revision < min_revision) {
        continue;
      }
      json pair = {{"key", absl::Base64Escape(it->first)},
                   {"mod_revision", std::to_string(it->second.mod_revision)}};
      if (!request.value("keys_only", false)) {
        pair["value"] = absl::Base64Escape(it->second.value);
      }
      pairs.push_back(pair);
    }
    return {{"header", Header()}, {"kvs", pairs}};
  }

  /// Returns null if a value is too large.
  json Transaction(const json& request) {
    for (const json& compare : request.value("compare", json::array())) {
      const auto found = m_values.find(Unescape(compare, "key"));
      const uint64_t present =
          found == m_values.end() ? 0 : found->second.mod_revision;
      if (std::to_string(present) != compare.value("mod_revision", "0")) {
        return {{"header", Header()}, {"succeeded", false}};
      }
    }
    const json operations = request.value("success", json::array());
    for (const json& operation : operations) {
      if (Unescape(operation.at("request_put"), "value").size() > kMaxValue) {
        return nullptr;
      }
    }
    ++m_revision;
    for (const json& operation : operations) {
      const json& put = operation.at("request_put");
      m_values[Unescape(put, "key")] = {Unescape(put, "value"), m_revision};
    }
    return {{"header", Header()}, {"succeeded", true}};
  }

  std::mutex mutex;                      ///< Protects keys and faults.
  std::atomic<uint64_t> calls{0};        ///< Calls of any kind.
  std::atomic<int64_t> delay_ms{0};      ///< Before each answer.
  std::atomic<bool> down{false};         ///< Answers 503.
  std::atomic<int64_t> lose_answers{0};  ///< Writes whose answer is lost.

 private:
  json Header() const { return {{"revision", std::to_string(m_revision)}}; }

  std::map<std::string, StoreValue> m_values;  ///< By key.
  uint64_t m_revision = 1;                     ///< Of the whole store.
};

/// Applies faults around one call. `serve` returns null for a bad request.
void Answer(Store* store,
            const httplib::Request& request,
            httplib::Response* response,
            bool is_write,
            const std::function<json(const json&)>& serve) {
  ++store->calls;
  std::this_thread::sleep_for(std::chrono::milliseconds(store->delay_ms));
  if (store->down) {
    response->status = kUnavailable;
    return;
  }
  const json body = json::parse(request.body, nullptr, false);
  json reply = nullptr;
  if (!body.is_discarded()) {
    const std::lock_guard<std::mutex> lock(store->mutex);
    reply = serve(body);
  }
  if (reply.is_null()) {
    response->status = kBadRequest;
    return;
  }
  if (is_write && store->lose_answers > 0) {
    // The write took effect, but the caller hears of an error.
    --store->lose_answers;
    response->status = kUnavailable;
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
    Answer(&store, request, &response, false,
           [&store](const json& body) { return store.Range(body); });
  });
  http.Post("/v3/kv/txn", [&store](const httplib::Request& request,
                                   httplib::Response& response) {
    Answer(&store, request, &response, true,
           [&store](const json& body) { return store.Transaction(body); });
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
    std::cerr << "store: cannot bind " << options.listen << "\n";
    return 1;
  }
  std::thread server([&http] { http.listen_after_bind(); });
  while (!IsStopRequested()) {
    std::this_thread::sleep_for(kStopCheck);
  }
  http.stop();
  server.join();
  return 0;
}

}  // namespace medlargauge
