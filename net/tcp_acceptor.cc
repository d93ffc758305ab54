#include "net/tcp_acceptor.h"

#include <chrono>
#include <utility>

#include "core/logging.h"
#include "core/text.h"

namespace wigeonlane {
namespace {

using asio::ip::tcp;

/// Holds a burst of connections that arrive within one iteration of the event loop. The kernel may
/// apply a lower limit.
constexpr int kBacklog = 1024;
/// Gives open connections time to end and free a file descriptor.
constexpr std::chrono::milliseconds kRetryDelay{50};

}  // namespace

TcpAcceptor::TcpAcceptor(asio::io_context* io, OnConnection on_connection)
    : acceptor_(*io), retry_timer_(*io), on_connection_(std::move(on_connection)) {}

absl::Status TcpAcceptor::Listen(const Endpoint& address) {
  asio::error_code error;
  const tcp::endpoint local(asio::ip::make_address(address.host, error), address.port);
  if (!error) acceptor_.open(local.protocol(), error);
  if (!error) acceptor_.set_option(tcp::acceptor::reuse_address(true), error);
  if (!error) acceptor_.bind(local, error);
  if (!error) acceptor_.listen(kBacklog, error);
  if (error) {
    return absl::UnavailableError(
        Concat("cannot listen on ", address.ToString(), ": ", error.message()));
  }
  Accept();
  return absl::OkStatus();
}

void TcpAcceptor::Close() {
  asio::error_code ignored;
  acceptor_.close(ignored);
  retry_timer_.cancel();
}

void TcpAcceptor::Accept() {
  acceptor_.async_accept([self = shared_from_this()](asio::error_code error, tcp::socket socket) {
    if (error == asio::error::operation_aborted) return;
    if (error) return self->RetryAcceptAfterDelay(error);
    self->on_connection_(std::move(socket));
    self->Accept();
  });
}

void TcpAcceptor::RetryAcceptAfterDelay(const asio::error_code& error) {
  LogWarning("accept_failed", {{"why", error.message()}});
  retry_timer_.expires_after(kRetryDelay);
  retry_timer_.async_wait([self = shared_from_this()](asio::error_code timer_error) {
    if (!timer_error) self->Accept();
  });
}

}  // namespace wigeonlane
