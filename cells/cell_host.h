/// Drives one cell: fences the partition, reads it, and carries out what the cell decides.
#ifndef WIGEONLANE_CELLS_CELL_HOST_H_
#define WIGEONLANE_CELLS_CELL_HOST_H_

#include <asio/io_context.hpp>
#include <asio/post.hpp>
#include <asio/steady_timer.hpp>
#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "cells/cell.h"
#include "cells/job_store.h"
#include "core/clock.h"
#include "core/logging.h"
#include "core/text.h"

namespace wigeonlane {

/// The topic that holds all jobs; its partitions are the cells.
inline constexpr std::string_view kJobsTopic = "keyed.jobs";
/// Producer name of cell owners; epochs are per producer and partition.
inline constexpr std::string_view kOwnerProducer = "owner";

/// One tenure of a cell on this instance. Destroying it drops all that is under way.
template <JobStore Store, RunnerPort Runners, RuntimeClock Clock>
class CellHost {
 public:
  using Answered = std::function<void(CallResponse)>;

  CellHost(asio::io_context* io, Store* store, Runners* runners, const Clock* clock,
           CellNumber number, TermToken token, const CellOptions& options)
      : store_(store),
        runners_(runners),
        clock_(clock),
        number_(number),
        token_(token),
        options_(options),
        timer_(*io) {}

  /// Whoever still waits is told that its call may have been taken.
  ~CellHost() { RespondToOpenCalls(); }
  CellHost(const CellHost&) = delete;
  CellHost& operator=(const CellHost&) = delete;

  /// Begins to take the cell over. `ended` is called when another instance turns out to own it.
  void Start(std::function<void()> ended) {
    final_jobs_ = std::move(ended);
    Fence();
  }

  /// Whether the cell has caught up and answers callers.
  bool active() const { return cell_ != nullptr && !cell_->deposed() && !released_; }
  const Cell* cell() const { return cell_.get(); }
  TermToken token() const { return token_; }

  /// To be called before `Start`.
  void SetTermWatch(TermWatch watch) { term_watch_ = std::move(watch); }

  /// The cell was ours in the generation of this token.
  void RecordOwnership(TermToken last_owned_token) {
    if (released_) return;
    last_owned_token_ = last_owned_token;
    if (cell_ != nullptr) cell_->RecordOwnership(last_owned_token, clock_->Now());
  }

  void ExtendAuthority(Instant until) {
    if (released_) return;
    authority_ = std::max(authority_, until);
    if (cell_ != nullptr) cell_->ExtendAuthority(authority_);
  }

  void SetRunners(std::vector<RunnerListing> listings) {
    listings_ = std::move(listings);
    if (cell_ == nullptr) return;
    cell_->SetRunners(listings_, Time());
    SchedulePump();
  }

  void Submit(const JobId& id, JobRecord&& record, Answered answered) {
    if (!active()) return answered({CallVerdict::kNotOwner});
    cell_->Submit(NewCall(std::move(answered)), id, std::move(record), Time());
    SchedulePump();
  }

  void Cancel(const JobId& id, Answered answered) {
    if (!active()) return answered({CallVerdict::kNotOwner});
    cell_->Cancel(NewCall(std::move(answered)), id, Time());
    SchedulePump();
  }

  CallResponse Show(const JobId& id) const {
    return active() ? cell_->Show(id) : CallResponse{CallVerdict::kNotOwner};
  }

  CallResponse CountPending(const std::string& queue) const {
    return active() ? cell_->CountPending(queue) : CallResponse{CallVerdict::kNotOwner};
  }

  CallResponse ReportLoads() const {
    return active() ? cell_->ReportLoads(Time()) : CallResponse{CallVerdict::kNotOwner};
  }

  CallResponse ReserveRunner(const std::string& runner) {
    if (!active()) return {CallVerdict::kNotOwner};
    CallResponse answer = cell_->ReserveRunner(runner, Time());
    SchedulePump();
    return answer;
  }

  CallResponse ReserveForMove(const std::string& runner) {
    if (!active()) return {CallVerdict::kNotOwner};
    CallResponse answer = cell_->ReserveForMove(runner, Time());
    SchedulePump();
    return answer;
  }

  CallResponse HandleMachineDown(const std::string& runner) {
    if (!active()) return {CallVerdict::kNotOwner};
    cell_->HandleMachineDown(runner, Time());
    SchedulePump();
    return {CallVerdict::kReady};
  }

  /// Takes nothing new, and calls `done` once all that was decided is stored. A successor leaves
  /// the role that goes with the cell alone for `role_wait`.
  void Release(std::chrono::milliseconds role_wait, std::function<void()> done) {
    released_ = std::move(done);
    if (cell_ == nullptr) return FinishRelease();
    cell_->PrepareHandover(role_wait, Time());
    Pump();
  }

