/// Accepts TCP connections for a server on the same io_context.
#ifndef WIGEONLANE_NET_TCP_ACCEPTOR_H_
#define WIGEONLANE_NET_TCP_ACCEPTOR_H_

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>
#include <functional>
#include <memory>

#include "absl/status/status.h"
#include "core/settings.h"

namespace wigeonlane {

/// Passes each accepted connection to a callback until `Close` is called. After a failure, such as
/// running out of file descriptors, logs a warning and retries after a delay.
class TcpAcceptor : public std::enable_shared_from_this<TcpAcceptor> {
 public:
  using OnConnection = std::function<void(asio::ip::tcp::socket)>;

  TcpAcceptor(asio::io_context* io, OnConnection on_connection);

  /// Binds and starts to accept. Errors: Unavailable when the address cannot be bound.
  absl::Status Listen(const Endpoint& address);
  void Close();

 private:
  void Accept();
  void RetryAcceptAfterDelay(const asio::error_code& error);

  asio::ip::tcp::acceptor acceptor_;
  asio::steady_timer retry_timer_;
  const OnConnection on_connection_;
};

}  // namespace wigeonlane

#endif  // WIGEONLANE_NET_TCP_ACCEPTOR_H_
