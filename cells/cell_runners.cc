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
                                     RunNumber run, Instant now) {
  unacknowledged_starts_[runner_id].push_back({task, run, now + options_.max_command_delay});
}

/// Makes the runner refuse unacknowledged starts that were sent to an earlier incarnation and may
/// still arrive.
void Cell::ForbidUnacknowledgedStarts(Runner* runner, Instant now) {
  const auto found = unacknowledged_starts_.find(runner->listing.id);
  if (found == unacknowledged_starts_.end()) return;
  std::erase_if(found->second,
                [&](const UnacknowledgedStart& start) { return start.until <= now; });
  for (const UnacknowledgedStart& start : found->second) {
    LiveRun run;
    run.run = start.run;
    run.phase = RunPhase::kStopping;
    AddRun(runner, start.task, run);
    runner->lease_end = now + options_.MaxStrayLease();
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
    return ReplaceIncarnation(runner, listing, time);
  }
  if (listing.started_at < runner->listing.started_at) return;  // Entry of an earlier incarnation.
  if (listing.draining && !runner->listing.draining) {
    LogDecision("runner_draining", {{"runner", listing.id}, {"cell", Concat(number_)}});
  }
  runner->listing = listing;
  runner->listed = true;
}

/// Replaces an incarnation of a runner by its successor. The runs that the old incarnation reported
/// have ended. Its other starts may reach the new incarnation: they become runs there that must be
/// stopped before their tasks are placed again.
void Cell::ReplaceIncarnation(Runner* old_incarnation, const RunnerListing& listing,
                              CellTime time) {
  std::vector<std::pair<TaskId, LiveRun>> unacknowledged;
  for (const auto& [task, run] : old_incarnation->runs) {
    if (!run.listed) unacknowledged.emplace_back(task, run);
  }
  const RunnerKey old_key = old_incarnation->key;
  Runner* runner = AddRunner(listing, time.now);
  // Commands of a predecessor may have reached the new incarnation as well.
  if (unreconciled_.contains(old_key)) {
    unreconciled_.AddNextIncarnation(old_key, runner->key);
    runner->predecessor_lease_end = FindRunner(old_key)->predecessor_lease_end;
  }
  for (auto& [task, run] : unacknowledged) {
    RemoveRun(FindRunner(old_key), task);
    RecordUnacknowledgedStart(listing.id, task, run.run, time.now);
    run.phase = RunPhase::kStopping;
    run.stop_pending = run.stop_confirmed = false;
    run.known_since = RunnerClock{0};
    runner->lease_end = time.now + options_.MaxStrayLease();
    AddRun(runner, task, run);
    if (JobEntry* entry = FindJob(task.job)) {
      TaskState* state = entry->job.FindTask(task);
      if (state != nullptr && state->runner == old_key) state->runner = runner->key;
    }
  }
  LoseRunner(old_key, "replaced by a new incarnation", time);
  key_by_id_[listing.id] = runner->key;
}

void Cell::LoseRunner(RunnerKey key, std::string_view reason, CellTime time) {
  Runner* runner = FindRunner(key);
  if (runner == nullptr) return;
  ++counters_.runners_lost;
  const auto unlisted = std::count_if(runner->runs.begin(), runner->runs.end(),
                                      [](const auto& run) { return !run.second.listed; });
  LogDecision("runner_lost",
              {{"runner", runner->listing.id},
               {"born", Concat(runner->listing.started_at.count())},
               {"cell", Concat(number_)},
               {"why", std::string(reason)},
               {"runs", Concat(runner->runs.size())},
               {"unlisted", Concat(unlisted)},
               {"lease_over_ms", runner->lease_end == Instant{}
                                     ? std::string("none")
                                     : Concat(MillisOf(time.now - runner->lease_end))}});
  while (!runner->runs.empty()) {
    const auto [task, run] = *runner->runs.begin();
    if (!run.listed) RecordUnacknowledgedStart(runner->listing.id, task, run.run, time.now);
    FreeTask(runner, task, reason, time);
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
    if (!runner.claimed && !runner.registered && !unreconciled_.contains(key)) continue;
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

void Cell::AdvanceRunners(CellTime time) {
  std::vector<RunnerKey> lost;
  for (auto& [key, runner] : runners_) {
    const bool lease_over = time.now >= runner.lease_end;
    // While this owner has no authority, a former owner may own the cell again and grant leases.
    const bool predecessor_over =
        !unreconciled_.contains(key) ||
        (time.now >= runner.predecessor_lease_end && HasAuthority(time.now));
    const bool unresponsive = runner.failed_polls > 0 || !runner.listed;
    const bool idle = runner.runs.empty() && !unreconciled_.contains(key);
    if (unresponsive && lease_over && predecessor_over && (!idle || !runner.listed)) {
      lost.push_back(key);
      continue;
    }
    UpdateOpenState(&runner, time.now);
    if (runner.stopping_runs > 0) AdvanceStops(&runner, time);
    RecordStoredResults(&runner, time.now);
    MaybePoll(&runner, time);
  }
  for (const RunnerKey key : lost) {
    const Runner& runner = runners_.at(key);
    // Discovery reports only changes, so a runner that it still lists is polled until it responds.
    const auto listing = runner.listed ? std::optional(runner.listing) : std::nullopt;
    LoseRunner(key, "unresponsive until its lease ended", time);
    if (listing) AddRunner(*listing, time.now);
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
  poll.forget_up_to = runner->stored_result;
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
  }
  runner->poll_pending = true;
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
  if (status == CommandStatus::kWrongIncarnation) {
    return LoseRunner(key, "another incarnation at its address", time);
  }
  if (!report) {
    if (runner->failed_polls++ == 0) {
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
    ReplaceIncarnation(runner, listing, time);
    runner = FindRunner(key_by_id_[listing.id]);
  } else if (report->acknowledgement_sent) {
    runner->acknowledged_result = std::max(runner->acknowledged_result, request.forget_up_to);
  }
  HandleReport(runner, *report, time);
}

}  // namespace wigeonlane
