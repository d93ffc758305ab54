#include "tests/cells/sim_gangs.h"

#include <chrono>

namespace wigeonlane {
namespace {

/// How long a member waits for the others (platform: GangWaitMs).
constexpr std::chrono::milliseconds kMaxWait{3'000};

}  // namespace

void SimGangs::Advance(std::vector<SimRunner>* runners, Instant now, JobOracle* oracle) {
  std::map<GangId, std::vector<Member>> present;
  for (SimRunner& runner : *runners) {
    for (const auto& [task, run] : runner.runs()) {
      if (run.gang_size == 0) continue;
      present[{{task.job, task.occurrence, task.step, 0}, run.run}].push_back({&runner, task, run});
    }
  }
  std::erase_if(gangs_, [&](const auto& gang) { return !present.contains(gang.first); });
  for (const auto& [id, members] : present) {
    Gang& gang = gangs_.try_emplace(id, Gang{now, {}}).first->second;
    const std::vector<RunResult> results = ResultsOf(&gang, members, now);
    for (std::size_t i = 0; i < results.size(); ++i) {
      members[i].runner->EndRun(members[i].task, results[i], oracle);
    }
  }
}

/// Returns the result of each member; none if the gang goes on.
std::vector<RunResult> SimGangs::ResultsOf(Gang* gang, const std::vector<Member>& members,
                                           Instant now) {
  const bool complete = members.size() == members.front().run.gang_size;
  if (!gang->ends_at && complete) gang->ends_at = now + members.front().run.duration;
  if (!gang->ends_at) {
    if (now - gang->appeared_at < kMaxWait) return {};
    return std::vector<RunResult>(members.size(), RunResult::kGangIncomplete);
  }
  if (!complete) return std::vector<RunResult>(members.size(), RunResult::kGangBroken);
  if (now < *gang->ends_at) return {};
  std::vector<RunResult> results;
  const bool fails = members.front().run.fails;
  for (const Member& member : members) {
    const bool at_fault = member.task.index == 0;
    results.push_back(!fails     ? RunResult::kDone
                      : at_fault ? RunResult::kFailed
                                 : RunResult::kGangBroken);
  }
  return results;
}

}  // namespace wigeonlane
