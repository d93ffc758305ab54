#include "entry/caller_session.h"

#include <sys/socket.h>

#include <array>
#include <asio/dispatch.hpp>
#include <asio/post.hpp>
#include <asio/steady_timer.hpp>
#include <asio/write.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/status.hpp>
#include <boost/beast/http/string_body.hpp>
#include <utility>

#include "core/text.h"

namespace wigeonlane {
namespace {

namespace http = boost::beast::http;
using asio::ip::tcp;
using Parser = http::request_parser<http::string_body>;

constexpr std::uint32_t kLargestHeader = 16 * 1024;
constexpr std::size_t kReadBytes = 16 * 1024;
constexpr std::uint64_t kBodyOfUnknownService = 64 * 1024;
constexpr std::size_t kLongestKey = 512;
constexpr std::string_view kServicePrefix = "/v1/services/";
constexpr std::string_view kHealthPath = "/healthz";
constexpr std::string_view kReadyPath = "/readyz";
constexpr std::string_view kContinue = "HTTP/1.1 100 Continue\r\n\r\n";

std::string Standard(boost::beast::string_view text) { return {text.data(), text.size()}; }

std::string_view ReasonPhrase(int code) {
  const auto phrase = http::obsolete_reason(http::int_to_status(static_cast<unsigned>(code)));
  return {phrase.data(), phrase.size()};
}

/// Splits "/v1/services/{service}/{path}"; false for any other target.
bool SplitTarget(std::string_view target, std::string* service, std::string* path) {
  if (!target.starts_with(kServicePrefix)) return false;
  target.remove_prefix(kServicePrefix.size());
  const std::size_t end = target.find_first_of("/?");
  *service = target.substr(0, end);
  *path = end == std::string_view::npos ? "/" : std::string(target.substr(end));
  if (path->front() == '?') path->insert(path->begin(), '/');
  return !service->empty();
}

CallerAnswer Plain(std::string body) {
  CallerAnswer answer;
  answer.code = 200;
  answer.execution = Execution::kRan;
  answer.body = std::move(body);
  return answer;
}

/// One caller's connection: reads a request, waits for its answer, writes it, and again.
class Session : public std::enable_shared_from_this<Session> {
 public:
  Session(tcp::socket socket, std::shared_ptr<FrontState> front)
      : socket_(std::move(socket)), timer_(socket_.get_executor()), front_(std::move(front)) {
    ++front_->connections;
  }
  ~Session() { --front_->connections; }
  Session(const Session&) = delete;
  Session& operator=(const Session&) = delete;

  void Start() {
    auto self = shared_from_this();
    asio::dispatch(socket_.get_executor(), [self] { self->BeginRequest(); });
  }

 private:
  void BeginRequest() {
    parser_.emplace();
    parser_->header_limit(kLargestHeader);
    parser_->body_limit(std::uint64_t{1} << 40);  // The real limit is known after the header.
    header_checked_ = false;
    request_ = CallerRequest();
    SetTimer(pending_.empty() ? front_->options.idle_timeout : front_->options.read_timeout);
    if (pending_.empty()) return Read();
    ConsumePending();
  }

  void Read() {
    socket_.async_read_some(asio::buffer(chunk_),
                            [self = shared_from_this()](std::error_code error, std::size_t count) {
                              if (error) return self->OnReadError();
                              if (self->pending_.empty() && !self->parser_->got_some()) {
                                self->SetTimer(self->front_->options.read_timeout);
                              }
                              self->pending_.append(self->chunk_.data(), count);
                              self->ConsumePending();
                            });
  }

  void OnReadError() {
    timer_.cancel();
    const bool midway = !pending_.empty() || parser_->got_some();
    if (timed_out_ && midway) return Reject(408, "the request did not arrive in time");
    std::error_code ignored;
    socket_.close(ignored);
  }

