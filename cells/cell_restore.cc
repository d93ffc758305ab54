/// Takeover and handover of a cell: restores jobs and runners from the records of the partition,
/// and stores how long leases may last.
#include <algorithm>
#include <map>
#include <utility>

#include "cells/cell.h"
#include "cells/record_keys.h"
#include "core/codec.h"
#include "core/logging.h"
#include "core/text.h"

namespace wigeonlane {
namespace {

/// The limit of all leases on a runner. No lease that ends later is granted while the record is
/// stored.
struct RunnerLimit {
  std::int64_t remaining_ms = 0;  ///< From the time of writing.
  bool unresponsive = false;      ///< The runner does not respond to the writer.
  /// No lease was granted on the runner since the generation of this token started; 0 when unknown.
  TermToken no_lease_granted_since = 0;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(remaining_ms, unresponsive, no_lease_granted_since);
  }
};

/// The lease limits that a successor may rely on.
struct HandoverRecord {
  TermToken last_owned_token = 0;  ///< The writer owned the cell in the generation of this token.
  std::map<std::string, RunnerLimit> limits;  ///< By runner id.
  /// From the time of writing; set only by an owner that handed the cell over in an orderly way.
  std::optional<std::int64_t> role_wait_ms;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(last_owned_token, limits, role_wait_ms);
  }
};

void LogUnreadable(CellNumber cell, const std::string& key, std::string_view reason) {
  LogError("unreadable_record",
           {{"cell", Concat(cell)}, {"key", key}, {"why", std::string(reason)}});
}

}  // namespace

void Cell::Restore(const std::vector<StoreRecord>& records, CellTime time, const TermWatch& watch) {
  restored_at_ = time.now;
  other_owners_authority_end_ = time.now + options_.authority;
  no_renewals_since_ = watch.no_renewals_since;
  token_step_ = watch.token_step;
  last_owned_token_ = token_;
  for (const StoreRecord& record : records) {
    if (record.value && record.key.starts_with(kJobPrefix)) {
      RestoreJob(record.key, *record.value, time);
    }
    if (record.value && record.key.front() == kStrayLeasePrefix) {
      RestoreStrayLease(record.key, *record.value, time);
    }
  }
  for (const StoreRecord& record : records) {
    if (!record.value) continue;
    const char prefix = record.key.front();
    const bool is_summary = prefix == kProgressPrefix && record.key.size() == 1 + JobId::kLength;
    if (prefix == kUnslicedProgressPrefix || is_summary) RestoreProgress(record.key, *record.value);
    if (prefix == kRunnerPrefix || record.key == kRunnerRegistryKey) {
      RestoreRunnerRecord(record.key, *record.value, time);
    }
    if (prefix == kCancelledIdPrefix) RestoreCancelledId(record.key, *record.value, time);
  }
  for (const StoreRecord& record : records) {
    const bool is_slice =
        record.key.starts_with(kProgressPrefix) && record.key.size() > 1 + JobId::kLength;
    if (record.value && is_slice) RestoreProgress(record.key, *record.value);
  }
  ClassifyRestoredJobs(time);
  for (const StoreRecord& record : records) {
    if (record.value && record.key == kHandoverKey) RestoreHandover(*record.value, watch, time);
  }
  // The limits in a handover record do not include these leases.
  const Instant end_by_former_owners = FormerOwnersStrayLeaseEnd();
  for (auto& [key, runner] : runners_) {
    const Instant end = stray_leases_.EndOn(runner.listing, end_by_former_owners);
    runner.predecessor_stray_lease_end = end;
    runner.is_later = stray_leases_.IsLater(runner.listing);
  }
  RerankAllJobs();
  schedule_requested_ = true;
  LogDecision("cell_restored", {{"cell", Concat(number_)},
                                {"token", Concat(token_)},
                                {"records", Concat(records.size())},
                                {"jobs", Concat(jobs_.size())},
                                {"open", Concat(open_jobs_.size())},
                                {"runners_to_settle", Concat(unreconciled_.size())}});
}

