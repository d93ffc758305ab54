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

/// A caller waits a little longer than its deadline, since the answer still has to travel.
constexpr milliseconds kAnswerGrace{1'000};
constexpr milliseconds kLongestPause{2'000};
constexpr milliseconds kProgressInterval{1'000};

/// Kept connections of one caller thread, by target.
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

/// One answer as a caller sees it.
struct CallerView {
  Execution execution = Execution::kMayHaveRun;
  bool answered = false;
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
      SendClosed();
    } else {
      SendOpen();
    }
    LoadReport report;
    report.streams = Summarize(plan_, samples_);
    report.orders = audit_.Compare(plan_.ledgers);
    return report;
  }

 private:
  /// Sends each arrival when it is due, whatever became of earlier ones.
  void SendOpen() {
    ThreadPool callers(plan_.threads);
    Instant shown = start_;
    for (const Arrival& arrival : arrivals_) {
      std::this_thread::sleep_until(start_ + arrival.at);
      callers.Post([this, &arrival] { SendOne(arrival); });
      if (!progress_ || clock_.Now() - shown < kProgressInterval) continue;
      shown = clock_.Now();
      progress_(std::chrono::duration<double>(arrival.at).count() /
                std::chrono::duration<double>(plan_.duration).count());
    }
  }

  /// Callers of the first stream that wait for each answer: the cost of one request at a time.
  void SendClosed() {
    ThreadPool callers(plan_.closed_callers);
    for (std::size_t caller = 0; caller < plan_.closed_callers; ++caller) {
      callers.Post([this, caller] {
        const microseconds work = plan_.streams.front().work;
        while (clock_.Now() < start_ + plan_.duration) {
          const auto at = std::chrono::duration_cast<microseconds>(clock_.Now() - start_);
          const std::uint64_t number = next_number_++;
          SendOne({at, 0, (caller + number) % plan_.targets.size(), number, work});
        }
      });
    }
  }

  void SendOne(const Arrival& arrival) {
    const LoadStream& stream = plan_.streams[arrival.stream];
    const std::string key =
        stream.keys ? Concat("run", plan_.seed, "-order", arrival.number) : std::string();
    std::size_t target = arrival.target;
    CallerView view = Send(arrival, stream, key, target);
    for (std::uint32_t repeat = 0; repeat < stream.repeats; ++repeat) {
      if (view.execution == Execution::kRan) break;
      // An order without a key must never be sent again once it may have run.
      if (view.execution == Execution::kMayHaveRun && key.empty() && stream.method == "POST") break;
      std::this_thread::sleep_for(std::clamp(view.retry_after, milliseconds(20), kLongestPause));
      target = (target + 1) % plan_.targets.size();
      view = Send(arrival, stream, key, target);
    }
    Record(arrival, stream, view);
  }

  CallerView Send(const Arrival& arrival, const LoadStream& stream, const std::string& key,
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
    client.set_read_timeout(stream.deadline + kAnswerGrace);
    httplib::Response response;
    httplib::Error error = httplib::Error::Success;
    CallerView view;
    if (client.send(request, response, error)) {
      view = ReadAnswer(response);
      CheckContent(request, response, view);
    } else if (error == httplib::Error::Connection) {
      view.execution = Execution::kNotRun;
    }
    if (!key.empty()) audit_.RecordResponse(key, view.execution);
    return view;
  }

  CallerView ReadAnswer(const httplib::Response& response) const {
    CallerView view;
    view.answered = true;
    view.code = response.status;
    if (plan_.direct) {
      view.execution = Execution::kRan;
      return view;
    }
    const std::string verdict = response.get_header_value("Wigeonlane-Verdict");
    view.execution = verdict == "ran"       ? Execution::kRan
                     : verdict == "not-run" ? Execution::kNotRun
                                            : Execution::kMayHaveRun;
    std::int64_t wait = 0;
    if (absl::SimpleAtoi(response.get_header_value("Wigeonlane-Retry-After-Ms"), &wait)) {
      view.retry_after = milliseconds(wait);
    }
    return view;
  }

  /// The stand-in runner answers with the body it was sent; another's body is a wrong answer.
  void CheckContent(const httplib::Request& request, const httplib::Response& response,
                    const CallerView& view) {
    if (view.execution != Execution::kRan || response.status != 200 || request.body.empty()) return;
    if (response.body.size() < request.body.size() ||
        response.body.compare(response.body.size() - request.body.size(), std::string::npos,
                              request.body) != 0) {
      audit_.RecordWrongResponse();
    }
  }

  void Record(const Arrival& arrival, const LoadStream& stream, const CallerView& view) {
    LoadSample sample;
    sample.stream = arrival.stream;
    sample.scheduled = arrival.at;
    sample.latency = std::chrono::duration_cast<microseconds>(clock_.Now() - (start_ + arrival.at));
    sample.outcome = view.execution == Execution::kRan      ? LoadOutcome::kRan
                     : view.execution == Execution::kNotRun ? LoadOutcome::kNotRun
                     : view.answered                        ? LoadOutcome::kMayHaveRun
                                                            : LoadOutcome::kError;
    sample.success = sample.outcome == LoadOutcome::kRan && view.code / 100 == 2 &&
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
