/// Benchmark of one cell's decisions by the number of runners and of waiting tasks.
///
/// Arguments: runners, waiting tasks. Every runner is fully used. One task ends, the next
/// poll of its runner reports this, and the cell's owner starts a waiting task in its place.
#include <benchmark/benchmark.h>

#include <cstdint>
#include <cstdio>
#include <string>

#include "tests/cells/scripted_cell.h"

namespace wigeonlane {
namespace {

constexpr std::int64_t kTaskCpu = 4'500;
constexpr std::uint32_t kTasksPerJob = 8;
constexpr std::uint32_t kTasksPerRunner = 7;

/// Cell whose runners are fully used, with further tasks waiting.
class LoadedCell : private ScriptedCell {
 public:
  LoadedCell(std::int64_t runners, std::int64_t waiting) {
    Begin(static_cast<std::size_t>(runners), {kTaskCpu * kTasksPerRunner, 65'536, 0});
    AdvanceTime(std::chrono::milliseconds(100));
    const auto tasks = runners * kTasksPerRunner + waiting;
    for (std::int64_t i = 0; i < tasks; i += kTasksPerJob) SubmitJob();
    AdvanceTime(std::chrono::milliseconds(400));
  }

  void SubmitJob() {
    char id[JobId::kLength + 1];
    std::snprintf(id, sizeof(id), "%016llx", static_cast<unsigned long long>(++last_job_));
    StepSpec step;
    step.count = kTasksPerJob;
    step.need = {kTaskCpu, 1'000, 0};
    step.estimate = std::chrono::milliseconds(800);
    JobRecord record;
    record.spec.steps = {step};
    record.policy.name = "queue";
    record.policy.service = kService;
    record.policy.stretch = 1.6;
    record.policy.target_latency = std::chrono::milliseconds(600);
    cell_->Submit(last_job_, *JobId::Parse(id), record, Time());
  }

  /// Finishes a run of the next runner that has one and hands the runner's report to the cell.
  void FinishNextRun() {
    for (;;) {
      const std::string runner = RunnerName(next_runner_);
      next_runner_ = (next_runner_ + 1) % running_.size();
      auto& runs = running_[runner];
      if (runs.empty()) continue;
      const ReportedRun run = runs.front();
      runs.erase(runs.begin());
      results_[runner].push_back({++last_end_[runner], run.task, run.run, RunResult::kDone, ""});
      Report(runner);
      return;
    }
  }

 private:
  std::uint64_t last_job_ = 0;
  std::size_t next_runner_ = 0;
};

void EndAndStart(benchmark::State& state) {
  LoadedCell cell(state.range(0), state.range(1));
  std::int64_t finished_runs = 0;
  for (auto _ : state) {
    cell.FinishNextRun();
    // As many tasks arrive as end, so that the number of waiting tasks stays constant.
    if (++finished_runs % kTasksPerJob == 0) cell.SubmitJob();
  }
}
BENCHMARK(EndAndStart)
    ->ArgNames({"runners", "waiting"})
    ->ArgsProduct({{10, 100, 1'000}, {10, 1'000, 10'000}})
    ->Unit(benchmark::kMicrosecond);

}  // namespace
}  // namespace wigeonlane
