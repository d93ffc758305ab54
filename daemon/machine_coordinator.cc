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
constexpr std::chrono::milliseconds kRound{100};
/// After an order, so that tasks of the machine start elsewhere at once.
constexpr std::chrono::milliseconds kSoon{20};
/// Share of the platform's rate that lists use; the rest is for a successor's first ones.
constexpr double kReadShare = 0.85;

OrderWindowOptions WindowOptions(const MachineCoordinator::Options& options) {
  OrderWindowOptions window;
  window.most_open = MachineClient::kMaxOpenCommands;
  window.per_second = options.orders_per_second;
  return window;
}

std::string WaveKey(std::uint64_t wave) { return Concat("wave/", wave); }

void LogIfLost(std::string_view what, AppendResult result) {
  if (result == AppendResult::kStored) return;
  LogWarning("record_not_stored",
             {{"what", std::string(what)}, {"result", Concat(static_cast<int>(result))}});
}

}  // namespace

MachineCoordinator::MachineCoordinator(asio::io_context* io, MachineClient* machines,
                                       StoreClient* store, CallRouter* router, Options options)
    : machines_(machines),
      orders_(io, machines, WindowOptions(options)),
      store_(store),
      options_(std::move(options)),
      owners_(router, options_.division),
      balancer_(&orders_, &owners_, options_.division),
      role_({options_.takeover_wait, options_.machine_lease}),
      timer_(*io) {}

void MachineCoordinator::Start(TenureToken token) {
  token_ = token;
  active_ = true;
  plans_.clear();
  answered_.clear();
  unanswered_.clear();
  begun_unstored_.clear();
  status_unstored_.clear();
  for (const std::uint64_t wave : completed_) status_unstored_[wave] = true;
  balancer_.Reset();
  rounds_.Reset();
  const std::uint64_t tenure = ++tenure_;
  LogDecision("coordinator_started", {{"token", Concat(token)}, {"waves", Concat(waves_.size())}});
  role_.Begin(clock_.Now());
  AwaitPredecessor(tenure);
}

void MachineCoordinator::AwaitPredecessor(std::uint64_t tenure) {
  role_.NotePredecessor(options_.predecessor());
  if (role_.MayAct(clock_.Now())) return ReadBegun(tenure);
  timer_.expires_after(kRound);
  timer_.async_wait([this, tenure](asio::error_code error) {
    if (!error && tenure == tenure_) AwaitPredecessor(tenure);
  });
}

std::chrono::milliseconds MachineCoordinator::Stop() {
  ++tenure_;
  active_ = false;
  timer_.cancel();
  orders_.DropWaiting();
  role_.NotePredecessor(options_.predecessor());
  const Instant now = clock_.Now();
  return role_.PauseOfSuccessor(machines_->LastCommandAt(now), now);
}

bool MachineCoordinator::HasAuthority(std::uint64_t tenure) const {
  return active_ && tenure == tenure_ && clock_.Now() < authority_until_;
}

void MachineCoordinator::SetWaves(const std::vector<UpkeepWave>& waves) {
  for (const UpkeepWave& wave : waves) waves_.emplace(wave.number, wave);
}

void MachineCoordinator::ReadBegun(std::uint64_t tenure) {
  store_->Snapshot(
      {std::string(kUpkeepTopic), 0}, [this, tenure](absl::StatusOr<KeyedSnapshot> snapshot) {
        if (tenure != tenure_) return;
        if (!snapshot.ok()) {
          LogWarning("upkeep_read_failed", {{"why", MessageOf(snapshot.status())}});
          timer_.expires_after(kRound);
          timer_.async_wait([this, tenure](asio::error_code error) {
            if (!error && tenure == tenure_) ReadBegun(tenure);
          });
          return;
        }
        for (const KeyedRecord& record : snapshot->records) {
          std::uint64_t wave = 0;
          std::from_chars(record.key.data(), record.key.data() + record.key.size(), wave);
          auto machines = Decode<std::set<std::string>>(record.value.value_or(""));
          if (machines.ok()) begun_before_[wave] = *std::move(machines);
        }
        Round(tenure);
      });
}

void MachineCoordinator::RoundLater(std::uint64_t tenure) {
  const Instant now = clock_.Now();
  const Instant at = std::max<Instant>(now + (answered_.empty() ? kRound : kSoon), next_list_);
  if (!rounds_.Plan(at)) return;
  timer_.expires_after(at - now);
  timer_.async_wait([this, tenure](asio::error_code error) {
    if (!error && tenure == tenure_) Round(tenure);
  });
}

