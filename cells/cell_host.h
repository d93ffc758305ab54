/// Drives one cell: fences its partition, reads it, and executes the decisions of the cell.
#ifndef WIGEONLANE_CELLS_CELL_HOST_H_
#define WIGEONLANE_CELLS_CELL_HOST_H_

#include <asio/io_context.hpp>
#include <asio/post.hpp>
#include <asio/steady_timer.hpp>
#include <chrono>
#include <functional>
#include <map>
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

/// One term of a cell on this instance. Destroying the host drops all operations in flight.
template <JobStore Store, RunnerPort Runners, RuntimeClock Clock>
class CellHost {
 public:
  using ResponseCallback = std::function<void(CallResponse)>;

  CellHost(asio::io_context* io, Store* store, Runners* runners, const Clock* clock,
           CellNumber number, TermToken token, const CellOptions& options)
      : store_(store),
        runners_(runners),
        clock_(clock),
        number_(number),
        token_(token),
        options_(options),
        timer_(*io) {}

  /// Responds to callers that still wait that their call may have been accepted.
  ~CellHost() { RespondToOpenCalls(); }
  CellHost(const CellHost&) = delete;
  CellHost& operator=(const CellHost&) = delete;

  /// Starts the takeover of the cell. `on_deposed` is called when another instance turns out to own
  /// the cell.
  void Start(std::function<void()> on_deposed) {
    on_deposed_ = std::move(on_deposed);
    Fence();
  }

  /// Whether the cell is restored and serves callers.
  bool active() const { return cell_ != nullptr && !cell_->deposed() && !on_released_; }
  const Cell* cell() const { return cell_.get(); }
  TermToken token() const { return token_; }

  /// Called once the partition is fenced, so that no earlier owner decides anything any more. Must
  /// be set before `Start`.
  void SetFencedHook(std::function<void()> on_fenced) { on_fenced_ = std::move(on_fenced); }

  /// This instance has read the newest version of the configuration after the takeover.
  void SetRoutesAtTakeover(std::uint64_t version) { routes_at_takeover_ = version; }
  /// Nothing until that version is known; 0 if there was none.
  std::optional<std::uint64_t> routes_at_takeover() const { return routes_at_takeover_; }

  /// `routes` must outlive the host. Must be called before `Start`.
  void SetRoutes(const RouteTable* routes) { routes_ = routes; }
  /// Called when the routes have changed.
  void ApplyRoutes() {
    if (cell_ == nullptr || routes_ == nullptr) return;
    cell_->ApplyRoutes(routes_->routes(), clock_->Now());
    SchedulePump();
  }

  /// Called when tasks wait because of the limit of their team. Must be set before `Start`.
  void SetLimitedHook(std::function<void()> on_limited) { on_limited_ = std::move(on_limited); }

  /// Called when tasks wait for a renewal that is sent from now on. Must be set before `Start`.
  void SetRenewalHook(std::function<void()> on_renewal_wanted) {
    on_renewal_wanted_ = std::move(on_renewal_wanted);
  }

  /// Must be called before `Start`.
  void SetTermWatch(TermWatch watch) { term_watch_ = std::move(watch); }

  /// Records that this instance owned the cell in the generation of this token.
  void RecordOwnership(TermToken last_owned_token) {
    if (on_released_) return;
    last_owned_token_ = last_owned_token;
    if (cell_ != nullptr) cell_->RecordOwnership(last_owned_token, clock_->Now());
  }

  void ExtendAuthority(Instant until) {
    if (on_released_) return;
    authority_until_ = std::max(authority_until_, until);
    if (cell_ == nullptr) return;
    const bool awaited = cell_->awaits_renewal();
    cell_->ExtendAuthority(authority_until_);
    if (awaited) SchedulePump();
  }

  void SetRunners(std::vector<RunnerListing> listings) {
    listings_ = std::move(listings);
    if (cell_ == nullptr) return;
    cell_->SetRunners(listings_, Time());
    SchedulePump();
  }

  /// The runners that were set last were the listed ones at `as_of`.
  void ConfirmListings(Instant as_of) {
    listed_as_of_ = as_of;
    if (cell_ == nullptr) return;
    const bool starts_were_held_back = !cell_->ListingsAreRecent(clock_->Now());
    cell_->ConfirmListings(as_of);
    if (starts_were_held_back) SchedulePump();
  }

  void Submit(const JobId& id, JobRecord&& record, ResponseCallback on_response) {
    if (!active()) return on_response({CallVerdict::kNotOwner});
    cell_->Submit(NewCall(std::move(on_response)), id, std::move(record), Time());
    SchedulePump();
  }

