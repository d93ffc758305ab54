#include "cells/cell.h"

#include <algorithm>
#include <utility>

#include "cells/record_keys.h"
#include "core/codec.h"
#include "core/logging.h"
#include "core/text.h"

namespace wigeonlane {
namespace {

/// A batch of this size is stored without waiting for the commit interval.
constexpr std::size_t kEarlyCommitBytes = 1024 * 1024;
/// Delay after which a refused caller should retry while the store does not accept writes. Outages
/// last seconds.
constexpr std::chrono::milliseconds kStoreRetryAfter{1'000};
/// Longest time between two calls of `Advance`.
constexpr std::chrono::milliseconds kMaxWakeInterval{200};

}  // namespace

std::string_view CommandStatusName(CommandStatus status) {
  switch (status) {
    case CommandStatus::kDone:
      return "done";
    case CommandStatus::kFenced:
      return "fenced";
    case CommandStatus::kOldRun:
      return "old_run";
    case CommandStatus::kTooLate:
      return "too_late";
    case CommandStatus::kNoCapacity:
      return "no_room";
    case CommandStatus::kNoTicket:
      return "no_ticket";
    case CommandStatus::kWrongRunner:
      return "wrong_runner";
    case CommandStatus::kWrongIncarnation:
      return "wrong_life";
    case CommandStatus::kUnhealthy:
      return "unhealthy";
    case CommandStatus::kInvalid:
      return "invalid";
    case CommandStatus::kNotSent:
      return "not_sent";
    case CommandStatus::kNoResponse:
      return "unanswered";
  }
  return "unknown";
}

std::string_view LossReasonName(LossReason reason) {
  switch (reason) {
    case LossReason::kReplaced:
      return "replaced by a new incarnation";
    case LossReason::kOtherIncarnationResponds:
      return "another incarnation at its address";
    case LossReason::kUnresponsive:
      return "unresponsive until its lease ended";
    case LossReason::kMachineDown:
      return "machine was taken down";
    case LossReason::kOtherRunnerResponds:
      return "another runner at its address";
  }
  return "unknown";
}

Cell::Cell(CellNumber number, TermToken token, CellOptions options)
    : number_(number),
      token_(token),
      options_(options),
      commits_(options.min_commit_interval,
               std::min(kEarlyCommitBytes, options.store_limits.call_bytes), options.store_limits) {
}

void Cell::ExtendAuthority(Instant until) {
  authority_until_ = std::max(authority_until_, until);
  const bool awaited = ownership_proof_.awaits_renewal();
  ownership_proof_.ConfirmRenewal(until - options_.authority);
  if (awaited && !ownership_proof_.awaits_renewal()) schedule_requested_ = true;
}

Cell::JobEntry* Cell::FindJob(const JobId& id) {
  const auto found = jobs_.find(id);
  return found == jobs_.end() ? nullptr : found->second.get();
}

Cell::JobEntry* Cell::AddJob(std::unique_ptr<JobEntry> entry) {
  const JobId id = entry->job.id();
  ++jobs_by_queue_[{entry->queue, entry->job.policy().service}];
  return jobs_.emplace(id, std::move(entry)).first->second.get();
}

void Cell::EraseJob(const JobId& id) {
  const auto found = jobs_.find(id);
  if (found == jobs_.end()) return;
  const JobEntry& entry = *found->second;
  const auto count = jobs_by_queue_.find({entry.queue, entry.job.policy().service});
  if (--count->second == 0) jobs_by_queue_.erase(count);
  pending_jobs_.Remove(id);
  jobs_.erase(found);
}

/// Whether the cell holds the id for another queue. Callers choose ids, so two queues may have the
/// same one.
bool Cell::IsHeldForOther(const JobId& id, const QueueAddress& queue) const {
  const auto job = jobs_.find(id);
  if (job != jobs_.end()) return !job->second->queue.MayBe(queue);
  const CancelledIds::Entry* cancelled = cancelled_ids_.Find(id);
  return cancelled != nullptr && !cancelled->id.queue.queue.MayBe(queue);
}

bool Cell::Holds(const JobId& id, const QueueAddress& queue) const {
  if (IsHeldForOther(id, queue)) return false;
  const CancelledIds::Entry* cancelled = cancelled_ids_.Find(id);
  return jobs_.contains(id) || (cancelled != nullptr && cancelled->submission_stored);
}

std::vector<QueueService> Cell::HeldQueues() const {
  std::set<QueueService> queues;
  for (const auto& [queue, jobs] : jobs_by_queue_) queues.insert(queue);
  cancelled_ids_.AddQueues(&queues);
  return {queues.begin(), queues.end()};
}

void Cell::Respond(CallNumber call, CallResponse response) {
  outbox_.responses.push_back({call, std::move(response)});
}

void Cell::Submit(CallNumber call, const JobId& id, JobRecord record, CellTime time) {
  if (IsHeldForOther(id, record.queue)) {
    LogDecision("refuse", {{"job", std::string(id.text())},
                           {"cell", Concat(number_)},
                           {"why", "id_in_use"},
                           {"address", record.queue.ToString()}});
    return Respond(call, {CallVerdict::kIdInUse});
  }
  if (JobEntry* existing = FindJob(id)) {
    if (existing->accepted) return Respond(call, {CallVerdict::kAccepted});
    existing->accept_calls.push_back(call);
    return;
  }
  if (CancelledIds::Entry* cancelled = cancelled_ids_.Find(id)) {
    return SubmitCancelled(call, id, cancelled, time);
  }
  const bool stalled = commits_.StallDuration(time.now) > options_.commit_stall_timeout;
  if (stalled || !HasAuthority(time.now)) {
    return Refuse(call, id, stalled ? "store_stalled" : "no_authority");
  }
  const TeamNumber team = NumberOfTeam(record.team);
  const bool beyond_rate = !IsWithinRate(team, time.now);
  if (beyond_rate && !CanStartAtOnce(record, team, time.now)) {
    return Refuse(call, id, "beyond_rate");
  }
  record.accepted = time.wall.time_since_epoch();
  std::string value = Encode(record);
  if (!options_.store_limits.Holds(JobKey(id), value)) {
    LogDecision("refuse_too_large", {{"job", std::string(id.text())},
                                     {"cell", Concat(number_)},
                                     {"bytes", Concat(value.size())}});
    return Respond(call, {CallVerdict::kTooLarge});
  }
  const BatchNumber batch = commits_.Put(JobKey(id), std::move(value));
  auto entry = std::make_unique<JobEntry>(
      Job(id, std::move(record.spec), std::move(record.policy), time.wall),
      std::move(record.queue));
  entry->team = team;
  entry->beyond_rate = beyond_rate;
  entry->accepted_at = time.now;
  entry->accept_batch = batch;
  entry->accept_calls.push_back(call);
  if (entry->job.spec().timed()) timed_jobs_.insert(id);
  AddJob(std::move(entry));
  open_jobs_.insert(id);
  unaccepted_.insert(id);
  deferred_updates_[batch].push_back({id, JobState::kQueued});
}

void Cell::Refuse(CallNumber call, const JobId& id, std::string_view reason) {
  ++counters_.refused;
  LogDecision(
      "refuse",
      {{"job", std::string(id.text())}, {"cell", Concat(number_)}, {"why", std::string(reason)}});
  Respond(call, {CallVerdict::kRefused, JobState::kQueued, 0, kStoreRetryAfter});
}

/// Refuses the jobs that were submitted after the append in flight. They have not left this
/// process, so their callers need not wait for the outcome of the stalled append.
void Cell::RefuseUnsentJobs() {
  std::vector<JobId> unsent;
  for (const JobId& id : unaccepted_) {
    if (jobs_.at(id)->accept_batch > commits_.last_batch()) unsent.push_back(id);
  }
  for (const JobId& id : unsent) {
    for (const CallNumber call : jobs_.at(id)->accept_calls) Refuse(call, id, "store_stalled");
    WithdrawJob(id);
  }
}

/// Forgets a job that is not stored. Its cancellations are refused: they are not stored either, and
/// the job may be submitted again.
void Cell::WithdrawJob(const JobId& id) {
  for (const CallNumber call : jobs_.at(id)->cancel_calls) Refuse(call, id, "job_withdrawn");
  commits_.Withdraw(JobKey(id));
  commits_.Withdraw(ProgressKey(id));
  dirty_.erase(id);
  open_jobs_.erase(id);
  timed_jobs_.erase(id);
  unaccepted_.erase(id);
  EraseJob(id);
  // The same id may be submitted again and then be part of a later batch.
  for (auto& [batch, updates] : deferred_updates_) {
    std::erase_if(updates, [&](const DeferredUpdate& update) { return update.job == id; });
  }
}

/// The verdict on an id that the cell does not hold. A successor may have accepted the job if the
/// membership may have ended.
CallVerdict Cell::VerdictOnUnknown(Instant now) const {
  return MembershipHolds(now) ? CallVerdict::kNotFound : CallVerdict::kNotOwner;
}

CallResponse Cell::Show(const JobId& id, Instant now, const QueueAddress& queue) const {
  if (IsHeldForOther(id, queue)) return {VerdictOnUnknown(now)};
  const auto found = jobs_.find(id);
  if (found == jobs_.end()) {
    const CancelledIds::Entry* cancelled = cancelled_ids_.Find(id);
    if (cancelled == nullptr) return {VerdictOnUnknown(now)};
    if (!cancelled->stored) return {CallVerdict::kRefused, JobState::kQueued, 0, kStoreRetryAfter};
    if (cancelled->submission_stored) return {CallVerdict::kShown, JobState::kCancelled};
    // A successor may have accepted a submission of the id.
    return {MembershipHolds(now) ? CallVerdict::kCancelledBeforeSubmit : CallVerdict::kNotOwner};
  }
  const JobEntry& entry = *found->second;
  JobState state = entry.job.state();
  if (IsFinal(state) && !IsFinal(entry.stored_state)) {
    state = entry.job.begin().begun() ? JobState::kRunning : JobState::kQueued;
  }
  CallResponse response{CallVerdict::kShown, state};
  response.stored = entry.accepted;
  return response;
}

CallResponse Cell::CountPending(const QueueAddress& queue, const std::string& name,
                                Instant now) const {
  // A successor may have accepted jobs for longer than a count may be out of date.
  if (deposed_ || now >= authority_until_) {
    return {CallVerdict::kRefused, JobState::kQueued, 0, kStoreRetryAfter};
  }
  CallResponse response{CallVerdict::kCounted};
  response.pending = pending_jobs_.CountOf(queue, name);
  return response;
}

/// Returns the batch with which everything that the cell has handled so far is stored. It may be
/// stored already.
BatchNumber Cell::BatchOfAllChanges() const {
  return dirty_.empty() ? commits_.newest_batch() : commits_.last_batch() + 1;
}

/// Returns the last batch that is stored. While nothing waits for the next one it counts as stored,
/// too: all of its records may have been withdrawn.
BatchNumber Cell::StoredBatch() const {
  return flushed() ? commits_.last_batch() + 1 : commits_.stored_batch();
}

BatchNumber Cell::MarkDirty(JobEntry* entry) {
  const JobId& id = entry->job.id();
  dirty_.insert(id);
  jobs_to_rank_.insert(id);
  const BatchNumber batch = BatchOfAllChanges();
  auto& updates = deferred_updates_[batch];
  const auto same = std::find_if(updates.begin(), updates.end(), [&](const DeferredUpdate& update) {
    return update.job == id && update.state == entry->job.state();
  });
  if (same == updates.end()) updates.push_back({id, entry->job.state()});
  return batch;
}

void Cell::FlushDirty() {
  for (const JobId& id : dirty_) {
    JobEntry* entry = FindJob(id);
    if (entry == nullptr) continue;
    const std::size_t key_bytes = StoreLimits::kKeyLengthBytes + StoreLimits::kMaxKeyBytes;
    for (ProgressRecord& record :
         entry->job.TakeChangedProgress(options_.store_limits.record_bytes - key_bytes)) {
      commits_.Put(ProgressKey(id, record.key_suffix), std::move(record.value));
    }
  }
  dirty_.clear();
}

void Cell::Commit(CellTime time) {
  if (!dirty_.empty() && commits_.StallDuration(time.now) == Duration::zero()) FlushDirty();
  if (auto append = commits_.Next(time.now)) outbox_.appends.push_back(*std::move(append));
  for (const StoreRecord& record : commits_.TakeUnstorable()) HandleUnstorable(record);
}

void Cell::HandleAppendStored(CellTime time) {
  if (const auto sent = commits_.in_flight_since()) ownership_proof_.ConfirmAppend(*sent);
  if (commits_.Confirm()) FinishBatch(time);
}

void Cell::HandleAppendRejected(std::vector<StoreRecord> records, CellTime time) {
  const bool complete = commits_.Reject(std::move(records));
  for (const StoreRecord& record : commits_.TakeUnstorable()) HandleUnstorable(record);
  if (complete) FinishBatch(time);
}

/// Continues without a record that the store cannot hold. A job is refused; without a record of
/// progress, a successor repeats what the record contained.
void Cell::HandleUnstorable(const StoreRecord& record) {
  if (unstorable_keys_.insert(record.key).second) {
    LogError("unstorable_record",
             {{"cell", Concat(number_)},
              {"key", record.key},
              {"bytes", Concat(StoreLimits::RecordSize(record.key, record.value))}});
  }
  if (record.key == kHandoverKey) {
    // Without a record, a successor assumes that leases end as late as possible.
    handover_batch_ = commits_.Put(std::string(kHandoverKey), std::nullopt);
    limits_.Put(handover_batch_, {});
    return;
  }
  const auto id = JobId::Parse(record.key.substr(1));
  if (id && record.key.front() == kCancelledIdPrefix) return DropCancelledId(*id, "unstorable");
  if (record.key.front() != kJobPrefix) return;
  const JobEntry* entry = id ? FindJob(*id) : nullptr;
  if (entry == nullptr || entry->accepted || !record.value) return;
  for (const CallNumber call : entry->accept_calls) Respond(call, {CallVerdict::kTooLarge});
  WithdrawJob(*id);
}

void Cell::FinishBatch(CellTime time) {
  const BatchNumber batch = commits_.last_batch();
  const auto found = deferred_updates_.find(batch);
  if (found != deferred_updates_.end()) {
    const auto updates = std::move(found->second);
    deferred_updates_.erase(found);
    for (const DeferredUpdate& update : updates) ApplyDeferredUpdate(update, time);
  }
  for (auto& [key, runner] : runners_) {
    if (runner.registry_batch != 0 && runner.registry_batch <= batch) runner.registered = true;
  }
  if (handover_record_present_ && handover_batch_ <= batch) handover_record_present_ = false;
  ConfirmCancelledIds(batch);
  limits_.Confirm(batch);
  UpdateLimitedRunners();
  schedule_requested_ = true;
}

void Cell::RecordArrival(const JobEntry& entry, Instant now) {
  const Job& job = entry.job;
  if (job.spec().timed() || job.spec().steps.front().long_running) return;
  const double ratio = estimates_.Ratio(entry.estimate_key);
  const std::string& service = job.policy().service;
  arrivals_[service].RecordArrival(
      RemainingDominantCoreSeconds(job, ratio, LargestCapacities()[service]), now);
}

void Cell::ApplyDeferredUpdate(const DeferredUpdate& update, CellTime time) {
  JobEntry* entry = FindJob(update.job);
  if (entry == nullptr) return;
  if (!entry->accepted) {
    entry->accepted = true;
    unaccepted_.erase(update.job);
    jobs_to_rank_.insert(update.job);
    if (!entry->job.begin().begun()) {
      pending_jobs_.Add(update.job, entry->queue, entry->job.policy().name);
    }
    ++counters_.accepted;
    RecordArrival(*entry, time.now);
    LogDecision("accept", {{"job", std::string(update.job.text())},
                           {"cell", Concat(number_)},
                           {"token", Concat(token_)},
                           {"queue", entry->job.policy().name},
                           {"address", entry->queue.ToString()},
                           {"renewed_ms", MillisSinceRenewal(time.now)},
                           {"commit_ms", Concat(MillisOf(time.now - entry->accepted_at))}});
  }
  for (const CallNumber call : std::exchange(entry->accept_calls, {})) {
    Respond(call, {CallVerdict::kAccepted});
  }
  if (!IsFinal(update.state) || IsFinal(entry->stored_state)) return;
  entry->stored_state = update.state;
  entry->ended_at = time.now;
  open_jobs_.erase(update.job);
  pending_jobs_.Remove(update.job);
  timed_jobs_.erase(update.job);
  jobs_to_rank_.insert(update.job);
  final_jobs_.push_back(update.job);
  if (update.state == JobState::kCompleted) ++counters_.completed;
  LogDecision("job_final", {{"job", std::string(update.job.text())},
                            {"cell", Concat(number_)},
                            {"token", Concat(token_)},
                            {"state", std::string(JobStateName(update.state))},
                            {"age_ms", Concat(MillisOf(time.now - entry->accepted_at))}});
  for (const CallNumber call : std::exchange(entry->cancel_calls, {})) {
    Respond(call, {CallVerdict::kCancelled, update.state});
  }
}

void Cell::RemoveStoredJob(const JobEntry& entry) {
  const JobId& id = entry.job.id();
  commits_.Put(JobKey(id), std::nullopt);
  for (const std::string& suffix : entry.job.ProgressSuffixes()) {
    commits_.Put(ProgressKey(id, suffix), std::nullopt);
  }
  if (entry.inherited) commits_.Put(UnslicedProgressKey(id), std::nullopt);
}

void Cell::RemoveExpiredJobs(CellTime time) {
  while (!final_jobs_.empty()) {
    const JobId id = final_jobs_.front();
    const JobEntry* entry = FindJob(id);
    if (entry != nullptr && time.now - entry->ended_at < options_.finished_job_retention) return;
    if (entry != nullptr) RemoveStoredJob(*entry);
    EraseJob(id);
    final_jobs_.pop_front();
  }
}

void Cell::Advance(CellTime time) {
  if (deposed_) return;
  AdvanceRunners(time);
  RemoveExpiredJobs(time);
  RemoveExpiredCancelledIds(time.now);
  RemoveExpiredStrayLeases(time.now);
  DropExpiredCapacityReservations(time.now);
  Schedule(time);
  LogWaitingTasks(time.now);
  if (commits_.StallDuration(time.now) > options_.commit_stall_timeout) {
    RefuseUnsentJobs();
    RefuseUnsentCancelledIds();
  }
  Commit(time);
}

Instant Cell::NextWake(Instant now) const {
  Instant wake = std::min(now + kMaxWakeInterval, reschedule_at_);
  if (const auto commit = commits_.NextTime()) wake = std::min(wake, *commit);
  const Duration stall = commits_.StallDuration(now);
  if (stall > Duration::zero() && stall <= options_.commit_stall_timeout) {
    wake =
        std::min(wake, now + options_.commit_stall_timeout - stall + std::chrono::milliseconds(1));
  }
  if (!dirty_.empty() && stall == Duration::zero()) {
    wake = std::min(wake, now + options_.min_commit_interval);
  }
  for (const auto& [key, runner] : runners_) {
    if (runner.poll_pending || (runner.runs.empty() && !runner.more_results)) continue;
    wake = std::min(wake, runner.next_poll_at);
  }
  return std::max(wake, now);
}

}  // namespace wigeonlane
