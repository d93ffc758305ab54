#include "logs/job_timeline.h"

#include <absl/strings/str_format.h>

#include <algorithm>
#include <set>
#include <utility>

#include "core/text.h"
#include "logs/clock_offsets.h"

namespace wigeonlane {
namespace {

/// Shorter waits are the usual delays of the store and of the lists from runners.
constexpr std::chrono::milliseconds kMinReportedWait{200};
/// Events of the cell are included from this long before the first line of the job.
constexpr std::chrono::milliseconds kMarginBeforeJob{3'000};

constexpr std::string_view kCellEvents[] = {"cell_gained", "cell_restored", "cell_deposed",
                                            "cell_lost"};
constexpr std::string_view kStoreEvents[] = {"store_lost", "store_regained", "stopping", "started"};

template <std::size_t kSize>
bool IsOneOf(std::string_view event, const std::string_view (&names)[kSize]) {
  return std::find(std::begin(names), std::end(names), event) != std::end(names);
}

std::string DescribeEvent(const LogLine& line) {
  const auto field = [&](std::string_view name) { return line.Field(name); };
  if (line.event == "call") {
    return Concat(field("method"), ": response ", field("code"), " (", field("verdict"), ") after ",
                  field("took_ms"), " ms, configuration ", field("config"));
  }
  if (line.event == "accept") {
    return Concat("accepted into cell ", field("cell"), ", queue ", field("queue"),
                  "; stored after ", field("commit_ms"), " ms");
  }
  if (line.event == "refuse") return Concat("refused by its owner: ", field("why"));
  if (line.event == "start") {
    return Concat("start of ", field("task"), " run ", field("run"), " on ", field("runner"),
                  ", free cpu ", field("free_cpu"), ", list ", field("report_age_ms"), " ms old");
  }
  if (line.event == "run_end") {
    return Concat(field("task"), " run ", field("run"), " on ", field("runner"), ": ",
                  field("how"));
  }
  if (line.event == "free") {
    return Concat(field("task"), " will be started again: ", field("why"), " on ", field("runner"));
  }
  if (line.event == "start_answer") {
    return Concat("start of ", field("task"), " run ", field("run"), " on ", field("runner"),
                  ": response ", field("answer"));
  }
  if (line.event == "job_final") {
    return Concat(field("state"), " after ", field("age_ms"), " ms");
  }
  std::string text = line.event;
  for (const auto& [name, value] : line.fields) {
    if (name != "time" && name != "level" && name != "event") {
      AppendTo(&text, " ", name, "=", value);
    }
  }
  return text;
}

/// Returns the lines of all logs in time order, with all times on the clock of the first log.
std::vector<LogLine> MergeByTime(const std::vector<InstanceLog>& logs) {
  const auto offsets = EstimateClockOffsets(logs);
  std::vector<LogLine> lines;
  for (const InstanceLog& log : logs) {
    for (LogLine line : log.lines) {
      line.time += offsets.at(log.instance);
      lines.push_back(std::move(line));
    }
  }
  std::stable_sort(lines.begin(), lines.end(),
                   [](const LogLine& a, const LogLine& b) { return a.time < b.time; });
  return lines;
}

/// The cell of the job and the instances that have owned it.
struct CellOwners {
  std::string cell;
  std::set<std::string, std::less<>> instances;
};

/// Returns why no task of the job ran between two times, derived from the events of its cell.
std::string WaitReason(const std::vector<LogLine>& lines, const CellOwners& owners, LogTime from,
                       LogTime to) {
  std::string reason;
  std::size_t starts = 0;
  for (const LogLine& line : lines) {
    if (line.time < from || line.time > to || !owners.instances.contains(line.instance)) continue;
    if (IsOneOf(line.event, kCellEvents) && line.Field("cell") == owners.cell) {
      AppendTo(&reason, reason.empty() ? "" : ", ", line.event, " at ", line.instance);
    }
    if (line.event == "store_lost") {
      AppendTo(&reason, reason.empty() ? "" : ", ", "store lost at ", line.instance);
    }
    if (line.event == "start") ++starts;
  }
  if (!reason.empty()) return reason;
  if (starts == 0) return "its owner started no task; see the lines of its runners";
  return Concat("no free capacity, or other work had priority: the owner started ", starts,
                " other tasks");
}

void FindWaits(const std::vector<LogLine>& lines, const std::vector<const LogLine*>& job_lines,
               const CellOwners& owners, JobTimeline* timeline) {
  std::set<std::string, std::less<>> running;
  std::optional<LogTime> idle_since;
  for (const LogLine* line : job_lines) {
    if (line->event == "accept") idle_since = line->time;
    if (line->event == "start" || line->event == "adopt") {
      if (idle_since && line->time - *idle_since >= kMinReportedWait) {
        timeline->waits.push_back(
            {*idle_since, line->time, WaitReason(lines, owners, *idle_since, line->time)});
      }
      idle_since.reset();
      running.emplace(line->Field("task"));
    }
    if (line->event == "free" || line->event == "run_end") {
      running.erase(std::string(line->Field("task")));
      if (running.empty()) idle_since = line->time;
    }
    if (line->event == "job_final") idle_since.reset();
  }
}

std::string OutcomeOf(const std::vector<const LogLine*>& job_lines) {
  std::string outcome;
  std::size_t failed_runs = 0;
  for (const LogLine* line : job_lines) {
    if (line->event == "run_end" && line->Field("how") == "failed") ++failed_runs;
    if (line->event == "refuse" && outcome.empty()) {
      outcome = Concat("refused: ", line->Field("why"));
    }
    if (line->event == "accept") outcome = "accepted, not final in these logs";
    if (line->event == "job_final") {
      outcome =
          Concat(line->Field("state"), " ", line->Field("age_ms"), " ms after it was accepted");
    }
  }
  if (outcome.empty()) outcome = "no owner accepted or refused it in these logs";
  return failed_runs == 0 ? outcome : Concat(outcome, "; ", failed_runs, " runs failed");
}

}  // namespace

JobTimeline BuildJobTimeline(const std::vector<InstanceLog>& logs, std::string_view job) {
  JobTimeline timeline;
  const std::vector<LogLine> lines = MergeByTime(logs);
  std::vector<const LogLine*> job_lines;
  CellOwners owners;
  for (const LogLine& line : lines) {
    if (line.Field("job") != job) continue;
    job_lines.push_back(&line);
    if (!line.Field("cell").empty()) owners.cell = line.Field("cell");
    if (line.event != "call") owners.instances.insert(line.instance);
  }
  if (job_lines.empty()) return timeline;
  const LogTime first = job_lines.front()->time - kMarginBeforeJob;
  const LogTime last = job_lines.back()->time;
  for (const LogLine& line : lines) {
    const bool is_of_job = line.Field("job") == job;
    const bool is_in_period = line.time >= first && line.time <= last;
    const bool is_cell_event =
        IsOneOf(line.event, kCellEvents) && line.Field("cell") == owners.cell;
    const bool is_store_event =
        owners.instances.contains(line.instance) && IsOneOf(line.event, kStoreEvents);
    // The `run_end` line of a finished run has the same information.
    if (is_of_job && line.event == "free" && line.Field("why") == "done") continue;
    if (!is_of_job && !(is_in_period && (is_cell_event || is_store_event))) continue;
    timeline.events.push_back({line.time, line.instance, DescribeEvent(line)});
  }
  FindWaits(lines, job_lines, owners, &timeline);
  timeline.outcome = OutcomeOf(job_lines);
  return timeline;
}

std::string FormatTimeline(const JobTimeline& timeline) {
  std::string text;
  if (timeline.events.empty()) return "no log mentions this job\n";
  const LogTime start = timeline.events.front().time;
  const auto seconds = [&](LogTime time) {
    return std::chrono::duration<double>(time - start).count();
  };
  for (const TimelineEvent& event : timeline.events) {
    text += absl::StrFormat("%9.3f s  %-20s %s\n", seconds(event.time), event.instance, event.text);
  }
  for (const TimelineWait& wait : timeline.waits) {
    text += absl::StrFormat("waited %.3f s from %.3f s: %s\n",
                            std::chrono::duration<double>(wait.to - wait.from).count(),
                            seconds(wait.from), wait.reason);
  }
  return Concat(text, "outcome: ", timeline.outcome, "\n");
}

}  // namespace wigeonlane
