#include "entry/runner_client.h"

#include <httplib.h>
#include <poll.h>

#include <algorithm>

#include "absl/strings/match.h"
#include "absl/strings/numbers.h"
#include "core/digest.h"
#include "core/head_limited_client.h"
#include "core/text.h"

namespace wigeonlane {
namespace {

constexpr std::chrono::milliseconds kMaxConnectTime{1'000};
/// Shorter than the idle timeouts of backend servers. A request on a connection that the server
/// closes at that moment fails without a proof whether it ran.
constexpr Duration kMaxIdleTime = std::chrono::milliseconds(1'500);
/// How long after its deadline a response that arrives in small parts may still be read.
constexpr std::chrono::milliseconds kDeadlineCheckInterval{25};
constexpr std::size_t kMaxResponseBytes = 64 * 1024 * 1024;

constexpr std::array<std::string_view, 9> kHopByHopHeaders = {
    "Connection", "Keep-Alive", "Transfer-Encoding", "Content-Length", "Upgrade",
    "Host",       "TE",         "Trailer",           "Expect"};

bool IsHopByHopHeader(const std::string& name) {
  return std::any_of(kHopByHopHeaders.begin(), kHopByHopHeaders.end(), [&](std::string_view hop) {
    return absl::EqualsIgnoreCase(name, AbslView(hop));
  });
}

bool IsWigeonlaneHeader(const std::string& name) {
  return absl::StartsWithIgnoreCase(name, "Wigeonlane-");
}

httplib::Request MakeRunnerRequest(const CallerRequest& request,
                                   std::chrono::milliseconds remaining) {
  httplib::Request runner_request;
  runner_request.method = request.method;
  runner_request.path = request.path;
  for (const auto& [name, value] : request.headers) {
    if (!IsHopByHopHeader(name) && !IsWigeonlaneHeader(name)) {
      runner_request.headers.emplace(name, value);
    }
  }
  runner_request.headers.emplace(header::kRequestId, request.request_id);
  runner_request.headers.emplace(header::kDeadline, std::to_string(remaining.count()));
  runner_request.body = request.body;
  return runner_request;
}

/// Returns whether a content length or chunked encoding proves that the body is complete. The end
/// of the connection does not prove it.
bool HasCompleteBody(const std::string& method, const httplib::Response& response) {
  if (method == "HEAD" || response.status == 204 || response.status == 304) return true;
  if (response.has_header("Transfer-Encoding")) {
    return absl::EqualsIgnoreCase(response.get_header_value("Transfer-Encoding"), "chunked");
  }
  std::uint64_t length = 0;
  return absl::SimpleAtoi(response.get_header_value("Content-Length"), &length) &&
         length == response.body.size();
}

RunnerResponse MakeRunnerResponse(httplib::Response* received) {
  RunnerResponse response;
  response.code = received->status;
  for (auto& [name, value] : received->headers) {
    if (!IsHopByHopHeader(name) && !IsWigeonlaneHeader(name)) {
      response.headers.emplace_back(name, value);
    }
  }
  response.body = std::move(received->body);
  return response;
}

bool HasUnreadBytes(HeadLimitedClient* client) {
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

  HeadLimitedClient client;
  Instant idle_since{};
};

struct RunnerClient::ConnectionShard {
  std::mutex mutex;
  std::map<Endpoint, std::vector<std::unique_ptr<Connection>>> idle_connections;
};

/// Ends calls whose response is still arriving in small parts after the deadline. The timeouts of
/// single reads don't catch these.
class RunnerClient::DeadlineEnforcer {
 public:
  DeadlineEnforcer() : thread_([this] { Run(); }) {}

  ~DeadlineEnforcer() {
    {
      const std::lock_guard lock(mutex_);
      stopping_ = true;
    }
    wake_.notify_all();
    thread_.join();
  }

  /// Enforces the deadline of one call during the guard's lifetime.
  class Guard {
   public:
    Guard(DeadlineEnforcer* enforcer, Instant deadline, HeadLimitedClient* client)
        : deadline_enforcer_(*enforcer) {
      const std::lock_guard lock(deadline_enforcer_.mutex_);
      key_ = {deadline, ++deadline_enforcer_.last_id_};
      deadline_enforcer_.calls_.emplace(key_, client);
    }
    ~Guard() {
      const std::lock_guard lock(deadline_enforcer_.mutex_);
      deadline_enforcer_.calls_.erase(key_);
    }
    Guard(const Guard&) = delete;
    Guard& operator=(const Guard&) = delete;

   private:
    DeadlineEnforcer& deadline_enforcer_;
    std::pair<Instant, std::uint64_t> key_;
  };

 private:
  void Run() {
    std::unique_lock lock(mutex_);
    // Checks at fixed intervals, as waking this thread for each call would cost more than the call.
    while (!wake_.wait_for(lock, kDeadlineCheckInterval, [this] { return stopping_; })) {
      const Instant now = SteadyClock().Now();
      while (!calls_.empty() && calls_.begin()->first.first <= now) {
        // The lock is held, so the guard's destructor waits and the client exists until this
        // returns.
        calls_.begin()->second->stop();
        calls_.erase(calls_.begin());
      }
    }
  }

  std::mutex mutex_;
  std::condition_variable wake_;
  std::map<std::pair<Instant, std::uint64_t>, HeadLimitedClient*> calls_;
  std::uint64_t last_id_ = 0;
  bool stopping_ = false;
  std::thread thread_;
};

RunnerClient::RunnerClient(const SteadyClock& clock)
    : clock_(clock), deadline_enforcer_(std::make_unique<DeadlineEnforcer>()) {
  for (auto& shard : shards_) shard = std::make_unique<ConnectionShard>();
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
  std::unique_ptr<Connection> connection = TakeIdleConnection(runner);
  if (connection == nullptr) connection = std::make_unique<Connection>(runner);
  HeadLimitedClient& client = connection->client;
  const auto connect_timeout = std::min(remaining, kMaxConnectTime);
  client.set_connection_timeout(connect_timeout.count() / 1000,
                                (connect_timeout.count() % 1000) * 1000);
  client.set_read_timeout(remaining);
  client.set_write_timeout(remaining);

  httplib::Request runner_request = MakeRunnerRequest(request, remaining);
  runner_request.progress = [](std::uint64_t /*current*/, std::uint64_t total) {
    return total <= kMaxResponseBytes;
  };
  httplib::Response response;
  httplib::Error error = httplib::Error::Success;
  bool received = false;
  {
    const DeadlineEnforcer::Guard guard(deadline_enforcer_.get(), deadline, &client);
    received = client.send(runner_request, response, error);
  }
  if (!received) {
    const bool never_sent =
        error == httplib::Error::Connection || error == httplib::Error::ConnectionTimeout;
    const std::string message =
        Concat("runner ", runner.ToString(), ": ", httplib::to_string(error));
    const bool past_deadline = clock_.Now() >= deadline;
    return {never_sent ? Execution::kNotRun : Execution::kMayHaveRun,
            past_deadline ? absl::DeadlineExceededError(message) : absl::UnknownError(message),
            {},
            true};
  }
  if (response.get_header_value(std::string(header::kRequestId)) != request.request_id) {
    return {Execution::kMayHaveRun,
            absl::UnknownError(Concat("runner ", runner.ToString(), ": answer to another request")),
            {},
            true};
  }
  if (!HasCompleteBody(request.method, response)) {
    return {Execution::kMayHaveRun,
            absl::UnknownError(Concat("runner ", runner.ToString(), ": answer of unproven length")),
            {},
            true};
  }
  const bool refused = response.status == 503 &&
                       response.get_header_value(std::string(header::kRefused)) == "not-run";
  KeepIdleConnection(runner, std::move(connection));
  if (refused) {
    return {Execution::kNotRun,
            absl::UnavailableError(Concat("runner ", runner.ToString(), " refused")),
            {},
            true};
  }
  const bool failed = response.status >= 500;
  return {Execution::kRan, absl::OkStatus(), MakeRunnerResponse(&response), failed};
}

RunnerClient::ConnectionShard& RunnerClient::FindShard(const Endpoint& runner) {
  return *shards_[ShortDigestOf(runner.ToString()) % kShardCount];
}

std::unique_ptr<RunnerClient::Connection> RunnerClient::TakeIdleConnection(const Endpoint& runner) {
  ConnectionShard& shard = FindShard(runner);
  const std::lock_guard lock(shard.mutex);
  auto& idle_connections = shard.idle_connections[runner];
  while (!idle_connections.empty()) {
    std::unique_ptr<Connection> connection = std::move(idle_connections.back());
    idle_connections.pop_back();
    const bool not_stale = clock_.Now() - connection->idle_since < kMaxIdleTime;
    if (not_stale && connection->client.is_socket_open() != 0 &&
        !HasUnreadBytes(&connection->client)) {
      return connection;
    }
  }
  return nullptr;
}

void RunnerClient::KeepIdleConnection(const Endpoint& runner,
                                      std::unique_ptr<Connection> connection) {
  ConnectionShard& shard = FindShard(runner);
  connection->idle_since = clock_.Now();
  const Instant min_idle_since = connection->idle_since - kMaxIdleTime;
  const std::lock_guard lock(shard.mutex);
  auto& idle_connections = shard.idle_connections[runner];
  std::erase_if(idle_connections,
                [&](const auto& other) { return other->idle_since < min_idle_since; });
  idle_connections.push_back(std::move(connection));
}

}  // namespace wigeonlane