  /// `present` is as in `Cell::Cancel`.
  void Cancel(const JobId& id, const QueueAddress& queue,
              const std::optional<QueueService>& present, ResponseCallback on_response) {
    if (!active()) return on_response({CallVerdict::kNotOwner});
    cell_->Cancel(NewCall(std::move(on_response)), id, queue, present, Time());
    SchedulePump();
  }

  CallResponse Show(const JobId& id, const QueueAddress& queue) const {
    return active() ? cell_->Show(id, clock_->Now(), queue) : CallResponse{CallVerdict::kNotOwner};
  }

  CallResponse CountPending(const QueueAddress& queue, const std::string& name) const {
    return active() ? cell_->CountPending(queue, name, clock_->Now())
                    : CallResponse{CallVerdict::kNotOwner};
  }

  /// `arrivals` are those of the teams at all cells.
  CallResponse ReportLoads(const std::vector<TeamArrivals>& arrivals) {
    if (!active()) return {CallVerdict::kNotOwner};
    cell_->SetTotalArrivals(arrivals, clock_->Now());
    return cell_->ReportLoads(Time());
  }

  /// Replaces the teams and their limits.
  void SetTeams(std::map<std::string, TeamTerms> teams) {
    if (teams_ == teams) return;
    teams_ = std::move(teams);
    if (cell_ == nullptr) return;
    cell_->SetTeams(*teams_, clock_->Now());
    SchedulePump();
  }

  CallResponse ReserveRunner(const std::string& runner) {
    if (!active()) return {CallVerdict::kNotOwner};
    CallResponse response = cell_->ReserveRunner(runner, Time());
    SchedulePump();
    return response;
  }

  CallResponse ReserveForMove(const std::string& runner) {
    if (!active()) return {CallVerdict::kNotOwner};
    CallResponse response = cell_->ReserveForMove(runner, Time());
    SchedulePump();
    return response;
  }

  CallResponse HandleMachineDown(const std::string& runner) {
    if (!active()) return {CallVerdict::kNotOwner};
    cell_->HandleMachineDown(runner, Time());
    SchedulePump();
    return {CallVerdict::kReady};
  }

  /// Accepts no new calls, and calls `done` once all decisions are stored. A successor waits for
  /// `role_wait` before it takes up the role that is tied to the cell.
  void Release(std::chrono::milliseconds role_wait, std::function<void()> done) {
    on_released_ = std::move(done);
    if (cell_ == nullptr) return FinishRelease();
    cell_->PrepareHandover(role_wait, Time());
    Pump();
  }

 private:
  /// Delay before a call to the store is retried.
  static constexpr std::chrono::milliseconds kStoreRetryDelay{100};

  CellTime Time() const {
    return {clock_->Now(), std::chrono::time_point_cast<std::chrono::milliseconds>(
                               std::chrono::system_clock::now())};
  }

  CallNumber NewCall(ResponseCallback on_response) {
    calls_.emplace(++last_call_, std::move(on_response));
    return last_call_;
  }

  TopicPartition Partition() const { return {std::string(kJobsTopic), number_}; }

  void After(std::chrono::milliseconds delay, std::function<void()> action) {
    SetTimer(&timer_, delay, std::move(action));
  }

  /// Runs `action` after `delay` while this host exists. Destroying an expired timer does not
  /// cancel a handler that is already queued, so the handler checks that the host still exists.
  void SetTimer(asio::steady_timer* timer, std::chrono::milliseconds delay,
                std::function<void()> action) {
    timer->expires_after(delay);
    timer->async_wait(
        IfAlive<asio::error_code>([action = std::move(action)](asio::error_code error) {
          if (!error) action();
        }));
  }

  /// Sets the epoch of the partition. The store accepts no append of a predecessor after this.
  void Fence() {
    store_->Append(Partition(), std::string(kOwnerProducer), token_, 0, {},
                   IfAlive<AppendResult>([this](AppendResult result) {
                     if (result == AppendResult::kStored) {
                       on_fenced_();
                       return ReadPartition();
                     }
                     LogWarning("fence_failed", {{"cell", Concat(number_)},
                                                 {"token", Concat(token_)},
                                                 {"result", Concat(static_cast<int>(result))}});
                     if (result == AppendResult::kFenced) return EndTerm();
                     After(kStoreRetryDelay, [this] { Fence(); });
                   }));
  }

