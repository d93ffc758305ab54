/// Request and response frames between instances: a 4-byte length, an 8-byte call number, bytes.
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
#include "net/tcp_acceptor.h"

namespace wigeonlane {

/// Outcome of a call: the response bytes, or an error with whether the call may have arrived.
struct FrameOutcome {
  absl::StatusOr<std::string> response = absl::UnknownError("not sent");
  Execution execution = Execution::kNotRun;
  bool connection_refused = false;  ///< The server's machine answered that its port is closed.
};

using FrameCallback = std::function<void(FrameOutcome)>;

/// Calls one server over a single connection, with any number of calls under way at once.
/// Not safe for several threads. Destroying it ends all calls without calling back.
class FrameClient {
 public:
  FrameClient(asio::io_context* io, const Endpoint& server);
  ~FrameClient();
  FrameClient(const FrameClient&) = delete;
  FrameClient& operator=(const FrameClient&) = delete;

  /// Sends `bytes` and calls back with the response or an error, exactly once. The connection is
  /// given up when a call times out and nothing came back since it was sent.
  void Call(const std::string& bytes, std::chrono::milliseconds timeout, FrameCallback callback);

 private:
  class Link;

  asio::io_context* io_;
  const Endpoint server_;
  std::shared_ptr<Link> link_;
};

/// Serves calls of other instances through one handler.
class FrameServer {
 public:
  using Reply = std::function<void(std::string)>;
  using Handler = std::function<void(std::string bytes, Reply)>;

  FrameServer(asio::io_context* io, Handler handler);
  ~FrameServer();
  FrameServer(const FrameServer&) = delete;
  FrameServer& operator=(const FrameServer&) = delete;

  /// Errors: Unavailable that names the address.
  absl::Status Listen(const Endpoint& at);

 private:
  asio::io_context* io_;
  std::shared_ptr<Handler> handler_;
  std::shared_ptr<TcpAcceptor> acceptor_;
};

}  // namespace wigeonlane

#endif  // WIGEONLANE_NET_FRAME_LINK_H_
