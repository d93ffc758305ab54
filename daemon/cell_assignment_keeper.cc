#include "daemon/cell_assignment_keeper.h"

#include <utility>

#include "core/codec.h"
#include "core/logging.h"
#include "core/text.h"

namespace wigeonlane {
namespace {

constexpr std::string_view kTopic = "keyed.division";
constexpr std::string_view kKey = "division";
/// The record rarely changes, and an outdated copy lacks only racks that were added since.
constexpr std::chrono::milliseconds kMaxReadWait{5'000};
/// Time for which the number of runners must stay the same before the first assignment is written.
/// Runners write their entries every 1.5 s (HeartbeatMs), and the list lags behind by 0.8 s.
constexpr std::chrono::milliseconds kRunnerListSettleTime{1'600};

}  // namespace

CellAssignmentKeeper::CellAssignmentKeeper(asio::io_context* io, StoreClient* store,
                                           std::uint32_t cells, std::function<void()> on_changed)
    : store_(store),
      cells_(cells),
      on_changed_(std::move(on_changed)),
      watch_(io, store, {std::string(kTopic), kMaxReadWait, std::chrono::milliseconds(0)},
             [this](const std::set<std::string>&) { ApplyRecord(); }) {}

void CellAssignmentKeeper::ApplyRecord() {
  const auto record = watch_.values().find(std::string(kKey));
  if (record == watch_.values().end()) return;
  auto cell_assignment = DecodeCellAssignment(record->second, cells_);
  record_readable_ = cell_assignment.ok();
  if (!cell_assignment.ok()) {
    return LogError("unreadable_division", {{"why", MessageOf(cell_assignment.status())}});
  }
  if (*cell_assignment == cell_assignment_) return;
  cell_assignment_ = *std::move(cell_assignment);
  std::string text;
  for (const auto& [name, service] : cell_assignment_.services) {
    AppendTo(&text, " ", name, ":", service.cells.size());
  }
  LogDecision("division", {{"offset", Concat(watch_.offset())}, {"cells_of_services", text}});
  on_changed_();
}

bool CellAssignmentKeeper::RunnerListIsStable(std::size_t runners) {
  if (runners != runner_count_) {
    runner_count_ = runners;
    runner_count_since_ = clock_.Now();
  }
  return runners > 0 && clock_.Now() - runner_count_since_ >= kRunnerListSettleTime;
}

void CellAssignmentKeeper::Extend(const std::vector<std::string>& services,
                                  const std::vector<RunnerListing>& runners) {
  const bool list_is_stable = RunnerListIsStable(runners.size());
  if (writing_ || !record_readable_ || !watch_.reachable() || (!known() && !list_is_stable)) return;
  const auto extended = ExtendCellAssignment(cell_assignment_, services, runners, cells_);
  if (!extended) return;
  writing_ = true;
  LogDecision("extend_division", {{"offset", Concat(watch_.offset())},
                                  {"services", Concat(extended->services.size())},
                                  {"runners", Concat(runners.size())}});
  store_->PutIfEndIs(
      {std::string(kTopic), 0}, {{std::string(kKey), Encode(*extended)}}, watch_.offset(),
      [this](AppendResult result) {
        writing_ = false;
        if (result == AppendResult::kStored) return;
        LogWarning("division_not_stored", {{"result", Concat(static_cast<int>(result))}});
      });
}

}  // namespace wigeonlane
