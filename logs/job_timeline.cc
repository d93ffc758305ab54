#include "logs/job_timeline.h"

#include <absl/strings/str_format.h>

#include <algorithm>
#include <set>
#include <utility>

#include "core/text.h"
#include "logs/clock_offsets.h"

namespace wigeonlane {
namespace {

/// Shorter waits are those of the store and the lists.
constexpr std::chrono::milliseconds kLeastWait{200};
/// How much longer than the job the life of its cell is looked at, for events just before it.
constexpr std::chrono::milliseconds kMargin{3'000};

constexpr std::string_view kCellEvents[] = {"cell_gained", "cell_restored", "cell_deposed",
                                            "cell_lost"};
constexpr std::string_view kStoreEvents[] = {"store_lost", "store_regained", "stopping", "started"};

template <std::size_t kSize>
bool IsOneOf(std::string_view event, const std::string_view (&names)[kSize]) {
  return std::find(std::begin(names), std::end(names), event) != std::end(names);
}

std::string Described(const LogLine& line) {
  const auto field = [&](std::string_view name) { return line.Field(name); };
  if (line.event == "call") {
    return Concat(field("method"), " answered ", field("code"), " (", field("verdict"), ") after ",
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
    return Concat(field("task"), " is to start again: ", field("why"), " on ", field("runner"));
  }
  if (line.event == "start_answer") {
    return Concat("start of ", field("task"), " run ", field("run"), " on ", field("runner"),
                  " was answered: ", field("answer"));
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

/// All lines with times on one clock.
std::vector<LogLine> Merged(const std::vector<InstanceLog>& logs) {
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

/// The job's cell and the instances that have owned it.
struct CellOwners {
  std::string cell;
  std::set<std::string, std::less<>> instances;
};

/// Why nothing of the job ran between two times, by what happened to its cell meanwhile.
std::string ReasonOf(const std::vector<LogLine>& lines, const CellOwners& owners, LogTime from,
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
  if (starts == 0) return "its owner started no task; look at its runners' lines";
  return Concat("no room or not its turn: its owner started ", starts, " other tasks");
}

void FindWaits(const std::vector<LogLine>& lines, const std::vector<const LogLine*>& own,
               const CellOwners& owners, JobTimeline* timeline) {
  std::set<std::string, std::less<>> running;
  std::optional<LogTime> idle_since;
  for (const LogLine* line : own) {
    if (line->event == "accept") idle_since = line->time;
    if (line->event == "start" || line->event == "adopt") {
      if (idle_since && line->time - *idle_since >= kLeastWait) {
        timeline->waits.push_back(
            {*idle_since, line->time, ReasonOf(lines, owners, *idle_since, line->time)});
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

std::string OutcomeOf(const std::vector<const LogLine*>& own) {
  std::string outcome;
  std::size_t failed = 0;
  for (const LogLine* line : own) {
    if (line->event == "run_end" && line->Field("how") == "failed") ++failed;
    if (line->event == "refuse" && outcome.empty()) {
      outcome = Concat("refused: ", line->Field("why"));
    }
    if (line->event == "accept") outcome = "accepted, not final in these logs";
    if (line->event == "job_final") {
      outcome =
          Concat(line->Field("state"), " ", line->Field("age_ms"), " ms after it was accepted");
    }
  }
  if (outcome.empty()) outcome = "no owner decided on it in these logs";
  return failed == 0 ? outcome : Concat(outcome, "; ", failed, " runs failed");
}

}  // namespace

JobTimeline BuildJobTimeline(const std::vector<InstanceLog>& logs, std::string_view job) {
  JobTimeline timeline;
  const std::vector<LogLine> lines = Merged(logs);
  std::vector<const LogLine*> own;
  CellOwners owners;
  for (const LogLine& line : lines) {
    if (line.Field("job") != job) continue;
    own.push_back(&line);
    if (!line.Field("cell").empty()) owners.cell = line.Field("cell");
    if (line.event != "call") owners.instances.insert(line.instance);
  }
  if (own.empty()) return timeline;
  const LogTime first = own.front()->time - kMargin;
  const LogTime last = own.back()->time;
  for (const LogLine& line : lines) {
    const bool mine = line.Field("job") == job;
    const bool near = line.time >= first && line.time <= last;
    const bool of_cell = IsOneOf(line.event, kCellEvents) && line.Field("cell") == owners.cell;
    const bool of_owner =
        owners.instances.contains(line.instance) && IsOneOf(line.event, kStoreEvents);
    if (mine && line.event == "free" && line.Field("why") == "done") continue;  // Its end says so.
    if (!mine && !(near && (of_cell || of_owner))) continue;
    timeline.events.push_back({line.time, line.instance, Described(line)});
  }
  FindWaits(lines, own, owners, &timeline);
  timeline.outcome = OutcomeOf(own);
  return timeline;
}

std::string FormatTimeline(const JobTimeline& timeline) {
  std::string text;
  if (timeline.events.empty()) return "no log knows this job\n";
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
                            seconds(wait.from), wait.why);
  }
  return Concat(text, "outcome: ", timeline.outcome, "\n");
}

}  // namespace wigeonlane
