/// Keys of a cell's records in its partition of the jobs topic.
#ifndef WIGEONLANE_CELLS_RECORD_KEYS_H_
#define WIGEONLANE_CELLS_RECORD_KEYS_H_

#include <string>
#include <string_view>

#include "core/text.h"
#include "jobs/job_id.h"

namespace wigeonlane {

inline constexpr char kJobPrefix = 'j';
inline constexpr char kProgressPrefix = 'p';
/// The runners on which the owner may have started tasks.
inline constexpr std::string_view kRunnerRegistryKey = "roster";

/// How long leases on runners may still last. An owner that hands the cell over in an orderly way
/// writes it for all runners; any other owner writes it for the runners that are unresponsive.
inline constexpr std::string_view kHandoverKey = "handover";

/// The key of an accepted job, which is written once.
inline std::string JobKey(const JobId& id) { return Concat("j", id.text()); }
/// The key of a job's progress, which is rewritten after each run result that changes it.
inline std::string ProgressKey(const JobId& id) { return Concat("p", id.text()); }

}  // namespace wigeonlane

#endif  // WIGEONLANE_CELLS_RECORD_KEYS_H_
