// @file http.cc HTTP by libevent.
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

constexpr int kServerTimeoutS = 3;           ///< For a slow or idle client.
constexpr size_t kMaxBodyBytes = 4U << 20U;  ///< Largest body either way.
constexpr size_t kMaxHeaderBytes = 16U << 10U;
/// Unacknowledged data closes a connection after this, in milliseconds.
constexpr int kTcpUserTimeoutMs = 2000;

std::string TakeBody(evbuffer* buffer) {
  const size_t size = evbuffer_get_length(buffer);
  std::string body(size, '\0');
  evbuffer_copyout(buffer, body.data(), size);
  return body;
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

void Answer(evhttp_request* request, void* argument) {
  const auto& handler = *static_cast<HttpServer::Handler*>(argument);
  const std::string body = TakeBody(evhttp_request_get_input_buffer(request));
  const char* path =
      evhttp_uri_get_path(evhttp_request_get_evhttp_uri(request));
  HttpRequest decoded;
  decoded.method = MethodName(evhttp_request_get_command(request));
  decoded.path = path == nullptr ? "" : path;
  decoded.body = body;
  const HttpResponse answer = handler(decoded);
  evkeyvalq* headers = evhttp_request_get_output_headers(request);
  evhttp_add_header(headers, "Content-Type", answer.content_type);
  evbuffer* out = evhttp_request_get_output_buffer(request);
  evbuffer_add(out, answer.body.data(), answer.body.size());
  evhttp_send_reply(request, answer.status, nullptr, nullptr);
}

}  // namespace

HttpServer::HttpServer(EventLoop* loop, Handler handler)
    : m_handler(std::move(handler)), m_http(evhttp_new(loop->Base())) {
  evhttp_set_timeout(m_http, kServerTimeoutS);
  evhttp_set_max_body_size(m_http, kMaxBodyBytes);
  evhttp_set_max_headers_size(m_http, kMaxHeaderBytes);
  evhttp_set_allowed_methods(m_http, EVHTTP_REQ_GET | EVHTTP_REQ_POST |
                                         EVHTTP_REQ_DELETE | EVHTTP_REQ_PUT);
  evhttp_set_gencb(m_http, &Answer, &m_handler);
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

/// The request under way. libevent and the client may outlive each other.
struct HttpClient::Pending {
  HttpClient* client = nullptr;  ///< Null once dropped.
  Done done;                     ///< Called once.
  event* timer = nullptr;        ///< Fires at the deadline.
  /// What libevent's callback gets; null once it was called.
  std::shared_ptr<Pending>* holder = nullptr;

  ~Pending() {
    if (timer != nullptr) {
      event_free(timer);
    }
  }

  static void Finish(const std::shared_ptr<Pending>& pending,
                     const HttpResponse& answer) {
    HttpClient* client = pending->client;
    if (client == nullptr) {
      return;
    }
    pending->client = nullptr;
    client->m_pending = nullptr;
    if (pending->timer != nullptr) {
      event_del(pending->timer);
    }
    if (answer.status == 0) {
      client->Drop();  // libevent frees the request without a callback.
      delete std::exchange(pending->holder, nullptr);
    }
    pending->done(answer);
  }

  static void OnAnswer(evhttp_request* request, void* argument) {
    const std::unique_ptr<std::shared_ptr<Pending>> holder(
        static_cast<std::shared_ptr<Pending>*>(argument));
    (*holder)->holder = nullptr;
    HttpResponse answer;
    if (request != nullptr) {
      answer.status = evhttp_request_get_response_code(request);
      answer.body = TakeBody(evhttp_request_get_input_buffer(request));
    }
    Finish(*holder, answer);
  }

  static void OnDeadline(evutil_socket_t /*fd*/, short /*what*/, void* self) {
    // A copy, because Finish lets go of the client's.
    const std::shared_ptr<Pending> pending =
        static_cast<HttpClient*>(self)->m_pending;
    if (pending != nullptr) {
      Finish(pending, HttpResponse());
    }
  }
};

HttpClient::HttpClient(EventLoop* loop, SocketAddress4 address)
    : m_loop(loop), m_address(address) {}

HttpClient::~HttpClient() {
  const std::shared_ptr<Pending> pending = std::move(m_pending);
  Drop();
  if (pending != nullptr) {
    pending->client = nullptr;
    delete std::exchange(pending->holder, nullptr);
  }
}

void HttpClient::Drop() {
  if (m_connection != nullptr) {
    evhttp_connection* old = m_connection;
    m_connection = nullptr;
    evhttp_connection_free(old);
  }
}

void HttpClient::Send(std::string_view method,
                      const std::string& target,
                      std::string_view body,
                      Duration limit,
                      Done done) {
  if (m_connection == nullptr) {
    m_connection = evhttp_connection_base_new(m_loop->Base(), nullptr,
                                              FormatIp(m_address.ip).c_str(),
                                              m_address.port);
    evhttp_connection_set_retries(m_connection, 0);
    evhttp_connection_set_max_body_size(m_connection, kMaxBodyBytes);
  }
  m_pending = std::make_shared<Pending>();
  m_pending->client = this;
  m_pending->done = std::move(done);
  m_pending->holder = new std::shared_ptr<Pending>(m_pending);
  evhttp_request* request =
      evhttp_request_new(&Pending::OnAnswer, m_pending->holder);
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
  const std::shared_ptr<Pending> pending = m_pending;
  pending->timer = evtimer_new(m_loop->Base(), &Pending::OnDeadline, this);
  const int64_t us =
      std::chrono::duration_cast<std::chrono::microseconds>(limit).count();
  const timeval wait{static_cast<time_t>(us / 1000000),
                     static_cast<suseconds_t>(us % 1000000)};
  event_add(pending->timer, &wait);
  if (evhttp_make_request(m_connection, request, command, target.c_str()) !=
      0) {
    Pending::Finish(pending, HttpResponse());
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
