/// The life of one job, put together from the logs of all instances.
#ifndef WIGEONLANE_LOGS_JOB_TIMELINE_H_
#define WIGEONLANE_LOGS_JOB_TIMELINE_H_

#include <chrono>
#include <string>
#include <string_view>
#include <vector>

#include "logs/log_line.h"

namespace wigeonlane {

struct TimelineEvent {
  LogTime time{};  ///< On the clock of the first log.
  std::string instance;
  std::string text;
};

/// A time in which nothing of the job ran although it was accepted and not final.
struct TimelineWait {
  LogTime from{};
  LogTime to{};
  std::string why;
};

struct JobTimeline {
  std::vector<TimelineEvent> events;  ///< In time order.
  std::vector<TimelineWait> waits;    ///< Of 200 ms and longer.
  std::string outcome;
};

/// Collects what the logs say of `job`, with the changes of its cell's owner meanwhile. The story
/// has no events when no log knows the job.
JobTimeline BuildJobTimeline(const std::vector<InstanceLog>& logs, std::string_view job);

/// The story as text for a terminal, times relative to its first event.
std::string FormatTimeline(const JobTimeline& timeline);

}  // namespace wigeonlane

#endif  // WIGEONLANE_LOGS_JOB_TIMELINE_H_
