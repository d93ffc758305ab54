/// Runners of a cell: discovery, incarnations, polls and losses.
#include <algorithm>
#include <optional>
#include <utility>

#include "cells/cell.h"
#include "cells/record_keys.h"
#include "core/codec.h"
#include "core/logging.h"
#include "core/text.h"

namespace wigeonlane {

Runner* Cell::FindRunner(RunnerKey key) {
  const auto found = runners_.find(key);
  return found == runners_.end() ? nullptr : &found->second;
}

const Runner* Cell::FindRunner(RunnerKey key) const {
  const auto found = runners_.find(key);
  return found == runners_.end() ? nullptr : &found->second;
}

const Runner* Cell::FindRunnerById(const std::string& id) const {
  const auto found = key_by_id_.find(id);
  return found == key_by_id_.end() ? nullptr : FindRunner(found->second);
}

Runner* Cell::AddRunner(const RunnerListing& listing, Instant now) {
  const RunnerKey key = ++last_key_;
  Runner& runner = runners_[key];
  runner.key = key;
  runner.listing = listing;
  runner.next_poll_at = now;
  key_by_id_[listing.id] = key;
  runner.leases_barred = limits_.Contains(listing.id);
  InheritRelease(&runner, now);
  ForbidUnacknowledgedStarts(&runner, now);
  return &runner;
}

void Cell::RecordUnacknowledgedStart(const std::string& runner_id, const TaskId& task,
                                     RunNumber run, Instant sent_at) {
  auto& starts = unacknowledged_starts_[runner_id];
  const auto known = std::find_if(starts.begin(), starts.end(), [&](const auto& start) {
    return start.task == task && start.run == run;
  });
  if (known == starts.end()) starts.push_back({task, run, sent_at});
}

/// Makes the runner refuse unacknowledged starts that were sent to an earlier incarnation and may
/// still arrive.
void Cell::ForbidUnacknowledgedStarts(Runner* runner, Instant now) {
  const auto found = unacknowledged_starts_.find(runner->listing.id);
  if (found == unacknowledged_starts_.end()) return;
  std::erase_if(found->second, [&](const UnacknowledgedStart& start) {
    return start.sent_at + options_.max_command_delay <= now;
  });
  for (const UnacknowledgedStart& start : found->second) {
    LiveRun run;
    run.run = start.run;
    run.phase = RunPhase::kStopping;
    run.start_sent_at = start.sent_at;
    run.stray_until = start.sent_at + options_.MaxStrayLease();
    runner->lease_end = std::max(runner->lease_end, *run.stray_until);
    AddRun(runner, start.task, run);
  }
  if (found->second.empty()) unacknowledged_starts_.erase(found);
}

void Cell::SetRunners(const std::vector<RunnerListing>& listings, CellTime time) {
  for (auto& [key, runner] : runners_) runner.listed = false;
  for (const RunnerListing& listing : listings) UpdateListing(listing, time);
  rejected_sizes_.Clear();
  schedule_requested_ = true;
}

void Cell::UpdateListing(const RunnerListing& listing, CellTime time) {
  const auto known = key_by_id_.find(listing.id);
  if (known == key_by_id_.end()) {
    AddRunner(listing, time.now);
    return;
  }
  Runner* runner = FindRunner(known->second);
  if (listing.started_at > runner->listing.started_at) {
    runner->listed = true;
    // Connections to another address are new, and a poll that is pending gets no response.
    if (runner->claimed || listing.endpoint != runner->listing.endpoint) {
      return ReplaceIncarnation(runner, listing, LossReason::kReplaced, time);
    }
    return UpdateIncarnation(runner, listing, time.now);
  }
  if (listing.started_at < runner->listing.started_at) return;  // Entry of an earlier incarnation.
  if (listing.draining && !runner->listing.draining) {
    LogDecision("runner_draining", {{"runner", listing.id}, {"cell", Concat(number_)}});
  }
  runner->listing = listing;
  runner->listed = true;
}

/// Replaces the entry of an incarnation that has ended or is given up. What its reports have listed
/// has ended with it or with its lease. Any other start may have been executed by a later
/// incarnation, whatever the response to it, or may yet be: it passes to the new entry until that
/// incarnation reports for itself or the lease that it may have granted is over. The new entry has
/// the `listing` of the next incarnation if that is known, else of the old one until a poll tells.
void Cell::ReplaceIncarnation(Runner* old_incarnation, const RunnerListing& listing,
                              LossReason reason, CellTime time) {
  const RunnerKey old_key = old_incarnation->key;
  std::vector<std::pair<TaskId, LiveRun>> strays;
  for (const auto& [task, run] : old_incarnation->runs) {
    if (run.executed_here) continue;
    const Instant end = old_incarnation->LatestStrayEnd(run, options_);
    if (ownership_proof_.IsOver(end, time.now)) continue;
    strays.emplace_back(task, run);
    strays.back().second.stray_until = end;
  }
  if (strays.empty() && !old_incarnation->listed) return LoseRunner(old_key, reason, time);
  Runner* runner = AddRunner(listing, time.now);
  runner->listed = old_incarnation->listed;
  // Once an incarnation has reported, the starts that were meant for earlier ones are settled.
  runner->is_later =
      (old_incarnation->is_later && !old_incarnation->claimed) || HasLaterIncarnation(reason);
  // Commands of a predecessor may have reached the new incarnation as well.
  if (unreconciled_.contains(old_key) &&
      !ownership_proof_.IsOver(PredecessorLeaseEnd(*old_incarnation), time.now)) {
    unreconciled_.AddNextIncarnation(old_key, runner->key);
    runner->predecessor_stray_lease_end =
        std::max(old_incarnation->predecessor_stray_lease_end, FormerOwnersStrayLeaseEnd());
  }
  for (auto& [task, run] : strays) {
    RemoveRun(old_incarnation, task);
    PassOnStart(task, run, old_key, runner);
  }
  LoseRunner(old_key, reason, time);
}

/// Adds a start that was meant for an earlier incarnation to the entry of a later one.
void Cell::PassOnStart(const TaskId& id, LiveRun run, RunnerKey earlier, Runner* runner) {
  JobEntry* entry = FindJob(id.job);
  // Other members of a gang may have ended with the earlier incarnation.
  const bool gang = entry != nullptr && entry->job.spec().steps[id.step].gang;
  if (run.phase != RunPhase::kStopping) {
    run.phase = gang ? RunPhase::kStopping : RunPhase::kUnconfirmed;
  }
  run.stop_pending = run.stop_confirmed = false;
  run.known_since = 0;
  runner->lease_end = std::max(runner->lease_end, *run.stray_until);
  AddRun(runner, id, run);
  ++counters_.starts_passed_on;
  LogDecision("start_passed_on", {{"job", std::string(id.job.text())},
                                  {"task", id.ToString()},
                                  {"run", Concat(run.run)},
                                  {"runner", runner->listing.id},
                                  {"born", Concat(runner->listing.started_at.count())},
                                  {"confirmed", run.start_confirmed_at ? "yes" : "no"}});
  TaskState* task = entry == nullptr ? nullptr : entry->job.FindTask(id);
  if (task != nullptr && task->runner == earlier) task->runner = runner->key;
}

void Cell::LogSettledStart(const Runner& runner, const TaskId& id, const LiveRun& run,
                           std::string_view outcome) {
  LogDecision("start_settled", {{"job", std::string(id.job.text())},
                                {"task", id.ToString()},
                                {"run", Concat(run.run)},
                                {"runner", runner.listing.id},
                                {"born", Concat(runner.listing.started_at.count())},
                                {"outcome", std::string(outcome)}});
}

/// Another incarnation than expected has the id of a runner that has not responded yet. No start
/// was sent with the token of its entry.
void Cell::UpdateIncarnation(Runner* runner, const RunnerListing& listing, Instant now) {
  RecordStrayLease(*runner, now);
  runner->deadline_sent_at = Instant{};
  runner->is_later = runner->is_later || listing.started_at > runner->listing.started_at;
  runner->registered = false;
  runner->registry_batch = 0;
  runner->listing = listing;
  runner->next_poll_at = now;
  if (!unreconciled_.contains(runner->key)) return;
  // Commands of a predecessor may have reached this incarnation.
  runner->predecessor_stray_lease_end =
      std::max(runner->predecessor_stray_lease_end, FormerOwnersStrayLeaseEnd());
  // A successor has to know that there is a later incarnation, whether it is still listed or not.
  StoreRunnerRecords();
}

/// Frees starts that no incarnation can be running any more. A runner that discovery does not list
/// counts as gone (the platform's rule), unless a later incarnation has been seen or the response
/// to the start suggests one.
void Cell::FreeExpiredStrays(Runner* runner, CellTime time) {
  std::vector<std::pair<TaskId, Instant>> ended;
  for (const auto& [task, run] : runner->runs) {
    if (!run.stray_until || run.executed_here) continue;
    const bool is_gone = !runner->listed && !runner->is_later && !run.start_confirmed_at;
    if (is_gone || ownership_proof_.IsOver(*run.stray_until, time.now)) {
      ended.emplace_back(task, std::min(*run.stray_until, time.now));
    } else {
      ownership_proof_.Await(*run.stray_until, time.now);
    }
  }
  for (const auto& [task, ended_by] : ended) {
    LogSettledStart(*runner, task, runner->runs.at(task), "lease over");
    TaskState* freed = FreeTask(runner, task, "lease over on any incarnation", time);
    // A successor may have reached an incarnation that is missing from an older list.
    if (freed != nullptr) freed->lost_run = {ended_by, false};
  }
}

/// Removes the entry of an incarnation and frees all of its runs.
void Cell::LoseRunner(RunnerKey key, LossReason reason, CellTime time) {
  Runner* runner = FindRunner(key);
  if (runner == nullptr) return;
  ++counters_.runners_lost;
  const auto strays = std::count_if(runner->runs.begin(), runner->runs.end(),
                                    [](const auto& run) { return !run.second.executed_here; });
  LogDecision("runner_lost",
              {{"runner", runner->listing.id},
               {"born", Concat(runner->listing.started_at.count())},
               {"cell", Concat(number_)},
               {"why", std::string(LossReasonName(reason))},
               {"runs", Concat(runner->runs.size())},
               {"strays", Concat(strays)},
               {"lease_over_ms", runner->lease_end == Instant{}
                                     ? std::string("none")
                                     : Concat(MillisOf(time.now - runner->lease_end))},
               {"renewed_ms", MillisSinceRenewal(time.now)}});
  const Instant ended_by = reason == LossReason::kUnresponsive ? OwnLeaseEnd(*runner) : time.now;
  while (!runner->runs.empty()) {
    const auto [task, run] = *runner->runs.begin();
    if (!run.executed_here && !run.start_confirmed_at) {
      RecordUnacknowledgedStart(runner->listing.id, task, run.run, run.start_sent_at);
    }
    FreeLostTask(runner, task, {ended_by, runner->claimed}, LossReasonName(reason), time);
  }
  RecordStrayLease(*runner, time.now);
  const auto by_id = key_by_id_.find(runner->listing.id);
  if (by_id != key_by_id_.end() && by_id->second == key) key_by_id_.erase(by_id);
  MarkReconciled(key, time.now);
  newly_open_runners_.erase(key);
  runners_.erase(key);
  StoreRunnerRecords();
  schedule_requested_ = true;
}

/// Records that commands to this incarnation, which is lost, may grant leases on later ones.
void Cell::RecordStrayLease(const Runner& runner, Instant now) {
  const Instant end = runner.deadline_sent_at + options_.MaxStrayLease();
  if (runner.deadline_sent_at == Instant{} || end <= now) return;
  stray_leases_.Add(runner.listing, end);
  StoreStrayLease(runner.listing.id, now);
}

/// Takes leases by commands to earlier incarnations into account. The runner refuses such commands
/// now that it has responded.
void Cell::LimitStrayLease(Runner* runner, Instant now) {
  const Instant end =
      stray_leases_.Limit(runner->listing, now + options_.MaxStrayLeaseAfterContact());
  if (end <= now) return;
  runner->lease_end = std::max(runner->lease_end, end);
  StoreStrayLease(runner->listing.id, now);
}

void Cell::StoreStrayLease(const std::string& runner_id, Instant now) {
  commits_.Put(StrayLeaseKey(runner_id), stray_leases_.Encoded(runner_id, now));
}

void Cell::RemoveExpiredStrayLeases(Instant now) {
  for (const std::string& runner_id : stray_leases_.TakeExpired(now)) {
    commits_.Put(StrayLeaseKey(runner_id), std::nullopt);
  }
}

/// Marks a runner of a predecessor as reconciled. The last one of a service unblocks the jobs that
/// the predecessor may have started there.
void Cell::MarkReconciled(RunnerKey key, Instant now) {
  if (!unreconciled_.Remove(key)) return;
  const Runner* last = std::as_const(*this).FindRunner(key);
  LogDecision("cell_settled", {{"cell", Concat(number_)},
                               {"token", Concat(token_)},
                               {"service", last->listing.service},
                               {"after_ms", Concat(MillisOf(now - restored_at_))},
                               {"last_runner", last->listing.id},
                               {"last_responded", last->claimed ? "yes" : "no"}});
  RerankAllJobs();
}

/// Detects runners that accept tasks again. No event announces this when a pause ends, and steps
/// that did not fit before may fit now.
void Cell::UpdateOpenState(Runner* runner, Instant now) {
  const bool open = runner->IsOpen(now);
  if (open && !runner->was_open) {
    newly_open_runners_.insert(runner->key);
    schedule_requested_ = true;
  }
  runner->was_open = open;
}

/// Stores the records of the runners that a successor must reconcile before it may assume that
/// their tasks have ended.
void Cell::StoreRunnerRecords() {
  std::map<std::string, RunnerListing> records;
  for (auto& [key, runner] : runners_) {
    const bool may_have_runs = runner.claimed || !runner.runs.empty();
    if (!may_have_runs && !runner.registered && !unreconciled_.contains(key)) continue;
    const RunnerListing& listing = records[runner.listing.id] = runner.listing;
    const auto stored = stored_runners_.find(listing.id);
    const bool unchanged = stored != stored_runners_.end() && stored->second == listing;
    if (unchanged && (runner.registered || runner.registry_batch != 0)) continue;
    const BatchNumber batch = commits_.Put(RunnerRecordKey(listing.id), Encode(listing));
    if (!runner.registered) runner.registry_batch = batch;
  }
  for (const auto& [id, listing] : stored_runners_) {
    if (!records.contains(id)) commits_.Put(RunnerRecordKey(id), std::nullopt);
  }
  stored_runners_ = std::move(records);
  // Its key is higher than those of the records that replace it.
  if (std::exchange(unsplit_registry_present_, false)) {
    commits_.Put(std::string(kRunnerRegistryKey), std::nullopt);
  }
}

/// Whether no lease is left on the runner, as far as an owner can know. If only a confirmation of
/// the ownership is missing, one is requested.
bool Cell::HasNoLease(const Runner& runner, Instant now) {
  const Instant end = OwnLeaseEnd(runner);
  const bool over = runner.claimed ? ownership_proof_.IsOverOnClaimed(end, now)
                                   : ownership_proof_.IsOver(end, now);
  if (!over) ownership_proof_.Await(end, now);
  return over;
}

void Cell::AdvanceRunners(CellTime time) {
  std::vector<RunnerKey> lost;
  for (auto& [key, runner] : runners_) {
    if (!runner.claimed) FreeExpiredStrays(&runner, time);
    const bool unresponsive = runner.failed_polls > 0 || !runner.listed;
    const bool idle = runner.runs.empty() && !unreconciled_.contains(key);
    const bool idle_is_over = !runner.listed && runner.lease_end <= time.now;
    if (unresponsive && (idle ? idle_is_over : HasNoLease(runner, time.now))) {
      lost.push_back(key);
      continue;
    }
    UpdateOpenState(&runner, time.now);
    if (runner.stopping_runs > 0) AdvanceStops(&runner, time);
    RecordStoredResults(&runner, time.now);
    MaybePoll(&runner, time);
  }
  for (const RunnerKey key : lost) {
    // Discovery reports only changes, so a runner that it still lists is polled until it responds.
    Runner& runner = runners_.at(key);
    ReplaceIncarnation(&runner, runner.listing, LossReason::kUnresponsive, time);
  }
  MaybeStoreLeaseLimits(time);
}

void Cell::AdvanceStops(Runner* runner, CellTime time) {
  for (auto& [task, run] : runner->runs) {
    if (run.phase != RunPhase::kStopping || run.stop_pending) continue;
    const auto pause = run.stop_confirmed ? options_.stop_grace + options_.poll_wait
                                          : options_.stop_retry_interval;
    if (run.stop_sent_at != Instant{} && time.now - run.stop_sent_at < pause) continue;
    RequestStop(runner, task, time.now);
  }
}

void Cell::MaybePoll(Runner* runner, CellTime time) {
  const bool wanted = !runner->claimed || !runner->runs.empty() || runner->failed_polls > 0 ||
                      runner->acknowledged_result < runner->stored_result || runner->more_results ||
                      time.now - runner->clock_read_at > options_.clock_refresh_interval;
  if (!wanted || runner->poll_pending || time.now < runner->next_poll_at) return;
  if (runner->claimed && runner->runs.empty() && !runner->more_results && !runner->listed) return;
  PollRequest poll;
  poll.runner = runner->key;
  poll.number = ++last_event_;
  // A later incarnation that receives the poll forgets its own results, so it names no more than
  // necessary.
  if (runner->stored_result > runner->acknowledged_result) {
    poll.forget_up_to = runner->stored_result;
  }
  // A poll may extend the lease even if it gets no response. An unresponsive runner is therefore
  // polled without a lease, so that its lease ends and its tasks can be placed elsewhere.
  if (runner->claimed && !runner->leases_barred && runner->failed_polls == 0 &&
      HasAuthority(time.now)) {
    poll.lease = std::min(runner->EstimatedClock(time.now) + options_.lease,
                          runner->LatestDeadline(LeaseLimit(), options_));
    runner->GrantLease(*poll.lease, options_, time.now);
  }
  if (runner->claimed && runner->failed_polls == 0 && !runner->runs.empty() &&
      !runner->more_results) {
    const bool watched = runner->watched;
    poll.wait = watched ? options_.watched_poll_wait : options_.poll_wait;
    // The next poll extends the lease; it must not be delayed once authority is back.
    if (!poll.lease) poll.wait = std::min(poll.wait, options_.unleased_poll_wait);
    if (runner->AwaitsReport()) poll.wait = std::chrono::milliseconds(0);
  }
  runner->poll_pending = true;
  runner->poll_sent_at = time.now;
  ++counters_.polls;
  outbox_.polls.push_back(poll);
}

void Cell::HandlePollResponse(const PollRequest& request, CommandStatus status,
                              const std::optional<RunnerReport>& report, CellTime time) {
  const RunnerKey key = request.runner;
  Runner* runner = FindRunner(key);
  if (runner == nullptr) return;
  runner->poll_pending = false;
  if (status == CommandStatus::kFenced) return HandleFencedCommand(key);
  if (status == CommandStatus::kWrongRunner) {
    return LoseRunner(key, LossReason::kOtherRunnerResponds, time);
  }
  if (!report) {
    if (runner->failed_polls++ == 0) {
      const bool has_strays =
          std::any_of(runner->runs.begin(), runner->runs.end(),
                      [](const auto& run) { return !run.second.executed_here; });
      // A successor does not know that a later incarnation may run these starts.
      if (has_strays) RecordStrayLease(*runner, time.now);
      LogDecision("poll_failed", {{"runner", runner->listing.id},
                                  {"cell", Concat(number_)},
                                  {"why", std::string(CommandStatusName(status))},
                                  {"runs", Concat(runner->runs.size())}});
    }
    runner->next_poll_at = time.now + options_.poll_retry_delay;
    return;
  }
  if (report->started_at != runner->listing.started_at) {
    RunnerListing listing = runner->listing;
    listing.started_at = report->started_at;
    // The poll carried the token of the expected incarnation, so the present one does not refuse
    // commands to that one yet.
    if (runner->claimed) {
      return ReplaceIncarnation(runner, listing, LossReason::kReplaced, time);
    }
    UpdateIncarnation(runner, listing, time.now);
  } else if (report->acknowledgement_sent) {
    runner->acknowledged_result = std::max(runner->acknowledged_result, request.forget_up_to);
  }
  HandleReport(runner, *report, request.number, time);
}

}  // namespace wigeonlane
