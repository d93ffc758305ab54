/// How far apart the clocks of instances are, by what their logs say of the same jobs.
#ifndef WIGEONLANE_LOGS_CLOCK_OFFSETS_H_
#define WIGEONLANE_LOGS_CLOCK_OFFSETS_H_

#include <chrono>
#include <map>
#include <string>
#include <vector>

#include "logs/log_line.h"

namespace wigeonlane {

/// What to add to an instance's times to compare them with those of the first log. An owner accepts
/// a job between the arrival of the caller's request at another instance and its answer, which
/// bounds the difference of their clocks; the middle of all bounds is taken. Instances that share
/// no job with the others, directly or through a third, keep their own time.
std::map<std::string, std::chrono::milliseconds> EstimateClockOffsets(
    const std::vector<InstanceLog>& logs);

}  // namespace wigeonlane

#endif  // WIGEONLANE_LOGS_CLOCK_OFFSETS_H_
