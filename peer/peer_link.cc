#include "peer/peer_link.h"

#include <array>
#include <asio/connect.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/ip/udp.hpp>
#include <asio/post.hpp>
#include <asio/read.hpp>
#include <asio/steady_timer.hpp>
#include <asio/strand.hpp>
#include <asio/write.hpp>
#include <utility>

#include "core/text.h"

namespace wigeonlane {
namespace {

using asio::ip::tcp;
using asio::ip::udp;

constexpr std::size_t kDatagramBufferBytes = 64 * 1024;
constexpr std::size_t kMaxRequestBytes = 4 * 1024;
constexpr std::chrono::milliseconds kServeTimeout{10'000};
constexpr std::size_t kMaxConcurrentRequests = 256;

using FrameHeader = std::array<unsigned char, 4>;

FrameHeader LengthOf(const std::string& frame) {
  const auto size = static_cast<std::uint32_t>(frame.size());
  return {static_cast<unsigned char>(size >> 24), static_cast<unsigned char>(size >> 16),
          static_cast<unsigned char>(size >> 8), static_cast<unsigned char>(size)};
}

std::size_t ParseLength(const FrameHeader& header) {
  return (static_cast<std::size_t>(header[0]) << 24) | (static_cast<std::size_t>(header[1]) << 16) |
         (static_cast<std::size_t>(header[2]) << 8) | static_cast<std::size_t>(header[3]);
}

/// One TCP exchange of a frame each way, on either side, bounded in time.
class Exchange : public std::enable_shared_from_this<Exchange> {
 public:
  using FrameCallback = std::function<void(std::error_code, const std::string&)>;

  explicit Exchange(tcp::socket socket)
      : socket_(std::move(socket)), timer_(socket_.get_executor()) {}

  tcp::socket& socket() { return socket_; }

  void CloseAfter(std::chrono::milliseconds timeout) {
    timer_.expires_after(timeout);
    timer_.async_wait([weak = weak_from_this()](std::error_code error) {
      if (const auto self = weak.lock(); self != nullptr && !error) self->Close();
    });
  }

  void Read(std::size_t max_bytes, FrameCallback callback) {
    asio::async_read(socket_, asio::buffer(in_header_),
                     [self = shared_from_this(), max_bytes, callback = std::move(callback)](
                         std::error_code error, std::size_t) mutable {
                       const std::size_t size = ParseLength(self->in_header_);
                       if (!error && size > max_bytes) error = asio::error::message_size;
                       if (error) return callback(error, {});
                       self->in_.resize(size);
                       asio::async_read(self->socket_, asio::buffer(self->in_),
                                        [self, callback = std::move(callback)](
                                            std::error_code body_error, std::size_t) {
                                          callback(body_error, self->in_);
                                        });
                     });
  }

  void Write(std::string frame, std::function<void(std::error_code)> callback) {
    out_ = std::move(frame);
    out_header_ = LengthOf(out_);
    const std::array<asio::const_buffer, 2> buffers = {asio::buffer(out_header_),
                                                       asio::buffer(out_)};
    asio::async_write(socket_, buffers,
                      [self = shared_from_this(), callback = std::move(callback)](
                          std::error_code error, std::size_t) { callback(error); });
  }

  void Close() {
    timer_.cancel();
    std::error_code ignored;
    socket_.close(ignored);
  }

 private:
  tcp::socket socket_;
  asio::steady_timer timer_;
  FrameHeader in_header_{};
  FrameHeader out_header_{};
  std::string in_;
  std::string out_;
};

}  // namespace

class PeerLink::Impl : public std::enable_shared_from_this<PeerLink::Impl> {
 public:
  Impl(Endpoint listen, Handlers handlers, asio::io_context* context, MetricsRegistry* metrics)
      : listen_(std::move(listen)),
        handlers_(std::move(handlers)),
        context_(*context),
        strand_(asio::make_strand(*context)),
        udp_(strand_),
        acceptor_(strand_),
        buffer_(kDatagramBufferBytes, '\0'),
        sent_bytes_(metrics->Counter("wigeonlane_peer_sent_bytes_total")),
        received_bytes_(metrics->Counter("wigeonlane_peer_received_bytes_total")),
        malformed_(metrics->Counter("wigeonlane_peer_malformed_total")) {}

  absl::Status Start() {
    std::error_code error;
    const auto address = asio::ip::make_address(listen_.host, error);
    if (!error) udp_.open(udp::v4(), error);
    if (!error) udp_.bind({address, listen_.port}, error);
    if (!error) acceptor_.open(tcp::v4(), error);
    if (!error) acceptor_.set_option(asio::socket_base::reuse_address(true), error);
    if (!error) acceptor_.bind({address, listen_.port}, error);
    if (!error) acceptor_.listen(asio::socket_base::max_listen_connections, error);
    if (error) {
      return absl::UnavailableError(
          Concat("cannot listen on ", listen_.ToString(), ": ", error.message()));
    }
    Receive();
    Accept();
    return absl::OkStatus();
  }

  void Stop() {
    asio::post(strand_, [self = shared_from_this()] {
      self->stopping_ = true;
      std::error_code ignored;
      self->udp_.close(ignored);
      self->acceptor_.close(ignored);
    });
  }

