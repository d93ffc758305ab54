/// Cancellation of jobs, and of ids whose submission has not arrived.
#include <utility>

#include "cells/cell.h"
#include "cells/record_keys.h"
#include "core/codec.h"
#include "core/logging.h"
#include "core/text.h"

namespace wigeonlane {

void Cell::Cancel(CallNumber call, const JobId& id, const QueueAddress& queue,
                  const std::optional<QueueService>& present, CellTime time) {
  // While the cell holds the id for another queue it accepts no submission of it for this one.
  if (IsHeldForOther(id, queue)) return Respond(call, {VerdictOnUnknown(time.now)});
  JobEntry* entry = FindJob(id);
  LogCancel(id, entry == nullptr ? "unknown" : JobStateName(entry->job.state()), time.now);
  if (entry == nullptr) return CancelUnknown(call, id, present, time);
  if (IsFinal(entry->stored_state)) {
    return Respond(call, {CallVerdict::kCancelled, entry->stored_state});
  }
  entry->cancel_calls.push_back(call);
  if (IsFinal(entry->job.state())) {
    return;  // The caller gets the response when that state is stored.
  }
  entry->job.Cancel();
  MarkDirty(entry);
  StopJob(entry, time.now);
}

std::string Cell::MillisSinceRenewal(Instant now) const {
  if (authority_until_ == Instant{}) return "none";
  return Concat(MillisOf(now - (authority_until_ - options_.authority)));
}

void Cell::LogCancel(const JobId& id, std::string_view state, Instant now) const {
  LogDecision("cancel", {{"job", std::string(id.text())},
                         {"cell", Concat(number_)},
                         {"token", Concat(token_)},
                         {"state", std::string(state)},
                         {"renewed_ms", MillisSinceRenewal(now)}});
}

/// Responds that the id is unknown once that is stored. The record is also the proof that this
/// instance still owns the cell: a former owner may not know of jobs that its successor accepted.
void Cell::CancelUnknown(CallNumber call, const JobId& id,
                         const std::optional<QueueService>& present, CellTime time) {
  if (CancelledIds::Entry* known = cancelled_ids_.Find(id)) {
    if (known->submission_stored) {
      return Respond(call, {CallVerdict::kCancelled, JobState::kCancelled});
    }
    if (known->stored) return Respond(call, {CallVerdict::kNotFound});
    known->cancel_calls.push_back(call);
    return;
  }
  if (!present) return Respond(call, {VerdictOnUnknown(time.now)});
  if (commits_.StallDuration(time.now) > options_.commit_stall_timeout) {
    return Refuse(call, id, "store_stalled");
  }
  if (!HasAuthority(time.now)) return Respond(call, {CallVerdict::kNotOwner});
  if (cancelled_ids_.size() >= options_.max_cancelled_ids) {
    return Refuse(call, id, "too_many_cancelled_ids");
  }
  CancelledIds::Entry* added =
      cancelled_ids_.Add(id, {*present, false}, time.now + options_.finished_job_retention);
  added->cancel_calls.push_back(call);
  added->cancel_batch = StoreCancelledId(id, *added);
}

BatchNumber Cell::StoreCancelledId(const JobId& id, const CancelledIds::Entry& entry) {
  unstored_cancelled_ids_.insert(id);
  return commits_.Put(CancelledIdKey(id), Encode(entry.id));
}

/// Accepts a job that was cancelled before: it is stored as cancelled, and callers are shown it.
void Cell::SubmitCancelled(CallNumber call, const JobId& id, CancelledIds::Entry* entry,
                           CellTime time) {
  if (entry->submission_stored) return Respond(call, {CallVerdict::kAccepted});
  if (!entry->id.submitted) {
    const bool stalled = commits_.StallDuration(time.now) > options_.commit_stall_timeout;
    if (stalled || !HasAuthority(time.now)) {
      return Refuse(call, id, stalled ? "store_stalled" : "no_authority");
    }
    entry->id.submitted = true;
    entry->submit_batch = StoreCancelledId(id, *entry);
    cancelled_ids_.Extend(id, entry, time.now + options_.finished_job_retention);
  }
  entry->submit_calls.push_back(call);
}

void Cell::ConfirmCancelledIds(BatchNumber batch) {
  std::erase_if(unstored_cancelled_ids_, [&](const JobId& id) {
    CancelledIds::Entry* entry = cancelled_ids_.Find(id);
    if (entry == nullptr) return true;
    if (!entry->stored && entry->cancel_batch <= batch) {
      entry->stored = true;
      LogDecision(
          "cancelled_before_submit",
          {{"job", std::string(id.text())}, {"cell", Concat(number_)}, {"token", Concat(token_)}});
      for (const CallNumber call : std::exchange(entry->cancel_calls, {})) {
        Respond(call, {CallVerdict::kNotFound});
      }
    }
    if (entry->id.submitted && !entry->submission_stored && entry->submit_batch <= batch) {
      entry->submission_stored = true;
      LogDecision(
          "accept_cancelled",
          {{"job", std::string(id.text())}, {"cell", Concat(number_)}, {"token", Concat(token_)}});
      for (const CallNumber call : std::exchange(entry->submit_calls, {})) {
        Respond(call, {CallVerdict::kAccepted});
      }
    }
    return entry->complete();
  });
}

/// Refuses the calls whose records have not been sent to the store, and withdraws these records.
void Cell::RefuseUnsentCancelledIds() {
  for (const JobId& id :
       std::vector<JobId>(unstored_cancelled_ids_.begin(), unstored_cancelled_ids_.end())) {
    CancelledIds::Entry* entry = cancelled_ids_.Find(id);
    if (entry == nullptr) continue;
    const auto is_unsent = [&](BatchNumber batch) { return batch > commits_.last_batch(); };
    if (!entry->stored && is_unsent(entry->cancel_batch)) {
      DropCancelledId(id, "store_stalled");
    } else if (entry->id.submitted && is_unsent(entry->submit_batch)) {
      for (const CallNumber call : std::exchange(entry->submit_calls, {})) {
        Refuse(call, id, "store_stalled");
      }
      commits_.Withdraw(CancelledIdKey(id));
      entry->id.submitted = false;
    }
  }
}

/// Forgets a cancelled id, and refuses the calls that wait until it is stored.
void Cell::DropCancelledId(const JobId& id, std::string_view reason) {
  const CancelledIds::Entry* entry = cancelled_ids_.Find(id);
  if (entry == nullptr) return;
  for (const CallNumber call : entry->cancel_calls) Refuse(call, id, reason);
  for (const CallNumber call : entry->submit_calls) Refuse(call, id, reason);
  commits_.Withdraw(CancelledIdKey(id));
  unstored_cancelled_ids_.erase(id);
  cancelled_ids_.Erase(id);
}

void Cell::RemoveExpiredCancelledIds(Instant now) {
  for (const JobId& id : cancelled_ids_.TakeExpired(now)) {
    DropCancelledId(id, "expired");
    commits_.Put(CancelledIdKey(id), std::nullopt);
  }
}

}  // namespace wigeonlane
