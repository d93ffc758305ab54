/// Asynchronous HTTP/1.1 server for whole requests with small bodies.
#ifndef WIGEONLANE_NET_ASYNC_HTTP_SERVER_H_
#define WIGEONLANE_NET_ASYNC_HTTP_SERVER_H_

#include <asio/io_context.hpp>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>

#include "absl/status/status.h"
#include "core/settings.h"
#include "net/http_message.h"
#include "net/tcp_acceptor.h"

namespace wigeonlane {

/// Limits of one connection, read anew for each request so that a new configuration applies.
struct HttpServerLimits {
  std::uint32_t header_bytes = 16 * 1024;
  std::uint64_t body_bytes = 256 * 1024;
  std::chrono::milliseconds header_timeout{3'000};  ///< From the first byte to the whole request.
  std::chrono::milliseconds idle_timeout{15'000};   ///< Between requests.
  std::size_t max_connections = 2'000;              ///< Further connections are closed at once.
};

/// Serves requests through one handler. Not safe for several threads.
class AsyncHttpServer {
 public:
  using Handler = std::function<void(HttpRequest, HttpReply)>;
  using Limits = std::function<HttpServerLimits()>;

  AsyncHttpServer(asio::io_context* io, Handler handler, Limits limits);
  ~AsyncHttpServer();
  AsyncHttpServer(const AsyncHttpServer&) = delete;
  AsyncHttpServer& operator=(const AsyncHttpServer&) = delete;

  /// Binds and starts to accept. Errors: Unavailable that names the address.
  absl::Status Listen(const Endpoint& at);

  /// From now on each answer ends its connection, and idle connections are closed.
  void Drain();

  /// Requests whose answer has not been written yet.
  std::size_t in_flight() const;

 private:
  struct Shared;
  class Session;

  std::shared_ptr<Shared> shared_;
  std::shared_ptr<TcpAcceptor> acceptor_;
};

}  // namespace wigeonlane

#endif  // WIGEONLANE_NET_ASYNC_HTTP_SERVER_H_
