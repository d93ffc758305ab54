/// standin-platform: log, instance list and reboots of the platform, for tests and trials.
#include <atomic>
#include <chrono>
#include <iostream>
#include <nlohmann/json.hpp>
#include <string>
#include <thread>

#include "absl/strings/escaping.h"
#include "absl/strings/numbers.h"
#include "core/document.h"
#include "core/http_server.h"
#include "core/settings.h"
#include "core/text.h"
#include "standin/fault_switches.h"
#include "standin/platform_instances.h"
#include "standin/platform_log.h"
#include "standin/standin_main.h"

namespace wigeonlane {
namespace {

constexpr std::size_t kServerThreads = 192;
constexpr std::chrono::milliseconds kStopPollInterval{20};

const std::vector<OptionSpec>& Options() {
  static const std::vector<OptionSpec> kOptions = {
      {"help", "", "print this help", false, true},
      {"listen", "127.0.0.1:7600", "address of the platform's HTTP interface, IPv4:PORT"},
      {"appends-per-second", "400", "most appends a second, 1 to 100000"},
      {"keep-records", "200000", "records kept before the oldest is trimmed, 1 to 10000000"},
      {"list-lag", "1s", "how long the instance list lags behind, 10ms to 1h"},
      {"reboot-time", "500ms", "how long a worker's reboot takes, 1ms to 1h"},
  };
  return kOptions;
}

Offset NumberParameter(const httplib::Request& request, const char* name, Offset fallback) {
  Offset value = fallback;
  if (!request.has_param(name) || !absl::SimpleAtoi(request.get_param_value(name), &value)) {
    return fallback;
  }
  return value;
}

/// Routes HTTP requests to the log and the instance list, with fault injection.
class PlatformServer {
 public:
  PlatformServer(PlatformLog* log, PlatformInstances* instances)
      : log_(*log),
        instances_(*instances),
        faults_({{"log_down", 0},
                 {"log_delay_ms", 0},
                 {"lose_append_answers", 0},
                 {"duplicate_appends", 0},
                 {"list_stale", 0},
                 {"list_down", 0}}) {}

  void RegisterRoutes(httplib::Server* server) {
    server->Post("/log/append",
                 [this](const auto& request, auto& response) { Append(request, &response); });
    server->Get("/log/read",
                [this](const auto& request, auto& response) { Read(request, &response); });
    server->Get("/log/status", [this](const auto&, auto& response) {
      response.set_content(Concat("{\"appends\":", log_.appends(), "}"), "application/json");
    });
    server->Post("/log/trim", [this](const auto& request, auto&) {
      log_.TrimTo(NumberParameter(request, "to", 0));
    });
    server->Get("/instances", [this](const auto&, auto& response) {
      response.status = faults_.IsOn("list_down") ? 503 : 200;
      response.set_content(instances_.ListJson(), "application/json");
    });
    server->Post("/instances/register", [this](const auto& request, auto& response) {
      WriteStatus(instances_.Register(request.body), &response);
    });
    server->Post(R"(/instances/([A-Za-z0-9._-]+)/reboot)",
                 [this](const auto& request, auto& response) {
                   WriteStatus(instances_.Reboot(request.matches[1]), &response);
                 });
    server->Post(
        R"(/instances/([A-Za-z0-9._-]+)/leave)", [this](const auto& request, auto& response) {
          WriteStatus(instances_.SetState(request.matches[1], ListedState::kLeaving), &response);
        });
    server->Post("/faults", [this](const auto& request, auto& response) {
      WriteStatus(faults_.SetFromJson(request.body), &response);
    });
    server->Get("/faults", [this](const auto&, auto& response) {
      response.set_content(faults_.ToJson(), "application/json");
    });
  }

  bool list_is_stale() const { return faults_.IsOn("list_stale"); }

 private:
  static void WriteStatus(const absl::Status& status, httplib::Response* response) {
    response->status = status.ok() ? 200 : 400;
    response->set_content(status.ok() ? "{}" : MessageOf(status), "text/plain");
  }

