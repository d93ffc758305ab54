/// Tracks which cells this instance owns, and who owns the others, through membership of the
/// store's group.
#ifndef WIGEONLANE_CELLS_OWNERSHIP_H_
#define WIGEONLANE_CELLS_OWNERSHIP_H_

#include <algorithm>
#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <chrono>
#include <cstdint>
#include <functional>
#include <iterator>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "cells/job_store.h"
#include "cells/owner_need.h"
#include "core/clock.h"
#include "core/logging.h"
#include "core/text.h"

namespace wigeonlane {

/// Callbacks for changes of ownership.
struct OwnershipEvents {
  /// This instance owns the cell under `token` from now on.
  std::function<void(CellNumber, TermToken)> gained;
  /// This instance lost the cell. The store assigns it to another member once `released` is called,
  /// and at the latest when the membership ends or after `kMaxReleaseTime` of a reachable store.
  /// The cell is not gained again before that.
  std::function<void(CellNumber, std::function<void()> released)> lost;
  /// The store confirmed a renewal that was sent at `sent`.
  std::function<void(Instant sent)> renewed;
  /// This instance joins the group and may own cells from now on.
  std::function<void()> joining = [] {};
};

struct OwnershipOptions {
  GroupMember member;
  std::uint32_t cells = 0;                  ///< Partitions of the topic.
  MilliCores capacity = kMinOwnerCapacity;  ///< Processor share of this instance.
};

/// Renews the membership in the group, reports gained and lost cells, and keeps the list of owners.
template <GroupService Store, RuntimeClock Clock>
class Ownership {
 public:
  Ownership(asio::io_context* io, Store* store, const Clock* clock, OwnershipOptions options,
            OwnershipEvents events)
      : store_(store),
        clock_(clock),
        options_(std::move(options)),
        events_(std::move(events)),
        timer_(*io) {}

  /// Joins the group and renews the membership until `Leave`. A previous process of this instance
  /// may still be listed as the member, so `Start` leaves the group first: the terms of this
  /// process then have a generation of their own.
  void Start() {
    if (options_.capacity >= kMinOwnerCapacity) {
      events_.joining();
      return Rejoin();
    }
    standby_ = true;
    StandByFor(kInitialStandbyDelay);
  }

  /// Renews at once, to see changes and to let the store reassign released cells.
  void RenewNow() {
    if (leaving_ || standby_) return;
    renew_again_ = renewing_;
    if (!renewing_) Renew();
  }

  /// Renews at once unless a renewal is in progress. While the store is unreachable, renewals are
  /// frequent anyway.
  void RenewEarly() {
    if (!leaving_ && !standby_ && !renewing_ && reachable_) Renew();
  }

  /// Leaves the group. The store assigns its cells to the other members at once.
  void Leave(std::function<void()> done) {
    leaving_ = true;
    timer_.cancel();
    store_->Leave(options_.member.group, options_.member.member,
                  [done = std::move(done)](const absl::Status& status) {
                    if (!status.ok()) LogWarning("leave_failed", {{"why", MessageOf(status)}});
                    done();
                  });
  }

  /// Removes `member`, whose process has ended according to its machine, so that the store
  /// reassigns its cells at once instead of after its time to live. If the process is alive after
  /// all, fencing rejects its commands as after any other change of owner. `evicted` is called once
  /// the store has removed the member.
  void Evict(const std::string& member, std::function<void()> evicted) {
    if (leaving_ || member == options_.member.member) return;
    const auto [last, first] = evicted_at_.try_emplace(member, clock_->Now());
    if (!first && clock_->Now() - last->second < options_.member.ttl) return;
    last->second = clock_->Now();
    LogDecision("evict", {{"member", member}, {"generation", Concat(generation_)}});
    store_->Leave(
        options_.member.group, member,
        [this, member, evicted = std::move(evicted)](const absl::Status& status) {
          if (!status.ok()) {
            return LogWarning("evict_failed", {{"member", member}, {"why", MessageOf(status)}});
          }
          RenewNow();
          evicted();
        });
  }

  /// The member that owns a cell according to the last list of owners.
  std::optional<std::string> OwnerOf(CellNumber cell) const {
    const auto found = owners_.find(cell);
    return found == owners_.end() ? std::nullopt : std::optional(found->second);
  }

  const std::map<CellNumber, std::string>& owners() const { return owners_; }

  /// Reads the list of owners again, unless a read is in progress.
  void RefreshOwners() {
    if (std::exchange(refreshing_, true)) return;
    store_->Owners(options_.member.group,
                   [this](absl::StatusOr<std::vector<PartitionOwner>> owners) {
                     refreshing_ = false;
                     if (owners.ok()) UpdateOwners(*owners);
                   });
  }

  /// Whether this instance stands by and leaves the cells to larger instances.
  bool standby() const { return standby_; }

