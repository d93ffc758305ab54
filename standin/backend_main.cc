/// standin-backend: one runner of a backend server, for tests and trials.
#include <atomic>
#include <chrono>
#include <iostream>
#include <memory>
#include <semaphore>
#include <string>
#include <thread>

#include "absl/strings/numbers.h"
#include "core/document.h"
#include "core/http_client.h"
#include "core/http_server.h"
#include "core/http_status.h"
#include "core/settings.h"
#include "core/text.h"
#include "standin/execution_ledger.h"
#include "standin/fault_switches.h"
#include "standin/standin_main.h"

namespace wigeonlane {
namespace {

constexpr std::chrono::milliseconds kPollInterval{5};
constexpr std::chrono::milliseconds kPlatformTimeout{1'000};
constexpr std::chrono::milliseconds kRegisterRetryInterval{100};
/// Limits the time of a reboot, since the HTTP library waits until idle connections time out.
constexpr std::chrono::seconds kIdleTimeout{3};
constexpr std::ptrdiff_t kMaxSlots = 4096;

const std::vector<OptionSpec>& Options() {
  static const std::vector<OptionSpec> kOptions = {
      {"help", "", "print this help", false, true},
      {"name", "", "instance name that the platform lists", true},
      {"listen", "", "address of the runner, IPv4:PORT", true},
      {"control", "", "address for faults, ledger and reboots, IPv4:PORT", true},
      {"platform", "", "address of the stand-in platform to register at, or empty"},
      {"pool", "pool", "pool that the platform lists"},
      {"rack", "rack", "rack that the platform lists"},
      {"data-centre", "dc", "data centre that the platform lists"},
      {"slots", "8", "requests served at once, 1 to 4096"},
      {"connections", "64", "connections accepted at once, 1 to 4096"},
      {"service-time", "2ms", "time that one request takes unless it asks otherwise, 0ms to 1h"},
  };
  return kOptions;
}

/// A runner with a fixed number of slots that echoes the request body and injects faults.
class Runner {
 public:
  Runner(std::ptrdiff_t slots, std::chrono::milliseconds service_time)
      : slots_(slots),
        service_time_(service_time),
        faults_({{"slow_ms", 0},
                 {"half_answers", 0},
                 {"wrong_ids", 0},
                 {"double_answers", 0},
                 {"no_length", 0},
                 {"fail_all", 0},
                 {"refuse", 0},
                 {"frozen", 0}}) {}

  void Serve(const httplib::Request& request, httplib::Response* response) {
    const std::string id = request.get_header_value("Wigeonlane-Request-Id");
    response->set_header("Wigeonlane-Request-Id", id);
    while (faults_.IsOn("frozen") && !g_stop) std::this_thread::sleep_for(kPollInterval);
    if (faults_.Consume("refuse")) {
      response->status = http_status::kUnavailable;
      response->set_header("Wigeonlane-Refused", "not-run");
      return;
    }
    if (faults_.IsOn("fail_all")) {
      response->status = 500;
      response->set_content("failing everything", "text/plain");
      return;
    }
    slots_.acquire();
    ledger_.RecordStart(id, request.get_header_value("Idempotency-Key"));
    std::this_thread::sleep_for(WorkTime(request));
    faults_.Delay("slow_ms");
    ledger_.RecordEnd();
    slots_.release();
    WriteResponse(request, id, response);
  }

  ExecutionLedger& ledger() { return ledger_; }
  FaultSwitches& faults() { return faults_; }

 private:
  std::chrono::microseconds WorkTime(const httplib::Request& request) const {
    std::int64_t micros = 0;
    if (request.has_param("work_us") &&
        absl::SimpleAtoi(request.get_param_value("work_us"), &micros)) {
      return std::chrono::microseconds(micros);
    }
    return service_time_;
  }

  void WriteResponse(const httplib::Request& request, const std::string& id,
                     httplib::Response* response) {
    const std::string body = Concat("done ", id, " ", request.body);
    response->status = http_status::kOk;
    if (faults_.Consume("wrong_ids")) {
      response->headers.erase("Wigeonlane-Request-Id");
      response->set_header("Wigeonlane-Request-Id", "someone-elses");
    }
    const bool send_half = faults_.Consume("half_answers");
    const bool send_twice = faults_.Consume("double_answers");
    if (!send_half && !send_twice) {
      response->set_content(body, "text/plain");
      return;
    }
    response->set_content_provider(
        body.size(), "text/plain",
        [body, send_half, id](std::size_t offset, std::size_t /*length*/, httplib::DataSink& sink) {
          if (send_half) {
            sink.write(body.data(), body.size() / 2);
            return false;
          }
          const std::string two_responses =
              Concat(body.substr(offset), "HTTP/1.1 200 OK\r\n", "Wigeonlane-Request-Id: ", id,
                     "\r\nContent-Length: 2\r\n\r\nno");
          return sink.write(two_responses.data(), two_responses.size());
        });
  }

  std::counting_semaphore<kMaxSlots> slots_;
  const std::chrono::milliseconds service_time_;
  ExecutionLedger ledger_;
  FaultSwitches faults_;
};

struct BackendSettings {
  std::string name;
  Endpoint listen;
  Endpoint control;
  std::string platform;
  std::string pool;
  std::string rack;
  std::string data_centre;
  std::int64_t slots = 0;
  std::int64_t connections = 0;
  std::chrono::milliseconds service_time{0};
};

absl::StatusOr<BackendSettings> ParseSettings(const SettingValues& values) {
  const auto listen = ParseEndpoint(values.Text("listen"));
  const auto control = ParseEndpoint(values.Text("control"));
  const auto slots = values.Integer("slots", 1, kMaxSlots);
  const auto connections = values.Integer("connections", 1, 4096);
  const auto service_time =
      values.Period("service-time", std::chrono::milliseconds(0), std::chrono::hours(1));
  for (const absl::Status& status : {listen.status(), control.status(), slots.status(),
                                     connections.status(), service_time.status()}) {
    if (!status.ok()) return status;
  }
  return BackendSettings{values.Text("name"),
                         *listen,
                         *control,
                         values.Text("platform"),
                         values.Text("pool"),
                         values.Text("rack"),
                         values.Text("data-centre"),
                         *slots,
                         *connections,
                         *service_time};
}

void RegisterAtPlatform(const BackendSettings& settings) {
  if (settings.platform.empty()) return;
  const auto platform = ParseEndpoint(settings.platform);
  if (!platform.ok()) return;
  HttpClient client(*platform, kPlatformTimeout);
  const std::string body = nlohmann::json{
      {"name", settings.name},
      {"role", "worker"},
      {"pool", settings.pool},
      {"rack", settings.rack},
      {"data_centre", settings.data_centre},
      {"host", settings.listen.host},
      {"port", settings.listen.port},
      {"control_port",
       settings.control.port}}.dump();
  while (!g_stop) {
    const HttpExchange exchange = client.Post("/instances/register", body);
    if (exchange.answer.ok() && exchange.answer->code == http_status::kOk) return;
    std::this_thread::sleep_for(kRegisterRetryInterval);
  }
}

/// Serves requests until the process stops. A reboot closes the listening port for a while.
class BackendProcess {
 public:
  explicit BackendProcess(BackendSettings settings)
      : settings_(std::move(settings)), runner_(settings_.slots, settings_.service_time) {}

  int Run() {
    RegisterControlRoutes();
    if (!control_.Bind(settings_.control)) {
      std::cerr << "standin-backend: cannot listen on " << settings_.control.ToString() << "\n";
      return 1;
    }
    std::thread control([this] { control_.listen_after_bind(); });
    while (!g_stop) {
      if (!ServeUntilReboot()) break;
      if (g_stop) break;
      std::this_thread::sleep_for(std::chrono::milliseconds(requested_reboot_ms_.exchange(0)));
    }
    control_.stop();
    control.join();
    return 0;
  }

 private:
  void RegisterControlRoutes() {
    control_.Post("/faults", [this](const auto& request, auto& response) {
      const absl::Status status = runner_.faults().SetFromJson(request.body);
      response.status = status.ok() ? 200 : 400;
      response.set_content(MessageOf(status), "text/plain");
    });
    control_.Get("/ledger", [this](const auto&, auto& response) {
      response.set_content(runner_.ledger().ToJson(), "application/json");
    });
    control_.Post("/control/reboot", [this](const auto& request, auto&) {
      const auto json = ParseJson(request.body);
      runner_.ledger().RecordCutOff();
      requested_reboot_ms_ = json.ok() ? json->value("for_ms", std::int64_t{100}) : 100;
    });
  }

  bool ServeUntilReboot() {
    HttpServer server;
    const auto threads = static_cast<std::size_t>(settings_.connections);
    server.new_task_queue = [threads] { return new httplib::ThreadPool(threads); };
    server.set_tcp_nodelay(true);
    server.set_keep_alive_max_count(1'000'000'000);
    server.set_keep_alive_timeout(kIdleTimeout.count());
    const auto serve = [this](const httplib::Request& request, httplib::Response& response) {
      runner_.Serve(request, &response);
    };
    server.Get(".*", serve).Post(".*", serve).Put(".*", serve).Delete(".*", serve);
    if (!server.Bind(settings_.listen)) {
      std::cerr << "standin-backend: cannot listen on " << settings_.listen.ToString() << "\n";
      return false;
    }
    std::thread server_thread([&] { server.listen_after_bind(); });
    RegisterAtPlatform(settings_);
    while (!g_stop && requested_reboot_ms_ == 0) std::this_thread::sleep_for(kPollInterval);
    server.stop();
    server_thread.join();
    return true;
  }

  const BackendSettings settings_;
  Runner runner_;
  HttpServer control_;
  std::atomic<std::int64_t> requested_reboot_ms_{0};
};

int Run(const SettingValues& values) {
  auto settings = ParseSettings(values);
  if (!settings.ok()) {
    std::cerr << "standin-backend: " << settings.status().message() << "\n";
    return 2;
  }
  return BackendProcess(*std::move(settings)).Run();
}

}  // namespace
}  // namespace wigeonlane

int main(int argc, char** argv) {
  return wigeonlane::StandinMain(argc, argv, "standin-backend",
                                 "a small stand-in of one runner, for tests and trials",
                                 wigeonlane::Options(), &wigeonlane::Run);
}
