/// Asynchronous HTTP/1.1 server that reads each request whole into memory.
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
#include "net/byte_budget.h"
#include "net/http_message.h"
#include "net/tcp_acceptor.h"

namespace wigeonlane {

/// Limits of one connection. They are read again for each request, so that a changed configuration
/// applies to open connections.
struct HttpServerLimits {
  std::uint32_t header_bytes = 16 * 1024;
  std::uint64_t body_bytes = 256 * 1024;
  std::chrono::milliseconds header_timeout{
      3'000};  ///< From the first byte to the end of the request.
  std::chrono::milliseconds idle_timeout{15'000};  ///< Between requests, and to read a response.
  /// Beyond this number, the connection that has been idle longest is closed for a new one, or the
  /// request refused that has been arriving longest. If all requests run, the new one is closed.
  std::size_t max_connections = 2'000;
};

/// Serves requests with one handler. Not thread-safe.
class AsyncHttpServer {
 public:
  using Handler = std::function<void(HttpRequest, HttpReply)>;
  using Limits = std::function<HttpServerLimits()>;

  /// `budget` limits the bytes that the connections hold, together with the budget's other holders.
  AsyncHttpServer(asio::io_context* io, Handler handler, Limits limits,
                  std::shared_ptr<ByteBudget> budget = nullptr);
  ~AsyncHttpServer();
  AsyncHttpServer(const AsyncHttpServer&) = delete;
  AsyncHttpServer& operator=(const AsyncHttpServer&) = delete;

  /// Binds and starts to accept. Errors: Unavailable that names the address.
  absl::Status Listen(const Endpoint& address);

  /// Closes idle connections now, and every other connection after its current response.
  void Drain();

  /// Number of requests that the handler has not replied to yet.
  std::size_t in_flight() const;

 private:
  struct Shared;
  class Session;

  /// Closes the connection that has been idle longest or, without an idle one, refuses the request
  /// that has been arriving longest. Returns whether there was one.
  static bool MakePlace(Shared* shared);

  std::shared_ptr<Shared> shared_;
  std::shared_ptr<TcpAcceptor> acceptor_;
};

}  // namespace wigeonlane

#endif  // WIGEONLANE_NET_ASYNC_HTTP_SERVER_H_