  /// The term under `token` ended although the store may still assign the cell to this instance.
  /// Gains the cell again, under a higher token, with the next generation.
  void Reclaim(CellNumber cell, TermToken token) {
    if (owned_cells_.contains(cell) && TokenOf(cell) > token) {
      // The term that ended may have been renewed in this generation.
      renewed_before_start_.insert(TokenOf(cell));
      events_.gained(cell, TokenOf(cell));
    } else if (owned_cells_.contains(cell)) {
      cells_to_reclaim_[cell] = token;
      RenewNow();
    }
  }

  std::uint64_t generation() const { return generation_; }

  /// The token that a term of the cell has if it starts in the newest generation.
  TermToken CurrentToken(CellNumber cell) const { return TokenOf(cell); }

  /// The time at which the last confirmed renewal was sent.
  Instant renewed_at() const { return renewed_at_; }

  /// A time by which the generation of the token had started, or nothing when neither this nor a
  /// later generation was seen.
  std::optional<Instant> GenerationStartedBy(TermToken token) const {
    const auto seen = generation_seen_at_.lower_bound(token / options_.cells);
    return seen == generation_seen_at_.end() ? std::nullopt : std::optional(seen->second);
  }

  /// For the term of this instance under `token`: returns the token of a generation in which, and
  /// after which, no renewal of a previous owner was confirmed.
  TermToken NoRenewalsSince(TermToken token) const {
    return renewed_before_start_.contains(token) ? token + options_.cells : token;
  }

