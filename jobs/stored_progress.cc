/// Stored form of a job's progress: a summary, and one record for each slice of tasks.
#include <algorithm>
#include <charconv>
#include <functional>
#include <utility>

#include "core/codec.h"
#include "core/text.h"
#include "jobs/job_progress.h"

namespace wigeonlane {

/// Attempts of a task that is not done. Tasks without attempts are omitted.
struct StoredAttempts {
  std::uint32_t task = 0;  ///< Counted from the first task of the slice.
  RunNumber last_run = 0;
  std::vector<RunNumber> failed_runs;
  std::string checkpoint;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(task, last_run, failed_runs, checkpoint);
  }
};

struct StoredSlice {
  std::vector<std::uint8_t> done;  ///< One bit for each task.
  std::vector<StoredAttempts> attempts;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(done, attempts);
  }
};

namespace {

/// Tasks of one record. It bounds the record to some tens of kilobytes while tasks fail and save
/// checkpoints.
constexpr std::uint32_t kTasksPerSlice = 256;
constexpr std::uint32_t kBitsPerByte = 8;
constexpr char kSeparator = '.';

void SetBit(std::vector<std::uint8_t>* bits, std::size_t index) {
  (*bits)[index / kBitsPerByte] |= static_cast<std::uint8_t>(1U << (index % kBitsPerByte));
}

bool HasBit(const std::vector<std::uint8_t>& bits, std::size_t index) {
  return index / kBitsPerByte < bits.size() &&
         (bits[index / kBitsPerByte] >> (index % kBitsPerByte) & 1U) != 0;
}

std::vector<std::uint8_t> NoBits(std::size_t count) {
  return std::vector<std::uint8_t>((count + kBitsPerByte - 1) / kBitsPerByte);
}

struct StoredSummary {
  std::uint8_t state = 0;
  bool begun = false;  ///< In records of earlier versions: a start was sent.
  std::uint32_t occurrences = 0;
  std::vector<std::uint8_t> complete;     ///< One bit for each occurrence.
  std::optional<StoredSlice> only_slice;  ///< Present if the job has no other slice.

  template <class Archive>
  void serialize(Archive& archive) {
    archive(state, begun, occurrences, complete, only_slice);
  }
};

/// The form that earlier versions stored, with a list of all tasks that were ever started.
struct UnslicedTask {
  std::uint32_t step = 0;
  std::uint32_t index = 0;
  bool done = false;
  RunNumber last_run = 0;
  std::vector<RunNumber> failed_runs;
  std::string checkpoint;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(step, index, done, last_run, failed_runs, checkpoint);
  }
};

struct UnslicedOccurrence {
  bool complete = false;
  std::vector<UnslicedTask> tasks;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(complete, tasks);
  }
};

struct UnslicedProgress {
  std::uint8_t state = 0;
  bool started = false;
  std::vector<UnslicedOccurrence> occurrences;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(state, started, occurrences);
  }
};

/// The form of a job that earlier versions stored, without its team.
struct TeamlessJobRecord {
  JobSpec spec;
  QueuePolicy policy;
  std::chrono::milliseconds accepted{0};
  QueueAddress queue;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(spec, policy, accepted, queue);
  }
};

/// The form of a job that still earlier versions stored, without the address of its queue.
struct UnaddressedJobRecord {
  JobSpec spec;
  QueuePolicy policy;
  std::chrono::milliseconds accepted{0};

  template <class Archive>
  void serialize(Archive& archive) {
    archive(spec, policy, accepted);
  }
};

bool HasAttempts(const TaskState& task) {
  return !task.failed_runs.empty() || task.last_run != 0 || !task.checkpoint.empty();
}

std::optional<std::uint32_t> ParseNumber(std::string_view text) {
  std::uint32_t number = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number);
  if (error != std::errc() || end != text.data() + text.size()) return {};
  return number;
}

absl::Status Mismatch() {
  return absl::InvalidArgumentError("stored progress does not fit the job");
}

}  // namespace

absl::StatusOr<JobRecord> DecodeJobRecord(std::string_view bytes) {
  auto record = Decode<JobRecord>(bytes);
  if (record.ok()) return record;
  auto teamless = Decode<TeamlessJobRecord>(bytes);
  if (teamless.ok()) {
    return JobRecord{std::move(teamless->spec),
                     std::move(teamless->policy),
                     teamless->accepted,
                     std::move(teamless->queue),
                     {}};
  }
  auto unaddressed = Decode<UnaddressedJobRecord>(bytes);
  if (!unaddressed.ok()) return record.status();
  return JobRecord{
      std::move(unaddressed->spec), std::move(unaddressed->policy), unaddressed->accepted, {}, {}};
}

std::string Job::SliceId::ToSuffix() const { return Concat(".", occurrence, ".", number); }