  void ReadPartition() {
    store_->Snapshot(
        Partition(),
        IfAlive<absl::StatusOr<KeyedSnapshot>>([this](absl::StatusOr<KeyedSnapshot> snapshot) {
          if (snapshot.ok()) return StartCell(*snapshot);
          LogWarning("takeover_read_failed",
                     {{"cell", Concat(number_)}, {"why", MessageOf(snapshot.status())}});
          After(kStoreRetryDelay, [this] { ReadPartition(); });
        }));
  }

  void StartCell(const KeyedSnapshot& snapshot) {
    cell_ = std::make_unique<Cell>(number_, token_, options_);
    cell_->ExtendAuthority(authority_until_);
    cell_->Restore(snapshot.records, Time(), term_watch_);
    cell_->RecordOwnership(last_owned_token_, clock_->Now());
    cell_->SetRunners(listings_, Time());
    cell_->ConfirmListings(listed_as_of_);
    if (teams_) cell_->SetTeams(*teams_, clock_->Now());
    if (routes_ != nullptr) cell_->ApplyRoutes(routes_->routes(), clock_->Now());
    Pump();
  }

  /// Schedules `Pump` after all handlers that are ready, so that many responses cost one round of
  /// decisions.
  void SchedulePump() {
    if (std::exchange(pump_scheduled_, true)) return;
    const std::weak_ptr<int> alive = alive_;
    asio::post(timer_.get_executor(), [this, alive] {
      if (!alive.expired()) Pump();
    });
  }

  void Pump() {
    pump_scheduled_ = false;
    if (cell_ == nullptr) return;
    cell_->Advance(Time());
    const Outbox outbox = cell_->TakeOutbox();
    for (const PendingCallResponse& response : outbox.responses) RespondToCall(response);
    for (const AppendRequest& append : outbox.appends) {
      append_in_flight_ = append;
      Append();
    }
    for (const StopCommand& command : outbox.stops) Send(command);
    for (const StartCommand& command : outbox.starts) Send(command);
    for (const PaceCommand& command : outbox.paces) Send(command);
    for (const PollRequest& poll : outbox.polls) Send(poll);
    for (const AdviceRequest& request : outbox.advice_requests) Send(request);
    if (cell_->deposed()) return EndTerm();
    if (cell_->limited_by_teams()) on_limited_();
    if (cell_->awaits_renewal() && !on_released_) on_renewal_wanted_();
    if (on_released_ && cell_->flushed() && calls_.empty()) return FinishRelease();
    ScheduleNextPump();
  }

  void ScheduleNextPump() {
    const Instant now = clock_->Now();
    const auto delay = std::chrono::ceil<std::chrono::milliseconds>(cell_->NextWake(now) - now);
    After(std::max(delay, kMinTimerDelay), [this] { Pump(); });
  }

  void RespondToCall(const PendingCallResponse& response) {
    const auto found = calls_.find(response.call);
    if (found == calls_.end()) return;
    const ResponseCallback on_response = std::move(found->second);
    calls_.erase(found);
    on_response(response.response);
  }

  void Append() {
    store_->Append(Partition(), std::string(kOwnerProducer), token_, append_in_flight_.sequence,
                   append_in_flight_.records, IfAlive<AppendResult>([this](AppendResult result) {
                     HandleAppendResult(result);
                   }));
  }

  void HandleAppendResult(AppendResult result) {
    switch (result) {
      case AppendResult::kStored:
        cell_->HandleAppendStored(Time());
        return SchedulePump();
      case AppendResult::kRejected:
        LogWarning("append_rejected", {{"cell", Concat(number_)},
                                       {"token", Concat(token_)},
                                       {"records", Concat(append_in_flight_.records.size())}});
        cell_->HandleAppendRejected(std::move(append_in_flight_.records), Time());
        return SchedulePump();
      case AppendResult::kFenced:
      case AppendResult::kInvalid:
        LogWarning("append_fenced", {{"cell", Concat(number_)},
                                     {"token", Concat(token_)},
                                     {"sequence", Concat(append_in_flight_.sequence)},
                                     {"result", Concat(static_cast<int>(result))}});
        cell_->Depose();
        return EndTerm();
      case AppendResult::kUnknown:
        return Append();  // The store repeats the first result for the same sequence number.
      case AppendResult::kRefused:
        return SetTimer(&retry_timer_, kStoreRetryDelay, [this] { Append(); });
    }
  }

  const RunnerListing* ListingOf(RunnerKey key) const {
    const Runner* runner = std::as_const(*cell_).FindRunner(key);
    return runner == nullptr ? nullptr : &runner->listing;
  }

