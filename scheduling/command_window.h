/// Which order to a machine is sent next, and when.
///
/// Load pattern: a maintenance wave and a turn of the queues ask together for more orders a second
/// than the platform takes. Orders that wait in line for seconds are out of date when they are
/// sent, so none waits for long: the plans of the next round ask again for what still matters.
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
  std::size_t max_in_flight = 1;  ///< Orders that are open at once.
  /// What the platform takes from all instances together (CloudApi.DutyPerS).
  double commands_per_second = 64;
  /// Shares of it that are used at a steady pace and in a burst; together they stay below the
  /// platform's figure in every second.
  double sustained_share = 0.85;
  double burst_share = 0.1;
  /// Three rounds of 100 ms: what no round asks for any more is not wanted.
  std::chrono::milliseconds max_wait{300};
};

/// Orders that wait, at most one a machine, and the machines whose orders are open. The kinds take
/// turns, so that neither a wave nor a turn of the queues keeps the other from its machines.
template <typename Order>
class CommandWindow {
 public:
  explicit CommandWindow(CommandWindowOptions options) : options_(options) {}

  /// Puts an order in line; one that waits for the machine keeps its place and is replaced. Does
  /// nothing while the last order to the machine is open.
  void Ask(CommandKind kind, const std::string& machine, Order order, Instant now) {
    if (open_.contains(machine)) return;
    const auto found = waiting_.find(machine);
    if (found != waiting_.end() && found->second.kind == kind) {
      found->second.asked_at = now;
      found->second.order = std::move(order);
      return;
    }
    if (found != waiting_.end()) Drop(found);
    Line(kind).emplace(++last_number_, machine);
    waiting_.emplace(machine, Waiting{kind, last_number_, now, std::move(order)});
  }

  /// The order to send now, whose machine has an open order from then on; nothing while there is no
  /// place.
  std::optional<Order> Dequeue(Instant now) {
    Refill(now);
    while (open_.size() < options_.max_in_flight && allowance_ >= 1 && !waiting_.empty()) {
      if (Line(next_kind_).empty()) next_kind_ = Other(next_kind_);
      const auto next = waiting_.find(Line(next_kind_).begin()->second);
      const bool outdated = now - next->second.asked_at > options_.max_wait;
      std::string machine = next->first;
      Order order = std::move(next->second.order);
      Drop(next);
      if (outdated) continue;
      next_kind_ = Other(next_kind_);
      open_.insert(std::move(machine));
      allowance_ -= 1;
      return order;
    }
    return {};
  }

  /// The order was answered, or its time is over.
  void Close(const std::string& machine) { open_.erase(machine); }

  /// The order that was taken was not sent: it used nothing of the platform's rate.
  void ReturnUnsent(const std::string& machine) {
    if (open_.erase(machine) > 0) allowance_ = std::min(allowance_ + 1, Burst());
  }

  void ClearQueue() {
    waiting_.clear();
    for (auto& line : lines_) line.clear();
  }

  /// How long until the platform's rate allows the next order; nothing when no order waits, or when
  /// the next place comes with an answer.
  std::optional<Duration> DelayUntilNext(Instant now) const {
    if (waiting_.empty() || open_.size() >= options_.max_in_flight) return {};
    const std::chrono::duration<double> missing(std::max(1 - allowance_, 0.0) / Rate());
    const Duration wait = std::chrono::ceil<Duration>(missing);
    return std::max(refilled_at_.value_or(now) + wait - now, Duration::zero());
  }

  std::size_t open() const { return open_.size(); }
  std::size_t waiting() const { return waiting_.size(); }

 private:
  struct Waiting {
    CommandKind kind;
    std::uint64_t number;  ///< Place in line.
    Instant asked_at;
    Order order;
  };
  using WaitingMap = std::map<std::string, Waiting>;  ///< By machine.

  static constexpr CommandKind Other(CommandKind kind) {
    return kind == CommandKind::kMaintenance ? CommandKind::kMove : CommandKind::kMaintenance;
  }

  std::map<std::uint64_t, std::string>& Line(CommandKind kind) {
    return lines_[static_cast<std::size_t>(kind)];
  }

  void Drop(typename WaitingMap::iterator waiting) {
    Line(waiting->second.kind).erase(waiting->second.number);
    waiting_.erase(waiting);
  }

  void Refill(Instant now) {
    const std::chrono::duration<double> since = now - refilled_at_.value_or(Instant{});
    allowance_ = std::min(allowance_ + since.count() * Rate(), Burst());
    refilled_at_ = now;
  }

  double Rate() const { return options_.commands_per_second * options_.sustained_share; }
  double Burst() const {
    return std::max(options_.commands_per_second * options_.burst_share, 1.0);
  }

  const CommandWindowOptions options_;
  WaitingMap waiting_;
  std::array<std::map<std::uint64_t, std::string>, 2> lines_;  ///< Machines by place in line.
  std::set<std::string> open_;
  CommandKind next_kind_ = CommandKind::kMaintenance;
  std::uint64_t last_number_ = 0;
  std::optional<Instant> refilled_at_;
  double allowance_ = 0;  ///< Orders that may be sent now.
};

}  // namespace wigeonlane

#endif  // WIGEONLANE_SCHEDULING_COMMAND_WINDOW_H_