std::optional<Job::SliceId> Job::SliceId::Parse(std::string_view suffix) {
  if (suffix.empty() || suffix.front() != kSeparator) return {};
  suffix.remove_prefix(1);
  const std::size_t separator = suffix.find(kSeparator);
  if (separator == std::string_view::npos) return {};
  const auto occurrence = ParseNumber(suffix.substr(0, separator));
  const auto number = ParseNumber(suffix.substr(separator + 1));
  if (!occurrence || !number) return {};
  return SliceId{*occurrence, *number};
}

bool Job::HasOnlyOneSlice() const {
  return !spec_.timed() && tasks_per_occurrence_ <= kTasksPerSlice;
}

void Job::MarkChanged(std::uint32_t occurrence, std::uint32_t step, std::uint32_t index) {
  if (HasOnlyOneSlice()) return;
  changed_slices_.insert({occurrence, (first_task_of_step_[step] + index) / kTasksPerSlice});
}

template <typename Visit>
void Job::ForEachTask(SliceId slice, Visit visit) const {
  const std::uint32_t first = slice.number * kTasksPerSlice;
  const std::uint32_t end = std::min(first + kTasksPerSlice, tasks_per_occurrence_);
  const auto& steps = occurrences_[slice.occurrence].steps;
  for (std::uint32_t step = 0; step < steps.size(); ++step) {
    const std::uint32_t offset = first_task_of_step_[step];
    const auto count = static_cast<std::uint32_t>(steps[step].tasks.size());
    for (std::uint32_t task = std::max(first, offset); task < std::min(end, offset + count);
         ++task) {
      visit(task - first, steps[step].tasks[task - offset]);
    }
  }
}

StoredSlice Job::ToStored(SliceId slice, bool with_checkpoints) const {
  StoredSlice stored;
  stored.done = NoBits(kTasksPerSlice);
  ForEachTask(slice, [&](std::uint32_t number, const TaskState& task) {
    if (task.phase == TaskPhase::kDone) return SetBit(&stored.done, number);
    if (!HasAttempts(task)) return;
    stored.attempts.push_back({number, task.last_run, task.failed_runs,
                               with_checkpoints ? task.checkpoint : std::string()});
  });
  return stored;
}

std::string Job::EncodeSlice(SliceId slice, bool with_checkpoints) const {
  return Encode(ToStored(slice, with_checkpoints));
}

std::string Job::EncodeSummary(bool with_checkpoints) const {
  StoredSummary stored;
  stored.state = static_cast<std::uint8_t>(state_);
  stored.begun = begin_.begun();
  stored.occurrences = static_cast<std::uint32_t>(occurrences_.size());
  stored.complete = NoBits(occurrences_.size());
  for (std::size_t number = 0; number < occurrences_.size(); ++number) {
    if (occurrences_[number].complete) SetBit(&stored.complete, number);
  }
  if (HasOnlyOneSlice()) stored.only_slice = ToStored({0, 0}, with_checkpoints);
  return Encode(stored);
}

std::vector<ProgressRecord> Job::TakeChangedProgress(std::size_t max_bytes) {
  std::vector<ProgressRecord> records;
  const auto encode = [&](const auto& encode_with) {
    std::string value = encode_with(true);
    return value.size() <= max_bytes ? value : encode_with(false);
  };
  records.push_back({"", encode([&](bool checkpoints) { return EncodeSummary(checkpoints); })});
  begin_.MarkRecorded();
  for (const SliceId& slice : std::exchange(changed_slices_, {})) {
    const auto digest = slice_digests_.find(slice);
    // The summary says that all tasks of a complete occurrence are done.
    if (occurrences_[slice.occurrence].steps.empty()) {
      if (digest != slice_digests_.end()) records.push_back({slice.ToSuffix(), std::nullopt});
      continue;
    }
    std::string value = encode([&](bool checkpoints) { return EncodeSlice(slice, checkpoints); });
    const std::size_t new_digest = std::hash<std::string>()(value);
    if (digest != slice_digests_.end() && digest->second == new_digest) continue;
    slice_digests_[slice] = new_digest;
    records.push_back({slice.ToSuffix(), std::move(value)});
  }
  return records;
}

std::vector<std::string> Job::ProgressSuffixes() const {
  std::vector<std::string> suffixes{""};
  for (const auto& [slice, digest] : slice_digests_) suffixes.push_back(slice.ToSuffix());
  return suffixes;
}

absl::Status Job::RestoreProgress(std::string_view suffix, std::string_view bytes) {
  if (suffix.empty()) return RestoreSummary(bytes);
  const auto slice = SliceId::Parse(suffix);
  if (!slice || slice->occurrence >= spec_.occurrences()) return Mismatch();
  slice_digests_[*slice] = 0;  // Unlike the digest of any value, so that the next one is stored.
  auto stored = Decode<StoredSlice>(bytes);
  if (!stored.ok()) return stored.status();
  // The summary may be older than the slice.
  if (slice->occurrence >= occurrences_.size()) ResizeOccurrences(slice->occurrence + 1);
  return RestoreSlice(*slice, *stored);
}

