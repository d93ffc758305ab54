#include "daemon/machine_coordinator.h"

#include <algorithm>
#include <charconv>
#include <utility>

#include "core/codec.h"
#include "core/logging.h"
#include "core/text.h"
#include "platform/config_codec.h"

namespace wigeonlane {
namespace {

/// Machines whose upkeep has begun, by wave, for a later holder of the role.
constexpr std::string_view kUpkeepTopic = "keyed.upkeep";
constexpr std::string_view kStatusTopic = "keyed.status";
/// Each round reads the list of machines once.
constexpr std::chrono::milliseconds kRoundInterval{100};
/// After an order, so that tasks of the machine start elsewhere at once.
constexpr std::chrono::milliseconds kRoundIntervalAfterResponse{20};
/// Share of the platform's rate that lists use; the rest is for a successor's first ones.
constexpr double kListRateShare = 0.85;

CommandWindowOptions WindowOptions(const MachineCoordinator::Options& options) {
  CommandWindowOptions window;
  window.max_in_flight = MachineClient::kMaxOpenCommands;
  window.commands_per_second = options.commands_per_second;
  return window;
}

std::string WaveKey(std::uint64_t wave) { return Concat("wave/", wave); }

void LogIfNotStored(std::string_view what, AppendResult result) {
  if (result == AppendResult::kStored) return;
  LogWarning("record_not_stored",
             {{"what", std::string(what)}, {"result", Concat(static_cast<int>(result))}});
}

}  // namespace

MachineCoordinator::MachineCoordinator(asio::io_context* io, MachineClient* machines,
                                       StoreClient* store, CallRouter* router, Options options)
    : machines_(machines),
      commands_(io, machines, WindowOptions(options)),
      store_(store),
      options_(std::move(options)),
      owners_(router, options_.cell_assignment),
      balancer_(&commands_, &owners_, options_.cell_assignment),
      role_({options_.takeover_wait, options_.machine_lease}),
      timer_(*io) {}

void MachineCoordinator::Start(TermToken token) {
  token_ = token;
  active_ = true;
  plans_.clear();
  acknowledged_.clear();
  unacknowledged_.clear();
  unstored_started_machines_.clear();
  unstored_statuses_.clear();
  for (const std::uint64_t wave : completed_waves_) unstored_statuses_[wave] = true;
  balancer_.Reset();
  rounds_.Reset();
  const std::uint64_t tenure = ++activation_;
  LogDecision("coordinator_started", {{"token", Concat(token)}, {"waves", Concat(waves_.size())}});
  role_.Begin(clock_.Now());
  AwaitPredecessor(tenure);
}

void MachineCoordinator::AwaitPredecessor(std::uint64_t tenure) {
  role_.RecordPredecessor(options_.predecessor());
  if (role_.MayAct(clock_.Now())) return ReadStartedMachines(tenure);
  timer_.expires_after(kRoundInterval);
  timer_.async_wait([this, tenure](asio::error_code error) {
    if (!error && tenure == activation_) AwaitPredecessor(tenure);
  });
}

std::chrono::milliseconds MachineCoordinator::Stop() {
  ++activation_;
  active_ = false;
  timer_.cancel();
  commands_.ClearQueue();
  role_.RecordPredecessor(options_.predecessor());
  const Instant now = clock_.Now();
  return role_.RequiredSuccessorWait(machines_->LastCommandAt(now), now);
}

bool MachineCoordinator::HasAuthority(std::uint64_t tenure) const {
  return active_ && tenure == activation_ && clock_.Now() < authority_until_;
}

void MachineCoordinator::SetWaves(const std::vector<MaintenanceWave>& waves) {
  for (const MaintenanceWave& wave : waves) waves_.emplace(wave.number, wave);
}

void MachineCoordinator::ReadStartedMachines(std::uint64_t tenure) {
  store_->Snapshot(
      {std::string(kUpkeepTopic), 0}, [this, tenure](absl::StatusOr<KeyedSnapshot> snapshot) {
        if (tenure != activation_) return;
        if (!snapshot.ok()) {
          LogWarning("upkeep_read_failed", {{"why", MessageOf(snapshot.status())}});
          timer_.expires_after(kRoundInterval);
          timer_.async_wait([this, tenure](asio::error_code error) {
            if (!error && tenure == activation_) ReadStartedMachines(tenure);
          });
          return;
        }
        for (const KeyedRecord& record : snapshot->records) {
          std::uint64_t wave = 0;
          std::from_chars(record.key.data(), record.key.data() + record.key.size(), wave);
          auto machines = Decode<std::set<std::string>>(record.value.value_or(""));
          if (machines.ok()) started_by_predecessors_[wave] = *std::move(machines);
        }
        Round(tenure);
      });
}

void MachineCoordinator::ScheduleRound(std::uint64_t tenure) {
  const Instant now = clock_.Now();
  const Instant at = std::max<Instant>(
      now + (acknowledged_.empty() ? kRoundInterval : kRoundIntervalAfterResponse), next_list_at_);
  if (!rounds_.Plan(at)) return;
  timer_.expires_after(at - now);
  timer_.async_wait([this, tenure](asio::error_code error) {
    if (!error && tenure == activation_) Round(tenure);
  });
}

/// What the pages of the last list take of the platform's rate.
Duration MachineCoordinator::MinListInterval() const {
  const std::chrono::duration<double> time(machines_->requested_pages() /
                                           (options_.list_pages_per_second * kListRateShare));
  return std::chrono::ceil<Duration>(time);
}

void MachineCoordinator::Round(std::uint64_t tenure) {
  rounds_.Begin();
  StoreStartedMachines();
  StorePendingStatuses();
  for (const auto& [number, wave] : waves_) {
    if (plans_.contains(number) || completed_waves_.contains(number)) continue;
    WavePlan& plan = plans_.emplace(number, WavePlan(wave, clock_.Now())).first->second;
    plan.MarkDone(started_by_predecessors_[number]);
    LogDecision("wave", {{"wave", Concat(number)},
                         {"machines", Concat(wave.machines.size())},
                         {"at_once", Concat(wave.max_machines_down)},
                         {"within_ms", Concat(wave.within.count())},
                         {"begun_before", Concat(started_by_predecessors_[number].size())}});
    StoreWaveStatus(number, false);
  }
  if (!HasAuthority(tenure)) {
    rounds_.End();
    return ScheduleRound(tenure);
  }
  balancer_.RequestLoads();  // Answered by the time that the list is.
  machines_->List([this, tenure, asked = clock_.Now(), answered = std::exchange(acknowledged_, {})](
                      absl::StatusOr<MachineList> machines) {
    next_list_at_ = asked + MinListInterval();
    if (tenure != activation_) return;
    rounds_.End();
    HandleListResponse(std::move(machines), asked, answered, tenure);
    ScheduleRound(tenure);
  });
}

/// `answered` are machines whose orders were answered before the list was asked for.
void MachineCoordinator::HandleListResponse(absl::StatusOr<MachineList> machines, Instant asked,
                                            const AcknowledgedMachines& answered,
                                            std::uint64_t tenure) {
  if (machines.ok() && !machines->empty() && HasAuthority(tenure)) {
    NotifyStoppedRunners(answered, *machines);
    return ApplyList(*machines, asked, tenure);
  }
  acknowledged_.insert(answered.begin(), answered.end());
  if (!machines.ok()) {
    LogWarning("machine_list_failed", {{"why", MessageOf(machines.status())}});
  }
}

/// Tells the owners of runners whose machines are down that these lives are over.
void MachineCoordinator::NotifyStoppedRunners(const AcknowledgedMachines& answered,
                                              const MachineList& machines) {
  for (const auto& [name, before] : answered) {
    const auto listed = machines.find(name);
    if (listed == machines.end() || listed->second.up) continue;
    owners_.NotifyRunnerDown(before);
  }
}

void MachineCoordinator::ApplyList(const MachineList& machines, Instant asked,
                                   std::uint64_t tenure) {
  for (auto it = plans_.begin(); it != plans_.end();) {
    AdvancePlan(&it->second, machines, asked, tenure);
    if (!it->second.complete()) {
      ++it;
      continue;
    }
    LogDecision("wave_complete", {{"wave", Concat(it->first)}});
    StoreWaveStatus(it->first, true);
    completed_waves_.insert(it->first);
    it = plans_.erase(it);
  }
  std::set<std::string> taken;
  for (const auto& [number, plan] : plans_) taken.merge(plan.MachinesInProgress());
  balancer_.Round(machines, taken, {options_.holder, token_},
                  [this, tenure] { return HasAuthority(tenure); });
}

void MachineCoordinator::AdvancePlan(WavePlan* plan, const MachineList& machines, Instant asked,
                                     std::uint64_t tenure) {
  plan->HandleMachineList(machines, asked);
  ResolveUnacknowledged(plan, machines);
  for (const std::string& machine : plan->MachinesWithoutResponse()) {
    const auto listed = machines.find(machine);
    // The release that the first order relied on may have lapsed.
    if (listed != machines.end()) Prepare(plan->wave().number, listed->second, tenure);
  }
  for (const std::string& machine : plan->MachinesToPrepare(machines, clock_.Now())) {
    Prepare(plan->wave().number, machines.at(machine), tenure);
  }
}

/// Machines that went down though no order to them was answered. They are ordered again once they
/// are up, since they may have gone for another cause.
void MachineCoordinator::ResolveUnacknowledged(WavePlan* plan, const MachineList& machines) {
  for (const std::string& machine : plan->MachinesWithoutResponse()) {
    const auto listed = machines.find(machine);
    const auto before = unacknowledged_.find(machine);
    if (listed == machines.end() || before == unacknowledged_.end()) continue;
    if (!RunnerStopped(before->second, listed->second)) continue;
    LogDecision("upkeep_unanswered", {{"machine", machine}, {"runner", before->second.runner}});
    owners_.NotifyRunnerDown(before->second);
    plan->HandleUnexpectedlyDown(machine, clock_.Now());
    unacknowledged_.erase(before);
  }
}

void MachineCoordinator::Prepare(std::uint64_t wave, const ListedMachine& machine,
                                 std::uint64_t tenure) {
  if (machine.runner.empty()) return Order(wave, machine, tenure);
  owners_.Reserve(machine, [this, wave, machine, tenure](CallVerdict verdict) {
    if (verdict == CallVerdict::kReady) return Order(wave, machine, tenure);
    const auto plan = plans_.find(wave);
    if (verdict != CallVerdict::kNotEvacuable || tenure != activation_ || plan == plans_.end())
      return;
    plan->second.DeferMachine(machine.machine, clock_.Now());
  });
}

void MachineCoordinator::Order(std::uint64_t wave, const ListedMachine& machine,
                               std::uint64_t tenure) {
  MachineCommand order;
  order.kind = CommandKind::kMaintenance;
  order.holder = {options_.holder, token_};
  order.machine = machine.machine;
  order.wave = wave;
  order.begin = [this, wave, name = machine.machine, tenure] {
    return BeginOrder(wave, name, tenure);
  };
  order.done = [this, wave, machine, tenure](MachineCommandResult answer) {
    if (tenure == activation_) Ordered(wave, machine, answer, tenure);
  };
  commands_.Request(std::move(order));
}

/// Whether the machine may be taken down now; it counts as away from then on.
bool MachineCoordinator::BeginOrder(std::uint64_t wave, const std::string& machine,
                                    std::uint64_t tenure) {
  const auto plan = plans_.find(wave);
  return HasAuthority(tenure) && plan != plans_.end() && plan->second.BeginOrder(machine);
}

void MachineCoordinator::Ordered(std::uint64_t wave, const ListedMachine& machine,
                                 MachineCommandResult answer, std::uint64_t tenure) {
  LogDecision("upkeep_order", {{"wave", Concat(wave)},
                               {"machine", machine.machine},
                               {"runner", machine.runner},
                               {"answer", Concat(static_cast<int>(answer))},
                               {"token", Concat(token_)}});
  const auto found = plans_.find(wave);
  if (found == plans_.end()) return;
  WavePlan& plan = found->second;
  const bool outcome_known =
      answer == MachineCommandResult::kDone || answer == MachineCommandResult::kBusy;
  if (outcome_known) unacknowledged_.erase(machine.machine);
  switch (answer) {
    case MachineCommandResult::kDone:
      plan.HandleStarted(machine.machine, clock_.Now());
      unstored_started_machines_[wave] = plan.MachinesStarted();
      StoreStartedMachines();
      acknowledged_[machine.machine] = machine;
      return ScheduleRound(tenure);
    case MachineCommandResult::kFenced:
      LogWarning("upkeep_fenced", {{"machine", machine.machine}, {"token", Concat(token_)}});
      if (HasAuthority(tenure)) Stop();
      return;
    case MachineCommandResult::kBusy:
      plan.HandleUnexpectedlyDown(machine.machine, clock_.Now());
      acknowledged_[machine.machine] = machine;
      return ScheduleRound(tenure);
    case MachineCommandResult::kRefused:
      return plan.Refused(machine.machine);
    case MachineCommandResult::kUnknown:
      unacknowledged_.try_emplace(machine.machine, machine);
      return plan.Unknown(machine.machine);  // Is repeated in the next round.
  }
}

/// Stores what has begun, one write at a time: orders are answered faster than a partition takes
/// appends, and each record holds all machines of its wave. Rounds repeat what was not stored.
void MachineCoordinator::StoreStartedMachines() {
  if (storing_started_machines_ || unstored_started_machines_.empty()) return;
  std::vector<StoreRecord> records;
  for (const auto& [wave, machines] : unstored_started_machines_) {
    records.push_back({Concat(wave), Encode(machines)});
  }
  storing_started_machines_ = true;
  store_->Put({std::string(kUpkeepTopic), 0}, records,
              [this, tenure = activation_,
               sent = std::exchange(unstored_started_machines_, {})](AppendResult result) {
                storing_started_machines_ = false;
                LogIfNotStored("upkeep begun", result);
                if (tenure != activation_) return;
                if (result == AppendResult::kStored) return StoreStartedMachines();
                unstored_started_machines_.insert(sent.begin(), sent.end());
              });
}

void MachineCoordinator::StoreWaveStatus(std::uint64_t wave, bool completed) {
  unstored_statuses_[wave] = completed;
  StorePendingStatuses();
}

/// One write at a time, so that an older state never follows a newer one.
void MachineCoordinator::StorePendingStatuses() {
  if (storing_statuses_ || unstored_statuses_.empty()) return;
  std::vector<StoreRecord> records;
  for (const auto& [wave, completed] : unstored_statuses_) {
    records.push_back({WaveKey(wave), EncodeWaveStatus(completed)});
  }
  storing_statuses_ = true;
  store_->Put({std::string(kStatusTopic), 0}, records,
              [this, tenure = activation_,
               sent = std::exchange(unstored_statuses_, {})](AppendResult result) {
                storing_statuses_ = false;
                LogIfNotStored("wave status", result);
                if (tenure != activation_) return;
                if (result == AppendResult::kStored) return StorePendingStatuses();
                unstored_statuses_.insert(sent.begin(), sent.end());
              });
}

}  // namespace wigeonlane
