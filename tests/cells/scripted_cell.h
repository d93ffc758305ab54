/// Test fixture: one cell whose store and runners respond at once, for tests of single decisions.
#ifndef WIGEONLANE_TESTS_CELLS_SCRIPTED_CELL_H_
#define WIGEONLANE_TESTS_CELLS_SCRIPTED_CELL_H_

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <limits>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "cells/cell.h"
#include "tests/cells/store_limit_check.h"

namespace wigeonlane {

/// Base class of fixtures. `AdvanceTime` advances the time and executes the actions that the cell
/// requests. Starts, polls, advice requests and stored records are kept for inspection by the test.
class ScriptedCell {
 protected:
  static constexpr std::string_view kService = "press";
  static constexpr std::chrono::milliseconds kFirstStartedAt{1'000};

  static std::string RunnerName(std::size_t runner) { return "runner-" + std::to_string(runner); }

  /// Starts an owner that restores the cell from the store, with a number of equal runners listed.
  void Begin(std::size_t runners, const Resources& capacity) {
    pending_polls_.clear();
    open_append_.reset();
    cell_ = std::make_unique<Cell>(0, ++token_, options_);
    std::vector<StoreRecord> records;
    for (const auto& [key, value] : stored_) records.push_back({key, value});
    cell_->Restore(records, Time());
    ListRunners(runners, capacity);
  }

  void ListRunners(std::size_t runners, const Resources& capacity) {
    std::vector<RunnerListing> listings;
    for (std::size_t i = 0; i < runners; ++i) {
      RunnerListing listing;
      listing.id = RunnerName(i);
      const auto label = label_of_.find(listing.id);
      if (label != label_of_.end()) listing.labels = {label->second};
      listing.rack = rack_of_[listing.id];
      listing.draining = draining_.contains(listing.id);
      const auto service = service_of_.find(listing.id);
      listing.service = service == service_of_.end() ? kService : service->second;
      listing.capacity = capacity;
      listing.started_at =
          kFirstStartedAt + std::chrono::milliseconds(earlier_incarnations_[listing.id]);
      listings.push_back(listing);
    }
    cell_->SetRunners(listings, Time());
  }

  CellTime Time() const { return {now_, UnixTime(Clock())}; }

  /// Returns the time on the clocks of all runners.
  RunnerClock Clock() const {
    return std::chrono::duration_cast<RunnerClock>(now_.time_since_epoch());
  }

  /// Stores the append that got no answer while `store_answers_` was false.
  void StoreOpenAppend() {
    store_answers_ = true;
    if (const auto append = std::exchange(open_append_, std::nullopt)) Store(*append);
  }

  void AdvanceTime(std::chrono::milliseconds duration) {
    constexpr std::chrono::milliseconds kStep{5};
    for (std::chrono::milliseconds passed{0}; passed < duration; passed += kStep) {
      now_ += kStep;
      if (listings_confirmed_) cell_->ConfirmListings(now_);
      if (renewals_confirmed_) cell_->ExtendAuthority(now_ + CellOptions().authority);
      TimeOutPolls();
      cell_->Advance(Time());
      ExecuteOutbox(cell_->TakeOutbox());
    }
  }

  /// Submits a job with one step.
  void Submit(const StepSpec& step, QueuePolicy policy = {},
              std::string_view id = "00000000000000a1") {
    JobRecord record;
    record.spec.steps = {step};
    record.policy = std::move(policy);
    if (record.policy.service.empty()) record.policy.service = kService;
    cell_->Submit(1, *JobId::Parse(id), record, Time());
  }

  std::string IdOf(RunnerKey key) const {
    return std::as_const(*cell_).FindRunner(key)->listing.id;
  }

  /// Ends the oldest run on a runner, if there is any. Returns the result that the runner lists.
  ReportedResult EndOldest(const std::string& runner, RunResult how = RunResult::kDone) {
    auto& runs = running_[runner];
    if (runs.empty()) return {};
    ReportedResult result{++last_end_[runner], runs.front().task, runs.front().run, how, ""};
    results_[runner].push_back(result);
    runs.erase(runs.begin());
    return result;
  }

  /// Fails the oldest run on a runner.
  void FailOldest(const std::string& runner) { EndOldest(runner, RunResult::kFailed); }

  /// Completes all runs.
  void EndAll() {
    for (auto& [runner, runs] : running_) {
      for (const ReportedRun& run : std::exchange(runs, {})) {
        results_[runner].push_back({++last_end_[runner], run.task, run.run, RunResult::kDone, ""});
      }
    }
  }

  /// Delivers a poll response of the runner and lets the cell act on it.
  void Report(const std::string& runner) {
    PollRequest poll;
    poll.runner = cell_->FindRunnerById(runner)->key;
    poll.forget_up_to = last_end_[runner] - 1;
    poll.number = std::numeric_limits<EventNumber>::max();
    now_ += std::chrono::milliseconds(1);
    cell_->ExtendAuthority(now_ + CellOptions().authority);
    RespondTo(poll);
    cell_->Advance(Time());
    ExecuteOutbox(cell_->TakeOutbox());
  }

  Instant now_{std::chrono::hours(1)};
  TermToken token_ = 0;
  std::unique_ptr<Cell> cell_;
  CellOptions options_;
  StoreLimits store_limits_;          ///< That the store enforces, whatever the cell goes by.
  std::vector<std::size_t> appends_;  ///< Sizes of all appends in bytes.
  int rejected_appends_ = 0;
  bool store_answers_ = true;
  bool renewals_confirmed_ = true;
  bool listings_confirmed_ = true;                   ///< Discovery is read all the time.
  std::map<CallNumber, CallResponse> responses_;     ///< To callers, the last one of each call.
  std::map<std::string, std::string> service_of_;    ///< By runner id; `kService` for all others.
  std::map<std::string, std::string> label_of_;      ///< By runner id; no label for all others.
  std::map<std::string, std::string> rack_of_;       ///< By runner id; no rack for all others.
  std::set<std::string> draining_;                   ///< Runners that are listed as draining.
  std::map<std::string, int> earlier_incarnations_;  ///< Number of earlier incarnations, by id.
  std::set<std::string> unresponsive_;               ///< Runners whose polls fail at once.
  std::set<std::string> down_;                       ///< Runners whose polls time out.
  std::map<std::string, std::string> stored_;
  std::map<std::string, std::vector<ReportedRun>> running_;     ///< By runner id.
  std::map<std::string, std::vector<ReportedResult>> results_;  ///< Not acknowledged, by runner id.
  std::size_t max_listed_results_ = 500;                        ///< Results in one report.
  std::map<std::string, std::uint64_t> last_end_;
  std::vector<StartCommand> starts_;
  std::vector<StopCommand> stops_;  ///< They get no response.
  /// Responses to the next starts, which are executed if this says so or says nothing; later ones
  /// are confirmed.
  std::deque<CommandStatus> next_start_statuses_;
  bool starts_lost_ = false;                ///< Starts without a response do not arrive either.
  std::uint32_t reported_percent_ = 100;    ///< Of runs that start from now on.
  std::optional<RunnerClock> start_clock_;  ///< In the responses to starts.
  std::vector<AdviceRequest> advice_requests_;
  std::vector<PollRequest> polls_;

 private:
  void ExecuteOutbox(const Outbox& outbox) {
    for (const PendingCallResponse& response : outbox.responses) {
      responses_[response.call] = response.response;
    }
    for (const AppendRequest& append : outbox.appends) Store(append);
    for (const StartCommand& start : outbox.starts) {
      starts_.push_back(start);
      CommandStatus status = CommandStatus::kDone;
      if (!next_start_statuses_.empty()) {
        status = next_start_statuses_.front();
        next_start_statuses_.pop_front();
      }
      const bool received = status == CommandStatus::kDone || status == CommandStatus::kNoResponse;
      const bool executed = received && !starts_lost_;
      if (executed) {
        running_[IdOf(start.runner)].push_back({start.task, start.run, "", reported_percent_, 0});
      }
      cell_->HandleStartResponse(start, {status, start_clock_}, Time());
    }
    stops_.insert(stops_.end(), outbox.stops.begin(), outbox.stops.end());
    for (const PollRequest& poll : outbox.polls) RespondTo(poll);
    for (const AdviceRequest& request : outbox.advice_requests) advice_requests_.push_back(request);
  }

  void TimeOutPolls() {
    while (!pending_polls_.empty() && pending_polls_.front().first <= now_) {
      const PollRequest poll = pending_polls_.front().second;
      pending_polls_.pop_front();
      cell_->HandlePollResponse(poll, CommandStatus::kNoResponse, {}, Time());
    }
  }

  void Store(const AppendRequest& append) {
    if (!store_answers_) {
      open_append_ = append;
      return;
    }
    appends_.push_back(CallSize(append));
    if (!FitsLimits(append, store_limits_)) {
      ++rejected_appends_;
      return cell_->HandleAppendRejected(append.records, Time());
    }
    for (const StoreRecord& record : append.records) {
      if (record.value) {
        stored_[record.key] = *record.value;
      } else {
        stored_.erase(record.key);
      }
    }
    cell_->HandleAppendStored(Time());
  }

  void RespondTo(const PollRequest& poll) {
    polls_.push_back(poll);
    const std::string id = IdOf(poll.runner);
    if (unresponsive_.contains(id)) {
      return cell_->HandlePollResponse(poll, CommandStatus::kNoResponse, {}, Time());
    }
    if (down_.contains(id)) {
      pending_polls_.emplace_back(now_ + poll.wait + CellOptions().command_timeout, poll);
      return;
    }
    std::erase_if(results_[id],
                  [&](const ReportedResult& result) { return result.number <= poll.forget_up_to; });
    RunnerReport report;
    report.started_at = kFirstStartedAt + std::chrono::milliseconds(earlier_incarnations_[id]);
    report.clock = Clock();
    report.running = running_[id];
    report.results = results_[id];
    report.results.resize(std::min(report.results.size(), max_listed_results_));
    report.more_results = report.results.size() == max_listed_results_;
    cell_->HandlePollResponse(poll, CommandStatus::kDone, report, Time());
  }

  std::optional<AppendRequest> open_append_;
  /// With the times of their timeouts.
  std::deque<std::pair<Instant, PollRequest>> pending_polls_;
};

}  // namespace wigeonlane

#endif  // WIGEONLANE_TESTS_CELLS_SCRIPTED_CELL_H_