  /// Longest time, counted while the store is reachable, that a lost cell is withheld from its next
  /// owner until it is released. An append waits for at most 2 s in the queue of its partition
  /// (platform's documentation of the store), and its response may be lost once (calls time out
  /// after 1 s).
  static constexpr std::chrono::milliseconds kMaxReleaseTime{3'000};

  /// Interval until the next renewal. It is shorter while the store is unreachable, because work
  /// waits for the store.
  std::chrono::milliseconds renewal_interval() const {
    return reachable_ ? options_.member.ttl / kRenewalsPerTtl : kRejoinRetryDelay;
  }

 private:
  /// More generations than can start while a successor waits for leases to expire.
  static constexpr std::size_t kMaxRecordedGenerations = 256;
  /// Renewals per time to live, so that two of them may be lost.
  static constexpr int kRenewalsPerTtl = 4;
  static constexpr std::chrono::milliseconds kRejoinRetryDelay{200};
  /// Shorter delays of a renewal are common on a loaded instance.
  static constexpr std::chrono::milliseconds kMinReportedPause{500};
  /// Instances start within 0.3 s of each other, so larger ones have joined after this delay.
  static constexpr std::chrono::milliseconds kInitialStandbyDelay{1'500};
  /// Interval between reads of the list of owners while standing by. A call that finds no owner
  /// reads the list as well.
  static constexpr std::chrono::milliseconds kStandbyPollInterval{1'000};
  /// Larger instances must suffice for this long before a smaller one stands down.
  static constexpr std::chrono::milliseconds kStandDownDelay{3'000};

  /// A lost cell whose state is not completely stored yet.
  struct Loss {
    CellNumber cell = 0;
    std::uint64_t generation_before = 0;  ///< The last generation in which the cell was ours.
    Duration withheld{};                  ///< Time since the loss, with the store reachable.
    bool assigned_back = false;           ///< The newest generation assigns the cell to us again.
  };

  void UpdateOwners(const std::vector<PartitionOwner>& owners) {
    std::map<CellNumber, std::string> listed;
    for (const PartitionOwner& owner : owners) listed[owner.part] = owner.member;
    if (listed == owners_) return;
    owners_ = std::move(listed);
    std::string text;
    for (const auto& [cell, member] : owners_) AppendTo(&text, " ", cell, ":", member);
    LogInfo("owners", {{"generation", Concat(generation_)}, {"owners", text}});
  }

  OwnerNeed CurrentNeed() const {
    return ComputeOwnerNeed(options_.capacity, owners_, options_.cells);
  }

  void StandByFor(std::chrono::milliseconds delay) {
    timer_.expires_after(delay);
    timer_.async_wait([this](asio::error_code error) {
      if (error || leaving_) return;
      store_->Owners(options_.member.group,
                     [this](absl::StatusOr<std::vector<PartitionOwner>> owners) {
                       if (leaving_) return;
                       if (owners.ok()) UpdateOwners(*owners);
                       // A cell may briefly have no owner while it changes owners.
                       const bool needed = owners.ok() && CurrentNeed() == OwnerNeed::kOwner;
                       const bool needed_before = std::exchange(needed_at_last_poll_, needed);
                       if (!needed || (!needed_before && !owners_.empty())) {
                         return StandByFor(kStandbyPollInterval);
                       }
                       LogDecision("step_in", {{"owned", Concat(owners_.size())},
                                               {"capacity", Concat(options_.capacity)}});
                       standby_ = false;
                       not_needed_since_.reset();
                       events_.joining();
                       Rejoin();
                     });
    });
  }

  /// Gives up the cells once the larger instances have sufficed for `kStandDownDelay`.
  void MaybeStandDown() {
    if (CurrentNeed() != OwnerNeed::kNone) return not_needed_since_.reset();
    if (!not_needed_since_) not_needed_since_ = clock_->Now();
    if (clock_->Now() - *not_needed_since_ < kStandDownDelay) return;
    if (!losses_.empty()) return;  // Leaving would reassign cells that are not released.
    LogDecision("stand_down",
                {{"cells", Concat(owned_cells_.size())}, {"capacity", Concat(options_.capacity)}});
    standby_ = true;
    needed_at_last_poll_ = false;
    cells_to_reclaim_.clear();
    timer_.expires_after(kMaxReleaseTime);
    timer_.async_wait([this](asio::error_code error) {
      if (!error && !leaving_ && !losses_.empty()) LeaveForStandby();
    });
    if (owned_cells_.empty()) return LeaveForStandby();
    Lose(std::exchange(owned_cells_, {}), generation_);
  }

  void LeaveForStandby() {
    losses_.clear();
    timer_.cancel();
    store_->Leave(options_.member.group, options_.member.member,
                  [this](const absl::Status& status) {
                    // The membership expires after its time to live if leaving failed.
                    if (!status.ok()) LogWarning("leave_failed", {{"why", MessageOf(status)}});
                    if (!leaving_) StandByFor(kStandbyPollInterval);
                  });
  }

  void Rejoin() {
    renewing_ = true;
    store_->Leave(options_.member.group, options_.member.member,
                  [this](const absl::Status& status) {
                    if (leaving_) return;
                    if (status.ok()) return Renew();
                    LogWarning("rejoin_failed", {{"why", MessageOf(status)}});
                    timer_.expires_after(kRejoinRetryDelay);
                    timer_.async_wait([this](asio::error_code error) {
                      if (!error && !leaving_) Rejoin();
                    });
                  });
  }

  void Renew() {
    renewing_ = true;
    const Instant sent = clock_->Now();
    store_->Join(options_.member, Confirmed(), [this, sent](absl::StatusOr<GroupView> view) {
      if (leaving_ || standby_) {
        renewing_ = false;
        return;
      }
      if (view.ok()) {
        HandleView(*view, sent);
      } else if (std::exchange(reachable_, false)) {
        LogWarning("store_lost", {{"why", MessageOf(view.status())}});
      }
      renewing_ = false;
      if (standby_) return;
      if (std::exchange(rejoin_requested_, false)) return Rejoin();
      if (std::exchange(renew_again_, false)) return Renew();
      Schedule();
    });
  }

  /// The newest generation whose lost cells are all released. The store assigns a lost cell to its
  /// next owner when this instance joins with the generation that took the cell away or a later
  /// one.
  std::uint64_t Confirmed() const {
    return losses_.empty() ? generation_ : losses_.begin()->second.generation_before;
  }

  void Lose(const std::set<CellNumber>& cells, std::uint64_t generation_before) {
    std::vector<std::uint64_t> numbers;
    for (const CellNumber cell : cells) {
      cells_to_reclaim_.erase(cell);
      Loss& loss = losses_[++last_loss_number_];
      loss.cell = cell;
      loss.generation_before = generation_before;
      numbers.push_back(last_loss_number_);
    }
    auto number = numbers.begin();
    for (const CellNumber cell : cells) {
      events_.lost(cell, [this, loss = *number++] { HandleReleased(loss); });
    }
  }

  /// Renews at once only when that confirms a newer generation or gains a cell: any other renewal
  /// would delay the next one that does.
  void HandleReleased(std::uint64_t loss_number) {
    const std::uint64_t confirmed = Confirmed();
    const auto found = losses_.find(loss_number);
    if (found == losses_.end() || leaving_) return;
    const bool assigned_back = found->second.assigned_back;
    losses_.erase(found);
    if (standby_ && losses_.empty()) return LeaveForStandby();
    if (assigned_back || Confirmed() != confirmed) RenewNow();
  }

  /// Gives up releases that take longer than `kMaxReleaseTime`, so that a record that cannot be
  /// stored does not leave the cell without an owner. An outage of the store counts as one renewal
  /// interval, because the store accepts no record and reassigns no cell during it.
  void DropOverdueReleases(Instant sent) {
    const Duration passed = std::min<Duration>(sent - renewed_at_, renewal_interval());
    for (auto& [number, loss] : losses_) loss.withheld += passed;
    std::erase_if(losses_, [](const auto& item) {
      const Loss& loss = item.second;
      if (loss.withheld < kMaxReleaseTime) return false;
      LogWarning("release_overdue", {{"cell", Concat(loss.cell)}});
      return true;
    });
  }

  void Schedule() {
    const Instant due = clock_->Now() + renewal_interval();
    timer_.expires_after(renewal_interval());
    timer_.async_wait([this, due](asio::error_code error) {
      if (error) return;
      LogIfLate(due);
      if (!renewing_ && !leaving_ && !standby_) Renew();
    });
  }

  /// Logs that this process did not run when its renewal was due, because it was frozen or had no
  /// processor time.
  void LogIfLate(Instant due) const {
    const Duration late = clock_->Now() - due;
    if (late >= kMinReportedPause) LogInfo("process_paused", {{"late_ms", Concat(MillisOf(late))}});
  }

  /// Unique among all terms of all cells, and higher than any earlier token of this cell.
  TermToken TokenOf(CellNumber cell) const { return generation_ * options_.cells + cell; }

  /// Records when a generation was first seen. For a dropped old generation, a lookup returns the
  /// time of the next recorded one, which is later and therefore safe.
  void RecordGeneration(std::uint64_t generation) {
    generation_seen_at_.try_emplace(generation, clock_->Now());
    if (generation_seen_at_.size() > kMaxRecordedGenerations) {
      generation_seen_at_.erase(generation_seen_at_.begin());
    }
  }

  void HandleView(const GroupView& view, Instant sent) {
    if (!std::exchange(reachable_, true)) LogInfo("store_regained", {});
    const bool changed = view.generation != generation_;
    // If the last renewal is older than the time to live, others may have owned the cells in the
    // meantime: the terms are over even if the cells are assigned to this instance now.
    const bool lapsed = changed && sent - renewed_at_ > options_.member.ttl;
    DropOverdueReleases(sent);
    renewed_at_ = sent;
    RecordGeneration(view.generation);
    const std::uint64_t previous_generation = std::exchange(generation_, view.generation);
    if (lapsed) Lose(std::exchange(owned_cells_, {}), previous_generation);
    std::set<CellNumber> assigned(view.parts.begin(), view.parts.end());
    // A term starts after the release of the previous one, because it reads the record of that.
    for (auto& [number, loss] : losses_) loss.assigned_back = assigned.erase(loss.cell) > 0;
    std::set<CellNumber> lost;
    std::set_difference(owned_cells_.begin(), owned_cells_.end(), assigned.begin(), assigned.end(),
                        std::inserter(lost, lost.end()));
    for (const CellNumber cell : lost) owned_cells_.erase(cell);
    Lose(lost, previous_generation);
    events_.renewed(sent);
    for (const CellNumber cell : assigned) {
      if (!owned_cells_.insert(cell).second) continue;
      events_.gained(cell, TokenOf(cell));
    }
    for (const auto& [cell, token] : std::exchange(cells_to_reclaim_, {})) {
      if (!owned_cells_.contains(cell)) continue;
      if (TokenOf(cell) > token) {
        events_.gained(cell, TokenOf(cell));
      } else {
        cells_to_reclaim_[cell] = token;
        // A new generation brings a higher token. Leaving would reassign cells not released yet.
        rejoin_requested_ = losses_.empty();
      }
    }
    if (changed || owners_.size() < options_.cells) RefreshOwners();
    MaybeStandDown();
  }

  Store* store_;
  const Clock* clock_;
  const OwnershipOptions options_;
  const OwnershipEvents events_;
  asio::steady_timer timer_;
  std::uint64_t generation_ = 0;
  Instant renewed_at_{};  ///< When the last confirmed renewal was sent.
  std::map<std::uint64_t, Instant> generation_seen_at_;  ///< When each generation was first seen.
  std::set<TermToken> renewed_before_start_;  ///< Terms started in a generation that may have
                                              ///< renewed the previous term.
  std::set<CellNumber> owned_cells_;
  std::map<std::uint64_t, Loss> losses_;  ///< Lost cells that are not released, oldest first.
  std::uint64_t last_loss_number_ = 0;
  std::map<CellNumber, TermToken>
      cells_to_reclaim_;  ///< Cells to gain again, with the token of the term that ended early.
  std::map<CellNumber, std::string> owners_;
  std::map<std::string, Instant> evicted_at_;  ///< Last eviction of each member.
  bool renewing_ = false;
  bool renew_again_ = false;
  bool rejoin_requested_ = false;
  bool refreshing_ = false;
  bool reachable_ = true;
  bool leaving_ = false;
  bool standby_ = false;
  bool needed_at_last_poll_ = false;         ///< Result of the last poll while standing by.
  std::optional<Instant> not_needed_since_;  ///< Since when larger instances have sufficed.
};

}  // namespace wigeonlane

#endif  // WIGEONLANE_CELLS_OWNERSHIP_H_
