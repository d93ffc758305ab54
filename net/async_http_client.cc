#include "net/async_http_client.h"

#include <netinet/tcp.h>

#include <algorithm>
#include <asio/connect.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/post.hpp>
#include <asio/steady_timer.hpp>
#include <asio/write.hpp>
#include <boost/beast/http/parser.hpp>
#include <optional>
#include <utility>

#include "core/boot_clock.h"
#include "core/text.h"
#include "net/http_body.h"
#include "net/http_feed.h"

namespace wigeonlane {
namespace {

namespace http = boost::beast::http;
using asio::ip::tcp;

constexpr std::size_t kReadBytes = 8 * 1024;
/// A page of the store's list is at most 1 MB and a log page at most a few MB.
constexpr std::uint64_t kMaxBodyBytes = 16 * 1024 * 1024;
/// Longest header of a response, and longest line or block of trailers.
constexpr FeedLimits kFeedLimits{16 * 1024, 64 * 1024};
/// Responses below this size are not reported to the budget until they are complete.
constexpr std::size_t kReportedBytes = 16 * 1024;
/// Bounds how long a connection stays open when the peer does not acknowledge sent bytes.
constexpr std::chrono::milliseconds kUserTimeout{2'000};
/// A request may spend 1/kQueueTimeDivisor of its timeout waiting for a connection.
constexpr int kQueueTimeDivisor = 2;
constexpr std::string_view kQueueTimeoutMessage = "timed out waiting for a connection";
constexpr std::string_view kConnectionGoneMessage = "the connection to the intended peer is closed";

std::string FormatRequest(const HttpRequest& request, const Endpoint& server) {
  std::string text = Concat(request.method, " ", request.target, " HTTP/1.1\r\nHost: ",
                            request.host.empty() ? server.ToString() : request.host, "\r\n");
  for (const auto& [name, value] : request.headers) AppendTo(&text, name, ": ", value, "\r\n");
  if (request.method != "GET") AppendTo(&text, "Content-Length: ", request.body.size(), "\r\n");
  AppendTo(&text, "\r\n", request.body);
  return text;
}

}  // namespace

/// One request in progress. `callback` is empty once it has been called with the outcome.
struct AsyncHttpClient::Exchange {
  Exchange(asio::io_context* io, std::chrono::milliseconds timeout, HttpCallback on_outcome)
      : callback(std::move(on_outcome)),
        expires_at(BootClock().Now() + timeout),
        queue_deadline(expires_at - timeout / kQueueTimeDivisor),
        timer(*io) {}

  /// Compares with the clock instead of relying on `timer`: the event loop handles responses before
  /// timers, and timers stop while the instance is suspended, so after a suspension the timer may
  /// not have fired yet.
  bool expired() const { return BootClock().Now() >= expires_at; }
  bool queue_time_expired() const { return BootClock().Now() >= queue_deadline; }

  void Finish(HttpExchange outcome) {
    timer.cancel();
    if (HttpCallback handler = std::exchange(callback, nullptr)) handler(std::move(outcome));
  }

  void Fail(std::string_view reason) {
    HttpExchange outcome;
    outcome.answer = absl::UnavailableError(AbslView(reason));
    outcome.execution = sent ? Execution::kMayHaveRun : Execution::kNotRun;
    Finish(std::move(outcome));
  }

  void Abandon() {
    callback = nullptr;
    timer.cancel();
  }

  std::string bytes;
  std::optional<ConnectionLabel> label;  ///< Of the connection that must carry the request.
  HttpCallback callback;
  const Instant expires_at;
  const Instant queue_deadline;
  asio::steady_timer timer;
  bool sent = false;
  /// The response was read and `callback` is posted to the event loop. By the time it runs, the
  /// connection may already carry another exchange.
  bool response_received = false;
  Connection* connection = nullptr;
};

/// One connection, which carries at most one exchange at a time.
class AsyncHttpClient::Connection : public std::enable_shared_from_this<Connection> {
 public:
  Connection(AsyncHttpClient* client, std::uint64_t number)
      : number(number), client_(client), socket_(*client->io_) {}

