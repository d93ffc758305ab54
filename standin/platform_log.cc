#include "standin/platform_log.h"

#include <algorithm>

namespace wigeonlane {

PlatformLog::PlatformLog(double appends_per_second, std::size_t keep_records)
    : appends_per_second_(appends_per_second),
      keep_records_(keep_records),
      tokens_(appends_per_second),
      refilled_(clock_.Now()) {}

bool PlatformLog::TakeToken() {
  const Instant now = clock_.Now();
  const std::chrono::duration<double> elapsed = now - refilled_;
  refilled_ = now;
  tokens_ = std::min(appends_per_second_, tokens_ + elapsed.count() * appends_per_second_);
  if (tokens_ < 1.0) return false;
  tokens_ -= 1.0;
  return true;
}

absl::StatusOr<Offset> PlatformLog::Append(const std::vector<NewRecord>& records) {
  const std::lock_guard lock(mutex_);
  if (!TakeToken()) return absl::ResourceExhaustedError("too many appends a second");
  ++appends_;
  const Offset at = End();
  const auto stamp =
      std::chrono::duration_cast<LogTime>(std::chrono::system_clock::now().time_since_epoch());
  for (const NewRecord& record : records) {
    entries_.push_back({End(), stamp, record.record_id, record.payload});
  }
  while (entries_.size() > keep_records_) {
    entries_.pop_front();
    ++first_;
  }
  grown_.notify_all();
  return at;
}

absl::StatusOr<LogPage> PlatformLog::Read(Offset from, std::size_t most,
                                          std::chrono::milliseconds wait) {
  std::unique_lock lock(mutex_);
  grown_.wait_for(lock, wait, [&] { return End() > from; });
  if (from < first_) return absl::OutOfRangeError("trimmed");
  LogPage page{first_, End(), {}};
  for (Offset offset = from; offset < End() && page.entries.size() < most; ++offset) {
    page.entries.push_back(entries_[offset - first_]);
  }
  return page;
}

void PlatformLog::TrimTo(Offset first) {
  const std::lock_guard lock(mutex_);
  while (first_ < first && !entries_.empty()) {
    entries_.pop_front();
    ++first_;
  }
}

std::size_t PlatformLog::appends() const {
  const std::lock_guard lock(mutex_);
  return appends_;
}

}  // namespace wigeonlane
