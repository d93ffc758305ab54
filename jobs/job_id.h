/// Identifiers of jobs and of their tasks.
#ifndef WIGEONLANE_JOBS_JOB_ID_H_
#define WIGEONLANE_JOBS_JOB_ID_H_

#include <array>
#include <compare>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace wigeonlane {

/// A job's id, chosen by the caller: 16 hexadecimal digits, whose case is preserved.
class JobId {
 public:
  static constexpr std::size_t kLength = 16;

  JobId() { digits_.fill('0'); }

  /// Returns nothing if `text` is not 16 hexadecimal digits.
  static std::optional<JobId> Parse(std::string_view text);

  std::string_view text() const { return {digits_.data(), digits_.size()}; }

  auto operator<=>(const JobId&) const = default;

  template <class Archive>
  void serialize(Archive& archive) {
    for (char& digit : digits_) archive(digit);
  }

 private:
  std::array<char, kLength> digits_;
};

/// Identifies a task: job, occurrence of the job, step, and index within the step.
struct TaskId {
  JobId job;
  std::uint32_t occurrence = 0;
  std::uint32_t step = 0;
  std::uint32_t index = 0;

  auto operator<=>(const TaskId&) const = default;

  /// Returns "ID.OCCURRENCE.STEP.INDEX".
  std::string ToString() const;

  /// Returns nothing if `text` does not have the format of `ToString`.
  static std::optional<TaskId> Parse(std::string_view text);
};

}  // namespace wigeonlane

template <>
struct std::hash<wigeonlane::JobId> {
  std::size_t operator()(const wigeonlane::JobId& id) const noexcept {
    return std::hash<std::string_view>()(id.text());
  }
};

template <>
struct std::hash<wigeonlane::TaskId> {
  std::size_t operator()(const wigeonlane::TaskId& id) const noexcept {
    // The digits of job ids are random; occurrences, steps and indexes are small numbers.
    return std::hash<wigeonlane::JobId>()(id.job) ^
           (std::size_t{id.occurrence} << 40U ^ std::size_t{id.step} << 20U ^ id.index);
  }
};

#endif  // WIGEONLANE_JOBS_JOB_ID_H_
