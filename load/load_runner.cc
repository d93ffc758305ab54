#include "load/load_runner.h"

#include <httplib.h>

#include <algorithm>
#include <atomic>
#include <map>
#include <memory>
#include <mutex>
#include <thread>
#include <utility>

#include "absl/strings/numbers.h"
#include "core/clock.h"
#include "core/text.h"
#include "core/thread_pool.h"
#include "load/arrivals.h"

namespace wigeonlane {
namespace {

using std::chrono::microseconds;
using std::chrono::milliseconds;

/// Time that a caller waits beyond the deadline, since the response still has to travel.
constexpr milliseconds kResponseGrace{1'000};
constexpr milliseconds kMaxRetryDelay{2'000};
constexpr milliseconds kProgressInterval{1'000};

/// Keep-alive connections of one caller thread, by target.
using Connections = std::map<Endpoint, std::unique_ptr<httplib::Client>>;

httplib::Client& ConnectionTo(const Endpoint& target) {
  thread_local Connections connections;
  auto& client = connections[target];
  if (client == nullptr) {
    client = std::make_unique<httplib::Client>(target.host, target.port);
    client->set_keep_alive(true);
    client->set_tcp_nodelay(true);
    client->set_connection_timeout(1);
  }
  return *client;
}

/// Result of one request as seen by the caller.
struct CallerResult {
  Execution execution = Execution::kMayHaveRun;
  bool response_received = false;
  int code = 0;
  milliseconds retry_after{0};
};

class Run {
 public:
  Run(const LoadPlan& plan, const std::function<void(double)>& progress)
      : plan_(plan), progress_(progress), arrivals_(MakeArrivals(plan)) {}

  LoadReport Execute() {
    start_ = clock_.Now();
    if (plan_.closed_callers > 0) {
      RunClosedLoop();
    } else {
      RunOpenLoop();
    }
    LoadReport report;
    report.streams = Summarize(plan_, samples_);
    report.orders = audit_.Compare(plan_.ledgers);
    return report;
  }

 private:
  /// Sends each arrival at its scheduled time, independently of earlier responses.
  void RunOpenLoop() {
    ThreadPool callers(plan_.threads);
    Instant last_progress = start_;
    for (const Arrival& arrival : arrivals_) {
      std::this_thread::sleep_until(start_ + arrival.at);
      callers.Post([this, &arrival] { SendWithRepeats(arrival); });
      if (!progress_ || clock_.Now() - last_progress < kProgressInterval) continue;
      last_progress = clock_.Now();
      progress_(std::chrono::duration<double>(arrival.at).count() /
                std::chrono::duration<double>(plan_.duration).count());
    }
  }

  /// Runs callers that each send requests of the first stream one after another, waiting for each
  /// response. This measures the cost of one request at a time.
  void RunClosedLoop() {
    ThreadPool callers(plan_.closed_callers);
    for (std::size_t caller = 0; caller < plan_.closed_callers; ++caller) {
      callers.Post([this, caller] {
        const microseconds work = plan_.streams.front().work;
        while (clock_.Now() < start_ + plan_.duration) {
          const auto at = std::chrono::duration_cast<microseconds>(clock_.Now() - start_);
          const std::uint64_t number = next_number_++;
          SendWithRepeats({at, 0, (caller + number) % plan_.targets.size(), number, work});
        }
      });
    }
  }

  /// Sends a request and repeats it at the next target until it has run or may not be repeated.
  void SendWithRepeats(const Arrival& arrival) {
    const LoadStream& stream = plan_.streams[arrival.stream];
    const std::string key =
        stream.keys ? Concat("run", plan_.seed, "-order", arrival.number) : std::string();
    std::size_t target = arrival.target;
    CallerResult result = Send(arrival, stream, key, target);
    for (std::uint32_t repeat = 0; repeat < stream.repeats; ++repeat) {
      if (result.execution == Execution::kRan) break;
      // An order without a key must not be sent again if it may have run.
      if (result.execution == Execution::kMayHaveRun && key.empty() && stream.method == "POST") {
        break;
      }
      std::this_thread::sleep_for(std::clamp(result.retry_after, milliseconds(20), kMaxRetryDelay));
      target = (target + 1) % plan_.targets.size();
      result = Send(arrival, stream, key, target);
    }
    RecordSample(arrival, stream, result);
  }

  CallerResult Send(const Arrival& arrival, const LoadStream& stream, const std::string& key,
                    std::size_t target) {
    httplib::Request request;
    request.method = stream.method;
    request.path =
        plan_.direct
            ? Concat("/", stream.service, "/work?work_us=", arrival.work.count())
            : Concat("/v1/services/", stream.service, "/work?work_us=", arrival.work.count());
    const std::string token = Concat("token-", plan_.seed, "-", arrival.number);
    if (stream.method != "GET") request.body = token;
    request.headers.emplace("Wigeonlane-Urgency", stream.urgency);
    request.headers.emplace("Wigeonlane-Deadline-Ms", std::to_string(stream.deadline.count()));
    if (!key.empty()) request.headers.emplace("Idempotency-Key", key);
    httplib::Client& client = ConnectionTo(plan_.targets[target]);
    client.set_read_timeout(stream.deadline + kResponseGrace);
    httplib::Response response;
    httplib::Error error = httplib::Error::Success;
    CallerResult result;
    if (client.send(request, response, error)) {
      result = ParseResponse(response);
      CheckContent(request, response, result);
    } else if (error == httplib::Error::Connection) {
      result.execution = Execution::kNotRun;
    }
    if (!key.empty()) audit_.RecordResponse(key, result.execution);
    return result;
  }

  CallerResult ParseResponse(const httplib::Response& response) const {
    CallerResult result;
    result.response_received = true;
    result.code = response.status;
    if (plan_.direct) {
      result.execution = Execution::kRan;
      return result;
    }
    const std::string verdict = response.get_header_value("Wigeonlane-Verdict");
    result.execution = verdict == "ran"       ? Execution::kRan
                       : verdict == "not-run" ? Execution::kNotRun
                                              : Execution::kMayHaveRun;
    std::int64_t retry_after_ms = 0;
    if (absl::SimpleAtoi(response.get_header_value("Wigeonlane-Retry-After-Ms"), &retry_after_ms)) {
      result.retry_after = milliseconds(retry_after_ms);
    }
    return result;
  }

  /// Checks that the response ends with the body of the request, which the stand-in runner echoes.
  /// Any other content belongs to another request or is incomplete.
  void CheckContent(const httplib::Request& request, const httplib::Response& response,
                    const CallerResult& result) {
    if (result.execution != Execution::kRan || response.status != 200 || request.body.empty()) {
      return;
    }
    if (response.body.size() < request.body.size() ||
        response.body.compare(response.body.size() - request.body.size(), std::string::npos,
                              request.body) != 0) {
      audit_.RecordWrongResponse();
    }
  }

  void RecordSample(const Arrival& arrival, const LoadStream& stream, const CallerResult& result) {
    LoadSample sample;
    sample.stream = arrival.stream;
    sample.scheduled = arrival.at;
    sample.latency = std::chrono::duration_cast<microseconds>(clock_.Now() - (start_ + arrival.at));
    sample.outcome = result.execution == Execution::kRan      ? LoadOutcome::kRan
                     : result.execution == Execution::kNotRun ? LoadOutcome::kNotRun
                     : result.response_received               ? LoadOutcome::kMayHaveRun
                                                              : LoadOutcome::kError;
    sample.success = sample.outcome == LoadOutcome::kRan && result.code / 100 == 2 &&
                     (stream.repeats > 0 || sample.latency <= stream.deadline);
    const std::lock_guard lock(mutex_);
    samples_.push_back(sample);
  }

  const LoadPlan& plan_;
  const std::function<void(double)>& progress_;
  const std::vector<Arrival> arrivals_;
  const SteadyClock clock_{};
  Instant start_;
  OrderAudit audit_;
  std::atomic<std::uint64_t> next_number_{0};
  std::mutex mutex_;
  std::vector<LoadSample> samples_;
};

}  // namespace

LoadReport RunLoad(const LoadPlan& plan, const std::function<void(double)>& progress) {
  return Run(plan, progress).Execute();
}

}  // namespace wigeonlane
