#include "net/async_http_server.h"

#include <asio/ip/tcp.hpp>
#include <asio/post.hpp>
#include <asio/steady_timer.hpp>
#include <asio/write.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/status.hpp>
#include <optional>
#include <string>
#include <unordered_set>
#include <utility>

#include "core/boot_clock.h"
#include "core/http_status.h"
#include "core/logging.h"
#include "core/text.h"
#include "net/http_body.h"
#include "net/http_feed.h"

namespace wigeonlane {
namespace {

namespace http = boost::beast::http;
using asio::ip::tcp;

constexpr std::size_t kReadBytes = 4 * 1024;
/// Seconds after which a client may return whose request was dropped for want of memory: the
/// requests that hold the memory time out within that time.
constexpr std::string_view kRetryAfterEviction = "3";
constexpr std::string_view kContinue = "HTTP/1.1 100 Continue\r\n\r\n";

std::string ToStdString(boost::beast::string_view text) { return {text.data(), text.size()}; }

std::string FormatResponse(const HttpResponse& response, bool keep_alive) {
  const auto phrase =
      http::obsolete_reason(http::int_to_status(static_cast<unsigned>(response.code)));
  std::string text = Concat("HTTP/1.1 ", response.code, " ", ToStdString(phrase),
                            "\r\nContent-Length: ", response.body.size(), "\r\n");
  if (!response.body.empty()) AppendTo(&text, "Content-Type: ", response.content_type, "\r\n");
  for (const auto& [name, value] : response.headers) AppendTo(&text, name, ": ", value, "\r\n");
  if (!keep_alive) AppendTo(&text, "Connection: close\r\n");
  AppendTo(&text, "\r\n", response.body);
  return text;
}

int StatusOfParseError(const boost::system::error_code& error) {
  if (error == http::error::body_limit) return http_status::kPayloadTooLarge;
  if (error == http::error::header_limit) return http_status::kHeadersTooLarge;
  return http_status::kBadRequest;
}

}  // namespace

struct AsyncHttpServer::Shared {
  asio::io_context* io;
  Handler handler;
  Limits limits;
  std::shared_ptr<ByteBudget> budget;
  bool draining = false;
  bool closed = false;
  std::size_t in_flight = 0;
  std::unordered_set<Session*> sessions;
};

/// One connection: reads a request, waits for the handler's response, writes it, and reads the next
/// request.
class AsyncHttpServer::Session : public std::enable_shared_from_this<Session> {
 public:
  Session(tcp::socket socket, std::shared_ptr<Shared> shared)
      : socket_(std::move(socket)), timer_(*shared->io), shared_(std::move(shared)) {
    shared_->sessions.insert(this);
    idle_since_ = BootClock().Now();
  }

  ~Session() { shared_->sessions.erase(this); }
  Session(const Session&) = delete;
  Session& operator=(const Session&) = delete;

  void Start() {
    asio::error_code ignored;
    socket_.set_option(tcp::no_delay(true), ignored);
    if (shared_->budget != nullptr) {
      account_.emplace(shared_->budget, [weak = weak_from_this(), io = shared_->io] {
        asio::post(*io, [weak] {
          if (const auto self = weak.lock()) self->Evict();
        });
      });
    }
    ReadNextRequest();
  }

  /// Whether the request, if any, has not begun to run.
  bool reading() const { return phase_ == Phase::kReading; }
  /// Whether no part of a request has been read.
  bool idle() const { return phase_ == Phase::kReading && !request_begun_; }
  Instant idle_since() const { return idle_since_; }

  /// Gives up the request or the response for which the connection holds memory or a place. A
  /// request that has begun to run is finished.
  void Evict() {
    if (phase_ == Phase::kServing || !socket_.is_open()) return;
    LogInfo("connection_evicted", {{"bytes", Concat(HeldBytes())},
                                   {"phase", phase_ == Phase::kReading ? "read" : "write"}});
    if (phase_ == Phase::kWriting || idle()) return Close();
    HttpResponse response;
    response.code = http_status::kUnavailable;
    response.headers.emplace_back("Retry-After", std::string(kRetryAfterEviction));
    keep_alive_ = false;
    WriteResponse(response);
  }

