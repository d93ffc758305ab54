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

/// Records of the machines whose maintenance has started, by wave. A later holder of the role reads
/// them.
constexpr std::string_view kStartedMachinesTopic = "keyed.upkeep";
constexpr std::string_view kWaveStatusTopic = "keyed.status";
/// Interval between rounds. Each round reads the list of machines once.
constexpr std::chrono::milliseconds kRoundInterval{100};
/// Interval before the next round after a command was acknowledged. It is shorter so that
/// the machine's tasks soon restart on other machines.
constexpr std::chrono::milliseconds kRoundIntervalAfterResponse{20};
/// Share of the platform's rate limit that list requests use. The rest is left for the first list
/// requests of a successor.
constexpr double kListRateShare = 0.85;

CommandWindowOptions WindowOptions(const MachineCoordinator::Options& options) {
  CommandWindowOptions window;
  window.max_in_flight = MachineClient::kMaxOpenCommands;
  window.commands_per_second = options.commands_per_second;
  return window;
}

std::string WaveKey(std::uint64_t wave) { return Concat("wave/", wave); }

void LogIfNotStored(std::string_view content, AppendResult result) {
  if (result == AppendResult::kStored) return;
  LogWarning("record_not_stored",
             {{"what", std::string(content)}, {"result", Concat(static_cast<int>(result))}});
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
  const std::uint64_t activation = ++activation_;
  LogDecision("coordinator_started", {{"token", Concat(token)}, {"waves", Concat(waves_.size())}});
  role_.Begin(clock_.Now());
  AwaitPredecessor(activation);
}

void MachineCoordinator::AwaitPredecessor(std::uint64_t activation) {
  role_.RecordPredecessor(options_.predecessor());
  if (role_.MayAct(clock_.Now())) return ReadStartedMachines(activation);
  timer_.expires_after(kRoundInterval);
  timer_.async_wait([this, activation](asio::error_code error) {
    if (!error && activation == activation_) AwaitPredecessor(activation);
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

bool MachineCoordinator::HasAuthority(std::uint64_t activation) const {
  return active_ && activation == activation_ && clock_.Now() < authority_until_;
}

void MachineCoordinator::SetWaves(const std::vector<MaintenanceWave>& waves) {
  for (const MaintenanceWave& wave : waves) waves_.emplace(wave.number, wave);
}

void MachineCoordinator::ReadStartedMachines(std::uint64_t activation) {
  store_->Snapshot({std::string(kStartedMachinesTopic), 0},
                   [this, activation](absl::StatusOr<KeyedSnapshot> snapshot) {
                     if (activation != activation_) return;
                     if (!snapshot.ok()) {
                       LogWarning("upkeep_read_failed", {{"why", MessageOf(snapshot.status())}});
                       timer_.expires_after(kRoundInterval);
                       timer_.async_wait([this, activation](asio::error_code error) {
                         if (!error && activation == activation_) ReadStartedMachines(activation);
                       });
                       return;
                     }
                     for (const KeyedRecord& record : snapshot->records) {
                       std::uint64_t wave = 0;
                       std::from_chars(record.key.data(), record.key.data() + record.key.size(),
                                       wave);
                       auto machines = Decode<std::set<std::string>>(record.value.value_or(""));
                       if (machines.ok()) started_by_predecessors_[wave] = *std::move(machines);
                     }
                     RunRound(activation);
                   });
}

void MachineCoordinator::ScheduleRound(std::uint64_t activation) {
  const Instant now = clock_.Now();
  const Instant round_at = std::max<Instant>(
      now + (acknowledged_.empty() ? kRoundInterval : kRoundIntervalAfterResponse), next_list_at_);
  if (!rounds_.ScheduleAt(round_at)) return;
  timer_.expires_after(round_at - now);
  timer_.async_wait([this, activation](asio::error_code error) {
    if (!error && activation == activation_) RunRound(activation);
  });
}

/// Returns the minimum time between two list requests that keeps the platform's rate limit, given
/// the number of pages of the last list.
Duration MachineCoordinator::MinListInterval() const {
  const std::chrono::duration<double> time(machines_->requested_pages() /
                                           (options_.list_pages_per_second * kListRateShare));
  return std::chrono::ceil<Duration>(time);
}

void MachineCoordinator::RunRound(std::uint64_t activation) {
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
                         {"within_ms", Concat(wave.time_limit.count())},
                         {"already_started", Concat(started_by_predecessors_[number].size())}});
    StoreWaveStatus(number, false);
  }
  if (!HasAuthority(activation)) {
    rounds_.End();
    return ScheduleRound(activation);
  }
  balancer_.RequestLoads();  // The responses usually arrive before the list does.
  machines_->List(
      [this, activation, requested_at = clock_.Now(),
       acknowledged = std::exchange(acknowledged_, {})](absl::StatusOr<MachineList> machines) {
        next_list_at_ = requested_at + MinListInterval();
        if (activation != activation_) return;
        rounds_.End();
        HandleListResponse(std::move(machines), requested_at, acknowledged, activation);
        ScheduleRound(activation);
      });
}