void Cell::RestoreJob(const std::string& key, const std::string& value, CellTime time) {
  const auto id = JobId::Parse(key.substr(1));
  auto record = DecodeJobRecord(value);
  if (!id || !record.ok()) {
    return LogUnreadable(number_, key,
                         record.ok() ? "invalid job id in the key" : MessageOf(record.status()));
  }
  const UnixTime accepted(record->accepted);
  auto entry = std::make_unique<JobEntry>(
      Job(*id, std::move(record->spec), std::move(record->policy), accepted),
      std::move(record->queue));
  entry->team = NumberOfTeam(record->team);
  entry->accepted = true;
  entry->inherited = true;
  entry->accepted_at = time.now - std::max<Duration>(time.wall - accepted, Duration::zero());
  if (entry->job.spec().timed()) timed_jobs_.insert(*id);
  AddJob(std::move(entry));
  open_jobs_.insert(*id);
}

/// The keys of all records of one job's progress are restored in their order in the store, so the
/// record of an earlier version comes first.
void Cell::RestoreProgress(const std::string& key, const std::string& value) {
  const auto id = JobId::Parse(key.substr(1, JobId::kLength));
  JobEntry* entry = id ? FindJob(*id) : nullptr;
  if (entry == nullptr) return LogUnreadable(number_, key, "progress of an unknown job");
  const std::string suffix = key.substr(1 + JobId::kLength);
  const absl::Status status = key.front() == kUnslicedProgressPrefix
                                  ? entry->job.RestoreUnslicedProgress(value)
                                  : entry->job.RestoreProgress(suffix, value);
  if (!status.ok()) LogUnreadable(number_, key, MessageOf(status));
}

void Cell::RestoreCancelledId(const std::string& key, const std::string& value, CellTime time) {
  const auto id = JobId::Parse(key.substr(1));
  const auto cancelled = DecodeCancelledId(value);
  if (!id || !cancelled.ok()) {
    return LogUnreadable(number_, key,
                         id ? MessageOf(cancelled.status()) : "invalid job id in the key");
  }
  CancelledIds::Entry* entry =
      cancelled_ids_.Add(*id, *cancelled, time.now + options_.finished_job_retention);
  entry->stored = true;
  entry->submission_stored = cancelled->submitted;
}

void Cell::ClassifyRestoredJobs(CellTime time) {
  for (auto& [id, entry] : jobs_) {
    const bool is_final = IsFinal(entry->job.state());
    if (!is_final && !entry->job.begin().begun()) {
      pending_jobs_.Add(id, entry->queue, entry->job.policy().name);
    }
    if (!is_final) continue;
    entry->stored_state = entry->job.state();
    entry->ended_at = time.now;
    open_jobs_.erase(id);
    timed_jobs_.erase(id);
    final_jobs_.push_back(id);
  }
}

void Cell::RestoreRunnerRecord(const std::string& key, const std::string& value, CellTime time) {
  if (key == kRunnerRegistryKey) {
    unsplit_registry_present_ = true;
    const auto registry = Decode<std::vector<RunnerListing>>(value);
    if (!registry.ok()) return LogUnreadable(number_, key, MessageOf(registry.status()));
    for (const RunnerListing& listing : *registry) RestoreRunner(listing, time);
    return;
  }
  const auto listing = Decode<RunnerListing>(value);
  if (!listing.ok()) return LogUnreadable(number_, key, MessageOf(listing.status()));
  stored_runners_[listing->id] = *listing;
  RestoreRunner(*listing, time);
}

void Cell::RestoreRunner(const RunnerListing& listing, CellTime time) {
  if (key_by_id_.contains(listing.id)) return;
  Runner* runner = AddRunner(listing, time.now);
  runner->registered = true;
  runner->listed = false;
  runner->predecessor_lease_end = time.now + options_.max_lease_after_renewal;
  runner->lease_end = runner->predecessor_lease_end;
  runner->deadline_sent_at = time.now + options_.authority;
  unreconciled_.Add(runner->key, listing.service);
}

