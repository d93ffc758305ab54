/// Which runners a queue's advisor lets run one step, and the tickets that starts there carry.
///
/// The advisor's answer for a runner never changes, but a ticket belongs to one life of the runner
/// and expires; it has to be fetched again then.
#ifndef WIGEONLANE_SCHEDULING_STEP_ADMISSION_H_
#define WIGEONLANE_SCHEDULING_STEP_ADMISSION_H_

#include <chrono>
#include <map>
#include <string>
#include <utility>

#include "core/clock.h"
#include "jobs/job_progress.h"

namespace wigeonlane {

class StepAdmission {
 public:
  /// A ticket that expires sooner may be refused when the start arrives.
  static constexpr std::chrono::milliseconds kExpiryMargin{300};

  /// The ticket for a runner's life; nullptr when there is none that holds.
  const std::string* TicketFor(RunnerKey runner, Instant now) const {
    const auto found = tickets_.find(runner);
    if (found == tickets_.end() || now + kExpiryMargin >= found->second.until) return nullptr;
    return &found->second.text;
  }

  /// Whether the advisor may admit the runner: it has not said otherwise.
  bool MayAdmit(const std::string& runner_id) const {
    const auto found = known_.find(runner_id);
    return found == known_.end() || found->second;
  }

  void Admit(const std::string& runner_id, RunnerKey runner, std::string ticket, Instant until) {
    known_[runner_id] = true;
    tickets_[runner] = {std::move(ticket), until};
  }

  void Exclude(const std::string& runner_id) { known_[runner_id] = false; }

  /// The runner did not accept the ticket.
  void DropTicket(RunnerKey runner) { tickets_.erase(runner); }

  bool MayRequest(Instant now) const { return !asking_ && now >= ask_after_; }
  void RequestSent() { asking_ = true; }
  void ResponseReceived() { asking_ = false; }
  void RequestFailed(Instant ask_after) {
    asking_ = false;
    ask_after_ = ask_after;
  }

 private:
  struct Ticket {
    std::string text;
    Instant until{};
  };

  std::map<std::string, bool> known_;  ///< By runner id: whether it may run the step.
  std::map<RunnerKey, Ticket> tickets_;
  bool asking_ = false;
  Instant ask_after_{};
};

}  // namespace wigeonlane

#endif  // WIGEONLANE_SCHEDULING_STEP_ADMISSION_H_
