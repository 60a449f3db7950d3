// @file http.cc HTTP server and client over libevent's evhttp.
#include "src/runtime/http.h"

#include <arpa/inet.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/http_struct.h>
#include <event2/keyvalq_struct.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <charconv>
#include <utility>

#include "src/core/error.h"

namespace medlargauge {
namespace {

constexpr int kServerTimeoutS = 3;  ///< Closes slow or idle connections.
constexpr size_t kMaxBodyBytes = 4U << 20U;  ///< Of requests and responses.
constexpr size_t kMaxHeaderBytes = 16U << 10U;
/// A client connection is closed when sent data is unacknowledged for this
/// long.
constexpr int kTcpUserTimeoutMs = 2000;

std::string CopyBody(evbuffer* buffer) {
  const size_t size = evbuffer_get_length(buffer);
  std::string body(size, '\0');
  evbuffer_copyout(buffer, body.data(), size);
  return body;
}

/// Copies the headers with these names that a response has.
HttpHeaders CopyHeaders(evhttp_request* request,
                        const std::vector<std::string>& names) {
  HttpHeaders headers;
  const evkeyvalq* received = evhttp_request_get_input_headers(request);
  for (const std::string& name : names) {
    const char* value = evhttp_find_header(received, name.c_str());
    if (value != nullptr) {
      headers[name] = value;
    }
  }
  return headers;
}

std::string_view MethodName(evhttp_cmd_type command) {
  switch (command) {
    case EVHTTP_REQ_GET:
      return "GET";
    case EVHTTP_REQ_POST:
      return "POST";
    case EVHTTP_REQ_DELETE:
      return "DELETE";
    case EVHTTP_REQ_PUT:
      return "PUT";
    default:
      return "";
  }
}

void HandleRequest(evhttp_request* request, void* argument) {
  const auto& handler = *static_cast<HttpServer::Handler*>(argument);
  const std::string body = CopyBody(evhttp_request_get_input_buffer(request));
  const char* path =
      evhttp_uri_get_path(evhttp_request_get_evhttp_uri(request));
  HttpRequest decoded;
  decoded.method = MethodName(evhttp_request_get_command(request));
  decoded.path = path == nullptr ? "" : path;
  decoded.body = body;
  const HttpResponse response = handler(decoded);
  evkeyvalq* headers = evhttp_request_get_output_headers(request);
  evhttp_add_header(headers, "Content-Type", response.content_type);
  for (const auto& [name, value] : response.headers) {
    evhttp_add_header(headers, name.c_str(), value.c_str());
  }
  evbuffer* out = evhttp_request_get_output_buffer(request);
  evbuffer_add(out, response.body.data(), response.body.size());
  evhttp_send_reply(request, response.status, nullptr, nullptr);
}

}  // namespace

HttpServer::HttpServer(EventLoop* loop, Handler handler)
    : m_handler(std::move(handler)), m_http(evhttp_new(loop->Base())) {
  evhttp_set_timeout(m_http, kServerTimeoutS);
  evhttp_set_max_body_size(m_http, kMaxBodyBytes);
  evhttp_set_max_headers_size(m_http, kMaxHeaderBytes);
  evhttp_set_allowed_methods(m_http, EVHTTP_REQ_GET | EVHTTP_REQ_POST |
                                         EVHTTP_REQ_DELETE | EVHTTP_REQ_PUT);
  evhttp_set_gencb(m_http, &HandleRequest, &m_handler);
}

HttpServer::~HttpServer() {
  evhttp_free(m_http);
}

bool HttpServer::Listen(SocketAddress4 address, Error* reason) {
  const std::string ip = FormatIp(address.ip);
  if (evhttp_bind_socket(m_http, ip.c_str(), address.port) != 0) {
    return Fail(reason, ErrorKind::kIo,
                "cannot listen on " + FormatAddress(address));
  }
  return true;
}

/// The request that waits for its response. It is shared by the client and by
/// libevent's callback, either of which may end first.
struct HttpClient::PendingRequest {
  HttpClient* client = nullptr;  ///< Null once completed or abandoned.
  ResponseCallback callback;     ///< Receives the response.
  event* timer = nullptr;        ///< Fires at the deadline.
  /// Reference that libevent passes to OnResponse, which deletes it. Null after
  /// that call.
  std::shared_ptr<PendingRequest>* callback_argument = nullptr;

  ~PendingRequest() {
    if (timer != nullptr) {
      event_free(timer);
    }
  }

  /// Calls the callback of a request unless it was completed or abandoned
  /// before, and closes the connection if there is no response.
  static void Complete(const std::shared_ptr<PendingRequest>& pending,
                       const HttpResponse& response) {
    HttpClient* client = pending->client;
    if (client == nullptr) {
      return;
    }
    pending->client = nullptr;
    client->m_pending_request = nullptr;
    if (pending->timer != nullptr) {
      event_del(pending->timer);
    }
    if (response.status == 0) {
      // This frees the request; libevent does not call OnResponse for it.
      client->CloseConnection();
      delete std::exchange(pending->callback_argument, nullptr);
    }
    pending->callback(response);
  }

