#include "net/async_http_client.h"

#include <netinet/tcp.h>

#include <algorithm>
#include <asio/connect.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/post.hpp>
#include <asio/steady_timer.hpp>
#include <asio/write.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <optional>
#include <utility>

#include "core/boot_clock.h"
#include "core/text.h"
#include "net/http_feed.h"

namespace wigeonlane {
namespace {

namespace http = boost::beast::http;
using asio::ip::tcp;

constexpr std::size_t kReadBytes = 8 * 1024;
/// A page of the store's list is at most 1 MB and a log page at most a few MB.
constexpr std::uint64_t kMaxBodyBytes = 16 * 1024 * 1024;
/// Bounds how long unacknowledged bytes keep a connection alive when the peer has gone silent.
constexpr std::chrono::milliseconds kUserTimeout{2'000};
/// Part of a request's time that it may spend in line for a connection.
constexpr int kLineShare = 2;
constexpr std::string_view kTimedOutWaiting = "timed out waiting for a connection";

std::string FormatRequest(const HttpRequest& request, const Endpoint& server) {
  std::string text = Concat(request.method, " ", request.target, " HTTP/1.1\r\nHost: ",
                            request.host.empty() ? server.ToString() : request.host, "\r\n");
  for (const auto& [name, value] : request.headers) AppendTo(&text, name, ": ", value, "\r\n");
  if (request.method != "GET") AppendTo(&text, "Content-Length: ", request.body.size(), "\r\n");
  AppendTo(&text, "\r\n", request.body);
  return text;
}

}  // namespace

/// One request on its way; `callback` is empty once the outcome has been told.
struct AsyncHttpClient::Exchange {
  Exchange(asio::io_context* io, std::chrono::milliseconds timeout, HttpCallback given)
      : callback(std::move(given)),
        expires_at(BootClock().Now() + timeout),
        leave_line_by(expires_at - timeout / kLineShare),
        timer(*io) {}

  /// Answers are handled before timers, which also stand still while the instance is suspended, so
  /// the timer alone does not tell after a pause.
  bool overdue() const { return BootClock().Now() >= expires_at; }
  bool waited_too_long() const { return BootClock().Now() >= leave_line_by; }

  void Finish(HttpExchange outcome) {
    timer.cancel();
    if (HttpCallback told = std::exchange(callback, nullptr)) told(std::move(outcome));
  }

  void Fail(std::string_view why) {
    HttpExchange outcome;
    outcome.answer = absl::UnavailableError(AbslView(why));
    outcome.execution = sent ? Execution::kMayHaveRun : Execution::kNotRun;
    Finish(std::move(outcome));
  }

  void Abandon() {
    callback = nullptr;
    timer.cancel();
  }

  std::string bytes;
  HttpCallback callback;
  const Instant expires_at;
  const Instant leave_line_by;
  asio::steady_timer timer;
  bool sent = false;
  /// The answer is here and is told next; the connection may carry another exchange by then.
  bool answered = false;
  Connection* carrier = nullptr;
};

/// One connection, which carries at most one exchange at a time.
class AsyncHttpClient::Connection : public std::enable_shared_from_this<Connection> {
 public:
  explicit Connection(AsyncHttpClient* client) : client_(client), socket_(*client->io_) {}

  bool idle() const { return exchange_ == nullptr; }
  bool proven() const { return answered_; }

  void Carry(std::shared_ptr<Exchange> exchange) {
    exchange_ = std::move(exchange);
    exchange_->carrier = this;
    if (socket_.is_open()) {
      Write();
      return;
    }
    const tcp::endpoint to(asio::ip::make_address(client_->server_.host), client_->server_.port);
    socket_.async_connect(to, [self = shared_from_this()](asio::error_code error) {
      if (self->client_ == nullptr) return;
      if (error) return self->Break("connect: " + error.message());
      self->SetOptions();
      if (self->exchange_->overdue()) return self->GiveUp();
      self->Write();
    });
  }

  void Break(std::string_view why) {
    auto exchange = std::exchange(exchange_, nullptr);
    AsyncHttpClient* client = std::exchange(client_, nullptr);
    asio::error_code ignored;
    socket_.close(ignored);
    if (client != nullptr) client->Drop(this);
    if (exchange != nullptr) exchange->Fail(why);
    // The callback may have destroyed the client; it is not touched any more.
  }

  void Detach() {
    client_ = nullptr;
    if (exchange_ != nullptr) exchange_->Abandon();
    exchange_ = nullptr;
    asio::error_code ignored;
    socket_.close(ignored);
  }

 private:
  void SetOptions() {
    asio::error_code ignored;
    socket_.set_option(tcp::no_delay(true), ignored);
    const auto timeout = static_cast<unsigned>(kUserTimeout.count());
    ::setsockopt(socket_.native_handle(), IPPROTO_TCP, TCP_USER_TIMEOUT, &timeout, sizeof(timeout));
  }

  void Write() {
    exchange_->sent = true;
    parser_.emplace();
    parser_->body_limit(kMaxBodyBytes);
    parser_->eager(true);
    asio::async_write(
        socket_, asio::buffer(exchange_->bytes),
        [self = shared_from_this(), exchange = exchange_](asio::error_code error, std::size_t) {
          if (self->client_ == nullptr) return;
          if (error) return self->Break("write: " + error.message());
        });
    Read();
  }

