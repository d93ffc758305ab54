/// Test fixture: a scripted cell with the teams "red" and "blue".
#ifndef WIGEONLANE_TESTS_CELLS_TEAM_CELL_H_
#define WIGEONLANE_TESTS_CELLS_TEAM_CELL_H_

#include <algorithm>
#include <array>
#include <catch2/catch.hpp>
#include <chrono>
#include <cstdint>
#include <cstdio>
#include <map>
#include <string>

#include "tests/cells/scripted_cell.h"

namespace wigeonlane {

inline constexpr double kHighRate = 1'000;  ///< In jobs per second; not reached.

inline JobId NumberedId(std::uint64_t number) {
  std::array<char, JobId::kLength + 1> text{};
  std::snprintf(text.data(), text.size(), "%016llx", static_cast<unsigned long long>(number));
  return *JobId::Parse(text.data());
}

/// Terms with a cap and a limit in thousandths of a core; other resources are not limited.
inline TeamTerms CpuTerms(std::int64_t cap, std::int64_t limit) {
  return {kHighRate, {cap, 0, 0}, {limit, kUnlimited, kUnlimited}};
}

/// Terms with a rate in jobs per second and without a cap.
inline TeamTerms RateTerms(double rate) {
  TeamTerms terms;
  terms.weight = rate;
  return terms;
}

class CellTeamsTest : protected ScriptedCell {
 protected:
  static constexpr Resources kCapacity{8'000, 16'000, 4};
  static constexpr std::chrono::milliseconds kStartUp{300};
  /// Long enough for a submitted job to be stored and its tasks to start.
  static constexpr std::chrono::milliseconds kReaction{300};

  void BeginWith(std::size_t runners, const std::map<std::string, TeamTerms>& teams) {
    Begin(runners, kCapacity);
    cell_->SetTeams(teams, now_);
    AdvanceTime(kStartUp);
  }

  /// Replaces the terms of the team "red". The team "blue" has no cap.
  void SetRed(const TeamTerms& red) {
    cell_->SetTeams({{"red", red}, {"blue", RateTerms(kHighRate)}}, now_);
    AdvanceTime(kReaction);
  }

  static StepSpec Tasks(std::uint32_t count, const Resources& need = {1'000, 1'000, 0}) {
    StepSpec step;
    step.count = count;
    step.need = need;
    step.estimate = std::chrono::milliseconds(1'000);
    return step;
  }

  static StepSpec Gang(std::uint32_t count, const Resources& need = {1'000, 1'000, 0}) {
    StepSpec step = Tasks(count, need);
    step.gang = true;
    return step;
  }

  /// Submits a job; its number is that of the call and of the id.
  CallNumber SubmitFor(const std::string& team, const StepSpec& step,
                       std::uint32_t queue_priority = 0) {
    JobRecord record;
    record.team = team;
    record.spec.steps = {step};
    record.policy.service = kService;
    record.policy.priority = queue_priority;
    record.policy.target_latency = std::chrono::seconds(30);
    const CallNumber job = ++last_job_;
    cell_->Submit(job, NumberedId(job), record, Time());
    return job;
  }

  CallNumber SubmitAndWait(const std::string& team, const StepSpec& step) {
    const CallNumber job = SubmitFor(team, step);
    AdvanceTime(kReaction);
    return job;
  }

  std::int64_t StartsOf(CallNumber job) const {
    return std::count_if(starts_.begin(), starts_.end(), [&](const StartCommand& start) {
      return start.task.job == NumberedId(job);
    });
  }

  std::int64_t RunsOn(const std::string& runner) {
    return static_cast<std::int64_t>(running_[runner].size());
  }

  TeamUse UseOf(const std::string& team) const {
    const auto uses = cell_->TeamUses();
    REQUIRE(uses.contains(team));
    return uses.at(team);
  }

  /// Ends the oldest runs of all runners together until so many have ended.
  void EndRuns(std::size_t count) {
    for (auto& [runner, runs] : running_) {
      for (; count > 0 && !runs.empty(); --count) EndOldest(runner);
    }
    AdvanceTime(kReaction);
  }

  CallNumber last_job_ = 0;
};

}  // namespace wigeonlane

#endif  // WIGEONLANE_TESTS_CELLS_TEAM_CELL_H_
