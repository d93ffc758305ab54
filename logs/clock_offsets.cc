#include "logs/clock_offsets.h"

#include <algorithm>
#include <deque>
#include <limits>
#include <utility>

namespace wigeonlane {
namespace {

using std::chrono::milliseconds;

/// Bounds of one clock less another.
struct Bounds {
  std::int64_t least = std::numeric_limits<std::int64_t>::min() / 2;
  std::int64_t most = std::numeric_limits<std::int64_t>::max() / 2;

  void Narrow(std::int64_t low, std::int64_t high) {
    // A clock that stepped gives bounds that contradict each other; the later ones count.
    if (low > most || high < least) *this = Bounds{};
    least = std::max(least, low);
    most = std::min(most, high);
  }

  std::int64_t Middle() const { return least + (most - least) / 2; }
};

struct Accepted {
  const LogLine* line = nullptr;
  std::string instance;
};

}  // namespace

std::map<std::string, milliseconds> EstimateClockOffsets(const std::vector<InstanceLog>& logs) {
  std::map<std::string, Accepted, std::less<>> accepted;
  for (const InstanceLog& log : logs) {
    for (const LogLine& line : log.lines) {
      if (line.event != "accept") continue;
      accepted.try_emplace(std::string(line.Field("job")), Accepted{&line, log.instance});
    }
  }
  std::map<std::pair<std::string, std::string>, Bounds> bounds;  // Second clock less the first.
  for (const InstanceLog& log : logs) {
    for (const LogLine& line : log.lines) {
      if (line.event != "call" || line.Field("verdict") != "accepted") continue;
      const auto owner = accepted.find(line.Field("job"));
      const auto took = line.Number("took_ms");
      if (owner == accepted.end() || !took || owner->second.instance == log.instance) continue;
      const std::int64_t apart = (owner->second.line->time - line.time).count();
      // A repeat of an accepted job is answered long after it was accepted.
      if (bounds.contains({log.instance, owner->second.instance}) && apart + *took < 0) continue;
      bounds[{log.instance, owner->second.instance}].Narrow(apart, apart + *took);
      bounds[{owner->second.instance, log.instance}].Narrow(-apart - *took, -apart);
    }
  }
  std::map<std::string, milliseconds> offsets;
  if (logs.empty()) return offsets;
  std::deque<std::string> reached{logs.front().instance};
  offsets[logs.front().instance] = milliseconds(0);
  while (!reached.empty()) {
    const std::string from = reached.front();
    reached.pop_front();
    for (const auto& [pair, bound] : bounds) {
      if (pair.first != from || offsets.contains(pair.second)) continue;
      offsets[pair.second] = offsets[from] - milliseconds(bound.Middle());
      reached.push_back(pair.second);
    }
  }
  for (const InstanceLog& log : logs) offsets.try_emplace(log.instance, 0);
  return offsets;
}

}  // namespace wigeonlane
