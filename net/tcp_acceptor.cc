#include "net/tcp_acceptor.h"

#include <chrono>
#include <utility>

#include "core/logging.h"
#include "core/text.h"

namespace wigeonlane {
namespace {

using asio::ip::tcp;

/// A burst of callers that connect within one turn of the loop; the kernel may allow fewer.
constexpr int kBacklog = 1024;
/// Long enough for a connection to end and free a descriptor.
constexpr std::chrono::milliseconds kPause{50};

}  // namespace

TcpAcceptor::TcpAcceptor(asio::io_context* io, OnConnection accepted)
    : acceptor_(*io), pause_(*io), accepted_(std::move(accepted)) {}

absl::Status TcpAcceptor::Listen(const Endpoint& at) {
  asio::error_code error;
  const tcp::endpoint local(asio::ip::make_address(at.host, error), at.port);
  if (!error) acceptor_.open(local.protocol(), error);
  if (!error) acceptor_.set_option(tcp::acceptor::reuse_address(true), error);
  if (!error) acceptor_.bind(local, error);
  if (!error) acceptor_.listen(kBacklog, error);
  if (error) {
    return absl::UnavailableError(
        Concat("cannot listen on ", at.ToString(), ": ", error.message()));
  }
  Accept();
  return absl::OkStatus();
}

void TcpAcceptor::Close() {
  asio::error_code ignored;
  acceptor_.close(ignored);
  pause_.cancel();
}

void TcpAcceptor::Accept() {
  acceptor_.async_accept([self = shared_from_this()](asio::error_code error, tcp::socket socket) {
    if (error == asio::error::operation_aborted) return;
    if (error) return self->AcceptLater(error);
    self->accepted_(std::move(socket));
    self->Accept();
  });
}

void TcpAcceptor::AcceptLater(const asio::error_code& error) {
  LogWarning("accept_failed", {{"why", error.message()}});
  pause_.expires_after(kPause);
  pause_.async_wait([self = shared_from_this()](asio::error_code stopped) {
    if (!stopped) self->Accept();
  });
}

}  // namespace wigeonlane