  /// Ends the exchange before anything was sent; the connection carries others.
  void GiveUp() {
    auto exchange = std::exchange(exchange_, nullptr);
    Read();
    client_->Dispatch();
    exchange->Fail(kTimedOutWaiting);
  }

  /// Keeps one read pending, on idle connections too, so that a close by the server is noticed
  /// before the next request is written.
  void Read() {
    if (reading_) return;
    reading_ = true;
    const std::size_t filled = buffer_.size();
    buffer_.resize(filled + kReadBytes);
    socket_.async_read_some(
        asio::buffer(buffer_.data() + filled, kReadBytes),
        [self = shared_from_this(), filled](asio::error_code error, std::size_t count) {
          self->reading_ = false;
          if (self->client_ == nullptr) return;
          self->buffer_.resize(filled + count);
          if (error) return self->Break("read: " + error.message());
          self->Parse();
        });
  }

  void Parse() {
    if (exchange_ == nullptr) return Break("unexpected bytes");
    const auto error = FeedParser(&*parser_, &buffer_);
    if (error) return Break("malformed answer: " + error.message());
    if (!parser_->is_done()) return Read();
    Complete();
  }

  void Complete() {
    answered_ = true;
    HttpExchange outcome;
    auto message = parser_->release();
    outcome.answer = HttpAnswer{static_cast<int>(message.result_int()), std::move(message.body())};
    outcome.execution = Execution::kRan;
    const bool keep = message.keep_alive();
    auto exchange = std::exchange(exchange_, nullptr);
    exchange->answered = true;
    if (buffer_.empty()) buffer_.shrink_to_fit();
    AsyncHttpClient* client = client_;
    if (!keep) {
      client_ = nullptr;
      asio::error_code ignored;
      socket_.close(ignored);
      client->Drop(this);
    } else {
      Read();
    }
    asio::post(*client->io_, [exchange, outcome = std::move(outcome)]() mutable {
      exchange->Finish(std::move(outcome));
    });
    client->Dispatch();
  }

  AsyncHttpClient* client_;
  tcp::socket socket_;
  std::shared_ptr<Exchange> exchange_;
  std::string buffer_;
  bool reading_ = false;
  bool answered_ = false;
  std::optional<http::response_parser<http::string_body>> parser_;
};

AsyncHttpClient::AsyncHttpClient(asio::io_context* io, Endpoint server, std::size_t max_connections)
    : io_(io), server_(std::move(server)), max_connections_(max_connections) {}

AsyncHttpClient::~AsyncHttpClient() {
  for (const auto& connection : connections_) connection->Detach();
  for (const auto& exchange : waiting_) exchange->Abandon();
}

void AsyncHttpClient::Send(const HttpRequest& request, std::chrono::milliseconds timeout,
                           HttpCallback callback) {
  auto exchange = std::make_shared<Exchange>(io_, timeout, std::move(callback));
  exchange->bytes = FormatRequest(request, server_);
  ExpireAfter(timeout / kLineShare, exchange);
  waiting_.push_back(std::move(exchange));
  Dispatch();
}

bool AsyncHttpClient::connected() const {
  return std::any_of(connections_.begin(), connections_.end(),
                     [](const auto& connection) { return connection->proven(); });
}

void AsyncHttpClient::Dispatch() {
  for (auto next = FirstInTime(); next != waiting_.end(); next = FirstInTime()) {
    auto idle = std::find_if(connections_.begin(), connections_.end(),
                             [](const auto& connection) { return connection->idle(); });
    if (idle == connections_.end()) {
      if (connections_.size() >= max_connections_) return;
      connections_.push_back(std::make_shared<Connection>(this));
      idle = std::prev(connections_.end());
    }
    auto exchange = std::move(*next);
    waiting_.erase(next);
    ExpireAfter(exchange->expires_at - BootClock().Now(), exchange);
    (*idle)->Carry(std::move(exchange));
  }
}

std::deque<std::shared_ptr<AsyncHttpClient::Exchange>>::iterator AsyncHttpClient::FirstInTime() {
  return std::find_if(waiting_.begin(), waiting_.end(), [this](const auto& exchange) {
    if (!exchange->waited_too_long()) return true;
    // Its caller may be the one that sends now, so it is told later.
    ExpireAfter(Duration::zero(), exchange);
    return false;
  });
}

void AsyncHttpClient::ExpireAfter(Duration time, const std::shared_ptr<Exchange>& exchange) {
  exchange->timer.expires_after(time);
  exchange->timer.async_wait([exchange, this](asio::error_code error) {
    if (error || exchange->answered || exchange->callback == nullptr) return;
    Expire(exchange);
  });
}

void AsyncHttpClient::Expire(const std::shared_ptr<Exchange>& exchange) {
  if (exchange->carrier != nullptr) return exchange->carrier->Break("timed out");
  std::erase(waiting_, exchange);
  exchange->Fail(kTimedOutWaiting);
}

void AsyncHttpClient::Drop(const Connection* connection) {
  std::erase_if(connections_, [&](const auto& held) { return held.get() == connection; });
}

}  // namespace wigeonlane
