/// Records of operators and planners: appended, then settled by folding them back.
#ifndef WIGEONLANE_ENTRY_CONTROL_SERVICE_H_
#define WIGEONLANE_ENTRY_CONTROL_SERVICE_H_

#include <chrono>
#include <optional>
#include <string>
#include <string_view>
#include <thread>

#include "core/clock.h"
#include "core/text.h"
#include "core/verdict.h"
#include "entry/log_follower.h"
#include "fleet/record.h"
#include "platform/log_service.h"

namespace wigeonlane {

/// What became of a record. `kUnknown`: it may be accepted yet; ask again with its id.
enum class SubmitOutcome { kAccepted, kRejected, kUnknown, kNotRun };

/// "accepted", "rejected", "unknown" or "not-run".
constexpr std::string_view ToString(SubmitOutcome outcome) {
  constexpr std::string_view kNames[] = {"accepted", "rejected", "unknown", "not-run"};
  return kNames[static_cast<std::size_t>(outcome)];
}

struct SubmitResult {
  SubmitOutcome outcome = SubmitOutcome::kNotRun;
  Offset offset = 0;  ///< Valid for accepted and rejected.
  std::string reason;
};

/// Safe for several threads. Only what was folded back is ever reported as accepted.
template <LogService Log, RuntimeClock ClockT>
class ControlService {
 public:
  ControlService(Log* log, LogFollower<Log, ClockT>* follower, const ClockT& clock)
      : log_(*log), follower_(*follower), clock_(clock) {}

  /// Appends the record, again with the same id while answers are lost, and waits up to `wait`
  /// for its outcome. Blocks the calling thread.
  SubmitResult Submit(const std::string& record_id, const Record& record,
                      std::chrono::milliseconds wait);

  /// The outcome of a record written earlier.
  SubmitResult QueryOutcome(const std::string& record_id) const;

 private:
  static constexpr std::chrono::milliseconds kRetryDelay{50};
  static constexpr std::chrono::milliseconds kReappendDelay{400};

  std::optional<SubmitResult> FindOutcome(const std::string& record_id) const;
  std::optional<SubmitResult> WaitForOutcome(const std::string& record_id, Instant deadline) const;

  Log& log_;
  LogFollower<Log, ClockT>& follower_;
  const ClockT& clock_;
};

template <LogService Log, RuntimeClock ClockT>
SubmitResult ControlService<Log, ClockT>::Submit(const std::string& record_id, const Record& record,
                                                 std::chrono::milliseconds wait) {
  const std::string payload = EncodeRecord(record);
  if (payload.size() > kMaxRecordBytes) {
    return {SubmitOutcome::kNotRun, 0, Concat("record of ", payload.size(), " bytes is too large")};
  }
  const Instant deadline = clock_.Now() + wait;
  bool may_be_on_log = false;
  std::string last_error;
  do {
    if (const auto result = FindOutcome(record_id)) return *result;
    const AppendOutcome outcome = log_.Append({{record_id, payload}});
    if (outcome.execution != Execution::kNotRun) may_be_on_log = true;
    if (!outcome.status.ok()) last_error = MessageOf(outcome.status);
    // An error that left nothing on the log is told at once; the operator decides to ask again.
    const bool busy = absl::IsResourceExhausted(outcome.status);
    if (!may_be_on_log && !busy) return {SubmitOutcome::kNotRun, 0, last_error};
    if (busy && !may_be_on_log) {
      std::this_thread::sleep_for(kRetryDelay);
      continue;
    }
    if (const auto result =
            WaitForOutcome(record_id, std::min(deadline, clock_.Now() + kReappendDelay))) {
      return *result;
    }
    std::this_thread::sleep_for(kRetryDelay);
  } while (clock_.Now() < deadline);
  if (!may_be_on_log) return {SubmitOutcome::kNotRun, 0, last_error};
  return {SubmitOutcome::kUnknown, 0, last_error.empty() ? "not folded back in time" : last_error};
}

template <LogService Log, RuntimeClock ClockT>
SubmitResult ControlService<Log, ClockT>::QueryOutcome(const std::string& record_id) const {
  if (const auto result = FindOutcome(record_id)) return *result;
  return {SubmitOutcome::kUnknown, 0, "no record with this id was folded; it may still come"};
}

template <LogService Log, RuntimeClock ClockT>
std::optional<SubmitResult> ControlService<Log, ClockT>::FindOutcome(
    const std::string& record_id) const {
  return follower_.WithState([&](const FleetState& state) -> std::optional<SubmitResult> {
    const auto outcome = state.OutcomeOf(record_id);
    if (!outcome.has_value()) return std::nullopt;
    return SubmitResult{outcome->accepted ? SubmitOutcome::kAccepted : SubmitOutcome::kRejected,
                        outcome->offset, outcome->reason};
  });
}

template <LogService Log, RuntimeClock ClockT>
std::optional<SubmitResult> ControlService<Log, ClockT>::WaitForOutcome(
    const std::string& record_id, Instant deadline) const {
  while (true) {
    // Read before the look, so that a record folded between the two ends the wait at once.
    const Offset applied_offset = follower_.next_offset();
    if (auto result = FindOutcome(record_id)) return result;
    const auto time_left =
        std::chrono::duration_cast<std::chrono::milliseconds>(deadline - clock_.Now());
    if (time_left <= std::chrono::milliseconds(0)) return std::nullopt;
    follower_.WaitUntilApplied(applied_offset, time_left);
  }
}

}  // namespace wigeonlane

#endif  // WIGEONLANE_ENTRY_CONTROL_SERVICE_H_
