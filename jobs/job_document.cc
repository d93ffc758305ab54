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

constexpr std::int64_t kMaxCpuMilli = 1'000'000;
constexpr std::int64_t kMaxMemoryMb = 16'000'000;
constexpr std::int64_t kMaxGpus = 1'000;
constexpr std::size_t kMaxLabelBytes = 128;
constexpr milliseconds kMaxDuration = std::chrono::hours(24);
constexpr milliseconds kDefaultEstimate = std::chrono::seconds(1);

StepSpec ReadStep(DocumentReader* reader) {
  StepSpec step;
  step.count = static_cast<std::uint32_t>(reader->Integer("tasks", 1, kMaxTasks, 1));
  step.need.cpu_milli = reader->Integer("cpu_milli", 0, kMaxCpuMilli);
  step.need.memory_mb = reader->Integer("memory_mb", 0, kMaxMemoryMb, 0);
  step.need.gpus = reader->Integer("gpus", 0, kMaxGpus, 0);
  step.estimate = reader->Period("estimate", milliseconds(0), kMaxDuration, kDefaultEstimate);
  step.after = reader->Indices("after", kMaxSteps);
  step.checkpointing = reader->Boolean("checkpointing", false);
  step.gang = reader->Boolean("gang", false);
  step.same_rack = reader->Boolean("same_rack", false);
  step.speculative = reader->Boolean("speculative", false);
  step.long_running = reader->Boolean("long_running", false);
  step.best_effort = reader->Boolean("fills", false);
  step.required_label = reader->Text("required_label", kMaxLabelBytes);
  step.preferred_rack = reader->Text("preferred_rack", kMaxLabelBytes);
  step.max_per_runner =
      static_cast<std::uint32_t>(reader->Integer("most_per_runner", 0, kMaxTasks, 0));
  step.max_unavailable =
      static_cast<std::uint32_t>(reader->Integer("may_be_missing", 0, kMaxTasks, 0));
  step.image = reader->Text("image", kMaxLabelBytes);
  step.tail_target = reader->Period("tail_target", milliseconds(0), kMaxDuration, milliseconds(0));
  return step;
}

}  // namespace

absl::StatusOr<JobSpec> ParseJobDocument(std::string_view text) {
  const auto json = ParseJson(text);
  if (!json.ok()) return json.status();
  DocumentReader reader(*json, "job");
  JobSpec spec;
  spec.payload = reader.Text("payload", kMaxPayloadBytes);
  spec.times = static_cast<std::uint32_t>(reader.Integer("times", 0, kMaxOccurrences, 0));
  spec.start_at =
      milliseconds(reader.Integer("start_at_ms", 0, std::numeric_limits<std::int64_t>::max(), 0));
  spec.period = reader.Period("period", milliseconds(0), kMaxDuration, milliseconds(0));
  for (const nlohmann::json* item : reader.Objects("steps", kMaxSteps)) {
    DocumentReader step(*item, Concat("job.steps[", spec.steps.size(), "]"));
    spec.steps.push_back(ReadStep(&step));
    if (absl::Status status = step.Finish(); !status.ok()) return status;
  }
  if (absl::Status status = reader.Finish(); !status.ok()) return status;
  if (absl::Status status = ValidateJob(spec); !status.ok()) return status;
  return spec;
}

}  // namespace wigeonlane