 private:
  /// Pause before a call to the store is tried again.
  static constexpr std::chrono::milliseconds kStoreRetryDelay{100};

  CellTime Time() const {
    return {clock_->Now(), std::chrono::time_point_cast<std::chrono::milliseconds>(
                               std::chrono::system_clock::now())};
  }

  CallNumber NewCall(Answered answered) {
    calls_.emplace(++last_call_, std::move(answered));
    return last_call_;
  }

  TopicPartition Part() const { return {std::string(kJobsTopic), number_}; }

  void After(std::chrono::milliseconds pause, std::function<void()> action) {
    SetTimer(&timer_, pause, std::move(action));
  }

  /// A timer that has fired may have its handler queued when the host is destroyed, and destroying
  /// the timer does not take it back.
  void SetTimer(asio::steady_timer* timer, std::chrono::milliseconds pause,
                std::function<void()> action) {
    timer->expires_after(pause);
    timer->async_wait(
        IfAlive<asio::error_code>([action = std::move(action)](asio::error_code error) {
          if (!error) action();
        }));
  }

  /// No append of a predecessor can be carried out after this.
  void Fence() {
    store_->Append(Part(), std::string(kOwnerProducer), token_, 0, {},
                   IfAlive<AppendResult>([this](AppendResult result) {
                     if (result == AppendResult::kStored) return Read();
                     LogWarning("fence_failed", {{"cell", Concat(number_)},
                                                 {"token", Concat(token_)},
                                                 {"result", Concat(static_cast<int>(result))}});
                     if (result == AppendResult::kFenced) return End();
                     After(kStoreRetryDelay, [this] { Fence(); });
                   }));
  }

  void Read() {
    store_->Snapshot(
        Part(),
        IfAlive<absl::StatusOr<KeyedSnapshot>>([this](absl::StatusOr<KeyedSnapshot> snapshot) {
          if (snapshot.ok()) return Open(*snapshot);
          LogWarning("takeover_read_failed",
                     {{"cell", Concat(number_)}, {"why", MessageOf(snapshot.status())}});
          After(kStoreRetryDelay, [this] { Read(); });
        }));
  }

  void Open(const KeyedSnapshot& snapshot) {
    cell_ = std::make_unique<Cell>(number_, token_, options_);
    cell_->ExtendAuthority(authority_);
    cell_->Restore(snapshot.records, Time(), term_watch_);
    cell_->RecordOwnership(last_owned_token_, clock_->Now());
    cell_->SetRunners(listings_, Time());
    Pump();
  }

  /// All that is at hand is taken in before the cell decides, so that many answers cost one round.
  void SchedulePump() {
    if (std::exchange(pump_posted_, true)) return;
    const std::weak_ptr<int> alive = alive_;
    asio::post(timer_.get_executor(), [this, alive] {
      if (!alive.expired()) Pump();
    });
  }

  void Pump() {
    pump_posted_ = false;
    if (cell_ == nullptr) return;
    cell_->Advance(Time());
    const Outbox outbox = cell_->TakeOutbox();
    for (const CallerResponse& order : outbox.answers) RespondToCall(order);
    for (const AppendRequest& order : outbox.appends) {
      append_ = order;
      Append();
    }
    for (const StopCommand& order : outbox.stops) Send(order);
    for (const StartCommand& order : outbox.starts) Send(order);
    for (const PaceCommand& order : outbox.paces) Send(order);
    for (const PollRequest& order : outbox.polls) Send(order);
    for (const AdviceRequest& order : outbox.questions) Send(order);
    if (cell_->deposed()) return End();
    if (released_ && cell_->flushed() && calls_.empty()) return FinishRelease();
    ScheduleNextPump();
  }

  void ScheduleNextPump() {
    const Instant now = clock_->Now();
    const auto pause = std::chrono::ceil<std::chrono::milliseconds>(cell_->NextWake(now) - now);
    After(std::max(pause, kMinTimerDelay), [this] { Pump(); });
  }

  void RespondToCall(const CallerResponse& order) {
    const auto found = calls_.find(order.call);
    if (found == calls_.end()) return;
    const Answered answered = std::move(found->second);
    calls_.erase(found);
    answered(order.answer);
  }

  void Append() {
    store_->Append(
        Part(), std::string(kOwnerProducer), token_, append_.sequence, append_.records,
        IfAlive<AppendResult>([this](AppendResult result) { HandleAppendResult(result); }));
  }