  void ConsumePending() {
    boost::system::error_code error;
    while (!pending_.empty() && !parser_->is_done()) {
      parser_->eager(header_checked_);
      const std::size_t used =
          parser_->put(boost::asio::const_buffer(pending_.data(), pending_.size()), error);
      pending_.erase(0, used);
      if (error == http::error::need_more) {
        error = {};
        if (pending_.size() > kLargestHeader && !parser_->is_header_done()) {
          return Reject(431, "the header is too large");
        }
        break;
      }
      if (error) return RejectMalformed(error);
      if (parser_->is_header_done() && !header_checked_ && !CheckHeader()) return;
    }
    if (parser_->is_done()) return Serve();
    Read();
  }

  /// Checks limits that depend on the service before its body is read.
  bool CheckHeader() {
    header_checked_ = true;
    const auto& message = parser_->get();
    const std::string target = Standard(message.target());
    if (target == kHealthPath || target == kReadyPath) return true;
    if (!SplitTarget(target, &request_.service, &request_.path)) {
      Reject(404, "the path does not begin with /v1/services/{service}");
      return false;
    }
    const std::optional<std::uint32_t> known = front_->handlers.body_limit(request_.service);
    const std::uint64_t limit = known.has_value() ? *known : kBodyOfUnknownService;
    const auto length = parser_->content_length();
    if (length && *length > limit) {
      Reject(413, "the body is larger than the service's profile allows");
      return false;
    }
    parser_->body_limit(limit);
    if (Standard(message[http::field::expect]) == "100-continue") SendContinue();
    return true;
  }

  void SendContinue() {
    // Shorter than any socket buffer; a caller that does not read it gets no answer either way.
    std::error_code ignored;
    socket_.write_some(asio::buffer(kContinue.data(), kContinue.size()), ignored);
  }

  void RejectMalformed(const boost::system::error_code& error) {
    ++front_->malformed;
    if (error == http::error::header_limit) return Reject(431, "the header is too large");
    if (error == http::error::body_limit) {
      return Reject(413, "the body is larger than the service's profile allows");
    }
    Reject(400, "the request is malformed");
  }

  void Reject(int code, std::string_view why) {
    keep_alive_ = false;
    head_ = false;
    request_.request_id = front_->NewRequestId();
    Write(NotRunAnswer(code, why));
  }

  void Serve() {
    timer_.cancel();
    auto& message = parser_->get();
    request_.request_id = front_->NewRequestId();
    request_.method = Standard(message.method_string());
    request_.received = SteadyClock().Now();
    keep_alive_ = message.keep_alive() && !front_->stopping;
    head_ = request_.method == "HEAD";
    request_.idempotency_key = Standard(message[AbslToBeast(header::kIdempotencyKey)]);
    request_.urgency = Standard(message[AbslToBeast(header::kUrgency)]);
    request_.deadline_ms = Standard(message[AbslToBeast(header::kDeadline)]);
    for (const auto& field : message) {
      request_.headers.emplace_back(Standard(field.name_string()), Standard(field.value()));
    }
    request_.body = std::move(message.body());
    if (request_.idempotency_key.size() > kLongestKey) {
      return Write(NotRunAnswer(400, "Idempotency-Key: allowed: up to 512 characters"));
    }
    if (Standard(message.target()) == kHealthPath) return Write(Plain("ok\n"));
    if (!front_->handlers.ready()) {
      CallerAnswer answer = NotRunAnswer(503, "this entry instance is not ready");
      answer.headers.emplace_back(header::kRetryAfter, "1");
      return Write(answer);
    }
    if (Standard(message.target()) == kReadyPath) return Write(Plain("ready\n"));
    auto self = shared_from_this();
    std::string id = request_.request_id;
    serving_ = true;
    front_->handlers.serve(std::move(request_), [self, id](const CallerAnswer& answer) {
      self->request_.request_id = id;
      self->AnswerFromAnyThread(answer);
    });
  }

  /// Writes the answer at once where the socket takes it whole, since a change of threads costs as
  /// much as a request. No operation is pending on the socket while a request is served.
  void AnswerFromAnyThread(const CallerAnswer& answer) {
    out_ = FormatAnswer(answer, request_.request_id, head_, keep_alive_);
    const ssize_t sent =
        ::send(socket_.native_handle(), out_.data(), out_.size(), MSG_DONTWAIT | MSG_NOSIGNAL);
    const std::size_t done = sent < 0 ? 0 : static_cast<std::size_t>(sent);
    auto self = shared_from_this();
    asio::post(socket_.get_executor(), [self, done] {
      self->serving_ = false;
      if (done == self->out_.size()) return self->OnWritten({});
      self->WriteRest(done);
    });
  }

