#include "standin/platform_log.h"

#include <algorithm>

namespace wigeonlane {

PlatformLog::PlatformLog(double appends_per_second, std::size_t max_records)
    : appends_per_second_(appends_per_second),
      max_records_(max_records),
      tokens_(appends_per_second),
      refilled_at_(clock_.Now()) {}

bool PlatformLog::TakeAppendToken() {
  const Instant now = clock_.Now();
  const std::chrono::duration<double> elapsed = now - refilled_at_;
  refilled_at_ = now;
  tokens_ = std::min(appends_per_second_, tokens_ + elapsed.count() * appends_per_second_);
  if (tokens_ < 1.0) return false;
  tokens_ -= 1.0;
  return true;
}

absl::StatusOr<Offset> PlatformLog::Append(const std::vector<NewRecord>& records) {
  const std::lock_guard lock(mutex_);
  if (!TakeAppendToken()) return absl::ResourceExhaustedError("too many appends a second");
  ++appends_;
  const Offset first_appended = EndOffset();
  const auto stamp =
      std::chrono::duration_cast<LogTime>(std::chrono::system_clock::now().time_since_epoch());
  for (const NewRecord& record : records) {
    entries_.push_back({EndOffset(), stamp, record.record_id, record.payload});
  }
  while (entries_.size() > max_records_) {
    entries_.pop_front();
    ++first_offset_;
  }
  records_appended_.notify_all();
  return first_appended;
}

absl::StatusOr<LogPage> PlatformLog::Read(Offset from, std::size_t max_entries,
                                          std::chrono::milliseconds wait) {
  std::unique_lock lock(mutex_);
  records_appended_.wait_for(lock, wait, [&] { return EndOffset() > from; });
  if (from < first_offset_) return absl::OutOfRangeError("trimmed");
  LogPage page{first_offset_, EndOffset(), {}};
  for (Offset offset = from; offset < EndOffset() && page.entries.size() < max_entries; ++offset) {
    page.entries.push_back(entries_[offset - first_offset_]);
  }
  return page;
}

void PlatformLog::TrimTo(Offset first) {
  const std::lock_guard lock(mutex_);
  while (first_offset_ < first && !entries_.empty()) {
    entries_.pop_front();
    ++first_offset_;
  }
}

std::size_t PlatformLog::appends() const {
  const std::lock_guard lock(mutex_);
  return appends_;
}

}  // namespace wigeonlane