  void Send(const StartCommand& command) {
    const RunnerListing* runner = ListingOf(command.runner);
    if (runner == nullptr) return;
    runners_->Start(*runner, cell_->FenceOf(command.runner), command, options_.command_timeout,
                    IfAlive<CommandOutcome>([this, command](CommandOutcome outcome) {
                      cell_->HandleStartResponse(command, outcome, Time());
                      SchedulePump();
                    }));
  }

  void Send(const StopCommand& command) {
    const RunnerListing* runner = ListingOf(command.runner);
    if (runner == nullptr) return;
    runners_->Stop(*runner, cell_->FenceOf(command.runner), command, options_.command_timeout,
                   IfAlive<CommandOutcome>([this, command](CommandOutcome outcome) {
                     cell_->HandleStopResponse(command, outcome, Time());
                     SchedulePump();
                   }));
  }

  void Send(const PaceCommand& command) {
    const RunnerListing* runner = ListingOf(command.runner);
    if (runner == nullptr) return;
    runners_->Pace(*runner, cell_->FenceOf(command.runner), command, options_.command_timeout,
                   IfAlive<CommandOutcome>([this, command](CommandOutcome outcome) {
                     if (outcome.status == CommandStatus::kFenced) {
                       cell_->HandleFencedCommand(command.runner);
                     }
                     SchedulePump();
                   }));
  }

  void Send(const PollRequest& poll) {
    const RunnerListing* runner = ListingOf(poll.runner);
    if (runner == nullptr) return;
    const std::weak_ptr<int> alive = alive_;
    runners_->Poll(
        *runner, cell_->FenceOf(poll.runner), poll, options_.command_timeout,
        [this, alive, poll](CommandStatus status, const std::optional<RunnerReport>& report) {
          if (alive.expired()) return;
          cell_->HandlePollResponse(poll, status, report, Time());
          SchedulePump();
        });
  }

  void Send(const AdviceRequest& request) {
    runners_->Advise(request, IfAlive<absl::StatusOr<Advice>>(
                                  [this, request](const absl::StatusOr<Advice>& advice) {
                                    cell_->HandleAdvice(request, advice, Time());
                                    SchedulePump();
                                  }));
  }

  /// Wraps a callback so that it does nothing once this host is destroyed.
  template <typename T>
  std::function<void(T)> IfAlive(std::function<void(T)> callback) {
    const std::weak_ptr<int> weak_alive = alive_;
    return [alive = weak_alive, callback = std::move(callback)](T value) {
      if (!alive.expired()) callback(std::move(value));
    };
  }

  void EndTerm() {
    timer_.cancel();
    RespondToOpenCalls();
    if (on_released_) return FinishRelease();
    if (auto on_deposed = std::exchange(on_deposed_, nullptr)) on_deposed();
  }

  void FinishRelease() {
    timer_.cancel();
    RespondToOpenCalls();
    if (auto done = std::exchange(on_released_, nullptr)) done();
  }

  /// Responds kUnknown to all open calls: their records may have been stored, so callers must
  /// repeat the call to learn the outcome.
  void RespondToOpenCalls() {
    for (auto& [call, on_response] : std::exchange(calls_, {})) {
      on_response({CallVerdict::kUnknown});
    }
  }

  static constexpr std::chrono::milliseconds kMinTimerDelay{1};

  Store* store_;
  Runners* runners_;
  const Clock* clock_;
  const CellNumber number_;
  const TermToken token_;
  const CellOptions options_;
  asio::steady_timer timer_;
  asio::steady_timer retry_timer_{timer_.get_executor()};
  std::function<void()> on_fenced_ = [] {};
  std::optional<std::uint64_t> routes_at_takeover_;
  std::function<void()> on_deposed_;
  std::function<void()> on_released_;
  std::unique_ptr<Cell> cell_;
  std::vector<RunnerListing> listings_;
  Instant listed_as_of_{};
  std::optional<std::map<std::string, TeamTerms>> teams_;
  std::function<void()> on_limited_ = [] {};
  std::function<void()> on_renewal_wanted_ = [] {};
  const RouteTable* routes_ = nullptr;
  Instant authority_until_{};
  TermWatch term_watch_;
  TermToken last_owned_token_ = 0;
  AppendRequest append_in_flight_;
  std::unordered_map<CallNumber, ResponseCallback> calls_;
  CallNumber last_call_ = 0;
  bool pump_scheduled_ = false;
  std::shared_ptr<int> alive_ = std::make_shared<int>(0);
};

}  // namespace wigeonlane

#endif  // WIGEONLANE_CELLS_CELL_HOST_H_
