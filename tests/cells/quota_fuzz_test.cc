/// Fuzz test of a team's cap over several cells: owners that die, are cut off or take over, writes
/// that are lost, late or conflict, two versions of the configuration.
///
/// Invariant: no start brings what runs in all cells above the cap; of the versions that an
/// instance goes by, the highest cap counts.
#include <algorithm>
#include <catch2/catch.hpp>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "cells/quota_view.h"
#include "core/text.h"
#include "tests/support/property.h"
#include "tests/support/world_command.h"

namespace wigeonlane {
namespace {

constexpr std::size_t kInstances = 3;
constexpr CellNumber kCells = 3;
constexpr std::size_t kRunnersPerCell = 2;
constexpr std::int64_t kRunnerCapacity = 8;
constexpr std::int64_t kMaxLoad = 4;
/// Outcome of a write that is executed and confirmed.
constexpr std::size_t kExecuted = 5;
const std::string kTeam = "red";

class QuotaWorld {
 public:
  QuotaWorld() {
    for (CellNumber cell = 0; cell < kCells; ++cell) {
      TakeOver(cell, cell);
      for (std::size_t runner = 0; runner < kRunnersPerCell; ++runner) Contact(cell, runner);
      Read(cell);
      Write(cell, kExecuted);
      Read(cell);
    }
  }

  const std::string& broken() const { return broken_; }
  std::size_t starts() const { return starts_; }

  /// A new owner takes the cell over. The old one goes on until it calls a runner that the new one
  /// has called.
  void TakeOver(std::size_t cell_choice, std::size_t instance) {
    Cell& cell = cells_[cell_choice % kCells];
    cell.terms.push_back({instance % kInstances, ++last_token_, {}, {}});
    for (std::size_t runner = 0; runner < kRunnersPerCell; ++runner) {
      cell.terms.back().unreconciled.insert(runner);
    }
    if (cell.terms.size() > 2) cell.terms.pop_front();
  }

  /// The newest owner calls a runner and learns what runs there.
  void Contact(std::size_t cell_choice, std::size_t runner) {
    Cell& cell = cells_[cell_choice % kCells];
    Term& term = cell.terms.back();
    term.unreconciled.erase(runner % kRunnersPerCell);
    cell.fences[runner % kRunnersPerCell] = term.token;
  }

  /// An owner, perhaps a former one, starts a task if its view allows it.
  void Start(std::size_t cell_choice, std::size_t runner_choice, std::size_t load_choice) {
    const CellNumber number = cell_choice % kCells;
    Cell& cell = cells_[number];
    Term& term = load_choice % 5 == 0 ? cell.terms.front() : cell.terms.back();
    const std::size_t runner = runner_choice % kRunnersPerCell;
    const auto load = static_cast<std::int64_t>(load_choice % kMaxLoad) + 1;
    if (term.unreconciled.contains(runner) || cell.fences[runner] > term.token) return;
    if (Running(cell, runner) + load > kRunnerCapacity) return;
    const Instance& instance = instances_[term.instance];
    const Resources limit = instance.view.Limit(number, term.token, kTeam, CapOf(instance));
    if (Used(number, term) + load > limit.cpu_milli) {
      term.blocked = std::min(term.blocked + load, 2 * kMaxLoad);
      return;
    }
    term.blocked = 0;
    cell.runs.push_back({runner, load, term.token});
    ++starts_;
    const std::int64_t total = Total();
    if (total > HighestCap()) {
      broken_ = Concat("a start brings the team to ", total, " of ", HighestCap());
    }
  }

  void End(std::size_t cell_choice, std::size_t run) {
    auto& runs = cells_[cell_choice % kCells].runs;
    if (!runs.empty()) runs.erase(runs.begin() + static_cast<std::ptrdiff_t>(run % runs.size()));
  }

  void Read(std::size_t instance) {
    instances_[instance % kInstances].view.ApplyRecord(stored_, end_);
  }

