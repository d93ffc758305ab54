/// Orders to machines, from the coordinator to a platform that answers them late, over loopback.
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
/// More than the rounds in which all orders of a wave leave.
constexpr int kMaxLists = 400;
constexpr TermToken kToken = 8;

/// A platform that answers orders only once it has been asked for the list of machines again, so
/// that every order is open during at least one round of the coordinator.
class MachineCommandTest {
 protected:
  MachineCommandTest() {
    REQUIRE(server_.Listen(endpoint_).ok());
    coordinator_.ExtendAuthority(BootClock().Now() + std::chrono::hours(1));
    MaintenanceWave wave;
    wave.number = 1;
    wave.within = milliseconds(1);
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
    for (const HttpReply& answer : std::exchange(open_appends_, {})) {
      answer({200, R"({"Offset":0,"EndOffset":1})", {}});
    }
    for (auto& [machine, answer] : std::exchange(open_commands_, {})) {
      down_.insert(machine);
      answer({200, "{}", {}});
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
  std::map<std::string, int> commands_;
  std::vector<std::pair<std::string, HttpReply>> open_commands_;
  std::vector<HttpReply> open_appends_;
  std::size_t max_open_appends_ = 0;
  int status_appends_ = 0;  ///< Appends of the wave's state, of which the first is refused.
  std::string last_maintenance_record_;
  std::set<std::string> down_;
  bool two_pages_ = false;                  ///< Of the list of machines.
  std::vector<Instant> page_requested_at_;  ///< When pages were asked for.
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

// Guards against orders that are sent again while they are open: the repeats fill the queue of
// orders until each is sent too late to be answered, and no machine is moved for many seconds.
TEST_CASE_METHOD(MachineCommandTest,
                 "Upkeep_OrdersAreOpenForSeveralRounds_EachMachineIsOrderedOnce") {
  coordinator_.Start(kToken);
  RunUntilAllAreDown();
  CHECK(down_.size() == kMachines);
  const bool once = std::all_of(commands_.begin(), commands_.end(),
                                [](const auto& entry) { return entry.second == 1; });
  CHECK(once);
}

// Guards against a record for each machine of a wave: they queue at the partition, which takes one
// at a time, and before the records of cells, which share the connections.
TEST_CASE_METHOD(MachineCommandTest, "UpkeepRecord_ManyMachinesBegin_OneRecordIsOnItsWayAtATime") {
  coordinator_.Start(kToken);
  RunUntilAllAreDown();
  CHECK(max_open_appends_ == 1);
  for (int i = 0; i < kMachines; ++i)
    CHECK(last_maintenance_record_.find(MachineName(i)) != std::string::npos);
}

// Guards against lists that the platform refuses for their number: an order that is answered begins
// a round soon, and each round reads all pages.
TEST_CASE_METHOD(MachineCommandTest,
                 "Lists_OrdersAreAnsweredInQuickSuccession_NoSecondSeesTooMany") {
  constexpr std::size_t kReadsPerSecond = 64;  // CloudApi.RatePerS of the sites.
  two_pages_ = true;
  coordinator_.Start(kToken);
  RunUntilAllAreDown();
  std::size_t most = 0;
  for (auto first = page_requested_at_.begin(); first != page_requested_at_.end(); ++first) {
    const auto after = std::lower_bound(first, page_requested_at_.end(), *first + seconds(1));
    most = std::max(most, static_cast<std::size_t>(after - first));
  }
  CHECK(most <= kReadsPerSecond);
}

// Guards against a wave that operators see as running, or not at all, for good: its state was
// written once, whatever became of that.
TEST_CASE_METHOD(MachineCommandTest, "WaveStatus_StoreRefusesIt_IsStoredInALaterRound") {
  coordinator_.Start(kToken);
  RunUntilAllAreDown();
  CHECK(status_appends_ == 2);
}

}  // namespace
}  // namespace wigeonlane
