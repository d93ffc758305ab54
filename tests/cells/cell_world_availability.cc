/// Runners of the simulated cell that leave for good, and the check that long-running tasks have
/// runs.
#include <algorithm>
#include <utility>

#include "tests/cells/cell_world.h"

namespace wigeonlane {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kObservationInterval{100};
/// Discovery removes the entry of a runner after three heartbeats of this length without one.
constexpr milliseconds kHeartbeat{1'500};
constexpr milliseconds kEntryExpiry = 3 * kHeartbeat;
/// From the end of a runner until the one that replaces it joins.
constexpr milliseconds kReplacementTime{2'000};
/// How often a machine order is repeated while it is not ready, and a notice while no owner serves.
constexpr milliseconds kOrderInterval{200};
constexpr milliseconds kOrderTimeout{5'000};
/// Fewer runners are not taken away from.
constexpr std::size_t kMinRunners = 3;

}  // namespace

void CellWorld::WatchAvailability() {
  After(kObservationInterval, [this] {
    AdvanceRunners();
    ObserveAvailability();
    WatchAvailability();
  });
}

void CellWorld::ObserveAvailability() {
  if (IsDisrupted()) availability_.Disrupt(now_);
  const std::vector<RunnerListing> listings = Listings();
  for (const Submitted& job : submitted_) {
    const std::vector<StepSpec>& steps = job.record.spec.steps;
    if (!steps.front().long_running) continue;
    if (!oracle_.WasAccepted(job.id) || oracle_.CancelWasSent(job.id)) continue;
    for (std::uint32_t index = 0; index < steps.front().count; ++index) {
      const TaskId task{job.id, 0, 0, index};
      const bool runs = std::any_of(runners_.begin(), runners_.end(), [&](const auto& runner) {
        return runner.alive && runner.runs().contains(task);
      });
      const TaskView view{runs, HasCapacityTwiceOver(job.id, steps.front(), listings)};
      if (availability_.Observe(task, view, now_)) oracle_.Unavailable(task);
    }
  }
}

/// Whether a disruption lasts that is not only a runner that has left for good.
bool CellWorld::IsDisrupted() const {
  const Owner& holder = *owners_[holder_];
  if (!holder.alive || holder.cell == nullptr || !StoreServes(holder)) return true;
  const bool frozen = std::any_of(owners_.begin(), owners_.end(), [this](const auto& owner) {
    return owner->alive && now_ < owner->frozen_until;
  });
  const bool cut = std::any_of(one_sided_cuts_.begin(), one_sided_cuts_.end(),
                               [this](const auto& each) { return now_ < each.second.until; });
  if (frozen || cut) return true;
  for (std::size_t index = 0; index < runners_.size(); ++index) {
    if (!gone_.contains(index) && now_ < runners_[index].cut_until) return true;
  }
  return false;
}

/// Whether runners that are in touch with the owner, listed, and stay, have twice the capacity that
/// a task of the step needs.
bool CellWorld::HasCapacityTwiceOver(const JobId& job, const StepSpec& step,
                                     const std::vector<RunnerListing>& listings) const {
  std::uint32_t places = 0;
  for (std::size_t index = 0; index < runners_.size(); ++index) {
    const SimRunner& runner = runners_[index];
    const bool listed =
        std::find(listings.begin(), listings.end(), runner.listing) != listings.end();
    if (!runner.alive || !listed || runner.listing.draining || IsCut(holder_, runner)) continue;
    if (gone_.contains(index) || leaving_.contains(index)) continue;
    Resources free = runner.listing.capacity;
    std::uint32_t runs_of_step = 0;
    for (const auto& [task, run] : runner.runs()) {
      free -= run.load;
      if (task.job == job && task.step == 0) ++runs_of_step;
    }
    for (std::uint32_t place = 0; place < 2; ++place) {
      if (step.max_per_runner > 0 && runs_of_step + place >= step.max_per_runner) break;
      if (free.Holds(Multiple(step.Load(), place + 1))) ++places;
    }
  }
  return places >= 2;
}

std::size_t CellWorld::IndexOfPresent(std::size_t which) const {
  std::vector<std::size_t> present;
  for (std::size_t index = 0; index < runners_.size(); ++index) {
    if (!gone_.contains(index)) present.push_back(index);
  }
  return present[which % present.size()];
}

bool CellWorld::MayLeave(std::size_t index) const {
  std::size_t staying = 0;
  for (std::size_t other = 0; other < runners_.size(); ++other) {
    if (runners_[other].alive && !gone_.contains(other) && !leaving_.contains(other)) ++staying;
  }
  return runners_[index].alive && !leaving_.contains(index) && staying >= kMinRunners;
}

/// From now on no heartbeat of the runner arrives. Another runner joins in its place.
void CellWorld::RemoveForGood(std::size_t index) {
  availability_.Disrupt(now_);
  gone_[index] = now_ + kEntryExpiry;
  After(kReplacementTime, [this] { AddRunner(); });
}

void CellWorld::CrashRunnerForGood(std::size_t which) {
  const std::size_t index = IndexOfPresent(which);
  if (!MayLeave(index)) return;
  runners_[index].Crash(&oracle_);
  RemoveForGood(index);
}

void CellWorld::CutRunnerForGood(std::size_t which) {
  const std::size_t index = IndexOfPresent(which);
  if (!MayLeave(index)) return;
  runners_[index].cut_until = Instant::max();
  RemoveForGood(index);
}

void CellWorld::TakeDownMachine(std::size_t which, milliseconds lead, milliseconds notice) {
  const std::size_t index = IndexOfPresent(which);
  if (!MayLeave(index)) return;
  leaving_.insert(index);
  OrderMachineDown(index, {lead, notice, now_ + kOrderTimeout});
}

bool CellWorld::NewestOwnerServes() const {
  const Owner& owner = *owners_.back();
  return owner.alive && !owner.released && now_ >= owner.frozen_until && owner.cell != nullptr &&
         !owner.cell->deposed();
}

/// Asks the present owner until it releases the machine.
void CellWorld::OrderMachineDown(std::size_t index, const MachineOrder& order) {
  bool ready = false;
  if (NewestOwnerServes()) {
    const std::string& id = runners_[index].listing.id;
    ready = owners_.back()->cell->ReserveRunner(id, Time()).verdict == CallVerdict::kReady;
    Pump(owners_.size() - 1);
  }
  if (ready) return After(order.lead, [this, index, order] { PowerOff(index, order); });
  if (now_ >= order.until) {
    leaving_.erase(index);
    return;
  }
  After(kOrderInterval, [this, index, order] { OrderMachineDown(index, order); });
}

void CellWorld::PowerOff(std::size_t index, const MachineOrder& order) {
  if (gone_.contains(index)) return;
  runners_[index].Crash(&oracle_);
  RemoveForGood(index);
  After(order.notice, [this, index] { ReportMachineDown(index); });
}

void CellWorld::ReportMachineDown(std::size_t index) {
  if (!NewestOwnerServes()) {
    return After(kOrderInterval, [this, index] { ReportMachineDown(index); });
  }
  owners_.back()->cell->HandleMachineDown(runners_[index].listing.id, Time());
  Pump(owners_.size() - 1);
}

}  // namespace wigeonlane
