/// Records of operators and planners: appended, then settled by folding them back.
#ifndef WIGEONLANE_ENTRY_CONTROL_DESK_H_
#define WIGEONLANE_ENTRY_CONTROL_DESK_H_

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
enum class RecordFate { kAccepted, kRejected, kUnknown, kNotRun };

/// "accepted", "rejected", "unknown" or "not-run".
constexpr std::string_view ToString(RecordFate fate) {
  constexpr std::string_view kNames[] = {"accepted", "rejected", "unknown", "not-run"};
  return kNames[static_cast<std::size_t>(fate)];
}

struct RecordAnswer {
  RecordFate fate = RecordFate::kNotRun;
  Offset offset = 0;  ///< Valid for accepted and rejected.
  std::string reason;
};

/// Safe for several threads. Only what was folded back is ever reported as accepted.
template <LogService Log, RuntimeClock ClockT>
class ControlDesk {
 public:
  ControlDesk(Log* log, LogFollower<Log, ClockT>* follower, const ClockT& clock)
      : log_(*log), follower_(*follower), clock_(clock) {}

  /// Appends the record, again with the same id while answers are lost, and waits up to `wait`
  /// for its outcome. Blocks the calling thread.
  RecordAnswer Submit(const std::string& record_id, const Record& record,
                      std::chrono::milliseconds wait);

  /// The outcome of a record written earlier.
  RecordAnswer Ask(const std::string& record_id) const;

 private:
  static constexpr std::chrono::milliseconds kRetryPause{50};
  static constexpr std::chrono::milliseconds kFoldWait{400};

  std::optional<RecordAnswer> Settled(const std::string& record_id) const;
  std::optional<RecordAnswer> WaitSettled(const std::string& record_id, Instant until) const;

  Log& log_;
  LogFollower<Log, ClockT>& follower_;
  const ClockT& clock_;
};

template <LogService Log, RuntimeClock ClockT>
RecordAnswer ControlDesk<Log, ClockT>::Submit(const std::string& record_id, const Record& record,
                                              std::chrono::milliseconds wait) {
  const std::string payload = EncodeRecord(record);
  if (payload.size() > kMaxRecordBytes) {
    return {RecordFate::kNotRun, 0, Concat("record of ", payload.size(), " bytes is too large")};
  }
  const Instant deadline = clock_.Now() + wait;
  bool may_be_on_log = false;
  std::string trouble;
  do {
    if (const auto settled = Settled(record_id)) return *settled;
    const AppendOutcome outcome = log_.Append({{record_id, payload}});
    if (outcome.execution != Execution::kNotRun) may_be_on_log = true;
    if (!outcome.status.ok()) trouble = MessageOf(outcome.status);
    // An error that left nothing on the log is told at once; the operator decides to ask again.
    const bool busy = absl::IsResourceExhausted(outcome.status);
    if (!may_be_on_log && !busy) return {RecordFate::kNotRun, 0, trouble};
    if (busy && !may_be_on_log) {
      std::this_thread::sleep_for(kRetryPause);
      continue;
    }
    if (const auto settled = WaitSettled(record_id, std::min(deadline, clock_.Now() + kFoldWait))) {
      return *settled;
    }
    std::this_thread::sleep_for(kRetryPause);
  } while (clock_.Now() < deadline);
  if (!may_be_on_log) return {RecordFate::kNotRun, 0, trouble};
  return {RecordFate::kUnknown, 0, trouble.empty() ? "not folded back in time" : trouble};
}

template <LogService Log, RuntimeClock ClockT>
RecordAnswer ControlDesk<Log, ClockT>::Ask(const std::string& record_id) const {
  if (const auto settled = Settled(record_id)) return *settled;
  return {RecordFate::kUnknown, 0, "no record with this id was folded; it may still come"};
}

template <LogService Log, RuntimeClock ClockT>
std::optional<RecordAnswer> ControlDesk<Log, ClockT>::Settled(const std::string& record_id) const {
  return follower_.WithState([&](const FleetState& state) -> std::optional<RecordAnswer> {
    const auto outcome = state.OutcomeOf(record_id);
    if (!outcome.has_value()) return std::nullopt;
    return RecordAnswer{outcome->accepted ? RecordFate::kAccepted : RecordFate::kRejected,
                        outcome->offset, outcome->reason};
  });
}

template <LogService Log, RuntimeClock ClockT>
std::optional<RecordAnswer> ControlDesk<Log, ClockT>::WaitSettled(const std::string& record_id,
                                                                  Instant until) const {
  while (true) {
    // Read before the look, so that a record folded between the two ends the wait at once.
    const Offset seen = follower_.next_offset();
    if (auto settled = Settled(record_id)) return settled;
    const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(until - clock_.Now());
    if (left <= std::chrono::milliseconds(0)) return std::nullopt;
    follower_.WaitApplied(seen, left);
  }
}

}  // namespace wigeonlane

#endif  // WIGEONLANE_ENTRY_CONTROL_DESK_H_