/// What the pages of the last list take of the platform's rate.
Duration MachineCoordinator::ReadTime() const {
  const std::chrono::duration<double> time(machines_->requested_pages() /
                                           (options_.reads_per_second * kReadShare));
  return std::chrono::ceil<Duration>(time);
}

void MachineCoordinator::Round(std::uint64_t tenure) {
  rounds_.Begin();
  StoreBegun();
  StoreStatuses();
  for (const auto& [number, wave] : waves_) {
    if (plans_.contains(number) || completed_.contains(number)) continue;
    WavePlan& plan = plans_.emplace(number, WavePlan(wave, clock_.Now())).first->second;
    plan.MarkDone(begun_before_[number]);
    LogDecision("wave", {{"wave", Concat(number)},
                         {"machines", Concat(wave.machines.size())},
                         {"at_once", Concat(wave.most_at_once)},
                         {"within_ms", Concat(wave.within.count())},
                         {"begun_before", Concat(begun_before_[number].size())}});
    StoreStatus(number, false);
  }
  if (!HasAuthority(tenure)) {
    rounds_.End();
    return RoundLater(tenure);
  }
  balancer_.AskLoads();  // Answered by the time that the list is.
  machines_->List([this, tenure, asked = clock_.Now(),
                   answered = std::exchange(answered_, {})](absl::StatusOr<MachineList> machines) {
    next_list_ = asked + ReadTime();
    if (tenure != tenure_) return;
    rounds_.End();
    TakeAnsweredList(std::move(machines), asked, answered, tenure);
    RoundLater(tenure);
  });
}

/// `answered` are machines whose orders were answered before the list was asked for.
void MachineCoordinator::TakeAnsweredList(absl::StatusOr<MachineList> machines, Instant asked,
                                          const AnsweredMachines& answered, std::uint64_t tenure) {
  if (machines.ok() && !machines->empty() && HasAuthority(tenure)) {
    ReportGone(answered, *machines);
    return TakeList(*machines, asked, tenure);
  }
  answered_.insert(answered.begin(), answered.end());
  if (!machines.ok()) {
    LogWarning("machine_list_failed", {{"why", MessageOf(machines.status())}});
  }
}

/// Tells the owners of runners whose machines are down that these lives are over.
void MachineCoordinator::ReportGone(const AnsweredMachines& answered, const MachineList& machines) {
  for (const auto& [name, before] : answered) {
    const auto listed = machines.find(name);
    if (listed == machines.end() || listed->second.up) continue;
    owners_.TellGone(before);
  }
}

void MachineCoordinator::TakeList(const MachineList& machines, Instant asked,
                                  std::uint64_t tenure) {
  for (auto it = plans_.begin(); it != plans_.end();) {
    AdvancePlan(&it->second, machines, asked, tenure);
    if (!it->second.complete()) {
      ++it;
      continue;
    }
    LogDecision("wave_complete", {{"wave", Concat(it->first)}});
    StoreStatus(it->first, true);
    completed_.insert(it->first);
    it = plans_.erase(it);
  }
  std::set<std::string> taken;
  for (const auto& [number, plan] : plans_) taken.merge(plan.Taken());
  balancer_.Round(machines, taken, {options_.holder, token_},
                  [this, tenure] { return HasAuthority(tenure); });
}

void MachineCoordinator::AdvancePlan(WavePlan* plan, const MachineList& machines, Instant asked,
                                     std::uint64_t tenure) {
  plan->TakeMachines(machines, asked);
  SettleUnanswered(plan, machines);
  for (const std::string& machine : plan->Unanswered()) {
    const auto listed = machines.find(machine);
    // The release that the first order relied on may have lapsed.
    if (listed != machines.end()) Prepare(plan->wave().number, listed->second, tenure);
  }
  for (const std::string& machine : plan->ToPrepare(machines, clock_.Now())) {
    Prepare(plan->wave().number, machines.at(machine), tenure);
  }
}

/// Machines that went down though no order to them was answered. They are ordered again once they
/// are up, since they may have gone for another cause.
void MachineCoordinator::SettleUnanswered(WavePlan* plan, const MachineList& machines) {
  for (const std::string& machine : plan->Unanswered()) {
    const auto listed = machines.find(machine);
    const auto before = unanswered_.find(machine);
    if (listed == machines.end() || before == unanswered_.end()) continue;
    if (!RunnerIsGone(before->second, listed->second)) continue;
    LogDecision("upkeep_unanswered", {{"machine", machine}, {"runner", before->second.runner}});
    owners_.TellGone(before->second);
    plan->FoundBusy(machine, clock_.Now());
    unanswered_.erase(before);
  }
}

