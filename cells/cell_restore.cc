/// Takeover: what the partition held becomes jobs and runners to be heard from.
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

/// Nothing was or will be granted on the runner that lasts longer, while the record stands.
struct RunnerLimit {
  std::int64_t left = 0;  ///< In milliseconds from the time of writing.
  bool silent = false;    ///< The writer does not hear from it.
  /// Nothing was granted there since the generation of this token began; 0 when that is not known.
  TermToken untouched_since = 0;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(left, silent, untouched_since);
  }
};

/// What a successor may rely on.
struct Handover {
  TermToken last_owned_token = 0;  ///< The cell was the writer's in the generation of this token.
  std::map<std::string, RunnerLimit> limits;  ///< By runner id.
  /// In milliseconds from the time of writing; only of an owner that left in good order.
  std::optional<std::int64_t> role_wait;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(last_owned_token, limits, role_wait);
  }
};

void LogUnreadable(CellNumber cell, const std::string& key, std::string_view why) {
  LogError("unreadable_record", {{"cell", Concat(cell)}, {"key", key}, {"why", std::string(why)}});
}

}  // namespace

void Cell::Restore(const std::vector<StoreRecord>& records, CellTime time, const TermWatch& watch) {
  restored_at_ = time.now;
  no_renewals_since_ = watch.no_renewals_since;
  token_step_ = watch.step;
  last_owned_token_ = token_;
  for (const StoreRecord& record : records) {
    if (record.value && record.key.starts_with(kJobPrefix)) {
      RestoreJob(record.key, *record.value, time);
    }
  }
  for (const StoreRecord& record : records) {
    if (!record.value) continue;
    if (record.key.starts_with(kProgressPrefix)) RestoreProgress(record.key, *record.value, time);
    if (record.key == kRunnerRegistryKey) RestoreRunnerRegistry(*record.value, time);
  }
  for (const StoreRecord& record : records) {
    if (record.value && record.key == kHandoverKey) RestoreHandover(*record.value, watch, time);
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
  auto record = Decode<JobRecord>(value);
  if (!id || !record.ok()) {
    return LogUnreadable(number_, key, record.ok() ? "bad id" : MessageOf(record.status()));
  }
  const UnixTime accepted(record->accepted);
  auto entry = std::make_unique<JobEntry>(
      Job(*id, std::move(record->spec), std::move(record->policy), accepted));
  entry->accepted = true;
  entry->inherited = true;
  entry->accepted_at = time.now - std::max<Duration>(time.wall - accepted, Duration::zero());
  if (entry->job.spec().timed()) timed_jobs_.insert(*id);
  jobs_.insert_or_assign(*id, std::move(entry));
  open_jobs_.insert(*id);
}

void Cell::RestoreProgress(const std::string& key, const std::string& value, CellTime time) {
  const auto id = JobId::Parse(key.substr(1));
  JobEntry* entry = id ? FindJob(*id) : nullptr;
  if (entry == nullptr) return LogUnreadable(number_, key, "no such job");
  if (absl::Status status = entry->job.RestoreProgress(value); !status.ok()) {
    return LogUnreadable(number_, key, MessageOf(status));
  }
  if (!IsFinal(entry->job.state())) return;
  entry->stored = entry->job.state();
  entry->ended_at = time.now;
  open_jobs_.erase(*id);
  timed_jobs_.erase(*id);
  final_jobs_.push_back(*id);
}

void Cell::RestoreRunnerRegistry(const std::string& value, CellTime time) {
  auto roster = Decode<std::vector<RunnerListing>>(value);
  if (!roster.ok()) {
    return LogUnreadable(number_, std::string(kRunnerRegistryKey), MessageOf(roster.status()));
  }
  for (const RunnerListing& listing : *roster) {
    Runner* runner = AddRunner(listing, time.now);
    runner->registered = true;
    runner->listed = false;
    runner->predecessor_lease_end = time.now + options_.max_lease_after_renewal;
    runner->lease_end = runner->predecessor_lease_end;
    unreconciled_.Add(runner->key, listing.service);
  }
}

void Cell::PrepareHandover(std::chrono::milliseconds role_wait, CellTime time) {
  authority_until_ = Instant{};
  Handover record;
  record.last_owned_token = last_owned_token_;
  record.role_wait = role_wait.count();
  for (const auto& [key, runner] : runners_) {
    record.limits[runner.listing.id] = {RemainingLeaseMs(runner, time.now),
                                        IsUnresponsive(runner, time.now),
                                        NoLeaseGrantedSince(runner)};
  }
  handing_over_ = true;
  commits_.Put(std::string(kHandoverKey), Encode(record));
}

/// The predecessor wrote the record before we were dealt the cell, so that its times count from now
/// at the latest. Runners that it does not name keep the longest bound.
void Cell::RestoreHandover(const std::string& value, const TermWatch& watch, CellTime time) {
  const auto record = Decode<Handover>(value);
  LeaseLimitRecords::RunnerIds named;
  LeaseLimitRecords::RunnerIds silent;
  if (!record.ok()) {
    LogUnreadable(number_, std::string(kHandoverKey), MessageOf(record.status()));
  } else {
    const bool follows = watch.Follows(record->last_owned_token);
    for (const auto& [id, limit] : record->limits) {
      named.insert(id);
      const auto key = key_by_id_.find(id);
      if (key == key_by_id_.end()) continue;
      Runner& runner = runners_.at(key->second);
      runner.recorded_unresponsive = limit.silent;
      if (limit.silent) silent.insert(id);
      if (!follows && !record->role_wait) continue;
      Instant end = time.now + std::chrono::milliseconds(limit.left);
      const TermToken untouched_since = follows ? limit.untouched_since : 0;
      const auto begun =
          untouched_since == 0 ? std::optional<Instant>() : watch.started_by(untouched_since);
      if (begun) end = std::min(end, *begun + options_.max_lease_after_renewal);
      runner.predecessor_lease_end = std::min(runner.predecessor_lease_end, end);
      runner.lease_end = std::min(runner.lease_end, end);
      runner.untouched_since = untouched_since;
      limits_expire_at_ = std::max(limits_expire_at_, end);
    }
  }
  limits_.Restore(std::move(named));
  UpdateLimitedRunners();
  if (record.ok() && !record->role_wait) return;
  if (record.ok()) role_available_at_ = time.now + std::chrono::milliseconds(*record->role_wait);
  handover_record_present_ = true;
  handover_batch_ = StoreLeaseLimits(std::move(silent), time.now);
}

/// Whether a successor should know how long leases on the runner may last yet.
bool Cell::IsUnresponsive(const Runner& runner, Instant now) const {
  if (runner.claimed) return runner.failed_polls > 0;
  return unreconciled_.contains(runner.key) &&
         (runner.recorded_unresponsive || now - restored_at_ >= options_.unreconciled_record_delay);
}

/// How long anything may last that was granted on the runner, in milliseconds.
std::int64_t Cell::RemainingLeaseMs(const Runner& runner, Instant now) const {
  Instant end = runner.lease_end;
  if (unreconciled_.contains(runner.key)) end = std::max(end, runner.predecessor_lease_end);
  const auto left = std::chrono::ceil<std::chrono::milliseconds>(end - now);
  return std::max<std::int64_t>(left.count(), 0);
}

/// Renewals do not show owners in generations that were skipped: a former one may have renewed then
/// without having read that we have the cell.
void Cell::RecordOwnership(TermToken last_owned_token, Instant now) {
  const bool skipped = last_owned_token > last_owned_token_ + token_step_;
  last_owned_token_ = std::max(last_owned_token_, last_owned_token);
  if (!skipped) return;
  other_owners_leases_end_ = now + options_.max_lease_after_renewal;
  no_renewals_since_ = no_renewals_since_ == 0 ? 0 : last_owned_token_;
  for (auto& [key, runner] : runners_) runner.untouched_since = 0;
}

/// An owner grants nothing on a runner that has not answered it.
TermToken Cell::NoLeaseGrantedSince(const Runner& runner) const {
  if (!unreconciled_.contains(runner.key)) return 0;
  return runner.untouched_since != 0 ? runner.untouched_since : no_renewals_since_;
}

/// Should we fall silent, our successor goes on with our waits for these runners.
void Cell::MaybeStoreLeaseLimits(CellTime time) {
  if (handing_over_) return;
  LeaseLimitRecords::RunnerIds silent;
  for (const auto& [key, runner] : runners_) {
    if (IsUnresponsive(runner, time.now)) silent.insert(runner.listing.id);
  }
  const bool aged = time.now - limits_written_at_ >= options_.lease_limit_record_interval &&
                    limits_written_at_ < limits_expire_at_;
  const bool outdated = aged || (!silent.empty() && limits_last_owned_token_ != last_owned_token_);
  if (outdated || silent != limits_.newest()) StoreLeaseLimits(std::move(silent), time.now);
}

BatchNumber Cell::StoreLeaseLimits(LeaseLimitRecords::RunnerIds silent, Instant now) {
  Handover record;
  record.last_owned_token = limits_last_owned_token_ = last_owned_token_;
  limits_expire_at_ = now;
  for (const std::string& id : silent) {
    const Runner& runner = runners_.at(key_by_id_.at(id));
    const auto others =
        std::chrono::ceil<std::chrono::milliseconds>(other_owners_leases_end_ - now);
    const std::int64_t left = std::max<std::int64_t>(RemainingLeaseMs(runner, now), others.count());
    const RunnerLimit limit{left, true, NoLeaseGrantedSince(runner)};
    limits_expire_at_ = std::max(limits_expire_at_, now + std::chrono::milliseconds(limit.left));
    record.limits[id] = limit;
  }
  const BatchNumber batch = commits_.Put(
      std::string(kHandoverKey), silent.empty() ? std::nullopt : std::optional(Encode(record)));
  limits_.Put(batch, std::move(silent));
  limits_written_at_ = now;
  UpdateLimitedRunners();
  return batch;
}

void Cell::UpdateLimitedRunners() {
  for (auto& [key, runner] : runners_) runner.limited = limits_.Contains(runner.listing.id);
}

}  // namespace wigeonlane