  const std::uint64_t number;
  std::optional<ConnectionLabel> label;

  bool idle() const { return exchange_ == nullptr; }

  void StartExchange(std::shared_ptr<Exchange> exchange) {
    exchange_ = std::move(exchange);
    exchange_->connection = this;
    if (socket_.is_open()) {
      Write();
      return;
    }
    const tcp::endpoint to(asio::ip::make_address(client_->server_.host), client_->server_.port);
    socket_.async_connect(to, [self = shared_from_this()](asio::error_code error) {
      if (self->client_ == nullptr) return;
      if (error) return self->Break("connect: " + error.message());
      self->SetOptions();
      if (self->exchange_->expired()) return self->FailBeforeWrite();
      self->Write();
    });
  }

  void Break(std::string_view reason) {
    auto exchange = std::exchange(exchange_, nullptr);
    AsyncHttpClient* client = std::exchange(client_, nullptr);
    asio::error_code ignored;
    socket_.close(ignored);
    account_.reset();
    if (client != nullptr) client->Drop(this);
    if (exchange != nullptr) exchange->Fail(reason);
    // The callback may have destroyed the client, which must not be accessed from here on.
  }

  void Detach() {
    client_ = nullptr;
    account_.reset();
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
    header_bytes_ = 0;
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

  /// Fails the exchange before anything was sent. The connection stays open for other exchanges.
  void FailBeforeWrite() {
    auto exchange = std::exchange(exchange_, nullptr);
    Read();
    client_->Dispatch();
    exchange->Fail(kQueueTimeoutMessage);
  }

  /// Keeps one read pending, also on idle connections, so that a close by the server is detected
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
    if (exchange_ == nullptr) return Break("server sent bytes without a request");
    const auto error = FeedParser(&*parser_, &buffer_, kFeedLimits, &header_bytes_);
    if (error) return Break("malformed response: " + error.message());
    if (parser_->is_done()) return Complete();
    ReportHeldBytes(buffer_.capacity() + HeldBytes(parser_->get().body()) +
                    header_bytes_ * kMemoryPerHeaderByte);
    Read();
  }

  void ReportHeldBytes(std::size_t bytes) {
    if (client_->budget_ == nullptr || (!account_ && bytes < kReportedBytes)) return;
    if (!account_) {
      account_.emplace(client_->budget_, [weak = weak_from_this(), io = client_->io_] {
        asio::post(*io, [weak] {
          const auto self = weak.lock();
          if (self != nullptr && self->exchange_ != nullptr && self->account_) {
            self->Break("the response exceeds the memory for responses");
          }
        });
      });
    }
    account_->Set(bytes, true, BootClock().Now());
  }

