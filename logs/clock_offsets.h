/// Estimates the differences between the clocks of instances from jobs that several logs mention.
#ifndef WIGEONLANE_LOGS_CLOCK_OFFSETS_H_
#define WIGEONLANE_LOGS_CLOCK_OFFSETS_H_

#include <chrono>
#include <map>
#include <string>
#include <vector>

#include "logs/log_line.h"

namespace wigeonlane {

/// Returns for each instance the offset that converts its times to the clock of the first log. When
/// an instance forwards a caller's request, the owner accepts the job between the arrival of the
/// request and the response, which bounds the difference of the two clocks. The estimate is the
/// middle of these bounds. The offset is 0 for instances that share no job with the first one,
/// directly or through other instances.
std::map<std::string, std::chrono::milliseconds> EstimateClockOffsets(
    const std::vector<InstanceLog>& logs);

}  // namespace wigeonlane

#endif  // WIGEONLANE_LOGS_CLOCK_OFFSETS_H_
