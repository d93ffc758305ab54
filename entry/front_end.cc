#include "entry/front_end.h"

#include <asio/ip/tcp.hpp>
#include <asio/post.hpp>
#include <asio/strand.hpp>
#include <utility>

#include "core/text.h"

namespace wigeonlane {
namespace {

using asio::ip::tcp;

constexpr std::chrono::seconds kRetryAfterTooManyConnections{1};

}  // namespace

class FrontEnd::Impl : public std::enable_shared_from_this<FrontEnd::Impl> {
 public:
  Impl(Options options, Handlers handlers, asio::io_context* context, MetricsRegistry* metrics)
      : context_(*context),
        acceptor_(*context),
        front_end_(
            std::make_shared<FrontEndState>(std::move(options), std::move(handlers), metrics)) {}

  absl::Status Start();
  void StopAccepting();
  std::uint16_t port() const { return port_; }

 private:
  void Accept();

  asio::io_context& context_;
  tcp::acceptor acceptor_;
  std::shared_ptr<FrontEndState> front_end_;
  std::uint16_t port_ = 0;
};

absl::Status FrontEnd::Impl::Start() {
  std::error_code error;
  const tcp::endpoint endpoint(asio::ip::make_address(front_end_->options.listen.host, error),
                               front_end_->options.listen.port);
  if (!error) acceptor_.open(endpoint.protocol(), error);
  if (!error) acceptor_.set_option(asio::socket_base::reuse_address(true), error);
  if (!error) acceptor_.bind(endpoint, error);
  if (!error) acceptor_.listen(asio::socket_base::max_listen_connections, error);
  if (error) {
    return absl::UnavailableError(
        Concat("cannot listen on ", front_end_->options.listen.ToString(), ": ", error.message()));
  }
  port_ = acceptor_.local_endpoint().port();
  Accept();
  return absl::OkStatus();
}

void FrontEnd::Impl::Accept() {
  acceptor_.async_accept(
      asio::make_strand(context_),
      [self = shared_from_this()](std::error_code error, tcp::socket socket) {
        if (self->front_end_->stopping || error == asio::error::operation_aborted) return;
        if (!error && self->front_end_->connections >= self->front_end_->options.max_connections) {
          ++self->front_end_->rejected;
          CallerResponse response = MakeNotRunResponse(503, "too many connections");
          response.headers.emplace_back(header::kRetryAfter,
                                        std::to_string(kRetryAfterTooManyConnections.count()));
          const std::string text =
              FormatCallerResponse(response, self->front_end_->NewRequestId(), false, false);
          std::error_code ignored;
          socket.write_some(asio::buffer(text), ignored);
        } else if (!error) {
          std::error_code ignored;
          socket.set_option(tcp::no_delay(true), ignored);
          StartCallerSession(std::move(socket), self->front_end_);
        }
        self->Accept();
      });
}

void FrontEnd::Impl::StopAccepting() {
  front_end_->stopping = true;
  asio::post(context_, [self = shared_from_this()] {
    std::error_code ignored;
    self->acceptor_.close(ignored);
  });
}

FrontEnd::FrontEnd(Options options, Handlers handlers, asio::io_context* context,
                   MetricsRegistry* metrics)
    : impl_(std::make_shared<Impl>(std::move(options), std::move(handlers), context, metrics)) {}

FrontEnd::~FrontEnd() { impl_->StopAccepting(); }

absl::Status FrontEnd::Start() { return impl_->Start(); }

void FrontEnd::StopAccepting() { impl_->StopAccepting(); }

std::uint16_t FrontEnd::port() const { return impl_->port(); }

}  // namespace wigeonlane
