#include "jobs/job.h"

#include "core/text.h"

namespace wigeonlane {
namespace {

absl::Status StepError(std::size_t step, std::string_view reason) {
  return absl::InvalidArgumentError(Concat("step ", step, ": ", reason));
}

absl::Status ValidateStep(const StepSpec& spec, std::size_t step) {
  if (spec.count == 0 || spec.count > kMaxTasks) {
    return StepError(step, Concat("count must be 1 to ", kMaxTasks));
  }
  const Resources& need = spec.need;
  if (need.cpu_milli < 0 || need.memory_mb < 0 || need.gpus < 0) {
    return StepError(step, "a resource is negative");
  }
  if (spec.estimate.count() < 0 || spec.tail_target.count() < 0) {
    return StepError(step, "a time is negative");
  }
  for (const std::uint32_t earlier : spec.after) {
    if (earlier >= step) return StepError(step, "it comes after a step that is not an earlier one");
  }
  return absl::OkStatus();
}

}  // namespace

Resources& Resources::operator+=(const Resources& other) {
  cpu_milli += other.cpu_milli;
  memory_mb += other.memory_mb;
  gpus += other.gpus;
  return *this;
}

Resources Multiple(const Resources& load, std::uint32_t count) {
  return {load.cpu_milli * count, load.memory_mb * count, load.gpus * count};
}

Resources& Resources::operator-=(const Resources& other) {
  cpu_milli -= other.cpu_milli;
  memory_mb -= other.memory_mb;
  gpus -= other.gpus;
  return *this;
}

Resources StepSpec::Load() const {
  Resources load = need;
  if (best_effort) load.cpu_milli = 0;
  return load;
}

absl::Status ValidateJob(const JobSpec& spec) {
  if (spec.payload.size() > kMaxPayloadBytes) {
    return absl::InvalidArgumentError(
        Concat("payload has ", spec.payload.size(), " bytes; at most ", kMaxPayloadBytes));
  }
  if (spec.steps.empty() || spec.steps.size() > kMaxSteps) {
    return absl::InvalidArgumentError(Concat("a job has 1 to ", kMaxSteps, " steps"));
  }
  std::uint64_t tasks = 0;
  for (std::size_t step = 0; step < spec.steps.size(); ++step) {
    if (absl::Status status = ValidateStep(spec.steps[step], step); !status.ok()) return status;
    tasks += spec.steps[step].count;
  }
  if (tasks > kMaxTasks) {
    return absl::InvalidArgumentError(Concat("a job has at most ", kMaxTasks, " tasks"));
  }
  if (spec.times > kMaxOccurrences || spec.period.count() < 0) {
    return absl::InvalidArgumentError("occurrences or their period are out of range");
  }
  return absl::OkStatus();
}

}  // namespace wigeonlane
