/// Decides which command to a machine is sent next, and when.
///
/// Load pattern: a maintenance wave and a demand peak of the queues together request more commands
/// per second than the platform accepts. A command that waits for seconds is out of date when it is
/// sent. Commands therefore expire after a short wait; the plans of the next round request those
/// that are still needed again.
#ifndef WIGEONLANE_SCHEDULING_COMMAND_WINDOW_H_
#define WIGEONLANE_SCHEDULING_COMMAND_WINDOW_H_

#include <algorithm>
#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>

#include "core/clock.h"

namespace wigeonlane {

enum class CommandKind : std::uint8_t { kMaintenance, kMove };

struct CommandWindowOptions {
  std::size_t max_in_flight = 1;  ///< Maximum number of commands without a response.
  /// Rate that the platform accepts from all instances together (CloudApi.DutyPerS).
  double commands_per_second = 64;
  /// Shares of that rate for steady use and for a burst. Their sum stays below 1, so that the rate
  /// is not exceeded in any second.
  double sustained_share = 0.85;
  double burst_share = 0.1;
  /// Three rounds of 100 ms: a command that no round has requested again by then is not needed.
  std::chrono::milliseconds max_wait{300};
};

/// Queue of commands, at most one for each machine, and the set of machines with a command in
/// flight. Commands of the two kinds are sent alternately, so that neither a maintenance wave nor a
/// demand peak delays the other.
template <typename Command>
class CommandWindow {
 public:
  explicit CommandWindow(CommandWindowOptions options) : options_(options) {}

  /// Enqueues a command. A queued command of the same kind for the machine is replaced and keeps
  /// its position. Does nothing while a command to the machine is in flight.
  void Enqueue(CommandKind kind, const std::string& machine, Command command, Instant now) {
    if (in_flight_.contains(machine)) return;
    const auto existing = queued_.find(machine);
    if (existing != queued_.end() && existing->second.kind == kind) {
      existing->second.requested_at = now;
      existing->second.command = std::move(command);
      return;
    }
    if (existing != queued_.end()) Remove(existing);
    QueueOf(kind).emplace(++last_position_, machine);
    queued_.emplace(machine, Queued{kind, last_position_, now, std::move(command)});
  }

  /// Removes and returns the command to send now and marks its machine as having one in flight.
  /// Returns nothing while the window or the rate allows no command. Drops expired commands.
  std::optional<Command> Dequeue(Instant now) {
    RefillAllowance(now);
    while (in_flight_.size() < options_.max_in_flight && allowance_ >= 1 && !queued_.empty()) {
      if (QueueOf(next_kind_).empty()) next_kind_ = Other(next_kind_);
      const auto next = queued_.find(QueueOf(next_kind_).begin()->second);
      const bool expired = now - next->second.requested_at > options_.max_wait;
      std::string machine = next->first;
      Command command = std::move(next->second.command);
      Remove(next);
      if (expired) continue;
      next_kind_ = Other(next_kind_);
      in_flight_.insert(std::move(machine));
      allowance_ -= 1;
      return command;
    }
    return {};
  }

  /// Marks the command to the machine as answered or timed out.
  void Complete(const std::string& machine) { in_flight_.erase(machine); }

  /// Returns the allowance of a dequeued command that was not sent.
  void ReturnUnsent(const std::string& machine) {
    if (in_flight_.erase(machine) > 0) allowance_ = std::min(allowance_ + 1, Burst());
  }

  void ClearQueue() {
    queued_.clear();
    for (auto& queue : queues_) queue.clear();
  }

  /// Returns the time until the platform's rate allows the next command; nothing if no command is
  /// queued, or if the window is full and the next command has to wait for a response.
  std::optional<Duration> DelayUntilNext(Instant now) const {
    if (queued_.empty() || in_flight_.size() >= options_.max_in_flight) return {};
    const std::chrono::duration<double> refill(std::max(1 - allowance_, 0.0) / Rate());
    const Duration delay = std::chrono::ceil<Duration>(refill);
    return std::max(refilled_at_.value_or(now) + delay - now, Duration::zero());
  }

  std::size_t in_flight() const { return in_flight_.size(); }
  std::size_t queued() const { return queued_.size(); }

 private:
  struct Queued {
    CommandKind kind;
    std::uint64_t position;  ///< Key in the queue of its kind.
    Instant requested_at;
    Command command;
  };
  using QueuedMap = std::map<std::string, Queued>;  ///< By machine.

  static constexpr CommandKind Other(CommandKind kind) {
    return kind == CommandKind::kMaintenance ? CommandKind::kMove : CommandKind::kMaintenance;
  }

  std::map<std::uint64_t, std::string>& QueueOf(CommandKind kind) {
    return queues_[static_cast<std::size_t>(kind)];
  }

  void Remove(typename QueuedMap::iterator queued) {
    QueueOf(queued->second.kind).erase(queued->second.position);
    queued_.erase(queued);
  }

  void RefillAllowance(Instant now) {
    const std::chrono::duration<double> elapsed = now - refilled_at_.value_or(Instant{});
    allowance_ = std::min(allowance_ + elapsed.count() * Rate(), Burst());
    refilled_at_ = now;
  }

  double Rate() const { return options_.commands_per_second * options_.sustained_share; }
  double Burst() const {
    return std::max(options_.commands_per_second * options_.burst_share, 1.0);
  }

  const CommandWindowOptions options_;
  QueuedMap queued_;
  std::array<std::map<std::uint64_t, std::string>, 2> queues_;  ///< By kind: position to machine.
  std::set<std::string> in_flight_;                             ///< Machines.
  CommandKind next_kind_ = CommandKind::kMaintenance;
  std::uint64_t last_position_ = 0;
  std::optional<Instant> refilled_at_;
  double allowance_ = 0;  ///< Commands that the rate allows now.
};

}  // namespace wigeonlane

#endif  // WIGEONLANE_SCHEDULING_COMMAND_WINDOW_H_
