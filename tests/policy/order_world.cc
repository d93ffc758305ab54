#include "tests/policy/order_world.h"

#include <algorithm>

namespace wigeonlane {

OrderWorld::OrderWorld() : instances_(kInstances) {
  for (Instance& instance : instances_) Start(&instance);
}

void OrderWorld::Start(Instance* instance) {
  instance->incarnation = "incarnation" + std::to_string(++incarnations_);
  instance->state = FleetState();
  instance->tracker =
      std::make_unique<Tracker>(Tracker::Options{.author = instance->incarnation,
                                                 .response_retention = std::chrono::seconds(60)},
                                clock_);
  instance->ready_to_send.clear();
}

void OrderWorld::Send(std::size_t instance, std::uint64_t key, std::uint64_t body) {
  Instance& at = At(instance);
  if (at.frozen) return;
  const std::uint64_t caller = ++next_caller_;
  const Digest digest{key % kKeys, 0};
  waiting_[caller] = {digest, instance % kInstances};
  HandleDecision(instance % kInstances,
                 at.tracker->Begin(digest, body % 2, caller, at.state.claims()));
}

void OrderWorld::HandleDecision(std::size_t index, const Step& step) {
  switch (step.action) {
    case OrderAction::kWait:
      return;
    case OrderAction::kRun:
      if (!waiting_.contains(step.waiter)) {
        return RecordViolation("a caller that was given up is told to run");
      }
      instances_[index].ready_to_send.push_back(step.waiter);
      return;
    case OrderAction::kReply:
      return NotifyCaller(step.waiter, step.answer->execution);
    case OrderAction::kQueryAuthor:
      return QueryAuthor(step, instances_[index]);
    case OrderAction::kMayHaveRun:
      return NotifyCaller(step.waiter, Execution::kMayHaveRun);
    case OrderAction::kMismatch:
    case OrderAction::kOverloaded:
      return NotifyCaller(step.waiter, Execution::kNotRun);
  }
}

void OrderWorld::QueryAuthor(const Step& step, const Instance& asker) {
  if (step.author == asker.incarnation) return RecordViolation("an instance is told to ask itself");
  for (const Instance& author : instances_) {
    if (author.incarnation != step.author || author.frozen || author.partitioned ||
        asker.partitioned)
      continue;
    bool in_flight = false;
    const auto outcome = author.tracker->OutcomeOf(waiting_.at(step.waiter).key, &in_flight);
    if (outcome.has_value()) return NotifyCaller(step.waiter, outcome->execution);
  }
  NotifyCaller(step.waiter, Execution::kMayHaveRun);
}

void OrderWorld::Append(std::size_t instance, std::size_t times) {
  Instance& at = At(instance);
  if (at.frozen || log_down_ || at.partitioned) return;
  const auto& batch = at.tracker->NextBatch();
  if (!batch.has_value()) return;
  for (std::size_t i = 0; i < 1 + times % 2; ++i) {
    log_.push_back({log_.size(), LogTime(0), batch->author + "/" + std::to_string(batch->sequence),
                    EncodeRecord(Record(*batch))});
  }
}

void OrderWorld::Redeliver(std::size_t record) {
  if (log_.empty() || log_down_) return;
  LogEntry redelivered = log_[record % log_.size()];
  redelivered.offset = log_.size();
  log_.push_back(redelivered);
}

void OrderWorld::Fold(std::size_t instance, std::size_t entries) {
  Instance& at = At(instance);
  if (at.frozen || log_down_ || at.partitioned) return;
  for (std::size_t i = 0; i <= entries % 8 && at.state.next_offset() < log_.size(); ++i) {
    ApplyNext(instance % kInstances);
  }
}

void OrderWorld::FoldFromPeer(std::size_t instance, std::size_t peer) {
  Instance& at = At(instance);
  const Instance& from = At(peer);
  if (at.frozen || from.frozen || at.partitioned || from.partitioned) return;
  while (at.state.next_offset() < from.state.next_offset()) ApplyNext(instance % kInstances);
}

void OrderWorld::ApplyNext(std::size_t index) {
  Instance& at = instances_[index];
  const LogEntry& entry = log_[at.state.next_offset()];
  at.state.Apply(entry).IgnoreError();
  const auto record = DecodeRecord(entry.payload);
  const auto& batch = std::get<OrderBatch>(*record);
  for (const Step& step : at.tracker->OnFolded(batch, at.state.claims()))
    HandleDecision(index, step);
}

void OrderWorld::RunOne(std::size_t instance, BackendBehavior behavior) {
  Instance& at = At(instance);
  if (at.frozen || at.ready_to_send.empty()) return;
  const std::uint64_t caller = at.ready_to_send.front();
  at.ready_to_send.pop_front();
  const Digest key = waiting_.at(caller).key;
  if (behavior == BackendBehavior::kResponds || behavior == BackendBehavior::kRespondsPartially)
    Execute(at, caller);
  ExecutionTrace trace;
  if (behavior != BackendBehavior::kRefusesConnection) trace.Raise(Execution::kMayHaveRun);
  if (behavior == BackendBehavior::kResponds) trace.Raise(Execution::kRan);
  NotifyCaller(caller, trace.execution());
  const bool not_run = trace.execution() == Execution::kNotRun;
  for (const Step& step : at.tracker->Finish(key, not_run, {trace.execution()})) {
    HandleDecision(instance % kInstances, step);
  }
}

void OrderWorld::AbandonCaller(std::size_t instance, std::size_t caller) {
  Instance& at = At(instance);
  if (at.frozen) return;
  std::vector<std::uint64_t> candidates;
  for (const auto& [id, waiting] : waiting_) {
    const bool admitted =
        std::find(at.ready_to_send.begin(), at.ready_to_send.end(), id) != at.ready_to_send.end();
    if (waiting.instance == instance % kInstances && !admitted) candidates.push_back(id);
  }
  if (candidates.empty()) return;
  const std::uint64_t id = candidates[caller % candidates.size()];
  const Digest key = waiting_.at(id).key;
  const bool never_sent = at.tracker->Abandon(key, id);
  if (never_sent && MayRunOn(at, key, id)) {
    RecordViolation("an order runs here while another caller of it is told not-run");
  }
  NotifyCaller(id, never_sent ? Execution::kNotRun : Execution::kMayHaveRun);
}

bool OrderWorld::MayRunOn(const Instance& at, const Digest& key, std::uint64_t abandoned) const {
  const auto executed = executed_by_.find(key);
  if (executed != executed_by_.end() && executed->second == at.incarnation) return true;
  return std::any_of(waiting_.begin(), waiting_.end(), [&](const auto& item) {
    return item.first != abandoned && item.second.key == key &&
           &instances_[item.second.instance] == &at;
  });
}

void OrderWorld::Crash(std::size_t instance) {
  Instance& at = At(instance);
  bool reached = true;
  for (const std::uint64_t caller : at.ready_to_send) {
    if (reached) Execute(at, caller);
    reached = !reached;
  }
  // Callers of a dead instance are told nothing; their connection breaks.
  std::erase_if(waiting_,
                [&](const auto& item) { return item.second.instance == instance % kInstances; });
  Start(&at);
}

void OrderWorld::SetFrozen(std::size_t instance, bool frozen) { At(instance).frozen = frozen; }

void OrderWorld::SetPartitioned(std::size_t instance, bool partitioned) {
  At(instance).partitioned = partitioned;
}

void OrderWorld::SetLogDown(bool down) { log_down_ = down; }

void OrderWorld::Advance(std::chrono::seconds step) {
  clock_.Advance(step);
  for (Instance& instance : instances_) instance.tracker->EvictOldResponses();
}

void OrderWorld::Settle() {
  log_down_ = false;
  for (Instance& instance : instances_) instance.frozen = instance.partitioned = false;
  for (int round = 0; round < 8; ++round) {
    for (std::size_t i = 0; i < kInstances; ++i) {
      Append(i, 0);
      while (instances_[i].state.next_offset() < log_.size()) ApplyNext(i);
      while (!instances_[i].ready_to_send.empty()) RunOne(i, BackendBehavior::kResponds);
    }
  }
  for (std::size_t i = 1; i < kInstances; ++i) {
    const bool same_offset = instances_[i].state.next_offset() == instances_[0].state.next_offset();
    if (same_offset && instances_[i].state.StateDigest() != instances_[0].state.StateDigest()) {
      RecordViolation("two folds differ at one offset");
    }
  }
}

std::size_t OrderWorld::waiting() const { return waiting_.size(); }

void OrderWorld::Execute(const Instance& at, std::uint64_t caller) {
  const Digest key = waiting_.at(caller).key;
  executed_by_[key] = at.incarnation;
  auto& callers = executions_[key];
  callers.push_back(caller);
  if (callers.size() > 1) RecordViolation("an order was executed twice");
  const auto told = notified_outcomes_.find(caller);
  if (told != notified_outcomes_.end() && told->second == Execution::kNotRun) {
    RecordViolation("an order ran after its caller was told not-run");
  }
}

void OrderWorld::NotifyCaller(std::uint64_t caller, Execution execution) {
  const auto waiting = waiting_.find(caller);
  if (waiting == waiting_.end()) return RecordViolation("a caller was answered twice");
  const auto& callers = executions_[waiting->second.key];
  const bool own = std::find(callers.begin(), callers.end(), caller) != callers.end();
  if (execution == Execution::kNotRun && own)
    RecordViolation("an order ran but its caller is told not-run");
  if (execution == Execution::kRan && callers.empty())
    RecordViolation("told ran, but nothing was executed");
  notified_outcomes_[caller] = execution;
  waiting_.erase(waiting);
}

void OrderWorld::RecordViolation(const std::string& what) {
  if (broken_.empty()) broken_ = what;
}

}  // namespace wigeonlane
