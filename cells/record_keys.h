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
/// Runners on which the owner may have started tasks.
inline constexpr std::string_view kRunnerRegistryKey = "roster";

/// How long leases may last yet: on all runners, by an owner that handed the cell over in good
/// order; on those that it cannot hear, by any other.
inline constexpr std::string_view kHandoverKey = "handover";

/// The accepted job, written once.
inline std::string JobKey(const JobId& id) { return Concat("j", id.text()); }
/// How far the job is, rewritten with each end that counts.
inline std::string ProgressKey(const JobId& id) { return Concat("p", id.text()); }

}  // namespace wigeonlane

#endif  // WIGEONLANE_CELLS_RECORD_KEYS_H_
