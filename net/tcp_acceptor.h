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

/// Hands each connection to the server until it is closed. After a failure, such as no descriptors
/// left, it logs and waits before it goes on.
class TcpAcceptor : public std::enable_shared_from_this<TcpAcceptor> {
 public:
  using OnConnection = std::function<void(asio::ip::tcp::socket)>;

  TcpAcceptor(asio::io_context* io, OnConnection accepted);

  /// Binds and begins. Errors: Unavailable when the address cannot be bound.
  absl::Status Listen(const Endpoint& at);
  void Close();

 private:
  void Accept();
  void AcceptLater(const asio::error_code& error);

  asio::ip::tcp::acceptor acceptor_;
  asio::steady_timer pause_;
  const OnConnection accepted_;
};

}  // namespace wigeonlane

#endif  // WIGEONLANE_NET_TCP_ACCEPTOR_H_