/// `acknowledged` are the machines whose commands were acknowledged before the list was
/// requested.
void MachineCoordinator::HandleListResponse(absl::StatusOr<MachineList> machines,
                                            Instant requested_at,
                                            const AcknowledgedMachines& acknowledged,
                                            std::uint64_t activation) {
  if (machines.ok() && !machines->empty() && HasAuthority(activation)) {
    NotifyStoppedRunners(acknowledged, *machines);
    return ApplyList(*machines, requested_at, activation);
  }
  acknowledged_.insert(acknowledged.begin(), acknowledged.end());
  if (!machines.ok()) {
    LogWarning("machine_list_failed", {{"why", MessageOf(machines.status())}});
  }
}

/// Notifies the owners of runners whose machines went down that these runner incarnations have
/// ended.
void MachineCoordinator::NotifyStoppedRunners(const AcknowledgedMachines& acknowledged,
                                              const MachineList& machines) {
  for (const auto& [name, listed_before] : acknowledged) {
    const auto listed = machines.find(name);
    if (listed == machines.end() || listed->second.up) continue;
    owners_.NotifyRunnerDown(listed_before);
  }
}

void MachineCoordinator::ApplyList(const MachineList& machines, Instant requested_at,
                                   std::uint64_t activation) {
  for (auto it = plans_.begin(); it != plans_.end();) {
    AdvancePlan(&it->second, machines, requested_at, activation);
    if (!it->second.complete()) {
      ++it;
      continue;
    }
    LogDecision("wave_complete", {{"wave", Concat(it->first)}});
    StoreWaveStatus(it->first, true);
    completed_waves_.insert(it->first);
    it = plans_.erase(it);
  }
  std::set<std::string> wave_machines;
  for (const auto& [number, plan] : plans_) wave_machines.merge(plan.MachinesInProgress());
  balancer_.RunRound(machines, wave_machines, {options_.holder, token_},
                     [this, activation] { return HasAuthority(activation); });
}

void MachineCoordinator::AdvancePlan(WavePlan* plan, const MachineList& machines,
                                     Instant requested_at, std::uint64_t activation) {
  plan->HandleMachineList(machines, requested_at);
  ResolveUnacknowledged(plan, machines);
  for (const std::string& machine : plan->MachinesWithoutResponse()) {
    const auto listed = machines.find(machine);
    // The runner must be reserved again, because the reservation for the first command may have
    // expired.
    if (listed != machines.end()) PrepareMachine(plan->wave().number, listed->second, activation);
  }
  for (const std::string& machine : plan->MachinesToPrepare(machines, clock_.Now())) {
    PrepareMachine(plan->wave().number, machines.at(machine), activation);
  }
}

/// Handles machines that went down after a command without a response. The command is sent again
/// once such a machine is up, because the machine may have gone down for another reason.
void MachineCoordinator::ResolveUnacknowledged(WavePlan* plan, const MachineList& machines) {
  for (const std::string& machine : plan->MachinesWithoutResponse()) {
    const auto listed = machines.find(machine);
    const auto listed_before = unacknowledged_.find(machine);
    if (listed == machines.end() || listed_before == unacknowledged_.end()) continue;
    if (!RunnerStopped(listed_before->second, listed->second)) continue;
    LogDecision("upkeep_unanswered",
                {{"machine", machine}, {"runner", listed_before->second.runner}});
    owners_.NotifyRunnerDown(listed_before->second);
    plan->HandleUnexpectedlyDown(machine, clock_.Now());
    unacknowledged_.erase(listed_before);
  }
}

void MachineCoordinator::PrepareMachine(std::uint64_t wave, const ListedMachine& machine,
                                        std::uint64_t activation) {
  if (machine.runner.empty()) return RequestMaintenance(wave, machine, activation);
  owners_.Reserve(machine, [this, wave, machine, activation](CallVerdict verdict) {
    if (verdict == CallVerdict::kReady) return RequestMaintenance(wave, machine, activation);
    const auto plan = plans_.find(wave);
    if (verdict != CallVerdict::kNotEvacuable || activation != activation_ ||
        plan == plans_.end()) {
      return;
    }
    plan->second.DeferMachine(machine.machine, clock_.Now());
  });
}