  /// An instance plans and sends its next write. How it ends depends on `outcome`.
  void Write(std::size_t number, std::size_t outcome) {
    Instance& instance = instances_[number % kInstances];
    if (const QuotaRecord* repeated = instance.view.write_to_repeat()) {
      return Send(&instance, QuotaRecord(*repeated), outcome);
    }
    if (!instance.view.may_plan()) return;
    std::vector<OwnedCell> owned;
    for (CellNumber cell = 0; cell < kCells; ++cell) {
      for (const Term& term : cells_[cell].terms) {
        if (term.instance != number % kInstances) continue;
        TeamUse use;
        use.used.cpu_milli = Known(cell, term);
        use.uncertain.cpu_milli = Used(cell, term) - Known(cell, term);
        use.blocked.cpu_milli = term.blocked;
        use.unit.cpu_milli = term.blocked;
        owned.push_back({cell, term.token, {{kTeam, use}}});
      }
    }
    const auto next =
        PlanQuota(instance.view.record(), owned, {{kTeam, CapOf(instance)}}, kCells, true);
    if (!next) return;
    instance.view.StartWrite(*next);
    Send(&instance, *next, outcome);
  }

  void ExecuteLateWrite(std::size_t choice) {
    if (late_writes_.empty()) return;
    const auto write =
        late_writes_.begin() + static_cast<std::ptrdiff_t>(choice % late_writes_.size());
    Execute(write->first, write->second);
    late_writes_.erase(write);
  }

  /// The operator changes the cap, and one instance after the other reads it.
  void ChangeCap(std::size_t cap) { newest_cap_ = 6 + static_cast<std::int64_t>(cap % 24); }
  void ReadConfig(std::size_t instance) { instances_[instance % kInstances].cap = newest_cap_; }

 private:
  struct Run {
    std::size_t runner = 0;
    std::int64_t load = 0;
    TermToken started_by = 0;
  };
  struct Term {
    std::size_t instance = 0;
    TermToken token = 0;
    std::set<std::size_t> unreconciled;
    std::int64_t blocked = 0;
  };
  struct Cell {
    std::deque<Term> terms;  ///< The last one is the owner.
    std::map<std::size_t, TermToken> fences;
    std::vector<Run> runs;
  };
  struct Instance {
    QuotaView view;
    std::int64_t cap = 20;
  };

  static Resources CapOf(const Instance& instance) { return {instance.cap, 0, 0}; }

  static std::int64_t Running(const Cell& cell, std::size_t runner) {
    std::int64_t running = 0;
    for (const Run& run : cell.runs) running += run.runner == runner ? run.load : 0;
    return running;
  }

  /// What the owner counts as in use: what it knows to run, and the capacity of the runners that it
  /// does not know.
  std::int64_t Used(CellNumber number, const Term& term) const {
    std::int64_t used = 0;
    for (std::size_t runner = 0; runner < kRunnersPerCell; ++runner) {
      if (term.unreconciled.contains(runner)) {
        used += kRunnerCapacity;
      } else {
        for (const Run& run : cells_.at(number).runs) {
          used += run.runner == runner && run.started_by <= term.token ? run.load : 0;
        }
      }
    }
    return used;
  }

  /// What the owner knows to run.
  std::int64_t Known(CellNumber number, const Term& term) const {
    std::int64_t known = 0;
    for (const Run& run : cells_.at(number).runs) {
      const bool contacted = !term.unreconciled.contains(run.runner);
      known += contacted && run.started_by <= term.token ? run.load : 0;
    }
    return known;
  }

  std::int64_t Total() const {
    std::int64_t total = 0;
    for (const auto& [number, cell] : cells_) {
      for (const Run& run : cell.runs) total += run.load;
    }
    return total;
  }

  std::int64_t HighestCap() const {
    std::int64_t highest = newest_cap_;
    for (const Instance& instance : instances_) highest = std::max(highest, instance.cap);
    return highest;
  }

  void Send(Instance* instance, const QuotaRecord& record, std::size_t outcome) {
    const std::uint64_t end = instance->view.end();
    switch (outcome % 6) {
      case 0:
        return instance->view.WriteRefused();
      case 1:  // No response; executed later if it still holds.
        late_writes_.push_back({record, end});
        return instance->view.WriteUnanswered();
      case 2:  // No response; executed at once.
        Execute(record, end);
        return instance->view.WriteUnanswered();
      default:
        return Execute(record, end) ? instance->view.WriteStored()
                                    : instance->view.WriteConflicted();
    }
  }

  bool Execute(const QuotaRecord& record, std::uint64_t end) {
    if (end != end_) return false;
    stored_ = record;
    ++end_;
    return true;
  }