  /// Called by libevent; `request` is null if the request has failed.
  static void OnResponse(evhttp_request* request, void* argument) {
    const std::unique_ptr<std::shared_ptr<PendingRequest>> reference(
        static_cast<std::shared_ptr<PendingRequest>*>(argument));
    (*reference)->callback_argument = nullptr;
    HttpResponse response;
    if (request != nullptr) {
      response.status = evhttp_request_get_response_code(request);
      response.body = CopyBody(evhttp_request_get_input_buffer(request));
      if ((*reference)->client != nullptr) {
        response.headers =
            CopyHeaders(request, (*reference)->client->m_kept_headers);
      }
    }
    Complete(*reference, response);
  }

  /// Called by libevent when the timeout has passed.
  static void OnDeadline(evutil_socket_t /*fd*/, short /*what*/, void* self) {
    // A copy, because Complete releases the client's reference.
    const std::shared_ptr<PendingRequest> pending =
        static_cast<HttpClient*>(self)->m_pending_request;
    if (pending != nullptr) {
      Complete(pending, HttpResponse());
    }
  }
};

HttpClient::HttpClient(EventLoop* loop,
                       SocketAddress4 address,
                       std::vector<std::string> kept_headers)
    : m_loop(loop),
      m_address(address),
      m_kept_headers(std::move(kept_headers)) {}

HttpClient::~HttpClient() {
  const std::shared_ptr<PendingRequest> pending = std::move(m_pending_request);
  CloseConnection();
  if (pending != nullptr) {
    pending->client = nullptr;
    delete std::exchange(pending->callback_argument, nullptr);
  }
}

void HttpClient::CloseConnection() {
  if (m_connection != nullptr) {
    evhttp_connection* connection = m_connection;
    m_connection = nullptr;
    evhttp_connection_free(connection);
  }
}

void HttpClient::Send(std::string_view method,
                      const std::string& target,
                      std::string_view body,
                      Duration timeout,
                      ResponseCallback callback) {
  if (m_connection == nullptr) {
    m_connection = evhttp_connection_base_new(m_loop->Base(), nullptr,
                                              FormatIp(m_address.ip).c_str(),
                                              m_address.port);
    evhttp_connection_set_retries(m_connection, 0);
    evhttp_connection_set_max_body_size(m_connection, kMaxBodyBytes);
  }
  m_pending_request = std::make_shared<PendingRequest>();
  m_pending_request->client = this;
  m_pending_request->callback = std::move(callback);
  m_pending_request->callback_argument =
      new std::shared_ptr<PendingRequest>(m_pending_request);
  evhttp_request* request = evhttp_request_new(
      &PendingRequest::OnResponse, m_pending_request->callback_argument);
  evkeyvalq* headers = evhttp_request_get_output_headers(request);
  evhttp_add_header(headers, "Host", FormatAddress(m_address).c_str());
  if (!body.empty()) {
    evhttp_add_header(headers, "Content-Type", "application/json");
    evbuffer_add(evhttp_request_get_output_buffer(request), body.data(),
                 body.size());
  }
  const evhttp_cmd_type command = method == "GET"      ? EVHTTP_REQ_GET
                                  : method == "DELETE" ? EVHTTP_REQ_DELETE
                                                       : EVHTTP_REQ_POST;
  const std::shared_ptr<PendingRequest> pending = m_pending_request;
  pending->timer =
      evtimer_new(m_loop->Base(), &PendingRequest::OnDeadline, this);
  const int64_t us =
      std::chrono::duration_cast<std::chrono::microseconds>(timeout).count();
  const timeval timeout_interval{static_cast<time_t>(us / 1000000),
                                 static_cast<suseconds_t>(us % 1000000)};
  event_add(pending->timer, &timeout_interval);
  if (evhttp_make_request(m_connection, request, command, target.c_str()) !=
      0) {
    PendingRequest::Complete(pending, HttpResponse());
    return;
  }
  const int fd =
      bufferevent_getfd(evhttp_connection_get_bufferevent(m_connection));
  if (fd >= 0) {
    setsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &kTcpUserTimeoutMs,
               sizeof(kTcpUserTimeoutMs));
  }
}

std::string FormatIp(uint32_t ip) {
  char text[INET_ADDRSTRLEN];
  const in_addr address{htonl(ip)};
  inet_ntop(AF_INET, &address, text, sizeof(text));
  return text;
}

std::string FormatAddress(SocketAddress4 address) {
  return FormatIp(address.ip) + ":" + std::to_string(address.port);
}

std::optional<SocketAddress4> ParseAddress4(std::string_view text) {
  const size_t colon = text.rfind(':');
  if (colon == std::string_view::npos) {
    return std::nullopt;
  }
  const std::string ip(text.substr(0, colon));
  in_addr parsed{};
  uint16_t port = 0;
  const char* end = text.data() + text.size();
  const auto number = std::from_chars(text.data() + colon + 1, end, port);
  const bool valid = inet_pton(AF_INET, ip.c_str(), &parsed) == 1 &&
                     number.ec == std::errc() && number.ptr == end;
  if (!valid) {
    return std::nullopt;
  }
  return SocketAddress4{ntohl(parsed.s_addr), port};
}

}  // namespace medlargauge