absl::Status Job::RestoreSummary(std::string_view bytes) {
  auto stored = Decode<StoredSummary>(bytes);
  if (!stored.ok()) return stored.status();
  if (stored->state > static_cast<std::uint8_t>(JobState::kCancelled) ||
      stored->occurrences > spec_.occurrences()) {
    return Mismatch();
  }
  state_ = static_cast<JobState>(stored->state);
  if (stored->begun) MarkBegun();
  begin_.MarkRecorded();
  if (stored->occurrences > occurrences_.size()) ResizeOccurrences(stored->occurrences);
  for (std::size_t number = 0; number < stored->occurrences; ++number) {
    if (!HasBit(stored->complete, number)) continue;
    occurrences_[number].complete = true;
    if (spec_.timed()) occurrences_[number].steps.clear();
  }
  return stored->only_slice ? RestoreSlice({0, 0}, *stored->only_slice) : absl::OkStatus();
}

absl::Status Job::RestoreSlice(SliceId slice, const StoredSlice& stored) {
  if (occurrences_[slice.occurrence].steps.empty()) {
    // The occurrence has been completed since, so the record is to be removed.
    changed_slices_.insert(slice);
    return absl::OkStatus();
  }
  const std::uint32_t first = slice.number * kTasksPerSlice;
  if (slice.number > tasks_per_occurrence_ / kTasksPerSlice) return Mismatch();
  for (const StoredAttempts& attempts : stored.attempts) {
    if (first + attempts.task >= tasks_per_occurrence_) return Mismatch();
    RestoreTask(slice.occurrence, first + attempts.task, false, attempts);
  }
  for (std::uint32_t task = 0; first + task < tasks_per_occurrence_ && task < kTasksPerSlice;
       ++task) {
    if (HasBit(stored.done, task)) RestoreTask(slice.occurrence, first + task, true, {});
  }
  return absl::OkStatus();
}

void Job::RestoreTask(std::uint32_t occurrence, std::uint32_t task, bool done,
                      const StoredAttempts& attempts) {
  const auto next = std::upper_bound(first_task_of_step_.begin(), first_task_of_step_.end(), task);
  const auto step_number = static_cast<std::size_t>(next - first_task_of_step_.begin()) - 1;
  StepProgress& step = occurrences_[occurrence].steps[step_number];
  TaskState& state = step.tasks[task - first_task_of_step_[step_number]];
  // The summary may be older.
  if (done || !attempts.failed_runs.empty()) MarkBegun();
  if (!done) {
    state.last_run = attempts.last_run;
    state.failed_runs = attempts.failed_runs;
    state.checkpoint = attempts.checkpoint;
  } else if (state.phase != TaskPhase::kDone) {
    state.phase = TaskPhase::kDone;
    --step.waiting;
    ++step.done;
  }
}

absl::Status Job::RestoreUnslicedProgress(std::string_view bytes) {
  auto stored = Decode<UnslicedProgress>(bytes);
  if (!stored.ok()) return stored.status();
  if (stored->state > static_cast<std::uint8_t>(JobState::kCancelled) ||
      stored->occurrences.size() > spec_.occurrences()) {
    return Mismatch();
  }
  state_ = static_cast<JobState>(stored->state);
  if (stored->started) MarkBegun();
  begin_.MarkRecorded();
  ResizeOccurrences(stored->occurrences.size());
  for (std::uint32_t number = 0; number < occurrences_.size(); ++number) {
    const UnslicedOccurrence& from = stored->occurrences[number];
    occurrences_[number].complete = from.complete;
    if (from.complete && spec_.timed()) occurrences_[number].steps.clear();
    if (occurrences_[number].steps.empty()) continue;
    for (const UnslicedTask& task : from.tasks) {
      if (task.step >= spec_.steps.size() || task.index >= spec_.steps[task.step].count) {
        return Mismatch();
      }
      const std::uint32_t first = first_task_of_step_[task.step];
      RestoreTask(number, first + task.index, false,
                  {0, task.last_run, task.failed_runs, task.checkpoint});
      if (task.done) RestoreTask(number, first + task.index, true, {});
      MarkChanged(number, task.step, task.index);
    }
  }
  return absl::OkStatus();
}

void Job::ResizeOccurrences(std::size_t count) {
  const std::size_t old_count = occurrences_.size();
  occurrences_.resize(count);
  for (std::size_t number = old_count; number < count; ++number) {
    occurrences_[number].steps = NewSteps();
  }
}

}  // namespace wigeonlane