  std::map<CellNumber, Cell> cells_;
  std::vector<Instance> instances_{kInstances};
  QuotaRecord stored_;
  std::uint64_t end_ = 1;
  std::deque<std::pair<QuotaRecord, std::uint64_t>> late_writes_;
  std::int64_t newest_cap_ = 20;
  TermToken last_token_ = 0;
  std::size_t starts_ = 0;
  std::string broken_;
};

WIGEONLANE_WORLD_COMMAND(QuotaWorld, TakeOver, world->TakeOver(a, b));
WIGEONLANE_WORLD_COMMAND(QuotaWorld, Contact, world->Contact(a, b));
WIGEONLANE_WORLD_COMMAND(QuotaWorld, Start, world->Start(a, b, c));
WIGEONLANE_WORLD_COMMAND(QuotaWorld, End, world->End(a, b));
WIGEONLANE_WORLD_COMMAND(QuotaWorld, Read, world->Read(a));
WIGEONLANE_WORLD_COMMAND(QuotaWorld, ReadThenWrite, (world->Read(a), world->Write(a, b)));
WIGEONLANE_WORLD_COMMAND(QuotaWorld, WriteFromOldView, world->Write(a, b));
WIGEONLANE_WORLD_COMMAND(QuotaWorld, ExecuteLateWrite, world->ExecuteLateWrite(a));
WIGEONLANE_WORLD_COMMAND(QuotaWorld, ChangeCap, world->ChangeCap(a));
WIGEONLANE_WORLD_COMMAND(QuotaWorld, ReadConfig, world->ReadConfig(a));

TEST_CASE("Quota_OwnersWritesAndVersionsInAnyOrder_SumStaysWithinTheCap") {
  std::size_t starts = 0;
  RequireProperty(
      61, 1'000,
      [&] {
        QuotaWorld world;
        rc::state::check(NoModel(), world,
                         rc::state::gen::execOneOfWithArgs<
                             TakeOver, Contact, Contact, Contact, Contact, Start, Start, Start,
                             Start, Start, Start, Start, Start, Start, Start, End, Read, Read,
                             ReadThenWrite, ReadThenWrite, ReadThenWrite, WriteFromOldView,
                             ExecuteLateWrite, ChangeCap, ReadConfig, ReadConfig>());
        starts += world.starts();
      },
      200);
  CHECK(starts > 1'000);  // The world does start tasks.
}

/// What callers need: a cell that wants more gets what others leave unused.
TEST_CASE("PlanQuota_OneCellWantsAllAndOthersAreIdle_GetsAllWithinAFewWrites") {
  QuotaRecord record;
  const std::map<std::string, Resources> caps = {{kTeam, {100, 0, 0}}};
  const auto write = [&](CellNumber cell, std::int64_t used, std::int64_t blocked) {
    const OwnedCell owned{cell, 1, {{kTeam, {{used, 0, 0}, {}, {blocked, 0, 0}, {}}}}};
    if (auto next = PlanQuota(record, {owned}, caps, kCells, true)) record = *std::move(next);
  };
  for (CellNumber cell = 0; cell < kCells; ++cell) write(cell, 0, 0);
  CHECK(QuotaLimit(record, 0, 1, kTeam, caps.at(kTeam)).cpu_milli == 16);
  write(0, 30, 70);
  write(1, 0, 0);
  write(2, 5, 0);
  write(0, 30, 70);
  CHECK(QuotaLimit(record, 0, 1, kTeam, caps.at(kTeam)).cpu_milli >= 90);
  CHECK(QuotaLimit(record, 2, 1, kTeam, caps.at(kTeam)).cpu_milli >= 5);
}

TEST_CASE("PlanQuota_TwoCellsWantAll_EachGetsHalf") {
  QuotaRecord record;
  const std::map<std::string, Resources> caps = {{kTeam, {100, 0, 0}}};
  std::map<CellNumber, std::int64_t> used = {{0, 90}, {1, 0}};
  record.cells[0] = {1, {{kTeam, {{100, 0, 0}, {100, 0, 0}, {}}}}};
  for (int round = 0; round < 10; ++round) {
    for (CellNumber cell = 0; cell < 2; ++cell) {
      const OwnedCell owned{cell, 1, {{kTeam, {{used[cell], 0, 0}, {}, {100, 0, 0}, {}}}}};
      if (auto next = PlanQuota(record, {owned}, caps, 2, true)) record = *std::move(next);
      const std::int64_t limit = QuotaLimit(record, cell, 1, kTeam, caps.at(kTeam)).cpu_milli;
      used[cell] = std::max(used[cell] - 20, limit);  // Tasks end, and others start.
    }
  }
  CHECK(used[0] == 50);
  CHECK(used[1] == 50);
}

/// Guards against a cap that is too small for a unit in each cell: no cell would ever get one.
TEST_CASE("PlanQuota_CapIsOneUnitAndTwoCellsWantIt_EachGetsItInTurn") {
  QuotaRecord record;
  const std::map<std::string, Resources> caps = {{kTeam, {0, 0, 1}}};
  std::map<CellNumber, std::int64_t> running;
  std::map<CellNumber, int> starts;
  for (int round = 0; round < 40; ++round) {
    for (CellNumber cell = 0; cell < 2; ++cell) {
      running[cell] = 0;  // The task that was started last time has ended.
      const OwnedCell owned{cell, 1, {{kTeam, {{}, {}, {0, 0, 1}, {0, 0, 1}}}}};
      if (auto next = PlanQuota(record, {owned}, caps, 2, true)) record = *std::move(next);
      if (QuotaLimit(record, cell, 1, kTeam, caps.at(kTeam)).gpus < 1) continue;
      running[cell] = 1;
      ++starts[cell];
      const OwnedCell busy{cell, 1, {{kTeam, {{0, 0, 1}, {}, {}, {}}}}};
      if (auto next = PlanQuota(record, {busy}, caps, 2, true)) record = *std::move(next);
    }
    CHECK(running[0] + running[1] <= 1);
  }
  CHECK(starts[0] >= 5);
  CHECK(starts[1] >= 5);
}

/// Guards against starts beyond a cap that a team gets while its tasks run.
TEST_CASE("PlanQuota_TeamGetsACapBelowItsUse_NobodyStartsMore") {
  QuotaRecord record;
  const std::map<std::string, Resources> caps = {{kTeam, {100, 0, 0}}};
  for (const auto& [cell, used] : std::map<CellNumber, std::int64_t>{{0, 150}, {1, 0}}) {
    const OwnedCell owned{cell, 1, {{kTeam, {{used, 0, 0}, {}, {50, 0, 0}, {}}}}};
    if (auto next = PlanQuota(record, {owned}, caps, 2, true)) record = *std::move(next);
  }
  CHECK(QuotaLimit(record, 0, 1, kTeam, caps.at(kTeam)).cpu_milli == 0);
  CHECK(QuotaLimit(record, 1, 1, kTeam, caps.at(kTeam)).cpu_milli == 0);
}

/// Guards against an amount that was given back and is used all the same: its write was stored but
/// not answered, and the repeated one meets another end.
TEST_CASE("QuotaView_UnansweredWriteWasStored_LowerAmountHoldsUntilItIsRead") {
  const std::map<std::string, Resources> caps = {{kTeam, {100, 0, 0}}};
  QuotaRecord record;
  record.cells[0] = {1, {{kTeam, {{80, 0, 0}, {80, 0, 0}, {}}}}};
  record.cells[1] = {2, {{kTeam, {{20, 0, 0}, {60, 0, 0}, {}}}}};
  QuotaView view;
  view.ApplyRecord(record, 5);
  const OwnedCell owned{0, 1, {{kTeam, {{10, 0, 0}, {}, {}, {}}}}};
  const auto next = PlanQuota(record, {owned}, caps, 2, true);
  REQUIRE(next);
  const std::int64_t lowered = QuotaLimit(*next, 0, 1, kTeam, caps.at(kTeam)).cpu_milli;
  REQUIRE(lowered < 80);
  view.StartWrite(*next);
  view.WriteUnanswered();
  REQUIRE(view.write_to_repeat() != nullptr);
  view.WriteConflicted();
  CHECK(view.Limit(0, 1, kTeam, caps.at(kTeam)).cpu_milli == lowered);
  CHECK_FALSE(view.may_plan());
  view.ApplyRecord(*next, 6);
  CHECK(view.may_plan());
  CHECK(view.Limit(0, 1, kTeam, caps.at(kTeam)).cpu_milli == lowered);
}

}  // namespace
}  // namespace wigeonlane
