#include "entry/runner_client.h"

#include <httplib.h>
#include <poll.h>

#include <algorithm>

#include "absl/strings/match.h"
#include "absl/strings/numbers.h"
#include "core/digest.h"
#include "core/text.h"

namespace wigeonlane {
namespace {

constexpr std::chrono::milliseconds kLongestConnect{1'000};
/// Shorter than the idle timeouts of backend servers, so that a request seldom meets a connection
/// that the other side closes at that moment, which would leave its execution in doubt.
constexpr Duration kLongestIdle = std::chrono::milliseconds(1'500);
/// How far beyond its deadline a trickling answer may be read.
constexpr std::chrono::milliseconds kWatchInterval{25};
constexpr std::size_t kLargestAnswer = 64 * 1024 * 1024;

constexpr std::array<std::string_view, 9> kHopHeaders = {
    "Connection", "Keep-Alive", "Transfer-Encoding", "Content-Length", "Upgrade",
    "Host",       "TE",         "Trailer",           "Expect"};

bool IsHopHeader(const std::string& name) {
  return std::any_of(kHopHeaders.begin(), kHopHeaders.end(), [&](std::string_view hop) {
    return absl::EqualsIgnoreCase(name, AbslView(hop));
  });
}

bool IsOurs(const std::string& name) { return absl::StartsWithIgnoreCase(name, "Wigeonlane-"); }

httplib::Request MakeRequest(const CallerRequest& request, std::chrono::milliseconds remaining) {
  httplib::Request made;
  made.method = request.method;
  made.path = request.path;
  for (const auto& [name, value] : request.headers) {
    if (!IsHopHeader(name) && !IsOurs(name)) made.headers.emplace(name, value);
  }
  made.headers.emplace(header::kRequestId, request.request_id);
  made.headers.emplace(header::kDeadline, std::to_string(remaining.count()));
  made.body = request.body;
  return made;
}

/// Whether the end of the body is proven: by a length or chunks, not by the connection's close.
bool IsWhole(const std::string& method, const httplib::Response& response) {
  if (method == "HEAD" || response.status == 204 || response.status == 304) return true;
  if (response.has_header("Transfer-Encoding")) {
    return absl::EqualsIgnoreCase(response.get_header_value("Transfer-Encoding"), "chunked");
  }
  std::uint64_t length = 0;
  return absl::SimpleAtoi(response.get_header_value("Content-Length"), &length) &&
         length == response.body.size();
}

RunnerAnswer MakeAnswer(httplib::Response* response) {
  RunnerAnswer answer;
  answer.code = response->status;
  for (auto& [name, value] : response->headers) {
    if (!IsHopHeader(name) && !IsOurs(name)) answer.headers.emplace_back(name, value);
  }
  answer.body = std::move(response->body);
  return answer;
}

bool HasUnreadBytes(httplib::Client* client) {
  pollfd descriptor{client->socket(), POLLIN, 0};
  return poll(&descriptor, 1, 0) != 0;
}

}  // namespace

struct RunnerClient::Connection {
  explicit Connection(const Endpoint& runner) : client(runner.host, runner.port) {
    client.set_keep_alive(true);
    client.set_tcp_nodelay(true);
    client.set_decompress(false);
    client.set_follow_location(false);
  }

  httplib::Client client;
  Instant idle_since{};
};

struct RunnerClient::Shard {
  std::mutex mutex;
  std::map<Endpoint, std::vector<std::unique_ptr<Connection>>> idle;
};

/// Ends calls whose answer trickles in beyond the deadline, which timeouts of single reads miss.
class RunnerClient::DeadlineWatch {
 public:
  DeadlineWatch() : thread_([this] { Run(); }) {}

  ~DeadlineWatch() {
    {
      const std::lock_guard lock(mutex_);
      stopping_ = true;
    }
    wake_.notify_all();
    thread_.join();
  }

  /// Watches one call for the lifetime of the guard.
  class Guard {
   public:
    Guard(DeadlineWatch* watch, Instant deadline, httplib::Client* client) : watch_(*watch) {
      const std::lock_guard lock(watch_.mutex_);
      key_ = {deadline, ++watch_.next_};
      watch_.calls_.emplace(key_, client);
    }
    ~Guard() {
      const std::lock_guard lock(watch_.mutex_);
      watch_.calls_.erase(key_);
    }
    Guard(const Guard&) = delete;
    Guard& operator=(const Guard&) = delete;

   private:
    DeadlineWatch& watch_;
    std::pair<Instant, std::uint64_t> key_;
  };

 private:
  void Run() {
    std::unique_lock lock(mutex_);
    // Looks at fixed intervals: waking this thread for each call would cost more than the call.
    while (!wake_.wait_for(lock, kWatchInterval, [this] { return stopping_; })) {
      const Instant now = SteadyClock().Now();
      while (!calls_.empty() && calls_.begin()->first.first <= now) {
        // Called under the lock, so that the guard cannot let the client go meanwhile.
        calls_.begin()->second->stop();
        calls_.erase(calls_.begin());
      }
    }
  }

  std::mutex mutex_;
  std::condition_variable wake_;
  std::map<std::pair<Instant, std::uint64_t>, httplib::Client*> calls_;
  std::uint64_t next_ = 0;
  bool stopping_ = false;
  std::thread thread_;
};

RunnerClient::RunnerClient(const SteadyClock& clock)
    : clock_(clock), watch_(std::make_unique<DeadlineWatch>()) {
  for (auto& shard : shards_) shard = std::make_unique<Shard>();
}

RunnerClient::~RunnerClient() = default;

AttemptResult RunnerClient::Send(const Endpoint& runner, const CallerRequest& request,
                                 Instant deadline) {
  const auto remaining =
      std::chrono::duration_cast<std::chrono::milliseconds>(deadline - clock_.Now());
  if (remaining <= std::chrono::milliseconds(0)) {
    return {Execution::kNotRun,
            absl::DeadlineExceededError("deadline passed before sending"),
            {},
            false};
  }
  std::unique_ptr<Connection> connection = TakeIdle(runner);
  if (connection == nullptr) connection = std::make_unique<Connection>(runner);
  httplib::Client& client = connection->client;
  const auto connect = std::min(remaining, kLongestConnect);
  client.set_connection_timeout(connect.count() / 1000, (connect.count() % 1000) * 1000);
  client.set_read_timeout(remaining);
  client.set_write_timeout(remaining);

  httplib::Request made = MakeRequest(request, remaining);
  made.progress = [](std::uint64_t /*current*/, std::uint64_t total) {
    return total <= kLargestAnswer;
  };
  httplib::Response response;
  httplib::Error error = httplib::Error::Success;
  bool whole = false;
  {
    const DeadlineWatch::Guard guard(watch_.get(), deadline, &client);
    whole = client.send(made, response, error);
  }
  if (!whole) {
    const bool unsent =
        error == httplib::Error::Connection || error == httplib::Error::ConnectionTimeout;
    const std::string why = Concat("runner ", runner.ToString(), ": ", httplib::to_string(error));
    const bool late = clock_.Now() >= deadline;
    return {unsent ? Execution::kNotRun : Execution::kMayHaveRun,
            late ? absl::DeadlineExceededError(why) : absl::UnknownError(why),
            {},
            true};
  }
  if (response.get_header_value(std::string(header::kRequestId)) != request.request_id) {
    return {Execution::kMayHaveRun,
            absl::UnknownError(Concat("runner ", runner.ToString(), ": answer to another request")),
            {},
            true};
  }
  if (!IsWhole(request.method, response)) {
    return {Execution::kMayHaveRun,
            absl::UnknownError(Concat("runner ", runner.ToString(), ": answer of unproven length")),
            {},
            true};
  }
  const bool refused = response.status == 503 &&
                       response.get_header_value(std::string(header::kRefused)) == "not-run";
  KeepIdle(runner, std::move(connection));
  if (refused) {
    return {Execution::kNotRun,
            absl::UnavailableError(Concat("runner ", runner.ToString(), " refused")),
            {},
            true};
  }
  const bool failed = response.status >= 500;
  return {Execution::kRan, absl::OkStatus(), MakeAnswer(&response), failed};
}

RunnerClient::Shard& RunnerClient::ShardOf(const Endpoint& runner) {
  return *shards_[ShortDigestOf(runner.ToString()) % kShards];
}

std::unique_ptr<RunnerClient::Connection> RunnerClient::TakeIdle(const Endpoint& runner) {
  Shard& shard = ShardOf(runner);
  const std::lock_guard lock(shard.mutex);
  auto& idle = shard.idle[runner];
  while (!idle.empty()) {
    std::unique_ptr<Connection> connection = std::move(idle.back());
    idle.pop_back();
    const bool fresh = clock_.Now() - connection->idle_since < kLongestIdle;
    if (fresh && connection->client.is_socket_open() != 0 && !HasUnreadBytes(&connection->client)) {
      return connection;
    }
  }
  return nullptr;
}

void RunnerClient::KeepIdle(const Endpoint& runner, std::unique_ptr<Connection> connection) {
  Shard& shard = ShardOf(runner);
  connection->idle_since = clock_.Now();
  const Instant oldest = connection->idle_since - kLongestIdle;
  const std::lock_guard lock(shard.mutex);
  auto& idle = shard.idle[runner];
  std::erase_if(idle, [&](const auto& kept) { return kept->idle_since < oldest; });
  idle.push_back(std::move(connection));
}

}  // namespace wigeonlane
