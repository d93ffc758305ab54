/// Calls between instances. Each request and response is a frame: a 4-byte length, an 8-byte call
/// number and the bytes of the message.
#ifndef WIGEONLANE_NET_FRAME_LINK_H_
#define WIGEONLANE_NET_FRAME_LINK_H_

#include <asio/io_context.hpp>
#include <chrono>
#include <cstddef>
#include <functional>
#include <memory>
#include <string>

#include "absl/status/status.h"
#include "absl/status/statusor.h"
#include "core/settings.h"
#include "core/verdict.h"
#include "net/byte_budget.h"
#include "net/tcp_acceptor.h"

namespace wigeonlane {

/// Outcome of a call: the response bytes, or an error and whether the server may have run the call.
struct FrameOutcome {
  absl::StatusOr<std::string> response = absl::UnknownError("not sent");
  Execution execution = Execution::kNotRun;
  bool connection_refused = false;  ///< The server's host is up, but nothing listens on the port.
};

using FrameCallback = std::function<void(FrameOutcome)>;

/// Calls one server over a single connection, which carries any number of concurrent calls.
/// Not thread-safe. Destroying the client abandons all calls without calling their callbacks.
class FrameClient {
 public:
  FrameClient(asio::io_context* io, const Endpoint& server);
  ~FrameClient();
  FrameClient(const FrameClient&) = delete;
  FrameClient& operator=(const FrameClient&) = delete;

  /// Sends `bytes` and calls `callback` exactly once, with the response or an error. The connection
  /// is closed when a call times out and no response has arrived since that call was sent.
  void Call(const std::string& bytes, std::chrono::milliseconds timeout, FrameCallback callback);

 private:
  class Link;

  asio::io_context* io_;
  const Endpoint server_;
  std::shared_ptr<Link> link_;
};

/// Serves calls from other instances with one handler.
class FrameServer {
 public:
  using Reply = std::function<void(std::string)>;
  using Handler = std::function<void(std::string bytes, Reply)>;

  /// Connections to a server, one from each other instance.
  static constexpr std::size_t kMaxConnections = 1'000;

  /// `budget` limits the bytes that connections hold, together with the budget's other holders.
  /// Beyond `max_connections`, the connection is closed on which no frame has arrived for longest.
  FrameServer(asio::io_context* io, Handler handler, std::shared_ptr<ByteBudget> budget = nullptr,
              std::size_t max_connections = kMaxConnections);
  ~FrameServer();
  FrameServer(const FrameServer&) = delete;
  FrameServer& operator=(const FrameServer&) = delete;

  /// Binds and starts to accept. Errors: Unavailable that names the address.
  absl::Status Listen(const Endpoint& address);

 private:
  struct Shared;

  std::shared_ptr<Shared> shared_;
  std::shared_ptr<TcpAcceptor> acceptor_;
};

}  // namespace wigeonlane

#endif  // WIGEONLANE_NET_FRAME_LINK_H_
