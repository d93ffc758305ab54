/// A list of machines whose pages come so late that its first rows are out of date.
#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <catch2/catch.hpp>
#include <chrono>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <utility>

#include "daemon/machine_coordinator.h"
#include "net/async_http_server.h"
#include "tests/daemon/coordinator_options.h"
#include "tests/support/free_endpoint.h"

namespace wigeonlane {
namespace {

using std::chrono::hours;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr TermToken kToken = 8;
/// How long a machine is down for its upkeep (Bounds.MaintenanceS).
constexpr seconds kMaintenanceTime{2};
/// Two further pages of the list take this long each: less than the timeout of a page, and together
/// a little less than an upkeep.
constexpr milliseconds kPageResponseTime{950};
constexpr seconds kTestTimeout{10};

/// A platform with two machines, both on the first of three pages, that takes an order once it has
/// read the first page for a list.
class StaleMachineListTest {
 protected:
  StaleMachineListTest() {
    REQUIRE(server_.Listen(endpoint_).ok());
    MaintenanceWave wave;
    wave.number = 1;
    wave.within = milliseconds(1);
    wave.machines = {"m-0", "m-1"};
    wave.max_machines_down = 1;
    coordinator_.SetWaves({wave});
    coordinator_.ExtendAuthority(BootClock().Now() + hours(1));
  }

  bool IsDown(const std::string& machine) const {
    const auto began = maintenance_started_at_.find(machine);
    return began != maintenance_started_at_.end() &&
           BootClock().Now() < began->second + kMaintenanceTime;
  }

  void Serve(const HttpRequest& request, const HttpReply& reply) {
    if (request.target.starts_with("/machines?")) return ServeLaterPage(request, reply);
    if (request.target.starts_with("/machines")) return ServeFirstPage(reply);
    if (request.target.starts_with("/machine-")) {
      commanded_machine_ = nlohmann::json::parse(request.body).at("Machine");
      open_command_ = reply;
      for (const auto& [machine, began] : maintenance_started_at_) {
        if (machine != commanded_machine_ && IsDown(machine)) two_machines_down_ = true;
      }
      return;
    }
    if (request.target.starts_with("/log-newest")) {
      return reply({200, R"({"items":[],"HasMore":false,"EndOffset":0})", {}});
    }
    reply({200, R"({"Offset":0,"EndOffset":1})", {}});
  }

  void ServeFirstPage(const HttpReply& reply) {
    nlohmann::json rows = nlohmann::json::array();
    for (const char* name : {"m-0", "m-1"}) {
      rows.push_back({{"Machine", name},
                      {"Pool", "quotes"},
                      {"State", IsDown(name) ? "upkeep" : "up"},
                      {"Capacity", {{"Cpu", 32'000}}}});
    }
    nlohmann::json page = {{"Machines", rows}};
    const auto order = std::exchange(open_command_, nullptr);
    if (order) {
      maintenance_started_at_[commanded_machine_] = BootClock().Now();
      order({200, "{}", {}});
      page["NextToken"] = "2";
    }
    reply({200, page.dump(), {}});
  }

  void ServeLaterPage(const HttpRequest& request, const HttpReply& reply) {
    nlohmann::json page = {{"Machines", nlohmann::json::array()}};
    if (request.target.ends_with("=2")) page["NextToken"] = "3";
    const auto timer = std::make_shared<asio::steady_timer>(io_, kPageResponseTime);
    timer->async_wait([timer, reply, text = page.dump()](asio::error_code) {
      reply({200, text, {}});
    });
  }

  asio::io_context io_;
  const Endpoint endpoint_ = FreeEndpoint();
  std::map<std::string, Instant> maintenance_started_at_;
  std::string commanded_machine_;
  HttpReply open_command_;
  bool two_machines_down_ = false;
  AsyncHttpServer server_{
      &io_, [this](const HttpRequest& request, const HttpReply& reply) { Serve(request, reply); },
      [] { return HttpServerLimits(); }};
  MetricsRegistry metrics_;
  MachineClient machines_{&io_, endpoint_, &metrics_};
  StoreClient store_{&io_, endpoint_, &metrics_};
  CallRouter router_{&io_, Endpoint{}, RouterHooks{}};
  CellAssignment cell_assignment_;
  MachineCoordinator coordinator_{&io_, &machines_, &store_, &router_,
                                  FirstHolderOptions(&cell_assignment_)};
};

// Guards against LIMIT: a machine counted as back by a row that was read before it went down, and
// another of the wave was ordered beside it.
TEST_CASE_METHOD(StaleMachineListTest, "Upkeep_ListWasReadBeforeTheMachineWentDown_NextOneWaits") {
  coordinator_.Start(kToken);
  const Instant end = BootClock().Now() + kTestTimeout;
  while (maintenance_started_at_.size() < 2 && BootClock().Now() < end)
    io_.run_one_for(milliseconds(50));
  CHECK(maintenance_started_at_.size() == 2);
  CHECK_FALSE(two_machines_down_);
}

}  // namespace
}  // namespace wigeonlane
