#include "net/async_http_server.h"

#include <asio/ip/tcp.hpp>
#include <asio/post.hpp>
#include <asio/steady_timer.hpp>
#include <asio/write.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/status.hpp>
#include <boost/beast/http/string_body.hpp>
#include <optional>
#include <string>
#include <unordered_set>
#include <utility>

#include "core/http_status.h"
#include "core/logging.h"
#include "core/text.h"
#include "net/http_feed.h"

namespace wigeonlane {
namespace {

namespace http = boost::beast::http;
using asio::ip::tcp;

constexpr std::size_t kReadBytes = 4 * 1024;
constexpr std::string_view kContinue = "HTTP/1.1 100 Continue\r\n\r\n";

std::string Standard(boost::beast::string_view text) { return {text.data(), text.size()}; }

std::string FormatResponse(const HttpResponse& response, bool keep_alive) {
  const auto phrase =
      http::obsolete_reason(http::int_to_status(static_cast<unsigned>(response.code)));
  std::string text = Concat("HTTP/1.1 ", response.code, " ", Standard(phrase),
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
  bool draining = false;
  bool closed = false;
  std::size_t in_flight = 0;
  std::unordered_set<Session*> sessions;
};

/// One connection: reads a request, waits for its answer, writes it, and again.
class AsyncHttpServer::Session : public std::enable_shared_from_this<Session> {
 public:
  Session(tcp::socket socket, std::shared_ptr<Shared> shared)
      : socket_(std::move(socket)), timer_(*shared->io), shared_(std::move(shared)) {
    shared_->sessions.insert(this);
  }

  ~Session() { shared_->sessions.erase(this); }
  Session(const Session&) = delete;
  Session& operator=(const Session&) = delete;

  void Start() {
    asio::error_code ignored;
    socket_.set_option(tcp::no_delay(true), ignored);
    NextRequest();
  }

  bool idle() const { return !answering_ && buffer_.empty(); }

  void Close() {
    timer_.cancel();
    asio::error_code ignored;
    socket_.close(ignored);
  }

 private:
  void NextRequest() {
    const HttpServerLimits limits = shared_->limits();
    parser_.emplace();
    parser_->header_limit(limits.header_bytes);
    parser_->body_limit(limits.body_bytes);
    parser_->eager(true);
    told_to_continue_ = false;
    answering_ = false;
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
      if (error || self == nullptr || self->answering_) return;
      if (self->idle()) return self->Close();
      self->Reject(http_status::kRequestTimeout);
    });
  }

  void Read() {
    const std::size_t filled = buffer_.size();
    buffer_.resize(filled + kReadBytes);
    socket_.async_read_some(
        asio::buffer(buffer_.data() + filled, kReadBytes),
        [self = shared_from_this(), filled](asio::error_code error, std::size_t count) {
          self->buffer_.resize(filled + count);
          if (error || self->answering_) return self->Close();
          if (filled == 0 && !self->parser_->got_some()) {
            self->StartTimer(self->shared_->limits().header_timeout);
          }
          self->Parse();
        });
  }

  void Parse() {
    if (const auto error = FeedParser(&*parser_, &buffer_)) {
      return Reject(StatusOfParseError(error));
    }
    if (parser_->is_done()) return Serve();
    SendContinue();
    Read();
  }

  void SendContinue() {
    if (told_to_continue_ || !parser_->is_header_done()) return;
    if (parser_->get()[http::field::expect] != "100-continue") return;
    told_to_continue_ = true;
    asio::error_code ignored;
    asio::write(socket_, asio::buffer(kContinue.data(), kContinue.size()), ignored);
  }

  void Serve() {
    timer_.cancel();
    answering_ = true;
    auto message = parser_->release();
    keep_alive_ = message.keep_alive();
    HttpRequest request;
    request.method = Standard(message.method_string());
    request.target = Standard(message.target());
    request.host = Standard(message[http::field::host]);
    for (const auto& field : message) {
      request.headers.emplace_back(Standard(field.name_string()), Standard(field.value()));
    }
    request.body = std::move(message.body());
    ++shared_->in_flight;
    shared_->handler(std::move(request), [self = shared_from_this(),
                                          told = false](const HttpResponse& response) mutable {
      if (std::exchange(told, true)) return;
      --self->shared_->in_flight;
      self->Answer(response);
    });
  }

  void Reject(int code) {
    answering_ = true;
    keep_alive_ = false;
    HttpResponse response;
    response.code = code;
    Answer(response);
  }

  void Answer(const HttpResponse& response) {
    const bool keep = keep_alive_ && !shared_->draining;
    output_ = FormatResponse(response, keep);
    asio::async_write(socket_, asio::buffer(output_),
                      [self = shared_from_this(), keep](asio::error_code error, std::size_t) {
                        self->output_.clear();
                        if (error || !keep || self->shared_->closed) return self->Close();
                        self->NextRequest();
                      });
  }

  tcp::socket socket_;
  asio::steady_timer timer_;
  std::shared_ptr<Shared> shared_;
  std::string buffer_;
  std::string output_;
  std::optional<http::request_parser<http::string_body>> parser_;
  bool keep_alive_ = true;
  bool answering_ = false;
  bool told_to_continue_ = false;
};

AsyncHttpServer::AsyncHttpServer(asio::io_context* io, Handler handler, Limits limits)
    : shared_(std::make_shared<Shared>()) {
  shared_->io = io;
  shared_->handler = std::move(handler);
  shared_->limits = std::move(limits);
}

AsyncHttpServer::~AsyncHttpServer() {
  shared_->closed = true;
  if (acceptor_ != nullptr) acceptor_->Close();
  const auto sessions = shared_->sessions;
  for (Session* session : sessions) session->Close();
}

absl::Status AsyncHttpServer::Listen(const Endpoint& at) {
  acceptor_ = std::make_shared<TcpAcceptor>(shared_->io, [shared = shared_](tcp::socket socket) {
    if (shared->sessions.size() >= shared->limits().max_connections) return;
    std::make_shared<Session>(std::move(socket), shared)->Start();
  });
  return acceptor_->Listen(at);
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
