#include "tests/policy/order_world.h"

#include <algorithm>

namespace wigeonlane {

OrderWorld::OrderWorld() : instances_(kInstances) {
  for (Instance& instance : instances_) Start(&instance);
}

void OrderWorld::Start(Instance* instance) {
  instance->incarnation = "incarnation" + std::to_string(++incarnations_);
  instance->state = FleetState();
  instance->book = std::make_unique<Book>(
      Book::Options{.author = instance->incarnation, .keep_answers = std::chrono::seconds(60)},
      clock_);
  instance->to_run.clear();
}

void OrderWorld::Send(std::size_t instance, std::uint64_t key, std::uint64_t body) {
  Instance& at = At(instance);
  if (at.frozen) return;
  const std::uint64_t caller = ++next_caller_;
  const Digest digest{key % kKeys, 0};
  waiting_[caller] = {digest, instance % kInstances};
  Take(instance % kInstances, at.book->Begin(digest, body % 2, caller, at.state.claims()));
}

void OrderWorld::Take(std::size_t index, const Step& step) {
  switch (step.action) {
    case OrderAction::kWait:
      return;
    case OrderAction::kRun:
      if (!waiting_.contains(step.waiter)) {
        return Break("a caller that was given up is told to run");
      }
      instances_[index].to_run.push_back(step.waiter);
      return;
    case OrderAction::kReply:
      return Tell(step.waiter, step.answer->execution);
    case OrderAction::kQueryAuthor:
      return AskAuthor(step, instances_[index]);
    case OrderAction::kMayHaveRun:
      return Tell(step.waiter, Execution::kMayHaveRun);
    case OrderAction::kMismatch:
    case OrderAction::kOverloaded:
      return Tell(step.waiter, Execution::kNotRun);
  }
}

void OrderWorld::AskAuthor(const Step& step, const Instance& asker) {
  if (step.author == asker.incarnation) return Break("an instance is told to ask itself");
  for (const Instance& author : instances_) {
    if (author.incarnation != step.author || author.frozen || author.cut || asker.cut) continue;
    bool in_flight = false;
    const auto outcome = author.book->OutcomeOf(waiting_.at(step.waiter).key, &in_flight);
    if (outcome.has_value()) return Tell(step.waiter, outcome->execution);
  }
  Tell(step.waiter, Execution::kMayHaveRun);
}

void OrderWorld::Append(std::size_t instance, std::size_t times) {
  Instance& at = At(instance);
  if (at.frozen || log_down_ || at.cut) return;
  const auto& batch = at.book->NextBatch();
  if (!batch.has_value()) return;
  for (std::size_t i = 0; i < 1 + times % 2; ++i) {
    log_.push_back({log_.size(), LogTime(0), batch->author + "/" + std::to_string(batch->sequence),
                    EncodeRecord(Record(*batch))});
  }
}

void OrderWorld::Redeliver(std::size_t record) {
  if (log_.empty() || log_down_) return;
  LogEntry again = log_[record % log_.size()];
  again.offset = log_.size();
  log_.push_back(again);
}

void OrderWorld::Fold(std::size_t instance, std::size_t entries) {
  Instance& at = At(instance);
  if (at.frozen || log_down_ || at.cut) return;
  for (std::size_t i = 0; i <= entries % 8 && at.state.next_offset() < log_.size(); ++i) {
    ApplyNext(instance % kInstances);
  }
}

void OrderWorld::FoldFromPeer(std::size_t instance, std::size_t peer) {
  Instance& at = At(instance);
  const Instance& from = At(peer);
  if (at.frozen || from.frozen || at.cut || from.cut) return;
  while (at.state.next_offset() < from.state.next_offset()) ApplyNext(instance % kInstances);
}

void OrderWorld::ApplyNext(std::size_t index) {
  Instance& at = instances_[index];
  const LogEntry& entry = log_[at.state.next_offset()];
  at.state.Apply(entry).IgnoreError();
  const auto record = DecodeRecord(entry.payload);
  const auto& batch = std::get<OrderBatch>(*record);
  for (const Step& step : at.book->OnFolded(batch, at.state.claims())) Take(index, step);
}

void OrderWorld::RunOne(std::size_t instance, BackendFate behavior) {
  Instance& at = At(instance);
  if (at.frozen || at.to_run.empty()) return;
  const std::uint64_t caller = at.to_run.front();
  at.to_run.pop_front();
  const Digest key = waiting_.at(caller).key;
  if (behavior == BackendFate::kAnswers || behavior == BackendFate::kAnswersHalf)
    Execute(at, caller);
  ExecutionTrace trace;
  if (behavior != BackendFate::kRefuses) trace.Raise(Execution::kMayHaveRun);
  if (behavior == BackendFate::kAnswers) trace.Raise(Execution::kRan);
  Tell(caller, trace.execution());
  const bool not_run = trace.execution() == Execution::kNotRun;
  for (const Step& step : at.book->Finish(key, not_run, {trace.execution()})) {
    Take(instance % kInstances, step);
  }
}

void OrderWorld::GiveUp(std::size_t instance, std::size_t caller) {
  Instance& at = At(instance);
  if (at.frozen) return;
  std::vector<std::uint64_t> here;
  for (const auto& [id, waiting] : waiting_) {
    const bool runs = std::find(at.to_run.begin(), at.to_run.end(), id) != at.to_run.end();
    if (waiting.instance == instance % kInstances && !runs) here.push_back(id);
  }
  if (here.empty()) return;
  const std::uint64_t id = here[caller % here.size()];
  const Digest key = waiting_.at(id).key;
  const bool never_sent = at.book->Abandon(key, id);
  if (never_sent && MayRunHere(at, key, id)) {
    Break("an order runs here while another caller of it is told not-run");
  }
  Tell(id, never_sent ? Execution::kNotRun : Execution::kMayHaveRun);
}

bool OrderWorld::MayRunHere(const Instance& at, const Digest& key, std::uint64_t given_up) const {
  const auto executed = executed_by_.find(key);
  if (executed != executed_by_.end() && executed->second == at.incarnation) return true;
  return std::any_of(waiting_.begin(), waiting_.end(), [&](const auto& item) {
    return item.first != given_up && item.second.key == key &&
           &instances_[item.second.instance] == &at;
  });
}

void OrderWorld::Kill(std::size_t instance) {
  Instance& at = At(instance);
  bool reached = true;
  for (const std::uint64_t caller : at.to_run) {
    if (reached) Execute(at, caller);
    reached = !reached;
  }
  // Callers of a dead instance are told nothing; their connection breaks.
  std::erase_if(waiting_,
                [&](const auto& item) { return item.second.instance == instance % kInstances; });
  Start(&at);
}

void OrderWorld::Freeze(std::size_t instance, bool frozen) { At(instance).frozen = frozen; }

void OrderWorld::CutOff(std::size_t instance, bool cut) { At(instance).cut = cut; }

void OrderWorld::SetLogDown(bool down) { log_down_ = down; }

void OrderWorld::Advance(std::chrono::seconds step) {
  clock_.Advance(step);
  for (Instance& instance : instances_) instance.book->EvictOldResponses();
}

void OrderWorld::Settle() {
  log_down_ = false;
  for (Instance& instance : instances_) instance.frozen = instance.cut = false;
  for (int round = 0; round < 8; ++round) {
    for (std::size_t i = 0; i < kInstances; ++i) {
      Append(i, 0);
      while (instances_[i].state.next_offset() < log_.size()) ApplyNext(i);
      while (!instances_[i].to_run.empty()) RunOne(i, BackendFate::kAnswers);
    }
  }
  for (std::size_t i = 1; i < kInstances; ++i) {
    const bool same_offset = instances_[i].state.next_offset() == instances_[0].state.next_offset();
    if (same_offset && instances_[i].state.StateDigest() != instances_[0].state.StateDigest()) {
      Break("two folds differ at one offset");
    }
  }
}

std::size_t OrderWorld::waiting() const { return waiting_.size(); }

void OrderWorld::Execute(const Instance& at, std::uint64_t caller) {
  const Digest key = waiting_.at(caller).key;
  executed_by_[key] = at.incarnation;
  auto& callers = executions_[key];
  callers.push_back(caller);
  if (callers.size() > 1) Break("an order was executed twice");
  const auto told = told_.find(caller);
  if (told != told_.end() && told->second == Execution::kNotRun) {
    Break("an order ran after its caller was told not-run");
  }
}

void OrderWorld::Tell(std::uint64_t caller, Execution execution) {
  const auto waiting = waiting_.find(caller);
  if (waiting == waiting_.end()) return Break("a caller was answered twice");
  const auto& callers = executions_[waiting->second.key];
  const bool own = std::find(callers.begin(), callers.end(), caller) != callers.end();
  if (execution == Execution::kNotRun && own) Break("an order ran but its caller is told not-run");
  if (execution == Execution::kRan && callers.empty()) Break("told ran, but nothing was executed");
  told_[caller] = execution;
  waiting_.erase(waiting);
}

void OrderWorld::Break(const std::string& what) {
  if (broken_.empty()) broken_ = what;
}

}  // namespace wigeonlane