  void Close() {
    timer_.cancel();
    asio::error_code ignored;
    socket_.close(ignored);
  }

 private:
  enum class Phase : std::uint8_t { kReading, kServing, kWriting };

  void ReadNextRequest() {
    const HttpServerLimits limits = shared_->limits();
    parser_.emplace();
    parser_->header_limit(limits.header_bytes);
    parser_->body_limit(limits.body_bytes);
    parser_->eager(true);
    continue_sent_ = false;
    phase_ = Phase::kReading;
    request_begun_ = !buffer_.empty();
    if (!request_begun_ && buffer_.capacity() > 2 * kReadBytes) ReleaseMemory(&buffer_);
    header_bytes_ = 0;
    idle_since_ = BootClock().Now();
    ReportHeldBytes();
    StartTimer(buffer_.empty() ? limits.idle_timeout : limits.header_timeout);
    if (buffer_.empty()) {
      Read();
    } else {
      Parse();
    }
  }

  void StartTimer(std::chrono::milliseconds timeout) {
    timer_.expires_after(timeout);
    timer_.async_wait([weak = weak_from_this()](asio::error_code error) {
      const auto self = weak.lock();
      if (error || self == nullptr || self->phase_ == Phase::kServing) return;
      // The timer was set anew after this handler had been queued.
      if (self->timer_.expiry() > asio::steady_timer::clock_type::now()) return;
      if (self->idle() || self->phase_ == Phase::kWriting) return self->Close();
      self->Reject(http_status::kRequestTimeout);
    });
  }

  std::size_t HeldBytes() const {
    const std::size_t message = parser_ ? wigeonlane::HeldBytes(parser_->get().body()) +
                                              header_bytes_ * kMemoryPerHeaderByte
                                        : 0;
    return buffer_.capacity() + message + served_bytes_ + wigeonlane::HeldBytes(output_);
  }

  void ReportHeldBytes() {
    if (!account_) return;
    account_->Set(idle() ? 0 : HeldBytes(), phase_ != Phase::kServing, BootClock().Now());
  }

  void Read() {
    const std::size_t filled = buffer_.size();
    buffer_.resize(filled + kReadBytes);
    socket_.async_read_some(
        asio::buffer(buffer_.data() + filled, kReadBytes),
        [self = shared_from_this(), filled](asio::error_code error, std::size_t count) {
          self->buffer_.resize(filled + count);
          if (error || self->phase_ != Phase::kReading) return self->Close();
          if (!std::exchange(self->request_begun_, true)) {
            self->StartTimer(self->shared_->limits().header_timeout);
          }
          self->Parse();
        });
  }

  void Parse() {
    // A read adds at most kReadBytes to a header that is just within its limit.
    const std::size_t header_bytes = shared_->limits().header_bytes;
    const FeedLimits limits{header_bytes, header_bytes + kReadBytes};
    if (const auto error = FeedParser(&*parser_, &buffer_, limits, &header_bytes_)) {
      return Reject(StatusOfParseError(error));
    }
    if (parser_->is_done()) return Serve();
    ReportHeldBytes();
    SendContinue();
    Read();
  }

  void SendContinue() {
    if (continue_sent_ || !parser_->is_header_done()) return;
    if (parser_->get()[http::field::expect] != "100-continue") return;
    continue_sent_ = true;
    // The line fits into any socket buffer. A client that does not read it would not read the
    // response either, so it is not waited for.
    asio::error_code ignored;
    socket_.non_blocking(true, ignored);
    socket_.write_some(asio::buffer(kContinue.data(), kContinue.size()), ignored);
  }