  void Append(const httplib::Request& request, httplib::Response* response) {
    faults_.Delay("log_delay_ms");
    if (faults_.IsOn("log_down")) {
      response->status = 503;
      return;
    }
    const auto json = ParseJson(request.body);
    std::vector<NewRecord> records;
    if (json.ok() && json->contains("records")) {
      for (const auto& item : json->at("records")) {
        NewRecord record{item.value("id", ""), ""};
        if (absl::Base64Unescape(item.value("payload", ""), &record.payload)) {
          records.push_back(std::move(record));
        }
      }
    }
    if (records.empty()) return WriteStatus(absl::InvalidArgumentError("no records"), response);
    const auto first_appended = log_.Append(records);
    if (!first_appended.ok()) {
      response->status = 429;
      return;
    }
    if (faults_.Consume("duplicate_appends")) log_.Append(records).IgnoreError();
    if (faults_.Consume("lose_append_answers")) {
      response->status = 500;
      return;
    }
    response->set_content(Concat("{\"offset\":", *first_appended, "}"), "application/json");
  }

  void Read(const httplib::Request& request, httplib::Response* response) {
    faults_.Delay("log_delay_ms");
    const Offset from = NumberParameter(request, "from", 0);
    const std::chrono::milliseconds wait(NumberParameter(request, "wait_ms", 0));
    const auto page = log_.Read(from, NumberParameter(request, "most", 1000), wait);
    if (faults_.IsOn("log_down")) {
      response->status = 503;
      return;
    }
    if (!page.ok()) {
      response->status = 410;
      return;
    }
    nlohmann::json body{{"first", page->first_kept}, {"end", page->end}};
    body["records"] = nlohmann::json::array();
    for (const LogEntry& entry : page->entries) {
      body["records"].push_back({{"offset", entry.offset},
                                 {"stamp_ms", entry.stamp.count()},
                                 {"id", entry.record_id},
                                 {"payload", absl::Base64Escape(entry.payload)}});
    }
    response->set_content(body.dump(), "application/json");
  }

  PlatformLog& log_;
  PlatformInstances& instances_;
  FaultSwitches faults_;
};

int Run(const SettingValues& values) {
  const auto listen = ParseEndpoint(values.Text("listen"));
  const auto appends_per_second = values.Integer("appends-per-second", 1, 100'000);
  const auto max_records = values.Integer("keep-records", 1, 10'000'000);
  const auto list_lag =
      values.Period("list-lag", std::chrono::milliseconds(10), std::chrono::hours(1));
  const auto reboot_time =
      values.Period("reboot-time", std::chrono::milliseconds(1), std::chrono::hours(1));
  for (const absl::Status& status :
       {listen.status(), appends_per_second.status(), max_records.status(), list_lag.status(),
        reboot_time.status()}) {
    if (!status.ok()) {
      std::cerr << "standin-platform: " << status.message() << "\n";
      return 2;
    }
  }
  PlatformLog log(static_cast<double>(*appends_per_second), static_cast<std::size_t>(*max_records));
  PlatformInstances instances(*reboot_time);
  PlatformServer platform(&log, &instances);
  HttpServer server;
  server.new_task_queue = [] { return new httplib::ThreadPool(kServerThreads); };
  server.set_tcp_nodelay(true);
  server.set_keep_alive_max_count(1'000'000'000);
  platform.RegisterRoutes(&server);
  if (!server.Bind(*listen)) {
    std::cerr << "standin-platform: cannot listen on " << listen->ToString() << "\n";
    return 1;
  }
  std::thread server_thread([&] { server.listen_after_bind(); });
  Instant refreshed_at{};
  const SteadyClock clock;
  while (!g_stop) {
    std::this_thread::sleep_for(kStopPollInterval);
    if (clock.Now() - refreshed_at < *list_lag || platform.list_is_stale()) continue;
    instances.Refresh();
    refreshed_at = clock.Now();
  }
  server.stop();
  server_thread.join();
  return 0;
}

}  // namespace
}  // namespace wigeonlane

int main(int argc, char** argv) {
  return wigeonlane::StandinMain(argc, argv, "standin-platform",
                                 "a small stand-in of the platform, for tests and trials",
                                 wigeonlane::Options(), &wigeonlane::Run);
}
