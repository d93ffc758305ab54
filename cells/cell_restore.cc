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

/// What a successor may rely on, in milliseconds from the time of writing.
struct Handover {
  std::map<std::string, std::int64_t> leases_left;  ///< By runner id.
  std::int64_t role_pause = 0;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(leases_left, role_pause);
  }
};

void LogUnreadable(CellNumber cell, const std::string& key, std::string_view why) {
  LogError("unreadable_record", {{"cell", Concat(cell)}, {"key", key}, {"why", std::string(why)}});
}

}  // namespace

void Cell::Restore(const std::vector<StoreRecord>& records, CellTime time) {
  restored_at_ = time.now;
  for (const StoreRecord& record : records) {
    if (record.value && record.key.starts_with(kJobPrefix)) {
      RestoreJob(record.key, *record.value, time);
    }
  }
  for (const StoreRecord& record : records) {
    if (!record.value) continue;
    if (record.key.starts_with(kProgressPrefix)) RestoreProgress(record.key, *record.value, time);
    if (record.key == kRosterKey) RestoreRoster(*record.value, time);
  }
  for (const StoreRecord& record : records) {
    if (record.value && record.key == kHandoverKey) RestoreHandover(*record.value, time);
  }
  RankAllAgain();
  schedule_wanted_ = true;
  LogDecision("cell_restored", {{"cell", Concat(number_)},
                                {"token", Concat(token_)},
                                {"records", Concat(records.size())},
                                {"jobs", Concat(jobs_.size())},
                                {"open", Concat(open_.size())},
                                {"runners_to_settle", Concat(unsettled_.size())}});
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
  if (entry->job.spec().timed()) timed_.insert(*id);
  jobs_.insert_or_assign(*id, std::move(entry));
  open_.insert(*id);
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
  open_.erase(*id);
  timed_.erase(*id);
  ended_.push_back(*id);
}

void Cell::RestoreRoster(const std::string& value, CellTime time) {
  auto roster = Decode<std::vector<RunnerListing>>(value);
  if (!roster.ok()) {
    return LogUnreadable(number_, std::string(kRosterKey), MessageOf(roster.status()));
  }
  for (const RunnerListing& listing : *roster) {
    Runner* runner = AddRunner(listing, time.now);
    runner->rostered = true;
    runner->listed = false;
    runner->predecessor_end = time.now + options_.lease_reach;
    runner->lease_end = runner->predecessor_end;
    unsettled_.Add(runner->key, listing.service);
  }
}

void Cell::PrepareHandover(std::chrono::milliseconds role_pause, CellTime time) {
  authority_until_ = Instant{};
  Handover record;
  record.role_pause = role_pause.count();
  for (const auto& [key, runner] : runners_) {
    Instant end = runner.lease_end;
    if (unsettled_.contains(key)) end = std::max(end, runner.predecessor_end);
    const auto lasts = std::chrono::ceil<std::chrono::milliseconds>(end - time.now);
    record.leases_left[runner.listing.id] = std::max<std::int64_t>(lasts.count(), 0);
  }
  commits_.Put(std::string(kHandoverKey), Encode(record));
}

/// The predecessor wrote the record before we were dealt the cell, so that its times count from now
/// at the latest. Runners that it does not name keep the longest bound.
void Cell::RestoreHandover(const std::string& value, CellTime time) {
  const auto record = Decode<Handover>(value);
  if (!record.ok()) {
    LogUnreadable(number_, std::string(kHandoverKey), MessageOf(record.status()));
  } else {
    role_free_at_ = time.now + std::chrono::milliseconds(record->role_pause);
    for (const auto& [id, millis] : record->leases_left) {
      const auto key = key_by_id_.find(id);
      if (key == key_by_id_.end()) continue;
      Runner& runner = runners_.at(key->second);
      const Instant end = time.now + std::chrono::milliseconds(millis);
      runner.predecessor_end = std::min(runner.predecessor_end, end);
      runner.lease_end = std::min(runner.lease_end, end);
    }
  }
  handover_stands_ = true;
  handover_batch_ = commits_.Put(std::string(kHandoverKey), std::nullopt);
}

}  // namespace wigeonlane
