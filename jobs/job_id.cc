#include "jobs/job_id.h"

#include <algorithm>
#include <charconv>

#include "core/text.h"

namespace wigeonlane {
namespace {

bool IsHexDigit(char c) {
  return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f') || (c >= 'A' && c <= 'F');
}

/// Takes ".NUMBER" off the front of `text`; false when it does not begin so.
bool ParseNumberSuffix(std::string_view* text, std::uint32_t* number) {
  if (!text->starts_with('.')) return false;
  const char* begin = text->data() + 1;
  const char* end = text->data() + text->size();
  const auto [rest, error] = std::from_chars(begin, end, *number);
  if (error != std::errc() || rest == begin) return false;
  text->remove_prefix(static_cast<std::size_t>(rest - text->data()));
  return true;
}

}  // namespace

std::optional<JobId> JobId::Parse(std::string_view text) {
  if (text.size() != kLength || !std::all_of(text.begin(), text.end(), IsHexDigit)) return {};
  JobId id;
  std::copy(text.begin(), text.end(), id.digits_.begin());
  return id;
}

std::string TaskId::ToString() const {
  return Concat(job.text(), ".", occurrence, ".", step, ".", index);
}

std::optional<TaskId> TaskId::Parse(std::string_view text) {
  const auto job = JobId::Parse(text.substr(0, JobId::kLength));
  if (!job) return {};
  TaskId id{*job};
  text.remove_prefix(JobId::kLength);
  const bool parsed = ParseNumberSuffix(&text, &id.occurrence) &&
                      ParseNumberSuffix(&text, &id.step) && ParseNumberSuffix(&text, &id.index);
  if (!parsed || !text.empty()) return {};
  return id;
}

}  // namespace wigeonlane
