/// Tests commands of the machine coordinator to a platform that responds late, over loopback.
#include <algorithm>
#include <asio/io_context.hpp>
#include <catch2/catch.hpp>
#include <chrono>
#include <map>
#include <nlohmann/json.hpp>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "daemon/machine_coordinator.h"
#include "net/async_http_server.h"
#include "tests/daemon/coordinator_options.h"
#include "tests/support/free_endpoint.h"

namespace wigeonlane {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int kMachines = 60;
/// More rounds than it takes to send all commands of a wave.
constexpr int kMaxLists = 400;
constexpr TermToken kToken = 8;

/// Simulates a platform that responds to commands only when the list of machines is requested
/// again, so that every command is open during at least one round of the coordinator.
class MachineCommandTest {
 protected:
  MachineCommandTest() {
    REQUIRE(server_.Listen(endpoint_).ok());
    coordinator_.ExtendAuthority(BootClock().Now() + std::chrono::hours(1));
    MaintenanceWave wave;
    wave.number = 1;
    wave.time_limit = milliseconds(1);
    wave.max_machines_down = kMachines;
    for (int i = 0; i < kMachines; ++i) wave.machines.push_back(MachineName(i));
    coordinator_.SetWaves({wave});
  }

  static std::string MachineName(int number) { return Concat("m-", number); }

  void Serve(const HttpRequest& request, const HttpReply& reply) {
    if (request.target.starts_with("/machines")) {
      page_requested_at_.push_back(BootClock().Now());
      if (request.target.ends_with("PageToken=2")) return reply({200, R"({"Machines":[]})", {}});
      return ServeList(reply);
    }
    if (request.target.starts_with("/machine-")) return HandleCommand(request, reply);
    if (request.target.starts_with("/log-newest")) {
      return reply({200, R"({"items":[],"HasMore":false,"EndOffset":0})", {}});
    }
    if (request.target.starts_with("/log-append?Topic=keyed.upkeep")) {
      last_maintenance_record_ = request.body;
      open_appends_.push_back(reply);
      max_open_appends_ = std::max(max_open_appends_, open_appends_.size());
      return;
    }
    if (request.target.starts_with("/log-append?Topic=keyed.status") && ++status_appends_ == 1) {
      return reply({503, "", {}});
    }
    reply({200, R"({"Offset":0,"EndOffset":1})", {}});
  }

  void HandleCommand(const HttpRequest& request, const HttpReply& reply) {
    const auto body = nlohmann::json::parse(request.body);
    const std::string machine = body.at("Machine");
    ++commands_[machine];
    open_commands_.emplace_back(machine, reply);
  }

  void ServeList(const HttpReply& reply) {
    ++list_count_;
    nlohmann::json rows = nlohmann::json::array();
    for (int i = 0; i < kMachines; ++i) {
      const std::string name = MachineName(i);
      rows.push_back({{"Machine", name},
                      {"Pool", "quotes"},
                      {"State", down_.contains(name) ? "upkeep" : "up"},
                      {"Capacity", {{"Cpu", 32'000}}}});
    }
    for (const HttpReply& respond : std::exchange(open_appends_, {})) {
      respond({200, R"({"Offset":0,"EndOffset":1})", {}});
    }
    for (auto& [machine, respond] : std::exchange(open_commands_, {})) {
      down_.insert(machine);
      respond({200, "{}", {}});
    }
    nlohmann::json page = {{"Machines", rows}};
    if (two_pages_) page["NextToken"] = "2";
    reply({200, page.dump(), {}});
  }

  void RunUntilAllAreDown() {
    while (down_.size() < kMachines && list_count_ < kMaxLists) io_.run_one_for(seconds(10));
    const int lists = list_count_ + 3;
    while (list_count_ < lists) io_.run_one_for(seconds(10));
  }

  asio::io_context io_;
  const Endpoint endpoint_ = FreeEndpoint();
  std::map<std::string, int> commands_;  ///< Number of commands by machine.
  std::vector<std::pair<std::string, HttpReply>> open_commands_;
  std::vector<HttpReply> open_appends_;
  std::size_t max_open_appends_ = 0;
  int status_appends_ = 0;  ///< Number of appends of the wave's status. The first one is refused.
  std::string last_maintenance_record_;
  std::set<std::string> down_;
  bool two_pages_ = false;                  ///< Whether the list of machines has a second page.
  std::vector<Instant> page_requested_at_;  ///< When pages of the list were requested.
  int list_count_ = 0;
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

// Guards against commands that are sent again while they are open: the duplicates filled the queue
// until each command was sent too late to get a response, and no machine was moved for many
// seconds.
TEST_CASE_METHOD(MachineCommandTest,
                 "Maintenance_CommandsAreOpenForSeveralRounds_EachMachineGetsOneCommand") {
  coordinator_.Start(kToken);
  RunUntilAllAreDown();
  CHECK(down_.size() == kMachines);
  const bool each_machine_commanded_once = std::all_of(
      commands_.begin(), commands_.end(), [](const auto& entry) { return entry.second == 1; });
  CHECK(each_machine_commanded_once);
}

// Guards against one write per machine of a wave: the writes queue at the partition, which accepts
// one at a time, and delay the records of cells, which share the connections.
TEST_CASE_METHOD(MachineCommandTest, "MaintenanceRecord_ManyMachinesStart_OneWriteIsOpenAtATime") {
  coordinator_.Start(kToken);
  RunUntilAllAreDown();
  CHECK(max_open_appends_ == 1);
  for (int i = 0; i < kMachines; ++i) {
    CHECK(last_maintenance_record_.find(MachineName(i)) != std::string::npos);
  }
}

// Guards against list requests that the platform refuses because of its rate limit: each
// acknowledged command starts a round early, and each round reads all pages.
TEST_CASE_METHOD(MachineCommandTest,
                 "Lists_CommandsAreAcknowledgedInQuickSuccession_RateLimitIsKept") {
  constexpr std::size_t kReadsPerSecond = 64;  // CloudApi.RatePerS of the sites.
  two_pages_ = true;
  coordinator_.Start(kToken);
  RunUntilAllAreDown();
  std::size_t max_requests_per_second = 0;
  for (auto first = page_requested_at_.begin(); first != page_requested_at_.end(); ++first) {
    const auto window_end = std::lower_bound(first, page_requested_at_.end(), *first + seconds(1));
    max_requests_per_second =
        std::max(max_requests_per_second, static_cast<std::size_t>(window_end - first));
  }
  CHECK(max_requests_per_second <= kReadsPerSecond);
}

// Guards against a wave that operators see as running, or don't see, forever: its status was
// written only once, even if that write failed.
TEST_CASE_METHOD(MachineCommandTest, "WaveStatus_StoreRefusesWrite_IsStoredInALaterRound") {
  coordinator_.Start(kToken);
  RunUntilAllAreDown();
  CHECK(status_appends_ == 2);
}

}  // namespace
}  // namespace wigeonlane
