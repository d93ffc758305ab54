#include "entry/caller_session.h"

#include <sys/socket.h>

#include <array>
#include <asio/dispatch.hpp>
#include <asio/post.hpp>
#include <asio/steady_timer.hpp>
#include <asio/write.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/status.hpp>
#include <utility>

#include "core/text.h"
#include "net/http_body.h"
#include "net/http_feed.h"

namespace wigeonlane {
namespace {

namespace http = boost::beast::http;
using asio::ip::tcp;
using Parser = http::request_parser<GrowingStringBody>;

constexpr std::uint32_t kMaxHeaderBytes = 16 * 1024;
constexpr std::size_t kReadBufferBytes = 8 * 1024;
/// A read adds at most its buffer to a header that is just within its limit.
constexpr std::size_t kMaxUnparsedBytes = kMaxHeaderBytes + kReadBufferBytes;
/// Seconds after which a caller may return whose request was dropped for want of memory.
constexpr std::string_view kRetryAfterEviction = "3";
constexpr std::uint64_t kMaxBodyBytesOfUnknownService = 64 * 1024;
constexpr std::size_t kMaxIdempotencyKeyBytes = 512;
constexpr std::string_view kServicePrefix = "/v1/services/";
constexpr std::string_view kHealthPath = "/healthz";
constexpr std::string_view kReadyPath = "/readyz";
constexpr std::string_view kContinue = "HTTP/1.1 100 Continue\r\n\r\n";

std::string ToStdString(boost::beast::string_view text) { return {text.data(), text.size()}; }

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

CallerResponse MakeTextResponse(std::string body) {
  CallerResponse response;
  response.code = 200;
  response.execution = Execution::kRan;
  response.body = std::move(body);
  return response;
}

/// Returns whether `bytes` hold a whole head, or begin in a way that no head does.
bool MayParseHead(std::string_view bytes) {
  return bytes.starts_with('\r') || bytes.starts_with('\n') ||
         bytes.find("\n\r\n") != std::string_view::npos ||
         bytes.find("\n\n") != std::string_view::npos;
}

/// One caller's connection: reads a request, waits for its response, writes it, and repeats.
class Session : public std::enable_shared_from_this<Session> {
 public:
  Session(tcp::socket socket, std::shared_ptr<FrontEndState> front_end)
      : socket_(std::move(socket)),
        timer_(socket_.get_executor()),
        front_end_(std::move(front_end)) {
    ++front_end_->connections;
  }
  ~Session() { --front_end_->connections; }
  Session(const Session&) = delete;
  Session& operator=(const Session&) = delete;

  void Start() {
    auto self = shared_from_this();
    account_.emplace(front_end_->budget, [weak = weak_from_this(), on = socket_.get_executor()] {
      asio::post(on, [weak] {
        if (const auto evicted = weak.lock()) evicted->Evict();
      });
    });
    asio::dispatch(socket_.get_executor(), [self] { self->BeginRequest(); });
  }

 private:
  void BeginRequest() {
    parser_.emplace();
    parser_->header_limit(kMaxHeaderBytes);
    parser_->body_limit(std::uint64_t{1} << 40);  // CheckHeader sets the service's limit.
    header_checked_ = false;
    request_ = CallerRequest();
    evicted_ = false;
    served_bytes_ = header_bytes_ = 0;
    if (unparsed_.empty()) ReleaseMemory(&unparsed_);
    SetTimer(unparsed_.empty() ? front_end_->options.idle_timeout
                               : front_end_->options.read_timeout);
    if (unparsed_.empty()) return Read();
    ParseReceived();
  }

  /// Gives up the request or the response for which the connection holds memory. A request that has
  /// begun to run is finished.
  void Evict() {
    if (serving_ || !socket_.is_open()) return;
    evicted_ = true;
    socket_.cancel();
  }

  void ReportHeldBytes() {
    const std::size_t message =
        parser_ ? HeldBytes(parser_->get().body()) + header_bytes_ * kMemoryPerHeaderByte : 0;
    const std::size_t held =
        HeldBytes(unparsed_) + message + served_bytes_ + HeldBytes(response_bytes_);
    account_->Set(held, !serving_, SteadyClock().Now());
  }

  void Read() {
    ReportHeldBytes();
    // The read before was complete when the eviction tried to cancel it.
    if (evicted_) return OnReadError();
    socket_.async_read_some(
        asio::buffer(read_buffer_),
        [self = shared_from_this()](std::error_code error, std::size_t byte_count) {
          if (error) return self->OnReadError();
          if (self->unparsed_.empty() && !self->parser_->got_some()) {
            self->SetTimer(self->front_end_->options.read_timeout);
          }
          self->unparsed_.append(self->read_buffer_.data(), byte_count);
          self->ParseReceived();
        });
  }