void Cell::RestoreStrayLease(const std::string& key, const std::string& value, CellTime time) {
  const absl::Status status = stray_leases_.Restore(key.substr(1), value, time.now);
  if (!status.ok()) LogUnreadable(number_, key, MessageOf(status));
}

/// When leases end on later incarnations by commands that former owners sent, except for commands
/// that the platform has delayed.
Instant Cell::FormerOwnersStrayLeaseEnd() const {
  // A start may be preceded by a check of the incarnation, each with its own timeout.
  return restored_at_ + options_.authority - options_.min_membership +
         2 * options_.command_timeout + options_.MaxStrayLeaseAfterContact();
}

/// When no lease that a predecessor granted is left on a runner that has not responded. A runner
/// that discovery does not list counts as gone (the platform's rule), so unless a later incarnation
/// has been seen, only leases on the one that the predecessors knew are left.
Instant Cell::PredecessorLeaseEnd(const Runner& runner) const {
  const bool has_later_incarnation =
      runner.listed || runner.is_later || listed_as_of_ <= restored_at_;
  if (!has_later_incarnation) return runner.predecessor_lease_end;
  return std::max(runner.predecessor_lease_end, runner.predecessor_stray_lease_end);
}

void Cell::PrepareHandover(std::chrono::milliseconds role_wait, CellTime time) {
  authority_until_ = Instant{};
  HandoverRecord record;
  record.last_owned_token = last_owned_token_;
  record.role_wait_ms = role_wait.count();
  for (const auto& [key, runner] : runners_) {
    record.limits[runner.listing.id] = {RemainingLeaseMs(runner, time.now),
                                        IsUnresponsive(runner, time.now),
                                        NoLeaseGrantedSince(runner)};
  }
  handing_over_ = true;
  commits_.Put(std::string(kHandoverKey), Encode(record));
}

/// The predecessor wrote the record before the cell was assigned to this instance, so the times in
/// the record start now at the latest. Runners that the record does not name keep the longest
/// limit.
void Cell::RestoreHandover(const std::string& value, const TermWatch& watch, CellTime time) {
  const auto record = Decode<HandoverRecord>(value);
  LeaseLimitRecords::RunnerIds named;
  LeaseLimitRecords::RunnerIds unresponsive;
  if (!record.ok()) {
    LogUnreadable(number_, std::string(kHandoverKey), MessageOf(record.status()));
  } else {
    const bool no_owner_between = watch.ExcludesOtherOwnersSince(record->last_owned_token);
    for (const auto& [id, limit] : record->limits) {
      named.insert(id);
      const auto key = key_by_id_.find(id);
      if (key == key_by_id_.end()) continue;
      Runner& runner = runners_.at(key->second);
      runner.recorded_unresponsive = limit.unresponsive;
      if (limit.unresponsive) unresponsive.insert(id);
      if (!no_owner_between && !record->role_wait_ms) continue;
      Instant end = time.now + std::chrono::milliseconds(limit.remaining_ms);
      const TermToken no_lease_granted_since = no_owner_between ? limit.no_lease_granted_since : 0;
      const auto started_by = no_lease_granted_since == 0
                                  ? std::optional<Instant>()
                                  : watch.started_by(no_lease_granted_since);
      if (started_by) end = std::min(end, *started_by + options_.max_lease_after_renewal);
      runner.predecessor_lease_end = std::min(runner.predecessor_lease_end, end);
      runner.lease_end = std::min(runner.lease_end, end);
      runner.untouched_since = no_lease_granted_since;
      limits_expire_at_ = std::max(limits_expire_at_, end);
    }
  }
  limits_.Restore(std::move(named));
  UpdateLimitedRunners();
  if (record.ok() && !record->role_wait_ms) return;
  if (record.ok()) role_available_at_ = time.now + std::chrono::milliseconds(*record->role_wait_ms);
  handover_record_present_ = true;
  handover_batch_ = StoreLeaseLimits(std::move(unresponsive), time.now);
}

/// Whether the runner is unresponsive, so that the lease limit must be stored for a successor.
bool Cell::IsUnresponsive(const Runner& runner, Instant now) const {
  if (runner.claimed) return runner.failed_polls > 0;
  return unreconciled_.contains(runner.key) &&
         (runner.recorded_unresponsive || now - restored_at_ >= options_.unreconciled_record_delay);
}

