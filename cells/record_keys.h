/// Keys of a cell's records in its partition of the jobs topic.
#ifndef WIGEONLANE_CELLS_RECORD_KEYS_H_
#define WIGEONLANE_CELLS_RECORD_KEYS_H_

#include <string>
#include <string_view>

#include "core/text.h"
#include "jobs/job_id.h"

namespace wigeonlane {

inline constexpr char kJobPrefix = 'j';
inline constexpr char kProgressPrefix = 's';
/// Progress as one record with a list of all started tasks; written by earlier versions.
inline constexpr char kUnslicedProgressPrefix = 'p';
/// A runner on which the owner may have started tasks.
inline constexpr char kRunnerPrefix = 'R';
/// The list of these runners in one record; written by earlier versions.
inline constexpr std::string_view kRunnerRegistryKey = "roster";

/// How long leases by commands to earlier incarnations of a runner may last; see `StrayLeases`. The
/// keys are lower than those of the runner records, which rely on these records.
inline constexpr char kStrayLeasePrefix = 'L';

/// How long leases on runners may still last. An owner that hands the cell over in an orderly way
/// writes it for all runners; any other owner writes it for the runners that are unresponsive.
inline constexpr std::string_view kHandoverKey = "handover";

/// An id that was cancelled before a submission of it arrived; see `CancelledIds`.
inline constexpr char kCancelledIdPrefix = 'x';

/// The key of an accepted job, which is written once.
inline std::string JobKey(const JobId& id) { return Concat("j", id.text()); }
/// The key of a record of a job's progress, which is rewritten after each run result that changes
/// it. The record without suffix has the lowest key.
inline std::string ProgressKey(const JobId& id, std::string_view suffix = "") {
  return Concat("s", id.text(), suffix);
}
inline std::string CancelledIdKey(const JobId& id) { return Concat("x", id.text()); }
inline std::string UnslicedProgressKey(const JobId& id) { return Concat("p", id.text()); }
inline std::string StrayLeaseKey(const std::string& runner_id) { return Concat("L", runner_id); }
inline std::string RunnerRecordKey(const std::string& runner_id) { return Concat("R", runner_id); }

}  // namespace wigeonlane

#endif  // WIGEONLANE_CELLS_RECORD_KEYS_H_