  void OnReadError() {
    timer_.cancel();
    if (std::exchange(evicted_, false) && !timed_out_ &&
        (!unparsed_.empty() || parser_->got_some())) {
      CallerResponse response = MakeNotRunResponse(503, "too much memory is held by requests");
      response.headers.emplace_back(header::kRetryAfter, std::string(kRetryAfterEviction));
      return Refuse(response);
    }
    const bool request_incomplete = !unparsed_.empty() || parser_->got_some();
    if (timed_out_ && request_incomplete) return Reject(408, "the request did not arrive in time");
    std::error_code ignored;
    socket_.close(ignored);
  }

  void ParseReceived() {
    // An unfinished head stays as it was received: its parsed fields would take many times the
    // memory.
    if (!header_checked_ && !MayParseHead(unparsed_)) {
      if (unparsed_.size() >= kMaxHeaderBytes) return Reject(431, "the header is too large");
      return Read();
    }
    boost::system::error_code error;
    while (!unparsed_.empty() && !parser_->is_done()) {
      parser_->eager(header_checked_);
      const std::size_t used =
          parser_->put(boost::asio::const_buffer(unparsed_.data(), unparsed_.size()), error);
      unparsed_.erase(0, used);
      if (!parser_->is_header_done()) header_bytes_ += used;
      if (header_bytes_ > kMaxHeaderBytes) return Reject(431, "the header is too large");
      if (error == http::error::need_more) {
        error = {};
        const std::size_t limit = parser_->is_header_done() ? kMaxUnparsedBytes : kMaxHeaderBytes;
        if (unparsed_.size() > limit) return Reject(431, "a line or the header is too large");
        break;
      }
      if (error) return RejectMalformed(error);
      if (parser_->is_header_done() && !header_checked_ && !CheckHeader()) return;
    }
    if (parser_->is_done()) return ServeRequest();
    Read();
  }

  /// Checks the path and the service's body limit before the body is read.
  bool CheckHeader() {
    header_checked_ = true;
    const auto& message = parser_->get();
    const std::string target = ToStdString(message.target());
    const bool is_own_path = target == kHealthPath || target == kReadyPath;
    if (!is_own_path && !SplitTarget(target, &request_.service, &request_.path)) {
      Reject(404, "the path does not begin with /v1/services/{service}");
      return false;
    }
    const std::optional<std::uint32_t> service_limit =
        is_own_path ? std::nullopt : front_end_->handlers.body_limit(request_.service);
    const std::uint64_t limit =
        service_limit.has_value() ? *service_limit : kMaxBodyBytesOfUnknownService;
    const auto length = parser_->content_length();
    if (length && *length > limit) {
      Reject(413, "the body is larger than the service's profile allows");
      return false;
    }
    parser_->body_limit(limit);
    if (ToStdString(message[http::field::expect]) == "100-continue") SendContinue();
    return true;
  }

  void SendContinue() {
    // The line fits into any socket buffer. A caller that does not read it would not read the
    // response either, so errors are ignored.
    std::error_code ignored;
    socket_.write_some(asio::buffer(kContinue.data(), kContinue.size()), ignored);
  }

  void RejectMalformed(const boost::system::error_code& error) {
    ++front_end_->malformed;
    if (error == http::error::header_limit) return Reject(431, "the header is too large");
    if (error == http::error::body_limit) {
      return Reject(413, "the body is larger than the service's profile allows");
    }
    Reject(400, "the request is malformed");
  }

  void Reject(int code, std::string_view reason) { Refuse(MakeNotRunResponse(code, reason)); }

  /// Refuses a request of which nothing has run, and closes the connection.
  void Refuse(const CallerResponse& response) {
    keep_alive_ = false;
    is_head_request_ = false;
    parser_.reset();
    ReleaseMemory(&unparsed_);
    request_.request_id = front_end_->NewRequestId();
    Write(response);
  }

  void ServeRequest() {
    timer_.cancel();
    auto& message = parser_->get();
    request_.request_id = front_end_->NewRequestId();
    request_.method = ToStdString(message.method_string());
    request_.received = SteadyClock().Now();
    keep_alive_ = message.keep_alive() && !front_end_->stopping;
    is_head_request_ = request_.method == "HEAD";
    request_.idempotency_key = ToStdString(message[ToBeast(header::kIdempotencyKey)]);
    request_.urgency = ToStdString(message[ToBeast(header::kUrgency)]);
    request_.deadline_ms = ToStdString(message[ToBeast(header::kDeadline)]);
    for (const auto& field : message) {
      request_.headers.emplace_back(ToStdString(field.name_string()), ToStdString(field.value()));
    }
    request_.body = std::move(message.body());
    served_bytes_ = request_.body.capacity();
    if (request_.idempotency_key.size() > kMaxIdempotencyKeyBytes) {
      return Write(MakeNotRunResponse(400, "Idempotency-Key: allowed: up to 512 characters"));
    }
    if (ToStdString(message.target()) == kHealthPath) return Write(MakeTextResponse("ok\n"));
    if (!front_end_->handlers.ready()) {
      CallerResponse response = MakeNotRunResponse(503, "this entry instance is not ready");
      response.headers.emplace_back(header::kRetryAfter, "1");
      return Write(response);
    }
    if (ToStdString(message.target()) == kReadyPath) return Write(MakeTextResponse("ready\n"));
    auto self = shared_from_this();
    std::string id = request_.request_id;
    serving_ = true;
    ReportHeldBytes();
    front_end_->handlers.serve(std::move(request_), [self, id](const CallerResponse& response) {
      self->request_.request_id = id;
      self->RespondFromAnyThread(response);
    });
  }

