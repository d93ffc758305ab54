/// Connections of the simulated cell that lead to the runners through a relay.
///
/// Cases that no owner can prevent are left out (docs/DESIGN.md, "Commands to an earlier
/// incarnation"):
/// - A start is executed at most once and waits for one restart at most. Otherwise an owner could
///   settle a start by the report of one incarnation, and a later one, which nobody has called,
///   could still execute it.
/// - After a change of owner, no start of a former owner reaches an incarnation that it was not
///   meant for: the successor may have settled its task by then.
/// - A successor that cannot reach a restarted runner learns of the restart from discovery; see the
///   takeovers of the tests.
#include <algorithm>
#include <utility>

#include "tests/cells/cell_world.h"
#include "tests/cells/job_shapes.h"

namespace wigeonlane {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kCommandTimeout{600};
constexpr milliseconds kLatency{1};
constexpr milliseconds kMaxRelayWait{2'000};
/// The relay delivers what has waited within this time after the restart.
constexpr std::uint64_t kMaxDeliveryMs = 150;
/// Discovery removes the entry of a runner that has been silent for this long.
constexpr milliseconds kEntryExpiry{1'500};
constexpr milliseconds kPollTick{20};
constexpr milliseconds kNoLabel{0};

}  // namespace

std::uint64_t CellWorld::Draw(std::uint64_t bound) {
  mix_ = Mix(mix_ + 1);
  return mix_ % bound;
}

CellWorld::RelayedConnection CellWorld::ChooseCommandConnection(std::size_t owner,
                                                                std::size_t runner) {
  return {owner, runner, Draw(kPollConnection)};
}

void CellWorld::SendOverRelay(const RelayedCallPtr& call, milliseconds delay,
                              milliseconds timeout) {
  call->sent_at = now_;
  std::erase_if(open_calls_, [](const RelayedCallPtr& open) { return open->ended; });
  open_calls_.push_back(call);
  After(delay, [this, call] { DeliverRelayed(call); });
  After(timeout, [this, call] {
    if (!call->ended) relayed_labels_[call->connection] = kNoLabel;
    EndRelayedCall(call, call->fail);
  });
}

void CellWorld::DeliverRelayed(const RelayedCallPtr& call) {
  SimRunner& runner = runners_[call->connection.runner];
  if (!runner.alive) return waiting_calls_.push_back(call);
  if (IsCut(call->connection.owner, runner)) return;
  AdvanceRunners();
  call->execute(call, &runner);
}

void CellWorld::RespondOverRelay(const RelayedCallPtr& call, std::function<void(Owner*)> handle) {
  if (lost_responses_ > 0 && lost_responses_-- > 0) return availability_.Disrupt(now_);
  After(call->response_delay, [this, call, handle = std::move(handle)] {
    if (IsCut(call->connection.owner, runners_[call->connection.runner])) return;
    EndRelayedCall(call, handle);
  });
}

void CellWorld::EndRelayedCall(const RelayedCallPtr& call,
                               const std::function<void(Owner*)>& handle) {
  if (std::exchange(call->ended, true)) return;
  const std::size_t index = call->connection.owner;
  OnOwner(index, [this, index, handle](Owner* owner) {
    handle(owner);
    Pump(index);
  });
}

void CellWorld::ReopenRelay(std::size_t runner) {
  std::vector<RelayedCallPtr> waiting;
  std::erase_if(waiting_calls_, [&](const RelayedCallPtr& call) {
    if (call->connection.runner != runner) return false;
    if (now_ - call->sent_at <= kMaxRelayWait) waiting.push_back(call);
    return true;
  });
  std::set<RelayedConnection> reset;
  for (auto& [connection, label] : relayed_labels_) {
    if (connection.runner != runner || Draw(2) == 0) continue;
    label = kNoLabel;
    reset.insert(connection);
  }
  for (const RelayedCallPtr& call : std::vector<RelayedCallPtr>(open_calls_)) {
    if (reset.contains(call->connection)) {
      After(kLatency, [this, call] { EndRelayedCall(call, call->fail); });
    }
  }
  const milliseconds started_at = runners_[runner].listing.started_at;
  for (const RelayedCallPtr& call : waiting) {
    if (reset.contains(call->connection)) continue;
    After(milliseconds(Draw(kMaxDeliveryMs)), [this, call, runner, started_at] {
      const SimRunner& next = runners_[runner];
      if (next.alive && next.listing.started_at == started_at) DeliverRelayed(call);
    });
  }
}

void CellWorld::RelayStart(const RelayedConnection& connection, milliseconds known,
                           FenceToken fence, const StartCommand& command) {
  if (relayed_labels_[connection] == known) {
    return RelayVerifiedStart(connection, known, fence, command);
  }
  auto call = std::make_shared<RelayedCall>();
  call->connection = connection;
  call->fail = [this, command](Owner* owner) {
    owner->cell->HandleStartResponse(command, {CommandStatus::kNotSent, {}}, Time());
  };
  call->execute = [=, this](const RelayedCallPtr& verification, SimRunner* runner) {
    const milliseconds started_at = runner->listing.started_at;
    if (started_at == known) runner->RecordAddressed();
    const CommandStatus status = runner->Poll(fence, PollRequest(), now_, &oracle_);
    RespondOverRelay(verification, [=, this](Owner* owner) {
      const bool intended = started_at == known;
      if (status == CommandStatus::kDone) relayed_labels_[connection] = started_at;
      if (status == CommandStatus::kDone && intended) {
        return RelayVerifiedStart(connection, known, fence, command);
      }
      const CommandStatus refusal =
          status == CommandStatus::kDone ? CommandStatus::kWrongIncarnation : status;
      owner->cell->HandleStartResponse(command, {refusal, {}}, Time());
    });
  };
  SendOverRelay(call, kLatency, kCommandTimeout);
}

void CellWorld::RelayVerifiedStart(const RelayedConnection& connection, milliseconds known,
                                   FenceToken fence, const StartCommand& command) {
  auto call = std::make_shared<RelayedCall>();
  call->connection = connection;
  call->fail = [this, command](Owner* owner) {
    owner->cell->HandleStartResponse(command, {CommandStatus::kNoResponse, {}}, Time());
  };
  call->execute = [=, this](const RelayedCallPtr& start, SimRunner* runner) {
    const bool intended = runner->listing.started_at == known;
    if (!intended && connection.owner + 1 != owners_.size()) return;
    const auto job = std::find_if(submitted_.begin(), submitted_.end(),
                                  [&](const auto& each) { return each.id == command.task.job; });
    const StepSpec& step = job->record.spec.steps[command.task.step];
    if (intended) runner->RecordAddressed();
    const CommandStatus status =
        runner->Start(fence, command, step, OutcomeOf(command, step),
                      intended ? StartDelivery::kTimely : StartDelivery::kRelayed, now_, &oracle_);
    const RunnerClock clock = runner->Clock(now_);
    RespondOverRelay(start, [=, this](Owner* owner) {
      owner->cell->HandleStartResponse(command, {status, clock}, Time());
    });
  };
  SendOverRelay(call, kLatency, kCommandTimeout);
}

void CellWorld::RelayStop(const RelayedConnection& connection, milliseconds known, FenceToken fence,
                          const StopCommand& command) {
  auto call = std::make_shared<RelayedCall>();
  call->connection = connection;
  call->fail = [this, command](Owner* owner) {
    owner->cell->HandleStopResponse(command, {CommandStatus::kNoResponse, {}}, Time());
  };
  call->execute = [=, this](const RelayedCallPtr& stop, SimRunner* runner) {
    if (runner->listing.started_at == known) runner->RecordAddressed();
    const CommandStatus status = runner->Stop(fence, command, now_, &oracle_);
    const RunnerClock clock = runner->Clock(now_);
    RespondOverRelay(stop, [=, this](Owner* owner) {
      owner->cell->HandleStopResponse(command, {status, clock}, Time());
    });
  };
  SendOverRelay(call, kLatency, kCommandTimeout);
}

void CellWorld::RelayPoll(const RelayedConnection& connection, milliseconds known, FenceToken fence,
                          const PollRequest& request) {
  const bool verified = relayed_labels_[connection] == known;
  const bool held_up = held_up_polls_ > 0 && held_up_polls_-- > 0;
  const bool response_held_up = held_up && Draw(2) == 0;
  if (held_up) availability_.Disrupt(now_ + hold_up_);
  auto call = std::make_shared<RelayedCall>();
  call->connection = connection;
  if (response_held_up) call->response_delay = kLatency + hold_up_;
  call->fail = [this, request](Owner* owner) {
    owner->cell->HandlePollResponse(request, CommandStatus::kNoResponse, {}, Time());
  };
  call->execute = [=, this](const RelayedCallPtr& poll, SimRunner* runner) {
    PollRequest sent = request;
    if (!verified) {
      sent.forget_up_to = 0;
      sent.lease.reset();
    }
    if (runner->listing.started_at == known) runner->RecordAddressed();
    const CommandStatus status = runner->Poll(fence, sent, now_, &oracle_);
    if (status == CommandStatus::kDone) {
      return AnswerRelayedPoll(poll, request, verified, runner->listing.started_at,
                               now_ + request.wait);
    }
    RespondOverRelay(poll, [=, this](Owner* owner) {
      owner->cell->HandlePollResponse(request, status, {}, Time());
    });
  };
  SendOverRelay(call, held_up && !response_held_up ? kLatency + hold_up_ : kLatency,
                kCommandTimeout + request.wait);
}

/// Responds once the runner has a result to report or the wait is over. What an incarnation has
/// received is never answered by a later one.
void CellWorld::AnswerRelayedPoll(const RelayedCallPtr& call, const PollRequest& request,
                                  bool verified, milliseconds received_by, Instant until) {
  const SimRunner& runner = runners_[call->connection.runner];
  if (!runner.alive || runner.listing.started_at != received_by) return;
  AdvanceRunners();
  if (!runner.HasResults() && now_ < until) {
    return After(kPollTick,
                 [=, this] { AnswerRelayedPoll(call, request, verified, received_by, until); });
  }
  RunnerReport report = runner.Report(now_);
  report.acknowledgement_sent = verified;
  RespondOverRelay(call, [=, this](Owner* owner) {
    relayed_labels_[call->connection] = received_by;
    owner->cell->HandlePollResponse(request, CommandStatus::kDone, report, Time());
  });
}

void CellWorld::HoldUpPolls(std::size_t count, milliseconds delay) {
  held_up_polls_ = count;
  hold_up_ = delay;
}

void CellWorld::HideCrash(std::size_t runner) {
  const HiddenRestart& hidden = hidden_restarts_[runner];
  if (now_ >= hidden.until) {
    hidden_restarts_[runner] = {runners_[runner].listing, now_ + kEntryExpiry};
  }
}

void CellWorld::RestartRunnerUnlisted(std::size_t which, milliseconds lag) {
  const std::size_t index = IndexOfPresent(which);
  if (runners_[index].alive) CrashRunner(which);
  const HiddenRestart& hidden = hidden_restarts_[index];
  const auto shown = now_ < hidden.until ? hidden.shown : std::nullopt;
  RestartRunner(which);
  hidden_restarts_[index] = {shown, now_ + lag};
}

void CellWorld::UnlistRunner(std::size_t which) {
  hidden_restarts_[which] = {std::nullopt, now_ + std::chrono::minutes(1)};
}

void CellWorld::ListRestarts() {
  for (HiddenRestart& hidden : hidden_restarts_) hidden = {};
}

void CellWorld::EndCuts() {
  one_sided_cuts_.clear();
  owner_cuts_.clear();
  for (std::size_t index = 0; index < runners_.size(); ++index) {
    if (!gone_.contains(index)) runners_[index].cut_until = now_;
  }
}

}  // namespace wigeonlane