  static boost::beast::string_view AbslToBeast(std::string_view text) {
    return {text.data(), text.size()};
  }

  void Write(const CallerAnswer& answer) {
    out_ = FormatAnswer(answer, request_.request_id, head_, keep_alive_);
    WriteRest(0);
  }

  void WriteRest(std::size_t done) {
    SetTimer(front_->options.read_timeout);
    asio::async_write(socket_, asio::buffer(out_) + done,
                      [self = shared_from_this()](std::error_code error, std::size_t) {
                        self->OnWritten(error);
                      });
  }

  void OnWritten(std::error_code error) {
    timer_.cancel();
    if (!error && keep_alive_ && !front_->stopping) return BeginRequest();
    std::error_code ignored;
    socket_.shutdown(tcp::socket::shutdown_send, ignored);
    if (error) return;
    DrainThenClose();
  }

  /// Reads on for a moment, since closing with unread input would reset the connection and could
  /// take the answer away from the caller.
  void DrainThenClose() {
    SetTimer(std::chrono::milliseconds(500));
    DrainMore();
  }

  void DrainMore() {
    socket_.async_read_some(asio::buffer(chunk_),
                            [self = shared_from_this()](std::error_code error, std::size_t) {
                              if (!error) return self->DrainMore();
                              self->timer_.cancel();
                              std::error_code ignored;
                              self->socket_.close(ignored);
                            });
  }

  void SetTimer(std::chrono::milliseconds period) {
    timed_out_ = false;
    timer_.expires_after(period);
    timer_.async_wait([weak = weak_from_this()](std::error_code error) {
      const auto self = weak.lock();
      if (error || self == nullptr || self->serving_) return;
      if (self->timer_.expiry() > asio::steady_timer::clock_type::now()) return;
      self->timed_out_ = true;
      self->socket_.cancel();
    });
  }

  tcp::socket socket_;
  asio::steady_timer timer_;
  std::shared_ptr<FrontState> front_;
  std::optional<Parser> parser_;
  std::array<char, kReadBytes> chunk_{};
  std::string pending_;
  std::string out_;
  CallerRequest request_;
  std::atomic<bool> serving_{false};
  bool header_checked_ = false;
  bool keep_alive_ = true;
  bool head_ = false;
  bool timed_out_ = false;
};

}  // namespace

std::string FormatAnswer(const CallerAnswer& answer, const std::string& request_id, bool head,
                         bool keep_alive) {
  std::string text = Concat("HTTP/1.1 ", answer.code, " ", ReasonPhrase(answer.code), "\r\n");
  for (const auto& [name, value] : answer.headers) AppendTo(&text, name, ": ", value, "\r\n");
  AppendTo(&text, header::kVerdict, ": ", ToString(answer.execution), "\r\n", header::kRequestId,
           ": ", request_id, "\r\n");
  const bool bodiless = answer.code == 204 || answer.code == 304;
  if (!bodiless) AppendTo(&text, "Content-Length: ", answer.body.size(), "\r\n");
  if (!keep_alive) AppendTo(&text, "Connection: close\r\n");
  text += "\r\n";
  if (!head && !bodiless) text += answer.body;
  return text;
}

CallerAnswer NotRunAnswer(int code, std::string_view why) {
  CallerAnswer answer;
  answer.code = code;
  answer.headers.emplace_back("Content-Type", "application/json");
  answer.body = Concat("{\"verdict\":\"not-run\",\"reason\":\"", why, "\"}\n");
  return answer;
}

void StartCallerSession(tcp::socket socket, std::shared_ptr<FrontState> front) {
  std::make_shared<Session>(std::move(socket), std::move(front))->Start();
}

}  // namespace wigeonlane