  /// Writes the response from the calling thread as far as the socket accepts it, since a switch of
  /// threads costs as much as a request. This is safe because no operation is pending on the socket
  /// while a request is served.
  void RespondFromAnyThread(const CallerResponse& response) {
    response_bytes_ =
        FormatCallerResponse(response, request_.request_id, is_head_request_, keep_alive_);
    const ssize_t sent = ::send(socket_.native_handle(), response_bytes_.data(),
                                response_bytes_.size(), MSG_DONTWAIT | MSG_NOSIGNAL);
    const std::size_t bytes_sent = sent < 0 ? 0 : static_cast<std::size_t>(sent);
    auto self = shared_from_this();
    asio::post(socket_.get_executor(), [self, bytes_sent] {
      self->serving_ = false;
      self->served_bytes_ = 0;
      if (bytes_sent == self->response_bytes_.size()) return self->OnWritten({});
      self->WriteRemaining(bytes_sent);
    });
  }

  static boost::beast::string_view ToBeast(std::string_view text) {
    return {text.data(), text.size()};
  }

  void Write(const CallerResponse& response) {
    response_bytes_ =
        FormatCallerResponse(response, request_.request_id, is_head_request_, keep_alive_);
    WriteRemaining(0);
  }

  void WriteRemaining(std::size_t bytes_sent) {
    SetTimer(front_end_->options.read_timeout);
    ReportHeldBytes();
    asio::async_write(socket_, asio::buffer(response_bytes_) + bytes_sent,
                      [self = shared_from_this()](std::error_code error, std::size_t) {
                        self->OnWritten(error);
                      });
  }

  void OnWritten(std::error_code error) {
    timer_.cancel();
    ReleaseMemory(&response_bytes_);
    if (!error && keep_alive_ && !front_end_->stopping) return BeginRequest();
    std::error_code ignored;
    socket_.shutdown(tcp::socket::shutdown_send, ignored);
    if (error) return;
    DrainThenClose();
  }

  /// Reads and discards input for 500 ms before closing. Closing with unread input would reset the
  /// connection, and the caller could lose the response.
  void DrainThenClose() {
    SetTimer(std::chrono::milliseconds(500));
    ReadAndDiscard();
  }

  void ReadAndDiscard() {
    socket_.async_read_some(asio::buffer(read_buffer_),
                            [self = shared_from_this()](std::error_code error, std::size_t) {
                              if (!error) return self->ReadAndDiscard();
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
  std::shared_ptr<FrontEndState> front_end_;
  std::optional<Parser> parser_;
  std::array<char, kReadBufferBytes> read_buffer_{};
  std::string unparsed_;
  std::string response_bytes_;
  CallerRequest request_;
  std::optional<ByteBudget::Account> account_;
  std::size_t header_bytes_ = 0;  ///< Of the request that is read.
  std::size_t served_bytes_ = 0;  ///< Body of the request that is served.
  std::atomic<bool> serving_{false};
  bool header_checked_ = false;
  bool keep_alive_ = true;
  bool is_head_request_ = false;
  bool timed_out_ = false;
  bool evicted_ = false;
};

}  // namespace

std::string FormatCallerResponse(const CallerResponse& response, const std::string& request_id,
                                 bool head, bool keep_alive) {
  std::string text = Concat("HTTP/1.1 ", response.code, " ", ReasonPhrase(response.code), "\r\n");
  for (const auto& [name, value] : response.headers) AppendTo(&text, name, ": ", value, "\r\n");
  AppendTo(&text, header::kVerdict, ": ", ToString(response.execution), "\r\n", header::kRequestId,
           ": ", request_id, "\r\n");
  const bool bodiless = response.code == 204 || response.code == 304;
  if (!bodiless) AppendTo(&text, "Content-Length: ", response.body.size(), "\r\n");
  if (!keep_alive) AppendTo(&text, "Connection: close\r\n");
  text += "\r\n";
  if (!head && !bodiless) text += response.body;
  return text;
}

CallerResponse MakeNotRunResponse(int code, std::string_view reason) {
  CallerResponse response;
  response.code = code;
  response.headers.emplace_back("Content-Type", "application/json");
  response.body = Concat("{\"verdict\":\"not-run\",\"reason\":\"", reason, "\"}\n");
  return response;
}

void StartCallerSession(tcp::socket socket, std::shared_ptr<FrontEndState> front_end) {
  std::make_shared<Session>(std::move(socket), std::move(front_end))->Start();
}

}  // namespace wigeonlane