void MachineCoordinator::RequestMaintenance(std::uint64_t wave, const ListedMachine& machine,
                                            std::uint64_t activation) {
  MachineCommand command;
  command.kind = CommandKind::kMaintenance;
  command.holder = {options_.holder, token_};
  command.machine = machine.machine;
  command.wave = wave;
  command.confirm_send = [this, wave, name = machine.machine, activation] {
    return BeginMaintenance(wave, name, activation);
  };
  command.on_response = [this, wave, machine, activation](MachineCommandResult response) {
    if (activation == activation_) HandleMaintenanceResponse(wave, machine, response, activation);
  };
  commands_.Request(std::move(command));
}

/// Returns whether the machine may be taken down now. If so, it counts as unavailable from
/// then on.
bool MachineCoordinator::BeginMaintenance(std::uint64_t wave, const std::string& machine,
                                          std::uint64_t activation) {
  const auto plan = plans_.find(wave);
  return HasAuthority(activation) && plan != plans_.end() && plan->second.TryBeginCommand(machine);
}

void MachineCoordinator::HandleMaintenanceResponse(std::uint64_t wave, const ListedMachine& machine,
                                                   MachineCommandResult response,
                                                   std::uint64_t activation) {
  LogDecision("upkeep_order", {{"wave", Concat(wave)},
                               {"machine", machine.machine},
                               {"runner", machine.runner},
                               {"answer", Concat(static_cast<int>(response))},
                               {"token", Concat(token_)}});
  const auto plan_entry = plans_.find(wave);
  if (plan_entry == plans_.end()) return;
  WavePlan& plan = plan_entry->second;
  const bool outcome_known =
      response == MachineCommandResult::kDone || response == MachineCommandResult::kBusy;
  if (outcome_known) unacknowledged_.erase(machine.machine);
  switch (response) {
    case MachineCommandResult::kDone:
      plan.HandleStarted(machine.machine, clock_.Now());
      unstored_started_machines_[wave] = plan.MachinesStarted();
      StoreStartedMachines();
      acknowledged_[machine.machine] = machine;
      return ScheduleRound(activation);
    case MachineCommandResult::kFenced:
      LogWarning("upkeep_fenced", {{"machine", machine.machine}, {"token", Concat(token_)}});
      if (HasAuthority(activation)) Stop();
      return;
    case MachineCommandResult::kBusy:
      plan.HandleUnexpectedlyDown(machine.machine, clock_.Now());
      acknowledged_[machine.machine] = machine;
      return ScheduleRound(activation);
    case MachineCommandResult::kRefused:
      return plan.HandleRefused(machine.machine);
    case MachineCommandResult::kUnknown:
      unacknowledged_.try_emplace(machine.machine, machine);
      return plan.HandleNoResponse(machine.machine);  // The next round sends the command again.
  }
}

/// Stores the machines whose maintenance has started. Only one write is open at a time, because
/// commands are acknowledged faster than a partition accepts appends, and each record holds all
/// machines of its wave. The next round retries a write that failed.
void MachineCoordinator::StoreStartedMachines() {
  if (storing_started_machines_ || unstored_started_machines_.empty()) return;
  std::vector<StoreRecord> records;
  for (const auto& [wave, machines] : unstored_started_machines_) {
    records.push_back({Concat(wave), Encode(machines)});
  }
  storing_started_machines_ = true;
  store_->Put({std::string(kStartedMachinesTopic), 0}, records,
              [this, activation = activation_,
               sent = std::exchange(unstored_started_machines_, {})](AppendResult result) {
                storing_started_machines_ = false;
                LogIfNotStored("started maintenance", result);
                if (activation != activation_) return;
                if (result == AppendResult::kStored) return StoreStartedMachines();
                unstored_started_machines_.insert(sent.begin(), sent.end());
              });
}

void MachineCoordinator::StoreWaveStatus(std::uint64_t wave, bool completed) {
  unstored_statuses_[wave] = completed;
  StorePendingStatuses();
}

/// Stores the pending wave statuses. Only one write is open at a time, so that an older status
/// never overwrites a newer one.
void MachineCoordinator::StorePendingStatuses() {
  if (storing_statuses_ || unstored_statuses_.empty()) return;
  std::vector<StoreRecord> records;
  for (const auto& [wave, completed] : unstored_statuses_) {
    records.push_back({WaveKey(wave), EncodeWaveStatus(completed)});
  }
  storing_statuses_ = true;
  store_->Put({std::string(kWaveStatusTopic), 0}, records,
              [this, activation = activation_,
               sent = std::exchange(unstored_statuses_, {})](AppendResult result) {
                storing_statuses_ = false;
                LogIfNotStored("wave status", result);
                if (activation != activation_) return;
                if (result == AppendResult::kStored) return StorePendingStatuses();
                unstored_statuses_.insert(sent.begin(), sent.end());
              });
}

}  // namespace wigeonlane