/// When all leases end that this owner and its predecessors granted on the runner.
Instant Cell::OwnLeaseEnd(const Runner& runner) const {
  if (!unreconciled_.contains(runner.key)) return runner.lease_end;
  return std::max(runner.lease_end, PredecessorLeaseEnd(runner));
}

/// How long leases that were granted on the runner may still last.
std::int64_t Cell::RemainingLeaseMs(const Runner& runner, Instant now) const {
  const Instant end = ownership_proof_.LeaseEnd(OwnLeaseEnd(runner));
  const auto remaining = std::chrono::ceil<std::chrono::milliseconds>(end - now);
  return std::max<std::int64_t>(remaining.count(), 0);
}

/// Renewals do not show the owners in skipped generations. A previous owner may have renewed in one
/// of them without having noticed that this instance owns the cell.
void Cell::RecordOwnership(TermToken last_owned_token, Instant now) {
  const bool generation_skipped = last_owned_token > last_owned_token_ + token_step_;
  last_owned_token_ = std::max(last_owned_token_, last_owned_token);
  if (!generation_skipped) return;
  ownership_proof_.RecordOtherOwners(now + options_.max_lease_after_renewal);
  other_owners_authority_end_ = now + options_.authority;
  for (auto& [id, entry] : jobs_) entry->job.ForgetWhereTasksRun();
  no_renewals_since_ = no_renewals_since_ == 0 ? 0 : last_owned_token_;
  for (auto& [key, runner] : runners_) runner.untouched_since = 0;
}

/// The token of a generation since which no lease was granted on the runner; 0 when unknown. An
/// owner grants no lease on a runner that has not responded to it.
TermToken Cell::NoLeaseGrantedSince(const Runner& runner) const {
  if (!unreconciled_.contains(runner.key) || runner.claimed) return 0;
  return runner.untouched_since != 0 ? runner.untouched_since : no_renewals_since_;
}

/// Stores the lease limits of unresponsive runners. If this owner fails, the successor continues
/// its waits for these runners.
void Cell::MaybeStoreLeaseLimits(CellTime time) {
  if (handing_over_) return;
  LeaseLimitRecords::RunnerIds unresponsive;
  for (const auto& [key, runner] : runners_) {
    if (IsUnresponsive(runner, time.now)) unresponsive.insert(runner.listing.id);
  }
  const bool refresh_due = time.now - limits_written_at_ >= options_.lease_limit_record_interval &&
                           limits_written_at_ < limits_expire_at_;
  const bool outdated =
      refresh_due || (!unresponsive.empty() && limits_last_owned_token_ != last_owned_token_);
  if (outdated || unresponsive != limits_.newest()) {
    StoreLeaseLimits(std::move(unresponsive), time.now);
  }
}

BatchNumber Cell::StoreLeaseLimits(LeaseLimitRecords::RunnerIds unresponsive, Instant now) {
  HandoverRecord record;
  record.last_owned_token = limits_last_owned_token_ = last_owned_token_;
  limits_expire_at_ = now;
  for (const std::string& id : unresponsive) {
    const Runner& runner = runners_.at(key_by_id_.at(id));
    const RunnerLimit limit{RemainingLeaseMs(runner, now), true, NoLeaseGrantedSince(runner)};
    limits_expire_at_ =
        std::max(limits_expire_at_, now + std::chrono::milliseconds(limit.remaining_ms));
    record.limits[id] = limit;
  }
  const BatchNumber batch =
      commits_.Put(std::string(kHandoverKey),
                   unresponsive.empty() ? std::nullopt : std::optional(Encode(record)));
  limits_.Put(batch, std::move(unresponsive));
  limits_written_at_ = now;
  UpdateLimitedRunners();
  return batch;
}

void Cell::UpdateLimitedRunners() {
  for (auto& [key, runner] : runners_) runner.leases_barred = limits_.Contains(runner.listing.id);
}

}  // namespace wigeonlane
