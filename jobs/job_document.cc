#include "jobs/job_document.h"

#include <chrono>
#include <cstdint>
#include <limits>
#include <nlohmann/json.hpp>
#include <string>

#include "core/document.h"
#include "core/text.h"

namespace wigeonlane {
namespace {

using std::chrono::milliseconds;

constexpr std::int64_t kMostCpuMilli = 1'000'000;
constexpr std::int64_t kMostMemoryMb = 16'000'000;
constexpr std::int64_t kMostGpus = 1'000;
constexpr std::size_t kLongestLabel = 128;
constexpr milliseconds kLongestTask = std::chrono::hours(24);
constexpr milliseconds kDefaultEstimate = std::chrono::seconds(1);

StepSpec ReadStep(DocumentReader* reader) {
  StepSpec step;
  step.count = static_cast<std::uint32_t>(reader->Integer("tasks", 1, kMostTasks, 1));
  step.need.cpu_milli = reader->Integer("cpu_milli", 0, kMostCpuMilli);
  step.need.memory_mb = reader->Integer("memory_mb", 0, kMostMemoryMb, 0);
  step.need.gpus = reader->Integer("gpus", 0, kMostGpus, 0);
  step.estimate = reader->Period("estimate", milliseconds(0), kLongestTask, kDefaultEstimate);
  step.after = reader->Indices("after", kMostSteps);
  step.checkpointing = reader->Boolean("checkpointing", false);
  step.gang = reader->Boolean("gang", false);
  step.same_rack = reader->Boolean("same_rack", false);
  step.speculative = reader->Boolean("speculative", false);
  step.long_running = reader->Boolean("long_running", false);
  step.fills = reader->Boolean("fills", false);
  step.required_label = reader->Text("required_label", kLongestLabel);
  step.preferred_rack = reader->Text("preferred_rack", kLongestLabel);
  step.most_per_runner =
      static_cast<std::uint32_t>(reader->Integer("most_per_runner", 0, kMostTasks, 0));
  step.may_be_missing =
      static_cast<std::uint32_t>(reader->Integer("may_be_missing", 0, kMostTasks, 0));
  step.image = reader->Text("image", kLongestLabel);
  step.tail_target = reader->Period("tail_target", milliseconds(0), kLongestTask, milliseconds(0));
  return step;
}

}  // namespace

absl::StatusOr<JobSpec> ParseJobDocument(std::string_view text) {
  const auto json = ParseJson(text);
  if (!json.ok()) return json.status();
  DocumentReader reader(*json, "job");
  JobSpec spec;
  spec.payload = reader.Text("payload", kLargestPayload);
  spec.times = static_cast<std::uint32_t>(reader.Integer("times", 0, kMostOccurrences, 0));
  spec.start_at =
      milliseconds(reader.Integer("start_at_ms", 0, std::numeric_limits<std::int64_t>::max(), 0));
  spec.period = reader.Period("period", milliseconds(0), kLongestTask, milliseconds(0));
  for (const nlohmann::json* item : reader.Objects("steps", kMostSteps)) {
    DocumentReader step(*item, Concat("job.steps[", spec.steps.size(), "]"));
    spec.steps.push_back(ReadStep(&step));
    if (absl::Status status = step.Finish(); !status.ok()) return status;
  }
  if (absl::Status status = reader.Finish(); !status.ok()) return status;
  if (absl::Status status = ValidateJob(spec); !status.ok()) return status;
  return spec;
}

}  // namespace wigeonlane
