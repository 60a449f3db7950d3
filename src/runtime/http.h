// @file http.h Small HTTP requests in and out on an event loop.
#ifndef MEDLARGAUGE_RUNTIME_HTTP_H_
#define MEDLARGAUGE_RUNTIME_HTTP_H_

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "src/core/error_type.h"
#include "src/runtime/event_loop.h"
#include "src/steer/steer_type.h"

struct evhttp;
struct evhttp_connection;

namespace medlargauge {

/// A request as a server sees it.
struct HttpRequest {
  std::string_view method;  ///< GET, POST, DELETE.
  std::string_view path;    ///< Percent-encoding left as it is.
  std::string_view body;    ///< Whole body.
};

/// An answer, to or from a server.
struct HttpResponse {
  int status = 0;                                 ///< 0: none came.
  std::string body;                               ///< Whole body.
  const char* content_type = "application/json";  ///< When sent by us.
};

/// Answers requests of one address. Not thread-safe.
class HttpServer {
 public:
  using Handler = std::function<HttpResponse(const HttpRequest&)>;

  HttpServer(EventLoop* loop, Handler handler);
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;
  ~HttpServer();

  /// Listens. @return false with kIo and the address if that fails
  bool Listen(SocketAddress4 address, Error* reason);

 private:
  Handler m_handler;  ///< Answers each request.
  evhttp* m_http;     ///< Owned.
};

/// Sends requests to one address, one at a time, over a connection that is kept
/// while it works. Not thread-safe.
class HttpClient {
 public:
  using Done = std::function<void(const HttpResponse&)>;

  HttpClient(EventLoop* loop, SocketAddress4 address);
  HttpClient(const HttpClient&) = delete;
  HttpClient& operator=(const HttpClient&) = delete;
  ~HttpClient();

  /// Sends a request; `done` is called once, with status 0 if no answer came
  /// within `limit`. Precondition: not IsBusy.
  void Send(std::string_view method,
            const std::string& target,
            std::string_view body,
            Duration limit,
            Done done);

  /// Returns whether an answer is awaited.
  bool IsBusy() const { return m_pending != nullptr; }

 private:
  struct Pending;

  void Drop();

  EventLoop* m_loop;                          ///< Runs the connection.
  SocketAddress4 m_address;                   ///< Of the server.
  evhttp_connection* m_connection = nullptr;  ///< Null until needed.
  std::shared_ptr<Pending> m_pending;         ///< Request under way.
};

/// Returns "a.b.c.d". Thread-safe.
std::string FormatIp(uint32_t ip);

/// Returns "a.b.c.d:port". Thread-safe.
std::string FormatAddress(SocketAddress4 address);

/// Parses "a.b.c.d:port"; nullopt if it is anything else. Thread-safe.
std::optional<SocketAddress4> ParseAddress4(std::string_view text);

}  // namespace medlargauge

#endif  // MEDLARGAUGE_RUNTIME_HTTP_H_