  void Complete() {
    HttpExchange outcome;
    auto message = parser_->release();
    outcome.answer = HttpAnswer{static_cast<int>(message.result_int()), std::move(message.body())};
    outcome.execution = Execution::kRan;
    outcome.connection = number;
    account_.reset();
    const bool keep_alive = message.keep_alive();
    auto exchange = std::exchange(exchange_, nullptr);
    exchange->response_received = true;
    if (buffer_.empty()) buffer_.shrink_to_fit();
    AsyncHttpClient* client = client_;
    if (!keep_alive) {
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
  std::optional<http::response_parser<GrowingStringBody>> parser_;
  std::size_t header_bytes_ = 0;                ///< Of the response that is read.
  std::optional<ByteBudget::Account> account_;  ///< Of a large response that is not complete.
};

AsyncHttpClient::AsyncHttpClient(asio::io_context* io, Endpoint server, std::size_t max_connections,
                                 std::shared_ptr<ByteBudget> budget)
    : io_(io),
      server_(std::move(server)),
      max_connections_(max_connections),
      budget_(std::move(budget)) {}

AsyncHttpClient::~AsyncHttpClient() {
  for (const auto& connection : connections_) connection->Detach();
  for (const auto& exchange : queue_) exchange->Abandon();
}

void AsyncHttpClient::Send(const HttpRequest& request, std::chrono::milliseconds timeout,
                           HttpCallback callback) {
  Enqueue(std::nullopt, request, timeout, std::move(callback));
}

void AsyncHttpClient::SendOver(ConnectionLabel label, const HttpRequest& request,
                               std::chrono::milliseconds timeout, HttpCallback callback) {
  Enqueue(label, request, timeout, std::move(callback));
}

void AsyncHttpClient::Enqueue(std::optional<ConnectionLabel> label, const HttpRequest& request,
                              std::chrono::milliseconds timeout, HttpCallback callback) {
  auto exchange = std::make_shared<Exchange>(io_, timeout, std::move(callback));
  exchange->bytes = FormatRequest(request, server_);
  exchange->label = label;
  ExpireAfter(timeout / kQueueTimeDivisor, exchange);
  queue_.push_back(std::move(exchange));
  Dispatch();
}

void AsyncHttpClient::Label(std::uint64_t connection, ConnectionLabel label) {
  for (const auto& candidate : connections_) {
    if (candidate->number == connection) candidate->label = label;
  }
}

bool AsyncHttpClient::HasLabelled(ConnectionLabel label) const {
  return std::any_of(connections_.begin(), connections_.end(),
                     [&](const auto& connection) { return connection->label == label; });
}

bool AsyncHttpClient::IsReadyFor(ConnectionLabel label) const {
  if (FindIdle(label) != nullptr) return true;
  return HasLabelled(label) && connections_.size() >= max_connections_;
}

std::shared_ptr<AsyncHttpClient::Connection> AsyncHttpClient::FindIdle(
    std::optional<ConnectionLabel> label) const {
  const auto found =
      std::find_if(connections_.begin(), connections_.end(), [&](const auto& connection) {
        return connection->idle() && (!label || connection->label == label);
      });
  return found == connections_.end() ? nullptr : *found;
}

void AsyncHttpClient::Dispatch() {
  for (auto next = FirstWritable(); next != queue_.end(); next = FirstWritable()) {
    auto connection = FindIdle((*next)->label);
    if (connection == nullptr) {
      connection = std::make_shared<Connection>(this, ++last_connection_);
      connections_.push_back(connection);
    }
    auto exchange = std::move(*next);
    queue_.erase(next);
    ExpireAfter(exchange->expires_at - BootClock().Now(), exchange);
    connection->StartExchange(std::move(exchange));
  }
}

std::deque<std::shared_ptr<AsyncHttpClient::Exchange>>::iterator AsyncHttpClient::FirstWritable() {
  for (auto next = queue_.begin(); next != queue_.end(); ++next) {
    const auto& exchange = *next;
    if (exchange->queue_time_expired() || IsPeerGone(*exchange)) {
      // Fails the exchange from its timer, since no callback may run inside `Send`.
      ExpireAfter(Duration::zero(), exchange);
      continue;
    }
    if (FindIdle(exchange->label) != nullptr) return next;
    if (exchange->label) continue;
    // Without an idle connection, no request behind this one can be written either.
    return connections_.size() < max_connections_ ? next : queue_.end();
  }
  return queue_.end();
}

bool AsyncHttpClient::IsPeerGone(const Exchange& exchange) const {
  return exchange.label && !HasLabelled(*exchange.label);
}

void AsyncHttpClient::ExpireAfter(Duration time, const std::shared_ptr<Exchange>& exchange) {
  exchange->timer.expires_after(time);
  exchange->timer.async_wait([exchange, this](asio::error_code error) {
    if (error || exchange->response_received || exchange->callback == nullptr) return;
    Expire(exchange);
  });
}

void AsyncHttpClient::Expire(const std::shared_ptr<Exchange>& exchange) {
  if (exchange->connection != nullptr) return exchange->connection->Break("timed out");
  std::erase(queue_, exchange);
  exchange->Fail(exchange->queue_time_expired() ? kQueueTimeoutMessage : kConnectionGoneMessage);
}

void AsyncHttpClient::Drop(const Connection* connection) {
  std::erase_if(connections_, [&](const auto& candidate) { return candidate.get() == connection; });
  for (const auto& exchange : queue_) {
    if (IsPeerGone(*exchange)) ExpireAfter(Duration::zero(), exchange);
  }
}

}  // namespace wigeonlane
