#include "net/frame_link.h"

#include <netinet/tcp.h>

#include <algorithm>
#include <array>
#include <asio/ip/tcp.hpp>
#include <asio/post.hpp>
#include <asio/read.hpp>
#include <asio/steady_timer.hpp>
#include <asio/write.hpp>
#include <cstdint>
#include <cstring>
#include <deque>
#include <limits>
#include <map>
#include <optional>
#include <unordered_map>
#include <utility>

#include "core/boot_clock.h"
#include "core/logging.h"
#include "core/text.h"
#include "net/http_feed.h"

namespace wigeonlane {
namespace {

using asio::ip::tcp;

constexpr std::size_t kHeaderBytes = 12;
/// The body of a job is at most a few hundred KB, so no instance sends a larger frame.
constexpr std::uint32_t kMaxFrameBytes = 4 * 1024 * 1024;
/// A frame takes memory in parts as its bytes arrive, not as the header announces.
constexpr std::size_t kFramePartBytes = 64 * 1024;
/// Responses that wait on one connection. A peer that reads none is disconnected.
constexpr std::size_t kMaxWaitingBytes = 8 * 1024 * 1024;
/// Bounds how long a connection stays open when the peer does not acknowledge sent bytes.
constexpr std::chrono::milliseconds kUserTimeout{2'000};

std::string EncodeFrame(std::uint64_t call, std::string_view bytes) {
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

/// Reads and writes frames on one socket. Passes each received frame to `on_frame`, and the reason
/// for the end of the connection to `on_end`.
class FrameStream : public std::enable_shared_from_this<FrameStream> {
 public:
  using OnFrame = std::function<void(std::uint64_t call, std::string bytes)>;
  using OnEnd = std::function<void(const std::string& reason)>;

  FrameStream(tcp::socket socket, OnFrame on_frame, OnEnd on_end)
      : socket_(std::move(socket)), on_frame_(std::move(on_frame)), on_end_(std::move(on_end)) {}

  tcp::socket& socket() { return socket_; }

  /// Ends the stream when the peer reads no responses, and reports the bytes that it holds to
  /// `budget`, which may end it. For connections that others have opened.
  void LimitBy(const std::shared_ptr<ByteBudget>& budget, asio::io_context* io) {
    max_waiting_bytes_ = kMaxWaitingBytes;
    if (budget == nullptr) return;
    account_.emplace(budget, [weak = weak_from_this(), io] {
      asio::post(*io, [weak] {
        if (const auto self = weak.lock()) self->End("holds too much memory");
      });
    });
  }

  Instant active_at() const { return active_at_; }

  void End(const std::string& reason) {
    OnEnd on_end = std::exchange(on_end_, nullptr);
    Close();
    if (on_end) on_end(reason);
  }

  void Start() {
    SetOptions(&socket_);
    ReadHeader();
  }

  void Write(std::string frame) {
    waiting_bytes_ += frame.size();
    if (waiting_bytes_ > max_waiting_bytes_) return End("the peer reads no responses");
    output_.push_back(std::move(frame));
    ReportHeldBytes();
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
    if (size > kMaxFrameBytes) return End("frame exceeds the size limit");
    ReadPart(size);
  }

  /// Reads the next part of a frame of `size` bytes.
  void ReadPart(std::size_t size) {
    const std::size_t filled = body_.size();
    if (filled == size) return Deliver();
    const std::size_t end = std::min(size, filled + kFramePartBytes);
    if (end > body_.capacity()) body_.reserve(std::min(size, std::max(end, 2 * filled)));
    body_.resize(end);
    ReportHeldBytes();
    asio::async_read(socket_, asio::buffer(body_.data() + filled, end - filled),
                     [self = shared_from_this(), size](asio::error_code error, std::size_t) {
                       if (error) return self->End(error.message());
                       self->ReadPart(size);
                     });
  }

  void ReportHeldBytes() {
    if (account_) account_->Set(HeldBytes(body_) + waiting_bytes_, true, BootClock().Now());
  }

  void Deliver() {
    std::uint64_t call = 0;
    std::memcpy(&call, header_.data() + sizeof(std::uint32_t), sizeof(call));
    if (on_frame_ == nullptr) return;
    active_at_ = BootClock().Now();
    std::string body = std::exchange(body_, {});
    ReportHeldBytes();
    on_frame_(call, std::move(body));
    if (on_frame_ != nullptr) ReadHeader();
  }

  void WriteNext() {
    asio::async_write(socket_, asio::buffer(output_.front()),
                      [self = shared_from_this()](asio::error_code error, std::size_t) {
                        if (error) return self->End(error.message());
                        self->waiting_bytes_ -= self->output_.front().size();
                        self->output_.pop_front();
                        self->ReportHeldBytes();
                        if (!self->output_.empty()) self->WriteNext();
                      });
  }

  tcp::socket socket_;
  OnFrame on_frame_;
  OnEnd on_end_;
  std::array<char, kHeaderBytes> header_{};
  std::string body_;
  std::deque<std::string> output_;
  std::size_t waiting_bytes_ = 0;  ///< In `output_`.
  std::size_t max_waiting_bytes_ = std::numeric_limits<std::size_t>::max();
  Instant active_at_ = BootClock().Now();  ///< When a frame was read last.
  std::optional<ByteBudget::Account> account_;
};

}  // namespace

/// One connection to the server and the calls that wait for a response on it.
class FrameClient::Link : public std::enable_shared_from_this<Link> {
 public:
  Link(asio::io_context* io, const Endpoint& server) : io_(io), server_(server) {}

  bool usable() const { return !ended_; }

  void Call(const std::string& bytes, std::chrono::milliseconds timeout, FrameCallback callback) {
    const std::uint64_t number = ++last_call_number_;
    Pending& pending = pending_.emplace(number, Pending{std::move(callback), *io_}).first->second;
    pending.timer.expires_after(timeout);
    pending.timer.async_wait([weak = weak_from_this(), number,
                              responses_at_send = responses_received_](asio::error_code error) {
      const auto self = weak.lock();
      if (!error && self != nullptr) self->TimeOut(number, responses_at_send);
    });
    std::string frame = EncodeFrame(number, bytes);
    if (connected_) {
      stream_->Write(std::move(frame));
    } else {
      unsent_.push_back(std::move(frame));
      Connect();
    }
  }

  void End(const std::string& reason) {
    if (std::exchange(ended_, true)) return;
    if (stream_ != nullptr) stream_->Close();
    auto pending = std::move(pending_);
    pending_.clear();
    for (auto& [number, call] : pending) {
      call.timer.cancel();
      FrameOutcome outcome;
      outcome.response = absl::UnavailableError(reason);
      outcome.execution = connected_ ? Execution::kMayHaveRun : Execution::kNotRun;
      outcome.connection_refused = connection_refused_;
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

    Pending(FrameCallback on_outcome, asio::io_context& io)
        : callback(std::move(on_outcome)), timer(io) {}
  };

  void Connect() {
    if (stream_ != nullptr) return;
    const auto weak = weak_from_this();
    stream_ = std::make_shared<FrameStream>(
        tcp::socket(*io_),
        [weak](std::uint64_t call, std::string bytes) {
          if (const auto self = weak.lock()) self->HandleResponse(call, std::move(bytes));
        },
        [weak](const std::string& reason) {
          if (const auto self = weak.lock()) self->End(reason);
        });
    const tcp::endpoint to(asio::ip::make_address(server_.host), server_.port);
    stream_->socket().async_connect(
        to, [self = shared_from_this(), stream = stream_](asio::error_code error) {
          if (self->ended_) return;
          self->connection_refused_ = error == asio::error::connection_refused;
          if (error) return self->End("connect: " + error.message());
          self->connected_ = true;
          stream->Start();
          for (std::string& frame : self->unsent_) stream->Write(std::move(frame));
          self->unsent_.clear();
        });
  }

  /// Fails one call. Closes the connection when no response at all has arrived since the call was
  /// sent, because the connection may be dead.
  void TimeOut(std::uint64_t number, std::uint64_t responses_at_send) {
    if (responses_received_ == responses_at_send) return End("timed out");
    const auto entry = pending_.find(number);
    if (entry == pending_.end()) return;
    FrameCallback callback = std::move(entry->second.callback);
    pending_.erase(entry);
    callback({absl::UnavailableError("timed out"), Execution::kMayHaveRun, false});
  }

  void HandleResponse(std::uint64_t number, std::string bytes) {
    ++responses_received_;
    const auto entry = pending_.find(number);
    if (entry == pending_.end()) return;
    entry->second.timer.cancel();
    FrameCallback callback = std::move(entry->second.callback);
    pending_.erase(entry);
    callback({std::move(bytes), Execution::kRan, false});
  }

  asio::io_context* io_;
  const Endpoint server_;
  std::shared_ptr<FrameStream> stream_;
  std::unordered_map<std::uint64_t, Pending> pending_;
  std::deque<std::string> unsent_;
  std::uint64_t last_call_number_ = 0;
  std::uint64_t responses_received_ = 0;
  bool connected_ = false;
  bool connection_refused_ = false;
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

/// State that the acceptor and all connections of a server share.
struct FrameServer::Shared {
  asio::io_context* io = nullptr;
  Handler handler;
  std::shared_ptr<ByteBudget> budget;
  std::size_t max_connections = 0;
  std::map<std::uint64_t, std::weak_ptr<FrameStream>> streams;
  std::uint64_t last_stream = 0;
};

namespace {

/// Ends the connection on which no frame has arrived for longest.
template <typename Streams>
void EndLongestIdle(const Streams& streams) {
  std::shared_ptr<FrameStream> longest;
  for (const auto& [number, weak] : streams) {
    const auto stream = weak.lock();
    if (stream != nullptr && (longest == nullptr || stream->active_at() < longest->active_at())) {
      longest = stream;
    }
  }
  if (longest != nullptr) longest->End("makes place for another connection");
}

/// Serves one connection from another instance. The pending read keeps the stream alive.
template <typename Shared>
void ServeConnection(tcp::socket socket, const std::shared_ptr<Shared>& shared) {
  if (shared->streams.size() >= shared->max_connections) EndLongestIdle(shared->streams);
  const std::uint64_t number = ++shared->last_stream;
  const auto self = std::make_shared<std::weak_ptr<FrameStream>>();
  const auto stream = std::make_shared<FrameStream>(
      std::move(socket),
      [shared, self](std::uint64_t call, std::string bytes) {
        shared->handler(std::move(bytes), [to = *self, call](const std::string& response) {
          if (const auto open = to.lock()) open->Write(EncodeFrame(call, response));
        });
      },
      [shared, number](const std::string& reason) {
        shared->streams.erase(number);
        LogInfo("peer_connection_ended", {{"why", reason}});
      });
  shared->streams[number] = stream;
  *self = stream;
  stream->LimitBy(shared->budget, shared->io);
  stream->Start();
}

}  // namespace

FrameServer::FrameServer(asio::io_context* io, Handler handler, std::shared_ptr<ByteBudget> budget,
                         std::size_t max_connections)
    : shared_(std::make_shared<Shared>()) {
  shared_->io = io;
  shared_->handler = std::move(handler);
  shared_->budget = std::move(budget);
  shared_->max_connections = max_connections;
}

FrameServer::~FrameServer() {
  if (acceptor_ != nullptr) acceptor_->Close();
}

absl::Status FrameServer::Listen(const Endpoint& address) {
  acceptor_ = std::make_shared<TcpAcceptor>(shared_->io, [shared = shared_](tcp::socket socket) {
    ServeConnection(std::move(socket), shared);
  });
  return acceptor_->Listen(address);
}

}  // namespace wigeonlane