  void HandleAppendResult(AppendResult result) {
    switch (result) {
      case AppendResult::kStored:
        cell_->HandleBatchStored(Time());
        return SchedulePump();
      case AppendResult::kFenced:
      case AppendResult::kInvalid:
        LogWarning("append_fenced", {{"cell", Concat(number_)},
                                     {"token", Concat(token_)},
                                     {"sequence", Concat(append_.sequence)},
                                     {"result", Concat(static_cast<int>(result))}});
        cell_->Depose();
        return End();
      case AppendResult::kUnknown:
        return Append();  // The first answer comes again for the same sequence number.
      case AppendResult::kRefused:
        return SetTimer(&retry_, kStoreRetryDelay, [this] { Append(); });
    }
  }

  const RunnerListing* ListingOf(RunnerKey key) const {
    const Runner* runner = std::as_const(*cell_).FindRunner(key);
    return runner == nullptr ? nullptr : &runner->listing;
  }

  void Send(const StartCommand& order) {
    const RunnerListing* runner = ListingOf(order.runner);
    if (runner == nullptr) return;
    runners_->Start(*runner, cell_->FenceOf(order.runner), order, options_.command_timeout,
                    IfAlive<CommandOutcome>([this, order](CommandOutcome outcome) {
                      cell_->HandleStartResponse(order, outcome, Time());
                      SchedulePump();
                    }));
  }

  void Send(const StopCommand& order) {
    const RunnerListing* runner = ListingOf(order.runner);
    if (runner == nullptr) return;
    runners_->Stop(*runner, cell_->FenceOf(order.runner), order, options_.command_timeout,
                   IfAlive<CommandOutcome>([this, order](CommandOutcome outcome) {
                     cell_->HandleStopResponse(order, outcome, Time());
                     SchedulePump();
                   }));
  }

  void Send(const PaceCommand& order) {
    const RunnerListing* runner = ListingOf(order.runner);
    if (runner == nullptr) return;
    runners_->Pace(*runner, cell_->FenceOf(order.runner), order, options_.command_timeout,
                   IfAlive<CommandOutcome>([this, order](CommandOutcome outcome) {
                     if (outcome.answer == CommandStatus::kFenced)
                       cell_->HandleFencedCommand(order.runner);
                     SchedulePump();
                   }));
  }

  void Send(const PollRequest& order) {
    const RunnerListing* runner = ListingOf(order.runner);
    if (runner == nullptr) return;
    const std::weak_ptr<int> alive = alive_;
    runners_->Poll(
        *runner, cell_->FenceOf(order.runner), order, options_.command_timeout,
        [this, alive, order](CommandStatus answer, const std::optional<RunnerReport>& report) {
          if (alive.expired()) return;
          cell_->HandlePollResponse(order, answer, report, Time());
          SchedulePump();
        });
  }

  void Send(const AdviceRequest& order) {
    runners_->Advise(
        order, IfAlive<absl::StatusOr<Advice>>([this, order](const absl::StatusOr<Advice>& advice) {
          cell_->HandleAdvice(order, advice, Time());
          SchedulePump();
        }));
  }

  /// A callback that does nothing once this host is gone.
  template <typename T>
  std::function<void(T)> IfAlive(std::function<void(T)> callback) {
    const std::weak_ptr<int> held = alive_;
    return [alive = held, callback = std::move(callback)](T value) {
      if (!alive.expired()) callback(std::move(value));
    };
  }

  void End() {
    timer_.cancel();
    RespondToOpenCalls();
    if (released_) return FinishRelease();
    if (auto ended = std::exchange(final_jobs_, nullptr)) ended();
  }

  void FinishRelease() {
    timer_.cancel();
    RespondToOpenCalls();
    if (auto done = std::exchange(released_, nullptr)) done();
  }

  /// What was written may have been stored, so a repeat must find out.
  void RespondToOpenCalls() {
    for (auto& [call, answered] : std::exchange(calls_, {})) answered({CallVerdict::kUnknown});
  }

  static constexpr std::chrono::milliseconds kMinTimerDelay{1};

  Store* store_;
  Runners* runners_;
  const Clock* clock_;
  const CellNumber number_;
  const TermToken token_;
  const CellOptions options_;
  asio::steady_timer timer_;
  asio::steady_timer retry_{timer_.get_executor()};
  std::function<void()> final_jobs_;
  std::function<void()> released_;
  std::unique_ptr<Cell> cell_;
  std::vector<RunnerListing> listings_;
  Instant authority_{};
  TermWatch term_watch_;
  TermToken last_owned_token_ = 0;
  AppendRequest append_;
  std::unordered_map<CallNumber, Answered> calls_;
  CallNumber last_call_ = 0;
  bool pump_posted_ = false;
  std::shared_ptr<int> alive_ = std::make_shared<int>(0);
};

}  // namespace wigeonlane

#endif  // WIGEONLANE_CELLS_CELL_HOST_H_