void MachineCoordinator::Prepare(std::uint64_t wave, const ListedMachine& machine,
                                 std::uint64_t tenure) {
  if (machine.runner.empty()) return Order(wave, machine, tenure);
  owners_.Reserve(machine, [this, wave, machine, tenure](CallVerdict verdict) {
    if (verdict == CallVerdict::kReady) return Order(wave, machine, tenure);
    const auto plan = plans_.find(wave);
    if (verdict != CallVerdict::kNoPlace || tenure != tenure_ || plan == plans_.end()) return;
    plan->second.NoPlace(machine.machine, clock_.Now());
  });
}

void MachineCoordinator::Order(std::uint64_t wave, const ListedMachine& machine,
                               std::uint64_t tenure) {
  MachineOrder order;
  order.kind = OrderKind::kUpkeep;
  order.holder = {options_.holder, token_};
  order.machine = machine.machine;
  order.wave = wave;
  order.begin = [this, wave, name = machine.machine, tenure] {
    return BeginOrder(wave, name, tenure);
  };
  order.done = [this, wave, machine, tenure](MachineCommandResult answer) {
    if (tenure == tenure_) Ordered(wave, machine, answer, tenure);
  };
  orders_.Request(std::move(order));
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
  if (outcome_known) unanswered_.erase(machine.machine);
  switch (answer) {
    case MachineCommandResult::kDone:
      plan.Began(machine.machine, clock_.Now());
      begun_unstored_[wave] = plan.Begun();
      StoreBegun();
      answered_[machine.machine] = machine;
      return RoundLater(tenure);
    case MachineCommandResult::kFenced:
      LogWarning("upkeep_fenced", {{"machine", machine.machine}, {"token", Concat(token_)}});
      if (HasAuthority(tenure)) Stop();
      return;
    case MachineCommandResult::kBusy:
      plan.FoundBusy(machine.machine, clock_.Now());
      answered_[machine.machine] = machine;
      return RoundLater(tenure);
    case MachineCommandResult::kRefused:
      return plan.Refused(machine.machine);
    case MachineCommandResult::kUnknown:
      unanswered_.try_emplace(machine.machine, machine);
      return plan.Unknown(machine.machine);  // Is repeated in the next round.
  }
}

/// Stores what has begun, one write at a time: orders are answered faster than a partition takes
/// appends, and each record holds all machines of its wave. Rounds repeat what was not stored.
void MachineCoordinator::StoreBegun() {
  if (storing_begun_ || begun_unstored_.empty()) return;
  std::vector<StoreRecord> records;
  for (const auto& [wave, machines] : begun_unstored_) {
    records.push_back({Concat(wave), Encode(machines)});
  }
  storing_begun_ = true;
  store_->Put(
      {std::string(kUpkeepTopic), 0}, records,
      [this, tenure = tenure_, sent = std::exchange(begun_unstored_, {})](AppendResult result) {
        storing_begun_ = false;
        LogIfLost("upkeep begun", result);
        if (tenure != tenure_) return;
        if (result == AppendResult::kStored) return StoreBegun();
        begun_unstored_.insert(sent.begin(), sent.end());
      });
}

void MachineCoordinator::StoreStatus(std::uint64_t wave, bool completed) {
  status_unstored_[wave] = completed;
  StoreStatuses();
}

/// One write at a time, so that an older state never follows a newer one.
void MachineCoordinator::StoreStatuses() {
  if (storing_status_ || status_unstored_.empty()) return;
  std::vector<StoreRecord> records;
  for (const auto& [wave, completed] : status_unstored_) {
    records.push_back({WaveKey(wave), EncodeWaveStatus(completed)});
  }
  storing_status_ = true;
  store_->Put(
      {std::string(kStatusTopic), 0}, records,
      [this, tenure = tenure_, sent = std::exchange(status_unstored_, {})](AppendResult result) {
        storing_status_ = false;
        LogIfLost("wave status", result);
        if (tenure != tenure_) return;
        if (result == AppendResult::kStored) return StoreStatuses();
        status_unstored_.insert(sent.begin(), sent.end());
      });
}

}  // namespace wigeonlane
