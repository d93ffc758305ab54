#include "logs/job_timeline.h"

#include <absl/strings/str_format.h>

#include <algorithm>
#include <map>
#include <optional>
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
/// Lines that an instance dropped up to this long after the last line of the job may be on the job.
constexpr std::chrono::milliseconds kMarginAfterJob{3'000};

constexpr std::string_view kCellEvents[] = {"cell_gained", "cell_restored", "cell_deposed",
                                            "cell_lost"};
constexpr std::string_view kStoreEvents[] = {"store_lost", "store_regained", "stopping", "started"};

template <std::size_t kSize>
bool IsOneOf(std::string_view event, const std::string_view (&names)[kSize]) {
  return std::find(std::begin(names), std::end(names), event) != std::end(names);
}

/// Names of instances by the address at which their peers reach them.
using InstanceNames = std::map<std::string, std::string, std::less<>>;

InstanceNames FindInstanceNames(const std::vector<InstanceLog>& logs) {
  InstanceNames names;
  for (const InstanceLog& log : logs) {
    for (const LogLine& line : log.lines) {
      if (line.event != "started" || line.Field("peers").empty()) continue;
      names[std::string(line.Field("peers"))] = log.instance;
    }
  }
  return names;
}

/// Returns the name of the instance that decided a `call`, or its address when no log names it.
std::string_view OwnerOf(const LogLine& line, const InstanceNames& names) {
  const auto found = names.find(line.Field("owner"));
  if (found == names.end()) return line.Field("owner");
  return found->second;
}

std::string DescribeEvent(const LogLine& line, const InstanceNames& names) {
  const auto field = [&](std::string_view name) { return line.Field(name); };
  // Logs of earlier versions lack some fields.
  const auto optional = [&](std::string_view before, std::string_view name,
                            std::string_view after = "") {
    return field(name).empty() ? "" : Concat(before, field(name), after);
  };
  const std::string term =
      Concat(optional(", token ", "token"), optional(", renewed ", "renewed_ms", " ms before"));
  if (line.event == "call") {
    const std::string owner =
        field("owner").empty() || field("owner") == "none"
            ? ""
            : Concat(", decided by ", OwnerOf(line, names), optional(" for cell ", "cell"));
    return Concat(field("method"), ": response ", field("code"), " (", field("verdict"), ") after ",
                  field("took_ms"), " ms", owner, ", configuration ", field("config"),
                  optional(", survey ", "survey"), optional(", request ", "request"));
  }
  if (line.event == "cancel") {
    return Concat("cancel reached its owner", optional(", job was ", "state"), ", cell ",
                  field("cell"), term);
  }
  if (line.event == "accept") {
    return Concat("accepted into cell ", field("cell"), ", queue ", field("queue"),
                  "; stored after ", field("commit_ms"), " ms", term);
  }
  if (line.event == "accept_cancelled") {
    return Concat("submitted after its cancel: stored as cancelled, cell ", field("cell"), term);
  }
  if (line.event == "refuse") return Concat("refused by its owner: ", field("why"));
  if (line.event == "start") {
    return Concat("start of ", field("task"), " run ", field("run"), " on ", field("runner"),
                  ", free cpu ", field("free_cpu"), ", list ", field("report_age_ms"), " ms old",
                  optional(", cell ", "cell"), term);
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
    return Concat(field("state"), " after ", field("age_ms"), " ms", term);
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
    if (line->event == "accept_cancelled") outcome = "cancelled before it was submitted";
    if (line->event == "job_final") {
      outcome =
          Concat(line->Field("state"), " ", line->Field("age_ms"), " ms after it was accepted");
    }
  }
  if (outcome.empty()) outcome = "no owner accepted or refused it in these logs";
  return failed_runs == 0 ? outcome : Concat(outcome, "; ", failed_runs, " runs failed");
}

/// Returns the job of a request with that name, or `id` itself when no log mentions such a request.
std::string JobOf(const std::vector<LogLine>& lines, std::string_view id) {
  for (const LogLine& line : lines) {
    if (line.event == "call" && line.Field("request") == id) return std::string(line.Field("job"));
  }
  return std::string(id);
}

/// Whether an instance paused or dropped lines in the period of the job.
bool IsGapOf(const LogLine& line, LogTime first, LogTime last) {
  if (line.event == "process_paused") return line.time >= first && line.time <= last;
  if (line.event != "log_lines_dropped" || line.time < first) return false;
  return line.time - std::chrono::milliseconds(line.Number("period_ms").value_or(0)) <=
         last + kMarginAfterJob;
}

}  // namespace

JobTimeline BuildJobTimeline(const std::vector<InstanceLog>& logs, std::string_view id) {
  JobTimeline timeline;
  const std::vector<LogLine> lines = MergeByTime(logs);
  const std::string job = JobOf(lines, id);
  std::vector<const LogLine*> job_lines;
  CellOwners owners;
  const InstanceNames names = FindInstanceNames(logs);
  std::set<std::string, std::less<>> involved;
  for (const LogLine& line : lines) {
    if (line.Field("job") != job) continue;
    job_lines.push_back(&line);
    involved.insert(line.instance);
    involved.emplace(OwnerOf(line, names));
    if (!line.Field("cell").empty()) owners.cell = line.Field("cell");
    if (line.event != "call") owners.instances.insert(line.instance);
  }
  if (job_lines.empty()) return timeline;
  const LogTime first = job_lines.front()->time - kMarginBeforeJob;
  const LogTime last = job_lines.back()->time;
  std::int64_t dropped_lines = 0;
  for (const LogLine& line : lines) {
    const bool is_of_job = line.Field("job") == job;
    const bool is_in_period = line.time >= first && line.time <= last;
    const bool is_cell_event =
        IsOneOf(line.event, kCellEvents) && line.Field("cell") == owners.cell;
    const bool is_store_event =
        owners.instances.contains(line.instance) && IsOneOf(line.event, kStoreEvents);
    const bool is_gap = involved.contains(line.instance) && IsGapOf(line, first, last);
    if (is_gap) dropped_lines += line.Number("count").value_or(0);
    // The `run_end` line of a finished run has the same information.
    if (is_of_job && line.event == "free" && line.Field("why") == "done") continue;
    if (!is_of_job && !is_gap && !(is_in_period && (is_cell_event || is_store_event))) continue;
    timeline.events.push_back({line.time, line.instance, DescribeEvent(line, names)});
  }
  FindWaits(lines, job_lines, owners, &timeline);
  timeline.outcome = OutcomeOf(job_lines);
  if (dropped_lines > 0) {
    AppendTo(&timeline.outcome, "; ", dropped_lines,
             " lines of these instances were dropped and may be on this job");
  }
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
