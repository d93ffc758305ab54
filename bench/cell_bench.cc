/// Time of the decisions of one cell's owner by the number of runners and of waiting tasks.
///
/// Arguments: runners, waiting tasks. Every runner is full; one task ends, which a look reports,
/// and the owner starts the next in its place.
#include <benchmark/benchmark.h>

#include <cstdint>
#include <cstdio>
#include <string>

#include "tests/cells/scripted_cell.h"

namespace wigeonlane {
namespace {

constexpr std::int64_t kTaskCpu = 4'500;
constexpr std::uint32_t kTasksOfJob = 8;
constexpr std::uint32_t kTasksOfRunner = 7;

class LoadedCell : private ScriptedCell {
 public:
  LoadedCell(std::int64_t runners, std::int64_t waiting) {
    Begin(static_cast<std::size_t>(runners), {kTaskCpu * kTasksOfRunner, 65'536, 0});
    Pass(std::chrono::milliseconds(100));
    const auto tasks = runners * kTasksOfRunner + waiting;
    for (std::int64_t i = 0; i < tasks; i += kTasksOfJob) SubmitJob();
    Pass(std::chrono::milliseconds(400));
  }

  void SubmitJob() {
    char id[JobId::kLength + 1];
    std::snprintf(id, sizeof(id), "%016llx", static_cast<unsigned long long>(++last_job_));
    StepSpec step;
    step.count = kTasksOfJob;
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

  /// One run of the next runner ends, its runner says so, and the cell decides.
  void EndOne() {
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
  std::int64_t ends = 0;
  for (auto _ : state) {
    cell.EndOne();
    // As many tasks come as end, so that the backlog stays what it is.
    if (++ends % kTasksOfJob == 0) cell.SubmitJob();
  }
}
BENCHMARK(EndAndStart)
    ->ArgNames({"runners", "waiting"})
    ->ArgsProduct({{10, 100, 1'000}, {10, 1'000, 10'000}})
    ->Unit(benchmark::kMicrosecond);

}  // namespace
}  // namespace wigeonlane
