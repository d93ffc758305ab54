#include "daemon/cell_assignment_keeper.h"

#include <utility>

#include "core/codec.h"
#include "core/logging.h"
#include "core/text.h"

namespace wigeonlane {
namespace {

constexpr std::string_view kTopic = "keyed.division";
constexpr std::string_view kKey = "division";
/// The record changes hardly ever; an older one lacks only racks that came since.
constexpr std::chrono::milliseconds kMaxReadWait{5'000};
/// Runners write every 1.5 s (HeartbeatMs), and the list lags by 0.8 s.
constexpr std::chrono::milliseconds kRunnerListSettleTime{1'600};

}  // namespace

CellAssignmentKeeper::CellAssignmentKeeper(asio::io_context* io, StoreClient* store,
                                           std::uint32_t cells, std::function<void()> changed)
    : store_(store),
      cells_(cells),
      on_changed_(std::move(changed)),
      watch_(io, store, {std::string(kTopic), kMaxReadWait, std::chrono::milliseconds(0)},
             [this](const std::set<std::string>&) { ApplyRecord(); }) {}

void CellAssignmentKeeper::ApplyRecord() {
  const auto found = watch_.values().find(std::string(kKey));
  if (found == watch_.values().end()) return;
  auto cell_assignment = DecodeCellAssignment(found->second, cells_);
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
  const bool stands = RunnerListIsStable(runners.size());
  if (writing_ || !record_readable_ || !watch_.reachable() || (!known() && !stands)) return;
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
