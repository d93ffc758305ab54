/// The callers of the simulated cell, whose requests may arrive late or at a former owner.
#include <algorithm>
#include <utility>

#include "tests/cells/cell_world.h"
#include "tests/cells/job_shapes.h"

namespace wigeonlane {
namespace {

using std::chrono::milliseconds;

const QueueAddress kQueue{"h", "/queue/"};

}  // namespace

void CellWorld::HandleResponse(Owner* owner, const PendingCallResponse& response) {
  if (const auto submit = owner->submits.find(response.call); submit != owner->submits.end()) {
    const JobId id = submit->second.job;
    const bool caller_waits = submit->second.awaited;
    owner->submits.erase(submit);
    if (response.response.verdict == CallVerdict::kAccepted && caller_waits) {
      oracle_.Accepted(id, now_);
    }
    const bool awaited = std::any_of(owners_.begin(), owners_.end(), [&](const auto& each) {
      return std::any_of(each->submits.begin(), each->submits.end(),
                         [&](const auto& call) { return call.second.job == id; });
    });
    // An owner that ended before it responded to another submission of the job may have stored it.
    if (response.response.verdict == CallVerdict::kRefused && !awaited) oracle_.Refused(id);
  }
  if (const auto cancel = owner->cancels.find(response.call); cancel != owner->cancels.end()) {
    const CallVerdict verdict = response.response.verdict;
    if (verdict == CallVerdict::kCancelled || verdict == CallVerdict::kNotFound) {
      oracle_.CancelAcknowledged(cancel->second, verdict, now_);
    }
    owner->cancels.erase(cancel);
  }
}

std::size_t CellWorld::ChooseOwner(std::size_t choice) const {
  if (choice == 0) return owners_.size() - 1;
  std::vector<std::size_t> serving;
  for (std::size_t index = owners_.size(); index-- > 0;) {
    const Owner& owner = *owners_[index];
    if (!owner.alive || owner.released) continue;
    if (owner.cell != nullptr && !owner.cell->deposed()) serving.push_back(index);
  }
  return serving.empty() ? owners_.size() - 1 : serving[choice % serving.size()];
}

void CellWorld::OnServingOwner(std::size_t choice, const std::function<void(Owner*)>& action) {
  const std::size_t index = ChooseOwner(choice);
  OnOwner(index, [this, index, action](Owner* owner) {
    if (owner->cell == nullptr || owner->cell->deposed() || owner->released) return;
    action(owner);
    Pump(index);
  });
}

void CellWorld::Send(const Submitted& job, std::size_t choice) {
  if (delayed_submissions_ == 0) return Deliver(job, choice, true);
  --delayed_submissions_;
  oracle_.SubmissionGivenUp(job.id);
  After(submission_delay_, [this, job, choice] { Deliver(job, choice, false); });
}

void CellWorld::Deliver(const Submitted& job, std::size_t choice, bool awaited) {
  OnServingOwner(choice, [this, job, awaited](Owner* owner) {
    oracle_.MaybeAccepted(job.id);
    owner->submits[++last_call_] = {job.id, awaited};
    owner->cell->Submit(last_call_, job.id, job.record, Time());
  });
}

CallResponse CellWorld::ShowAt(const Owner& owner, const JobId& id) const {
  return owner.cell->Show(id, now_);
}

void CellWorld::Submit(std::size_t shape, std::size_t outcome_seed, std::size_t owner) {
  SubmitSpec(SpecOf(shape), outcome_seed, owner);
}

void CellWorld::SubmitGang(std::size_t shape, std::size_t outcome_seed) {
  has_gangs_ = true;
  SubmitSpec(GangSpecOf(shape), outcome_seed, 0);
}

void CellWorld::SubmitSpec(JobSpec spec, std::size_t outcome_seed, std::size_t owner) {
  std::string digits(JobId::kLength, '0');
  const std::string number = std::to_string(submitted_.size());
  digits.replace(digits.size() - number.size(), number.size(), number);
  Submitted job{*JobId::Parse(digits), {}};
  job.record.spec = std::move(spec);
  job.record.spec.payload = std::to_string(outcome_seed) + (outcome_seed < 16 ? "hopeless" : "");
  job.record.queue = kQueue;
  job.record.policy.service = kService;
  job.record.policy.max_attempts = 2;
  job.record.policy.stretch = 1.6;
  job.record.policy.target_latency = milliseconds(600);
  submitted_.push_back(job);
  oracle_.Submitted(job.id, job.record);
  Send(job, owner);
}

void CellWorld::Repeat(std::size_t which, std::size_t owner) {
  if (!submitted_.empty()) Send(submitted_[which % submitted_.size()], owner);
}

void CellWorld::Cancel(std::size_t which, std::size_t owner) {
  if (submitted_.empty()) return;
  const JobId id = submitted_[which % submitted_.size()].id;
  OnServingOwner(owner, [this, id](Owner* serving) {
    oracle_.CancelSent(id);
    serving->cancels[++last_call_] = id;
    serving->cell->Cancel(last_call_, id, kQueue, QueueService{kQueue, std::string(kService)},
                          Time());
  });
}

void CellWorld::Show(std::size_t which, std::size_t owner) {
  if (submitted_.empty()) return;
  const JobId id = submitted_[which % submitted_.size()].id;
  OnServingOwner(owner,
                 [this, id](Owner* serving) { oracle_.Shown(id, ShowAt(*serving, id), now_); });
}

void CellWorld::DelaySubmissions(std::size_t count, milliseconds delay) {
  delayed_submissions_ = count;
  submission_delay_ = delay;
}

}  // namespace wigeonlane
