/// Runners on which a queue's advisor permits one step, and the tickets for starting tasks on them.
///
/// The advisor's answer for a runner never changes. A ticket, however, is valid for one incarnation
/// of the runner and expires; a new one has to be requested then.
#ifndef WIGEONLANE_SCHEDULING_STEP_ADMISSION_H_
#define WIGEONLANE_SCHEDULING_STEP_ADMISSION_H_

#include <chrono>
#include <map>
#include <string>
#include <utility>

#include "core/clock.h"
#include "jobs/job_progress.h"

namespace wigeonlane {

/// Admission of runners to one step.
class StepAdmission {
 public:
  /// A ticket that expires sooner than this may be refused when the start command arrives.
  static constexpr std::chrono::milliseconds kExpiryMargin{300};

  /// Returns the ticket for an incarnation of a runner; nullptr if there is no valid one.
  const std::string* TicketFor(RunnerKey runner, Instant now) const {
    const auto ticket = tickets_.find(runner);
    if (ticket == tickets_.end() || now + kExpiryMargin >= ticket->second.expires_at) {
      return nullptr;
    }
    return &ticket->second.text;
  }

  /// Returns whether the advisor has admitted the runner or has not decided yet.
  bool MayAdmit(const std::string& runner_id) const {
    const auto verdict = verdicts_.find(runner_id);
    return verdict == verdicts_.end() || verdict->second;
  }

  void Admit(const std::string& runner_id, RunnerKey runner, std::string ticket,
             Instant expires_at) {
    verdicts_[runner_id] = true;
    tickets_[runner] = {std::move(ticket), expires_at};
  }

  void Exclude(const std::string& runner_id) { verdicts_[runner_id] = false; }

  /// Discards a ticket that the runner has refused.
  void DropTicket(RunnerKey runner) { tickets_.erase(runner); }

  bool MayRequest(Instant now) const { return !request_pending_ && now >= retry_at_; }
  bool request_pending() const { return request_pending_; }
  void RequestSent() { request_pending_ = true; }
  void ResponseReceived() { request_pending_ = false; }
  void RequestFailed(Instant retry_at) {
    request_pending_ = false;
    retry_at_ = retry_at;
  }

 private:
  struct Ticket {
    std::string text;
    Instant expires_at{};
  };

  std::map<std::string, bool> verdicts_;  ///< By runner id: whether it may run the step.
  std::map<RunnerKey, Ticket> tickets_;
  bool request_pending_ = false;
  Instant retry_at_{};
};

}  // namespace wigeonlane

#endif  // WIGEONLANE_SCHEDULING_STEP_ADMISSION_H_