  void SendDatagram(const Endpoint& to, std::string bytes) {
    asio::post(strand_, [self = shared_from_this(), to, bytes = std::move(bytes)] {
      std::error_code error;
      const auto address = asio::ip::make_address(to.host, error);
      if (error || self->stopping_) return;
      self->sent_bytes_ += bytes.size();
      self->udp_.send_to(asio::buffer(bytes), {address, to.port}, 0, error);
    });
  }

  void SendRequest(const Endpoint& peer, const PeerRequest& request,
                   std::chrono::milliseconds timeout, Callback callback) {
    std::error_code error;
    const auto address = asio::ip::make_address(peer.host, error);
    if (error) return callback(absl::UnavailableError("bad peer address"));
    auto exchange = std::make_shared<Exchange>(tcp::socket(asio::make_strand(context_)));
    asio::post(
        exchange->socket().get_executor(),
        [self = shared_from_this(), exchange, timeout, frame = EncodeRequest(request),
         endpoint = tcp::endpoint(address, peer.port), callback = std::move(callback)]() mutable {
          exchange->CloseAfter(timeout);
          exchange->socket().async_connect(
              endpoint, [self, exchange, frame = std::move(frame),
                         callback = std::move(callback)](std::error_code failed) mutable {
                self->WriteRequest(failed, exchange, std::move(frame), std::move(callback));
              });
        });
  }

 private:
  void WriteRequest(std::error_code failed, const std::shared_ptr<Exchange>& exchange,
                    std::string frame, Callback callback) {
    if (failed) return callback(absl::UnavailableError(failed.message()));
    sent_bytes_ += frame.size();
    exchange->Write(std::move(frame), [self = shared_from_this(), exchange,
                                       callback = std::move(callback)](std::error_code error) {
      if (error) return callback(absl::UnavailableError(error.message()));
      exchange->Read(kMaxFrameBytes, [self, exchange, callback](std::error_code read_error,
                                                                const std::string& answer) {
        exchange->Close();
        if (read_error) {
          return callback(absl::UnavailableError(read_error.message()));
        }
        self->received_bytes_ += answer.size();
        callback(DecodeResponse(answer));
      });
    });
  }

  void Receive() {
    udp_.async_receive_from(asio::buffer(buffer_), sender_,
                            [self = shared_from_this()](std::error_code error, std::size_t size) {
                              if (self->stopping_) return;
                              if (!error) {
                                self->received_bytes_ += size;
                                self->HandleDatagram(std::string_view(self->buffer_.data(), size));
                              }
                              self->Receive();
                            });
  }

  void HandleDatagram(std::string_view datagram) {
    auto heartbeat = DecodeHeartbeat(datagram);
    if (!heartbeat.ok()) {
      ++malformed_;
      return;
    }
    handlers_.on_heartbeat(*std::move(heartbeat));
  }

  void Accept() {
    acceptor_.async_accept(asio::make_strand(context_),
                           [self = shared_from_this()](std::error_code error, tcp::socket socket) {
                             if (self->stopping_) return;
                             if (!error && self->serving_ < kMaxConcurrentRequests) {
                               self->Serve(std::make_shared<Exchange>(std::move(socket)));
                             }
                             self->Accept();
                           });
  }

  void Serve(const std::shared_ptr<Exchange>& exchange) {
    ++serving_;
    exchange->CloseAfter(kServeTimeout);
    exchange->Read(kMaxRequestBytes, [self = shared_from_this(), exchange](
                                         std::error_code error, const std::string& request_frame) {
      --self->serving_;
      if (error) return exchange->Close();
      const auto request = DecodeRequest(request_frame);
      if (!request.ok()) {
        ++self->malformed_;
        return exchange->Close();
      }
      std::string answer = EncodeResponse(self->handlers_.serve(*request));
      self->sent_bytes_ += answer.size();
      exchange->Write(std::move(answer), [exchange](std::error_code) { exchange->Close(); });
    });
  }

  const Endpoint listen_;
  const Handlers handlers_;
  asio::io_context& context_;
  asio::strand<asio::io_context::executor_type> strand_;
  udp::socket udp_;
  tcp::acceptor acceptor_;
  std::string buffer_;
  udp::endpoint sender_;
  std::atomic<bool> stopping_{false};
  std::atomic<std::size_t> serving_{0};
  std::atomic<std::uint64_t>& sent_bytes_;
  std::atomic<std::uint64_t>& received_bytes_;
  std::atomic<std::uint64_t>& malformed_;
};

PeerLink::PeerLink(Endpoint listen, Handlers handlers, asio::io_context* context,
                   MetricsRegistry* metrics)
    : impl_(std::make_shared<Impl>(std::move(listen), std::move(handlers), context, metrics)) {}

PeerLink::~PeerLink() { Stop(); }

absl::Status PeerLink::Start() { return impl_->Start(); }

void PeerLink::Stop() { impl_->Stop(); }

void PeerLink::SendDatagram(const Endpoint& to, std::string bytes) {
  impl_->SendDatagram(to, std::move(bytes));
}

void PeerLink::SendRequest(const Endpoint& peer, const PeerRequest& request,
                           std::chrono::milliseconds timeout, Callback callback) {
  impl_->SendRequest(peer, request, timeout, std::move(callback));
}

}  // namespace wigeonlane
