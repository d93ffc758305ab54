#include "net/frame_link.h"

#include <netinet/tcp.h>

#include <array>
#include <asio/ip/tcp.hpp>
#include <asio/read.hpp>
#include <asio/steady_timer.hpp>
#include <asio/write.hpp>
#include <cstdint>
#include <cstring>
#include <deque>
#include <unordered_map>
#include <utility>

#include "core/logging.h"
#include "core/text.h"

namespace wigeonlane {
namespace {

using asio::ip::tcp;

constexpr std::size_t kHeaderBytes = 12;
/// A job's body is at most a few hundred KB; larger frames come from no instance of ours.
constexpr std::uint32_t kMaxFrameBytes = 4 * 1024 * 1024;
constexpr std::chrono::milliseconds kUserTimeout{2'000};

std::string Frame(std::uint64_t call, std::string_view bytes) {
  std::string frame(kHeaderBytes, '\0');
  const auto size = static_cast<std::uint32_t>(bytes.size());
  std::memcpy(frame.data(), &size, sizeof(size));
  std::memcpy(frame.data() + sizeof(size), &call, sizeof(call));
  frame.append(bytes);
  return frame;
}

void SetOptions(tcp::socket* socket) {
  asio::error_code ignored;
  socket->set_option(tcp::no_delay(true), ignored);
  const auto timeout = static_cast<unsigned>(kUserTimeout.count());
  ::setsockopt(socket->native_handle(), IPPROTO_TCP, TCP_USER_TIMEOUT, &timeout, sizeof(timeout));
}

/// Reads and writes frames on one socket; the owner says what to do with them.
class FrameStream : public std::enable_shared_from_this<FrameStream> {
 public:
  using OnFrame = std::function<void(std::uint64_t call, std::string bytes)>;
  using OnEnd = std::function<void(const std::string& why)>;

  FrameStream(tcp::socket socket, OnFrame on_frame, OnEnd on_end)
      : socket_(std::move(socket)), on_frame_(std::move(on_frame)), on_end_(std::move(on_end)) {}

  tcp::socket& socket() { return socket_; }

  void Start() {
    SetOptions(&socket_);
    ReadHeader();
  }

  void Write(std::string frame) {
    output_.push_back(std::move(frame));
    if (output_.size() == 1) WriteNext();
  }

  void Close() {
    on_frame_ = nullptr;
    on_end_ = nullptr;
    asio::error_code ignored;
    socket_.close(ignored);
  }

 private:
  void ReadHeader() {
    asio::async_read(socket_, asio::buffer(header_),
                     [self = shared_from_this()](asio::error_code error, std::size_t) {
                       if (error) return self->End(error.message());
                       self->ReadBody();
                     });
  }

  void ReadBody() {
    std::uint32_t size = 0;
    std::memcpy(&size, header_.data(), sizeof(size));
    if (size > kMaxFrameBytes) return End("oversized frame");
    body_.resize(size);
    asio::async_read(socket_, asio::buffer(body_),
                     [self = shared_from_this()](asio::error_code error, std::size_t) {
                       if (error) return self->End(error.message());
                       self->Deliver();
                     });
  }

  void Deliver() {
    std::uint64_t call = 0;
    std::memcpy(&call, header_.data() + sizeof(std::uint32_t), sizeof(call));
    if (on_frame_ == nullptr) return;
    on_frame_(call, std::exchange(body_, {}));
    if (on_frame_ != nullptr) ReadHeader();
  }

  void WriteNext() {
    asio::async_write(socket_, asio::buffer(output_.front()),
                      [self = shared_from_this()](asio::error_code error, std::size_t) {
                        if (error) return self->End(error.message());
                        self->output_.pop_front();
                        if (!self->output_.empty()) self->WriteNext();
                      });
  }

  void End(const std::string& why) {
    OnEnd told = std::exchange(on_end_, nullptr);
    Close();
    if (told) told(why);
  }

  tcp::socket socket_;
  OnFrame on_frame_;
  OnEnd on_end_;
  std::array<char, kHeaderBytes> header_{};
  std::string body_;
  std::deque<std::string> output_;
};

}  // namespace

/// One connection to the server with the calls that wait on it.
class FrameClient::Link : public std::enable_shared_from_this<Link> {
 public:
  Link(asio::io_context* io, const Endpoint& server) : io_(io), server_(server) {}

  bool usable() const { return !ended_; }

  void Call(const std::string& bytes, std::chrono::milliseconds timeout, FrameCallback callback) {
    const std::uint64_t number = ++last_call_;
    Pending& pending = pending_.emplace(number, Pending{std::move(callback), *io_}).first->second;
    pending.timer.expires_after(timeout);
    pending.timer.async_wait(
        [weak = weak_from_this(), number, answers = answers_](asio::error_code error) {
          const auto self = weak.lock();
          if (!error && self != nullptr) self->TimeOut(number, answers);
        });
    std::string frame = Frame(number, bytes);
    if (connected_) {
      stream_->Write(std::move(frame));
    } else {
      unsent_.push_back(std::move(frame));
      Connect();
    }
  }

