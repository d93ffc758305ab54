/// Follows the platform's log: one thread folds it, listeners learn what changed.
#ifndef WIGEONLANE_ENTRY_LOG_FOLLOWER_H_
#define WIGEONLANE_ENTRY_LOG_FOLLOWER_H_

#include <algorithm>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <deque>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "core/clock.h"
#include "core/logging.h"
#include "core/text.h"
#include "fleet/record.h"
#include "fleet/route_view.h"
#include "fleet/snapshot.h"
#include "fleet/state.h"
#include "platform/log_service.h"

namespace wigeonlane {

/// What a follower tells the rest of the process. Called with the state locked, in offset order,
/// so the callbacks must be short and must not call the follower again.
struct FollowerListener {
  /// After each accepted or rejected order batch.
  std::function<void(const OrderBatch&, const ClaimTable&)> on_order_batch;
  /// After changes of configuration, once for a run of records.
  std::function<void(std::shared_ptr<const RouteView>)> on_route_view;
};

/// Owner of the folded state of one process. Entries come from the log, or from peers while the
/// log is down; each is applied once, in offset order, and a lower offset is never taken.
template <LogService Log, RuntimeClock ClockT>
class LogFollower {
 public:
  /// How long one read of the log waits for new records.
  static constexpr std::chrono::milliseconds kMaxReadWait{5'000};

  LogFollower(Log* log, const ClockT& clock) : log_(*log), clock_(clock) {}
  ~LogFollower() { Stop(); }
  LogFollower(const LogFollower&) = delete;
  LogFollower& operator=(const LogFollower&) = delete;

  /// Starts the reading thread. The listener must outlive the follower's stop.
  void Start(FollowerListener listener);

  /// Ends the reading thread; an exchange under way must be cancelled by the caller first.
  void Stop();

  /// Applies entries that a peer sent. Entries already applied are skipped; a gap ends it.
  void ApplyPeerEntries(const std::vector<LogEntry>& entries);

  /// Takes a peer's whole state if it is further than the own one.
  void AdoptPeerState(FleetState state);

  /// Recent entries from `from` on, at most `max_bytes` of payload. Empty when not kept.
  std::vector<LogEntry> RecentEntries(Offset from, std::size_t max_bytes) const;

  /// Runs `use` with the state locked.
  template <typename Function>
  auto WithState(Function use) const {
    const std::lock_guard lock(mutex_);
    return use(state_);
  }

  Offset next_offset() const {
    return WithState([](const FleetState& state) { return state.next_offset(); });
  }

  /// Waits until `offset` was applied, up to `wait`. Returns whether it was.
  bool WaitUntilApplied(Offset offset, std::chrono::milliseconds wait) const;

  /// The log's offset range as of the last successful read; `end` is 0 before the first.
  Offset log_first_kept() const { return first_kept_; }
  Offset log_end() const { return log_end_; }

  /// Whether the state is fit to serve callers: it once reached the log's end, or came from a peer.
  bool has_state() const { return has_state_; }

  /// Whether the log gave no answer for longer than a healthy read takes.
  bool log_is_unresponsive() const {
    return time_since_log_response() > kMaxReadWait + kReadResponseMargin || last_read_failed_;
  }

  /// Time since the log last answered a read; counts from the start before the first.
  Duration time_since_log_response() const { return clock_.Now() - last_log_response_at_.load(); }

 private:
  static constexpr std::size_t kMaxEntriesPerRead = 2000;
  static constexpr std::chrono::milliseconds kNoReadWait{0};
  static constexpr std::chrono::milliseconds kMinRetryDelay{20};
  static constexpr std::chrono::milliseconds kMaxRetryDelay{500};
  static constexpr std::size_t kMaxRecentEntries = 20'000;
  static constexpr Duration kReadResponseMargin = std::chrono::milliseconds(500);

  void Run();
  absl::Status ReadPage();
  absl::Status LoadSnapshot();
  void ApplyEntries(const std::vector<LogEntry>& entries);
  void ApplyEntryLocked(const LogEntry& entry, bool* config_changed);
  void WaitBeforeRetry(std::chrono::milliseconds delay);
  void AdoptState(FleetState state);

  Log& log_;
  const ClockT& clock_;
  FollowerListener listener_;
  mutable std::mutex mutex_;
  mutable std::condition_variable entries_applied_;
  FleetState state_;
  std::deque<LogEntry> recent_entries_;
  std::atomic<Offset> first_kept_{0};
  std::atomic<Offset> log_end_{0};
  std::atomic<bool> has_state_{false};
  std::atomic<bool> last_read_failed_{false};
  std::atomic<Instant> last_log_response_at_{Instant{}};
  std::mutex stop_mutex_;
  std::condition_variable stop_requested_;
  bool stopping_ = false;
  std::thread thread_;
};

template <LogService Log, RuntimeClock ClockT>
void LogFollower<Log, ClockT>::Start(FollowerListener listener) {
  listener_ = std::move(listener);
  last_log_response_at_ = clock_.Now();
  thread_ = std::thread([this] { Run(); });
}

template <LogService Log, RuntimeClock ClockT>
void LogFollower<Log, ClockT>::Stop() {
  {
    const std::lock_guard lock(stop_mutex_);
    stopping_ = true;
  }
  stop_requested_.notify_all();
  if (thread_.joinable()) thread_.join();
}

template <LogService Log, RuntimeClock ClockT>
void LogFollower<Log, ClockT>::Run() {
  std::chrono::milliseconds retry_delay = kMinRetryDelay;
  while (true) {
    {
      const std::lock_guard lock(stop_mutex_);
      if (stopping_) return;
    }
    const absl::Status status = ReadPage();
    last_read_failed_ = !status.ok();
    if (status.ok()) {
      retry_delay = kMinRetryDelay;
      continue;
    }
    if (retry_delay == kMinRetryDelay) {
      LogWarning("log-unreachable", {{"why", MessageOf(status)}});
    }
    WaitBeforeRetry(retry_delay);
    retry_delay = std::min(retry_delay * 2, kMaxRetryDelay);
  }
}

template <LogService Log, RuntimeClock ClockT>
absl::Status LogFollower<Log, ClockT>::ReadPage() {
  const Offset from = next_offset();
  const absl::StatusOr<LogPage> page =
      log_.Read(from, kMaxEntriesPerRead, has_state_ ? kMaxReadWait : kNoReadWait);
  if (absl::IsOutOfRange(page.status())) return LoadSnapshot();
  if (!page.ok()) return page.status();
  last_log_response_at_ = clock_.Now();
  first_kept_ = page->first_kept;
  log_end_ = page->end;
  ApplyEntries(page->entries);
  if (next_offset() >= page->end) has_state_ = true;
  return absl::OkStatus();
}

template <LogService Log, RuntimeClock ClockT>
absl::Status LogFollower<Log, ClockT>::LoadSnapshot() {
  constexpr Offset kBeyondAnyRecord = static_cast<Offset>(INT64_MAX);
  const auto range = log_.Read(kBeyondAnyRecord, 1, std::chrono::milliseconds(0));
  if (!range.ok()) return range.status();
  SnapshotAssembler assembler;
  std::optional<FleetState> latest_state;
  Offset from = range->first_kept;
  while (from < range->end) {
    const auto page = log_.Read(from, kMaxEntriesPerRead, std::chrono::milliseconds(0));
    if (!page.ok()) return page.status();
    if (page->entries.empty()) break;
    for (const LogEntry& entry : page->entries) {
      const absl::StatusOr<Record> record = DecodeRecord(entry.payload);
      const auto* chunk = record.ok() ? std::get_if<SnapshotChunk>(&*record) : nullptr;
      if (chunk == nullptr || chunk->covers < range->first_kept) continue;
      if (auto state = assembler.AddChunk(*chunk)) latest_state = std::move(state);
    }
    from = page->entries.back().offset + 1;
  }
  if (!latest_state.has_value()) {
    return absl::FailedPreconditionError(
        Concat("log trimmed below ", range->first_kept, " and no whole snapshot is on it"));
  }
  LogInfo("snapshot-loaded", {{"covers", std::to_string(latest_state->next_offset())}});
  AdoptState(*std::move(latest_state));
  return absl::OkStatus();
}

template <LogService Log, RuntimeClock ClockT>
void LogFollower<Log, ClockT>::AdoptState(FleetState state) {
  const std::lock_guard lock(mutex_);
  if (state.next_offset() <= state_.next_offset()) return;
  state_ = std::move(state);
  recent_entries_.clear();
  if (listener_.on_route_view) listener_.on_route_view(MakeRouteView(state_));
  entries_applied_.notify_all();
}

template <LogService Log, RuntimeClock ClockT>
void LogFollower<Log, ClockT>::AdoptPeerState(FleetState state) {
  AdoptState(std::move(state));
  has_state_ = true;
}

template <LogService Log, RuntimeClock ClockT>
void LogFollower<Log, ClockT>::ApplyPeerEntries(const std::vector<LogEntry>& entries) {
  ApplyEntries(entries);
}

template <LogService Log, RuntimeClock ClockT>
void LogFollower<Log, ClockT>::ApplyEntries(const std::vector<LogEntry>& entries) {
  if (entries.empty()) return;
  const std::lock_guard lock(mutex_);
  bool config_changed = false;
  for (const LogEntry& entry : entries) {
    if (entry.offset > state_.next_offset()) break;
    if (entry.offset == state_.next_offset()) ApplyEntryLocked(entry, &config_changed);
  }
  if (config_changed && listener_.on_route_view) listener_.on_route_view(MakeRouteView(state_));
  entries_applied_.notify_all();
}

template <LogService Log, RuntimeClock ClockT>
void LogFollower<Log, ClockT>::ApplyEntryLocked(const LogEntry& entry, bool* config_changed) {
  const Offset old_config_offset = state_.config_offset();
  const bool first_config = state_.documents().empty();
  const absl::Status outcome = state_.Apply(entry);
  recent_entries_.push_back(entry);
  if (recent_entries_.size() > kMaxRecentEntries) recent_entries_.pop_front();
  if (state_.config_offset() != old_config_offset || first_config) *config_changed = true;
  const absl::StatusOr<Record> record = DecodeRecord(entry.payload);
  if (!record.ok()) {
    LogWarning("record-unreadable",
               {{"offset", std::to_string(entry.offset)}, {"why", MessageOf(record.status())}});
    return;
  }
  if (const auto* batch = std::get_if<OrderBatch>(&*record)) {
    if (listener_.on_order_batch) listener_.on_order_batch(*batch, state_.claims());
    return;
  }
  LogDecision("fold", {{"offset", std::to_string(entry.offset)},
                       {"type", std::string(TypeOf(*record))},
                       {"record", entry.record_id},
                       {"accepted", outcome.ok() ? "yes" : "no"},
                       {"why", outcome.ok() ? "rules hold" : MessageOf(outcome)}});
}

template <LogService Log, RuntimeClock ClockT>
std::vector<LogEntry> LogFollower<Log, ClockT>::RecentEntries(Offset from,
                                                              std::size_t max_bytes) const {
  const std::lock_guard lock(mutex_);
  std::vector<LogEntry> entries;
  if (recent_entries_.empty() || from < recent_entries_.front().offset) return entries;
  std::size_t bytes = 0;
  for (std::size_t i = from - recent_entries_.front().offset; i < recent_entries_.size(); ++i) {
    bytes += recent_entries_[i].payload.size();
    if (bytes > max_bytes && !entries.empty()) break;
    entries.push_back(recent_entries_[i]);
  }
  return entries;
}

template <LogService Log, RuntimeClock ClockT>
bool LogFollower<Log, ClockT>::WaitUntilApplied(Offset offset,
                                                std::chrono::milliseconds wait) const {
  std::unique_lock lock(mutex_);
  return entries_applied_.wait_for(lock, wait, [&] { return state_.next_offset() > offset; });
}

template <LogService Log, RuntimeClock ClockT>
void LogFollower<Log, ClockT>::WaitBeforeRetry(std::chrono::milliseconds delay) {
  std::unique_lock lock(stop_mutex_);
  stop_requested_.wait_for(lock, delay, [this] { return stopping_; });
}

}  // namespace wigeonlane

#endif  // WIGEONLANE_ENTRY_LOG_FOLLOWER_H_
