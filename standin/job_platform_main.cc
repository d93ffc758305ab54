/// standin-job-platform: the store and the runners for jobs, for tests and trials.
#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <chrono>
#include <iostream>
#include <memory>
#include <string>
#include <vector>

#include "absl/strings/str_split.h"
#include "core/http_status.h"
#include "core/logging.h"
#include "core/settings.h"
#include "core/text.h"
#include "net/async_http_server.h"
#include "standin/runner_server.h"
#include "standin/standin_main.h"
#include "standin/store_server.h"
#include "standin/task_ledger.h"

namespace wigeonlane {
namespace {

/// Interval at which due task ends and reads are processed, so they are up to this much late.
constexpr std::chrono::milliseconds kTickInterval{5};
constexpr std::size_t kRunnersPerRack = 2;
const PartitionName kOperatorPartition{"keyed.op", 0};

const std::vector<OptionSpec>& Options() {
  static const std::vector<OptionSpec> kOptions = {
      {"help", "", "print this help", false, true},
      {"listen", "", "address of the store, IPv4:PORT", true},
      {"control", "", "address for configuration, faults and the ledger, IPv4:PORT", true},
      {"runners", "",
       "runners as SERVICE=IPv4:PORT, joined by commas; with @IPv4:PORT the address that the store "
       "publishes, where a relay to the runner listens",
       true},
      {"parts", "4", "partitions of each topic, 1 to 1000"},
  };
  return kOptions;
}

absl::StatusOr<std::vector<RunnerEntry>> ParseRunners(const std::string& text) {
  std::vector<RunnerEntry> entries;
  for (const absl::string_view item : absl::StrSplit(text, ',')) {
    const std::pair<std::string, std::string> service_and_address =
        absl::StrSplit(item, absl::MaxSplits('=', 1));
    const std::vector<std::string> addresses = absl::StrSplit(service_and_address.second, '@');
    if (addresses.size() > 2) return absl::InvalidArgumentError("runners: more than one '@'");
    const auto address = ParseEndpoint(addresses.front());
    if (!address.ok()) return address.status();
    const auto published = ParseEndpoint(addresses.back());
    if (!published.ok()) return published.status();
    const std::size_t index = entries.size();
    entries.push_back({Concat("runner-", index), service_and_address.first,
                       Concat("rack-", index / kRunnersPerRack), *address, *published});
  }
  return entries;
}

/// Runs the store, the runners and the control server on one thread.
class JobPlatform {
 public:
  JobPlatform(std::uint32_t partition_count, const std::vector<RunnerEntry>& entries)
      : store_(&io_, partition_count),
        control_(
            &io_,
            [this](const HttpRequest& request, const HttpReply& reply) {
              reply(HandleControl(RequestQuery(request.target), request.body));
            },
            [] { return HttpServerLimits(); }),
        timer_(io_) {
    for (const RunnerEntry& entry : entries) {
      runners_.push_back(std::make_unique<RunnerServer>(&io_, entry, &store_.topics(), &ledger_));
    }
  }

  absl::Status Listen(const Endpoint& store, const Endpoint& control) {
    absl::Status status = store_.Listen(store);
    for (const auto& runner : runners_) {
      if (status.ok()) status = runner->Listen();
      runner->StartIncarnation();
    }
    return status.ok() ? control_.Listen(control) : status;
  }

  void Run() {
    Tick();
    io_.run();
  }

 private:
  void Tick() {
    if (g_stop) return io_.stop();
    const Instant now = clock_.Now();
    for (const auto& runner : runners_) runner->Advance(now);
    store_.Advance(now);
    timer_.expires_after(kTickInterval);
    timer_.async_wait([this](asio::error_code error) {
      if (!error) Tick();
    });
  }

  HttpResponse HandleControl(const RequestQuery& query, const std::string& body) {
    if (query.path() == "/ledger") return TextResponse(http_status::kOk, ledger_.ToJson());
    if (query.path() == "/operator") {
      store_.topics().Put(kOperatorPartition, query.Text("key"), body);
      return TextResponse(http_status::kOk, "");
    }
    if (query.path() == "/rebalance") {
      store_.Rebalance();
      return TextResponse(http_status::kOk, "");
    }
    if (query.path() == "/compact") {
      store_.topics().Compact(
          {query.Text("topic"), static_cast<std::uint32_t>(query.Number("part"))});
      return TextResponse(http_status::kOk, "");
    }
    if (query.path() != "/faults") return HandleRunnerControl(query, body);
    const absl::Status status = store_.faults().SetFromJson(body);
    return TextResponse(status.ok() ? http_status::kOk : http_status::kBadRequest,
                        MessageOf(status));
  }

  HttpResponse HandleRunnerControl(const RequestQuery& query, const std::string& body) {
    for (const auto& runner : runners_) {
      if (runner->id() != query.Text("id")) continue;
      absl::Status status;
      if (query.path() == "/runner/restart") {
        runner->StartIncarnation();
      } else if (query.path() == "/runner/crash") {
        runner->Crash();
      } else if (query.path() == "/runner/complete") {
        runner->CompleteRuns();
      } else if (query.path() == "/runner/drain") {
        runner->Drain();
      } else if (query.path() == "/runner/faults") {
        status = runner->faults().SetFromJson(body);
      } else {
        return TextResponse(http_status::kNotFound, "");
      }
      return TextResponse(status.ok() ? http_status::kOk : http_status::kBadRequest,
                          MessageOf(status));
    }
    return TextResponse(http_status::kNotFound, "no such runner");
  }

  static HttpResponse TextResponse(int code, std::string body) {
    HttpResponse response = BareResponse(code);
    response.body = std::move(body);
    return response;
  }

  asio::io_context io_;
  SteadyClock clock_;
  TaskLedger ledger_;
  StoreServer store_;
  std::vector<std::unique_ptr<RunnerServer>> runners_;
  AsyncHttpServer control_;
  asio::steady_timer timer_;
};

int Run(const SettingValues& values) {
  const auto listen = ParseEndpoint(values.Text("listen"));
  const auto control = ParseEndpoint(values.Text("control"));
  const auto partition_count = values.Integer("parts", 1, 1'000);
  const auto runners = ParseRunners(values.Text("runners"));
  for (const absl::Status& status :
       {listen.status(), control.status(), partition_count.status(), runners.status()}) {
    if (status.ok()) continue;
    std::cerr << "standin-job-platform: " << status.message() << "\n";
    return 2;
  }
  JobPlatform platform(static_cast<std::uint32_t>(*partition_count), *runners);
  if (const absl::Status status = platform.Listen(*listen, *control); !status.ok()) {
    std::cerr << "standin-job-platform: " << status.message() << "\n";
    return 1;
  }
  if (const absl::Status status = StartLogging({}); !status.ok()) {
    std::cerr << "standin-job-platform: " << status.message() << "\n";
    return 1;
  }
  platform.Run();
  StopLogging();
  return 0;
}

}  // namespace
}  // namespace wigeonlane

int main(int argc, char** argv) {
  return wigeonlane::StandinMain(argc, argv, "standin-job-platform",
                                 "a small stand-in of the store and the runners of jobs",
                                 wigeonlane::Options(), &wigeonlane::Run);
}
