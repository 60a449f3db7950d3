// @file http.h HTTP server and client on an event loop, and IPv4 address text.
#ifndef MEDLARGAUGE_RUNTIME_HTTP_H_
#define MEDLARGAUGE_RUNTIME_HTTP_H_

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "src/core/error_type.h"
#include "src/forwarding/forwarding_type.h"
#include "src/runtime/event_loop.h"

struct evhttp;
struct evhttp_connection;

namespace medlargauge {

/// A request that a server has received. The views are valid during the call of
/// the handler.
struct HttpRequest {
  std::string_view method;  ///< GET, POST, DELETE or PUT.
  std::string_view path;    ///< Without query; percent-encoding is kept.
  std::string_view body;    ///< Complete body.
};

/// Values of headers by name.
using HttpHeaders = std::map<std::string, std::string, std::less<>>;

/// A response that a server sends or a client receives.
struct HttpResponse {
  int status = 0;    ///< Status code; 0: no response.
  std::string body;  ///< Complete body.
  const char* content_type = "application/json";  ///< Only used by HttpServer.
  /// Further headers that HttpServer sends. HttpClient fills in those it was
  /// created to keep, as far as the response has them.
  HttpHeaders headers = {};
};

/// Answers HTTP requests to one address. Not thread-safe.
class HttpServer {
 public:
  /// Returns the response to a request.
  using Handler = std::function<HttpResponse(const HttpRequest&)>;

  HttpServer(EventLoop* loop, Handler handler);
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;
  ~HttpServer();

  /// Starts to listen on `address`.
  /// @return false if that fails; `reason` is then kIo with the address
  bool Listen(SocketAddress4 address, Error* reason);

 private:
  Handler m_handler;  ///< Computes the response to each request.
  evhttp* m_http;     ///< Owned.
};

/// Sends requests to one address, one at a time, over a persistent connection,
/// which is closed after a failed request. Not thread-safe.
class HttpClient {
 public:
  /// Receives the response to a request.
  using ResponseCallback = std::function<void(const HttpResponse&)>;

  /// @param kept_headers names of the headers that HttpResponse::headers gets
  HttpClient(EventLoop* loop,
             SocketAddress4 address,
             std::vector<std::string> kept_headers = {});
  HttpClient(const HttpClient&) = delete;
  HttpClient& operator=(const HttpClient&) = delete;
  ~HttpClient();

  /// Sends a request. `callback` is called once, with status 0 if there was no
  /// response within `timeout`; it may be called before Send returns, and is
  /// not called once this client is destroyed. Precondition: IsBusy is false.
  /// @param method GET, DELETE or POST
  /// @param target path and query of the URL
  void Send(std::string_view method,
            const std::string& target,
            std::string_view body,
            Duration timeout,
            ResponseCallback callback);

  /// Returns whether a request waits for its response.
  bool IsBusy() const { return m_pending_request != nullptr; }

 private:
  struct PendingRequest;

  void CloseConnection();

  EventLoop* m_loop;                          ///< Runs the connection.
  SocketAddress4 m_address;                   ///< Address of the server.
  std::vector<std::string> m_kept_headers;    ///< Headers to hand on.
  evhttp_connection* m_connection = nullptr;  ///< Null while not connected.
  std::shared_ptr<PendingRequest> m_pending_request;  ///< Null if not IsBusy.
};

/// Returns an address in host byte order as "a.b.c.d". Thread-safe.
std::string FormatIp(uint32_t ip);

/// Returns an address as "a.b.c.d:port". Thread-safe.
std::string FormatAddress(SocketAddress4 address);

/// Parses "a.b.c.d:port". Thread-safe.
/// @return nullopt if `text` has another form
std::optional<SocketAddress4> ParseAddress4(std::string_view text);

}  // namespace medlargauge

#endif  // MEDLARGAUGE_RUNTIME_HTTP_H_