  void Serve() {
    timer_.cancel();
    phase_ = Phase::kServing;
    auto message = parser_->release();
    parser_.reset();
    keep_alive_ = message.keep_alive();
    HttpRequest request;
    request.method = ToStdString(message.method_string());
    request.target = ToStdString(message.target());
    request.host = ToStdString(message[http::field::host]);
    for (const auto& field : message) {
      request.headers.emplace_back(ToStdString(field.name_string()), ToStdString(field.value()));
    }
    request.body = std::move(message.body());
    served_bytes_ = request.body.capacity();
    ReportHeldBytes();
    ++shared_->in_flight;
    shared_->handler(std::move(request), [self = shared_from_this(),
                                          replied = false](const HttpResponse& response) mutable {
      if (std::exchange(replied, true)) return;
      --self->shared_->in_flight;
      self->served_bytes_ = 0;
      self->WriteResponse(response);
    });
  }

  void Reject(int code) {
    keep_alive_ = false;
    HttpResponse response;
    response.code = code;
    WriteResponse(response);
  }

  void WriteResponse(const HttpResponse& response) {
    phase_ = Phase::kWriting;
    parser_.reset();
    const bool keep_open = keep_alive_ && !shared_->draining;
    output_ = FormatResponse(response, keep_open);
    // Counts from now: how long the request has been served says nothing about the reader.
    if (account_) account_->Set(0, true, BootClock().Now());
    ReportHeldBytes();
    StartTimer(shared_->limits().idle_timeout);
    asio::async_write(socket_, asio::buffer(output_),
                      [self = shared_from_this(), keep_open](asio::error_code error, std::size_t) {
                        ReleaseMemory(&self->output_);
                        if (error || !keep_open || self->shared_->closed) return self->Close();
                        self->ReadNextRequest();
                      });
  }

  tcp::socket socket_;
  asio::steady_timer timer_;
  std::shared_ptr<Shared> shared_;
  std::string buffer_;
  std::string output_;
  std::optional<http::request_parser<GrowingStringBody>> parser_;
  std::optional<ByteBudget::Account> account_;
  std::size_t header_bytes_ = 0;  ///< Of the request that is read.
  std::size_t served_bytes_ = 0;  ///< Of the request that the handler has.
  Phase phase_ = Phase::kReading;
  Instant idle_since_{};
  bool request_begun_ = false;
  bool keep_alive_ = true;
  bool continue_sent_ = false;
};

AsyncHttpServer::AsyncHttpServer(asio::io_context* io, Handler handler, Limits limits,
                                 std::shared_ptr<ByteBudget> budget)
    : shared_(std::make_shared<Shared>()) {
  shared_->io = io;
  shared_->handler = std::move(handler);
  shared_->limits = std::move(limits);
  shared_->budget = std::move(budget);
}

bool AsyncHttpServer::MakePlace(Shared* shared) {
  Session* longest = nullptr;
  for (Session* session : shared->sessions) {
    if (!session->reading()) continue;
    const bool sooner =
        longest == nullptr || session->idle() > longest->idle() ||
        (session->idle() == longest->idle() && session->idle_since() < longest->idle_since());
    if (sooner) longest = session;
  }
  if (longest == nullptr) return false;
  longest->Evict();
  return true;
}

AsyncHttpServer::~AsyncHttpServer() {
  shared_->closed = true;
  if (acceptor_ != nullptr) acceptor_->Close();
  const auto sessions = shared_->sessions;
  for (Session* session : sessions) session->Close();
}

absl::Status AsyncHttpServer::Listen(const Endpoint& address) {
  acceptor_ = std::make_shared<TcpAcceptor>(shared_->io, [shared = shared_](tcp::socket socket) {
    if (shared->sessions.size() >= shared->limits().max_connections && !MakePlace(shared.get())) {
      return;
    }
    std::make_shared<Session>(std::move(socket), shared)->Start();
  });
  return acceptor_->Listen(address);
}

void AsyncHttpServer::Drain() {
  shared_->draining = true;
  const auto sessions = shared_->sessions;
  for (Session* session : sessions) {
    if (session->idle()) session->Close();
  }
}

std::size_t AsyncHttpServer::in_flight() const { return shared_->in_flight; }

}  // namespace wigeonlane