  void End(const std::string& why) {
    if (std::exchange(ended_, true)) return;
    if (stream_ != nullptr) stream_->Close();
    auto pending = std::move(pending_);
    pending_.clear();
    for (auto& [number, call] : pending) {
      call.timer.cancel();
      FrameOutcome outcome;
      outcome.response = absl::UnavailableError(why);
      outcome.execution = connected_ ? Execution::kMayHaveRun : Execution::kNotRun;
      outcome.connection_refused = refused_;
      call.callback(std::move(outcome));
    }
  }

  void Abandon() {
    pending_.clear();
    End("abandoned");
  }

 private:
  struct Pending {
    FrameCallback callback;
    asio::steady_timer timer;

    Pending(FrameCallback given, asio::io_context& io) : callback(std::move(given)), timer(io) {}
  };

  void Connect() {
    if (stream_ != nullptr) return;
    const auto weak = weak_from_this();
    stream_ = std::make_shared<FrameStream>(
        tcp::socket(*io_),
        [weak](std::uint64_t call, std::string bytes) {
          if (const auto self = weak.lock()) self->Answered(call, std::move(bytes));
        },
        [weak](const std::string& why) {
          if (const auto self = weak.lock()) self->End(why);
        });
    const tcp::endpoint to(asio::ip::make_address(server_.host), server_.port);
    stream_->socket().async_connect(
        to, [self = shared_from_this(), stream = stream_](asio::error_code error) {
          if (self->ended_) return;
          self->refused_ = error == asio::error::connection_refused;
          if (error) return self->End("connect: " + error.message());
          self->connected_ = true;
          stream->Start();
          for (std::string& frame : self->unsent_) stream->Write(std::move(frame));
          self->unsent_.clear();
        });
  }

  /// A link on which nothing came back since the call was sent may have gone silent for good.
  void TimeOut(std::uint64_t number, std::uint64_t answers_at_send) {
    if (answers_ == answers_at_send) return End("timed out");
    const auto found = pending_.find(number);
    if (found == pending_.end()) return;
    FrameCallback callback = std::move(found->second.callback);
    pending_.erase(found);
    callback({absl::UnavailableError("timed out"), Execution::kMayHaveRun, false});
  }

  void Answered(std::uint64_t number, std::string bytes) {
    ++answers_;
    const auto found = pending_.find(number);
    if (found == pending_.end()) return;
    found->second.timer.cancel();
    FrameCallback callback = std::move(found->second.callback);
    pending_.erase(found);
    callback({std::move(bytes), Execution::kRan, false});
  }

  asio::io_context* io_;
  const Endpoint server_;
  std::shared_ptr<FrameStream> stream_;
  std::unordered_map<std::uint64_t, Pending> pending_;
  std::deque<std::string> unsent_;
  std::uint64_t last_call_ = 0;
  std::uint64_t answers_ = 0;
  bool connected_ = false;
  bool refused_ = false;
  bool ended_ = false;
};

FrameClient::FrameClient(asio::io_context* io, const Endpoint& server) : io_(io), server_(server) {}

FrameClient::~FrameClient() {
  if (link_ != nullptr) link_->Abandon();
}

void FrameClient::Call(const std::string& bytes, std::chrono::milliseconds timeout,
                       FrameCallback callback) {
  if (link_ == nullptr || !link_->usable()) link_ = std::make_shared<Link>(io_, server_);
  link_->Call(bytes, timeout, std::move(callback));
}

namespace {

/// Serves one connection of another instance; the pending read keeps the stream alive.
void ServeConnection(tcp::socket socket, const std::shared_ptr<FrameServer::Handler>& handler) {
  const auto self = std::make_shared<std::weak_ptr<FrameStream>>();
  const auto stream = std::make_shared<FrameStream>(
      std::move(socket),
      [handler, self](std::uint64_t call, std::string bytes) {
        (*handler)(std::move(bytes), [to = *self, call](const std::string& response) {
          if (const auto open = to.lock()) open->Write(Frame(call, response));
        });
      },
      [](const std::string& why) {
        LogInfo("peer_connection_ended", {{"why", why}});
      });
  *self = stream;
  stream->Start();
}

}  // namespace

FrameServer::FrameServer(asio::io_context* io, Handler handler)
    : io_(io), handler_(std::make_shared<Handler>(std::move(handler))) {}

FrameServer::~FrameServer() {
  if (acceptor_ != nullptr) acceptor_->Close();
}

absl::Status FrameServer::Listen(const Endpoint& at) {
  acceptor_ = std::make_shared<TcpAcceptor>(io_, [handler = handler_](tcp::socket socket) {
    ServeConnection(std::move(socket), handler);
  });
  return acceptor_->Listen(at);
}

}  // namespace wigeonlane
