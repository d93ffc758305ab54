/// Timeline of one job, merged from the logs of all instances.
#ifndef WIGEONLANE_LOGS_JOB_TIMELINE_H_
#define WIGEONLANE_LOGS_JOB_TIMELINE_H_

#include <chrono>
#include <string>
#include <string_view>
#include <vector>

#include "logs/log_line.h"

namespace wigeonlane {

/// One event of the job, or of its cell or owner.
struct TimelineEvent {
  LogTime time{};  ///< On the clock of the first log.
  std::string instance;
  std::string text;
};

/// A period in which no task of the job ran although the job was accepted and not final.
struct TimelineWait {
  LogTime from{};
  LogTime to{};
  std::string reason;
};

/// Events, waits and outcome of one job.
struct JobTimeline {
  std::vector<TimelineEvent> events;  ///< In time order.
  std::vector<TimelineWait> waits;    ///< Periods of 200 ms or longer.
  std::string outcome;
};

/// Collects the log lines of a job, named by its id or by the name that a caller gave to one of its
/// requests (field `request` of `call`), and from the same period the changes of ownership of its
/// cell and the pauses and dropped lines of the instances involved. The timeline has no events when
/// no log mentions the job.
JobTimeline BuildJobTimeline(const std::vector<InstanceLog>& logs, std::string_view id);

/// Formats the timeline for a terminal, with times relative to the first event.
std::string FormatTimeline(const JobTimeline& timeline);

}  // namespace wigeonlane

#endif  // WIGEONLANE_LOGS_JOB_TIMELINE_H_
