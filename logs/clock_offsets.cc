#include "logs/clock_offsets.h"

#include <algorithm>
#include <deque>
#include <limits>
#include <utility>

namespace wigeonlane {
namespace {

using std::chrono::milliseconds;

/// Bounds of the difference between two clocks, in milliseconds.
struct Bounds {
  std::int64_t min = std::numeric_limits<std::int64_t>::min() / 2;
  std::int64_t max = std::numeric_limits<std::int64_t>::max() / 2;

  void Narrow(std::int64_t low, std::int64_t high) {
    // The bounds contradict each other when a clock was stepped. Then only the new ones are used.
    if (low > max || high < min) *this = Bounds{};
    min = std::max(min, low);
    max = std::min(max, high);
  }

  std::int64_t Middle() const { return min + (max - min) / 2; }
};

/// The line that records the acceptance of a job, and the instance that wrote it.
struct Acceptance {
  const LogLine* line = nullptr;
  std::string instance;
};

}  // namespace

std::map<std::string, milliseconds> EstimateClockOffsets(const std::vector<InstanceLog>& logs) {
  std::map<std::string, Acceptance, std::less<>> acceptances;
  for (const InstanceLog& log : logs) {
    for (const LogLine& line : log.lines) {
      if (line.event != "accept") continue;
      acceptances.try_emplace(std::string(line.Field("job")), Acceptance{&line, log.instance});
    }
  }
  // For each pair of instances, the bounds of the second clock minus the first.
  std::map<std::pair<std::string, std::string>, Bounds> bounds;
  for (const InstanceLog& log : logs) {
    for (const LogLine& line : log.lines) {
      if (line.event != "call" || line.Field("verdict") != "accepted") continue;
      const auto acceptance = acceptances.find(line.Field("job"));
      const auto call_ms = line.Number("took_ms");
      if (acceptance == acceptances.end() || !call_ms ||
          acceptance->second.instance == log.instance) {
        continue;
      }
      const std::int64_t accept_minus_response_ms =
          (acceptance->second.line->time - line.time).count();
      // A call that repeats a job gets its response long after the owner accepted the job, so it
      // gives no valid bounds.
      if (bounds.contains({log.instance, acceptance->second.instance}) &&
          accept_minus_response_ms + *call_ms < 0) {
        continue;
      }
      bounds[{log.instance, acceptance->second.instance}].Narrow(
          accept_minus_response_ms, accept_minus_response_ms + *call_ms);
      bounds[{acceptance->second.instance, log.instance}].Narrow(
          -accept_minus_response_ms - *call_ms, -accept_minus_response_ms);
    }
  }
  std::map<std::string, milliseconds> offsets;
  if (logs.empty()) return offsets;
  std::deque<std::string> pending{logs.front().instance};
  offsets[logs.front().instance] = milliseconds(0);
  while (!pending.empty()) {
    const std::string instance = pending.front();
    pending.pop_front();
    for (const auto& [pair, bound] : bounds) {
      if (pair.first != instance || offsets.contains(pair.second)) continue;
      offsets[pair.second] = offsets[instance] - milliseconds(bound.Middle());
      pending.push_back(pair.second);
    }
  }
  for (const InstanceLog& log : logs) offsets.try_emplace(log.instance, 0);
  return offsets;
}

}  // namespace wigeonlane
