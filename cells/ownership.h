/// Which cells this instance owns and who owns the others, by membership of the store's group.
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

/// What an instance does about changes of ownership.
struct OwnershipEvents {
  /// The cell is ours under `token` from now on.
  std::function<void(CellNumber, TermToken)> gained;
  /// The cell is another's once `released` is called, at the latest when our membership ends or
  /// after `kMaxReleaseTime` with the store in reach. It is not gained again before that.
  std::function<void(CellNumber, std::function<void()> released)> lost;
  /// The store confirmed a renewal that was sent at this time.
  std::function<void(Instant sent)> renewed;
  /// This instance joins the group, and may own cells from now on.
  std::function<void()> joining = [] {};
};

struct OwnershipOptions {
  GroupMember member;
  std::uint32_t cells = 0;                  ///< Partitions of the topic.
  MilliCores capacity = kMinOwnerCapacity;  ///< Of this instance.
};

/// Renews the membership, reports cells gained and lost, and keeps the list of owners.
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

  /// Joins the group and goes on renewing. A former life of this process may still be listed as
  /// the member: it leaves first, so that our tenures have a generation of their own.
  void Start() {
    if (options_.capacity >= kMinOwnerCapacity) {
      events_.joining();
      return Rejoin();
    }
    standby_ = true;
    StandByFor(kInitialStandbyDelay);
  }

  /// Renews at once, so that changes are seen and released cells are dealt out.
  void RenewNow() {
    if (leaving_ || standby_) return;
    renew_again_ = renewing_;
    if (!renewing_) Renew();
  }

  /// Leaves the group: its cells are dealt out to the others at once.
  void Leave(std::function<void()> done) {
    leaving_ = true;
    timer_.cancel();
    store_->Leave(options_.member.group, options_.member.member,
                  [done = std::move(done)](const absl::Status& status) {
                    if (!status.ok()) LogWarning("leave_failed", {{"why", MessageOf(status)}});
                    done();
                  });
  }

  /// The process of `member` has ended, as its machine said: its cells are dealt out at once in
  /// place of after its time to live. Should it be alive all the same, fences keep its orders out
  /// as in any other change of hands. `evicted` is called once the store has done it.
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

  /// The member that owns a cell, as last listed.
  std::optional<std::string> OwnerOf(CellNumber cell) const {
    const auto found = owners_.find(cell);
    return found == owners_.end() ? std::nullopt : std::optional(found->second);
  }

  const std::map<CellNumber, std::string>& owners() const { return owners_; }

  /// Reads the list of owners anew, unless that is under way.
  void RefreshOwners() {
    if (std::exchange(refreshing_, true)) return;
    store_->Owners(options_.member.group,
                   [this](absl::StatusOr<std::vector<PartitionOwner>> owners) {
                     refreshing_ = false;
                     if (owners.ok()) UpdateOwners(*owners);
                   });
  }

  /// Whether this instance leaves owning to larger ones for now.
  bool standby() const { return standby_; }

  /// The tenure under `token` ended although the store may still deal the cell to us: it is gained
  /// again, under a higher token, with the next generation.
  void Reclaim(CellNumber cell, TermToken token) {
    if (held_.contains(cell) && TokenOf(cell) > token) {
      // The tenure that ended may have been renewed in this generation.
      renewed_before_start_.insert(TokenOf(cell));
      events_.gained(cell, TokenOf(cell));
    } else if (held_.contains(cell)) {
      reclaim_[cell] = token;
      RenewNow();
    }
  }

  std::uint64_t generation() const { return generation_; }

  /// What the token of a tenure of the cell would be that began in the newest generation.
  TermToken CurrentToken(CellNumber cell) const { return TokenOf(cell); }

  /// When the last renewal that was confirmed was sent.
  Instant renewed_at() const { return renewed_at_; }

  /// A time by which the generation of the token had begun; nothing when none was seen since.
  std::optional<Instant> GenerationStartedBy(TermToken token) const {
    const auto seen = seen_.lower_bound(token / options_.cells);
    return seen == seen_.end() ? std::nullopt : std::optional(seen->second);
  }

  /// For our tenure under `token`: no former owner's renewal was confirmed in the generation of the
  /// token returned, nor later.
  TermToken NoRenewalsSince(TermToken token) const {
    return renewed_before_start_.contains(token) ? token + options_.cells : token;
  }

  /// Longest time in reach of the store that a lost cell is kept from its next owner while its
  /// release is under way. An append waits for 2 s at most in the queue of its partition (the
  /// platform's page on its store), and its answer may be lost once (a call ends after 1 s).
  static constexpr std::chrono::milliseconds kMaxReleaseTime{3'000};

  /// Until the next renewal. Work waits for it while the store cannot be reached.
  std::chrono::milliseconds pause() const {
    return reachable_ ? options_.member.ttl / kRenewalsPerTtl : kRejoinRetryDelay;
  }

 private:
  /// More than change hands within a wait for leases.
  static constexpr std::size_t kMaxRecordedGenerations = 256;
  /// Renewals in one time to live, so that two may be lost.
  static constexpr int kRenewalsPerTtl = 4;
  static constexpr std::chrono::milliseconds kRejoinRetryDelay{200};
  /// Instances start within 0.3 s of each other; the larger ones have joined by then.
  static constexpr std::chrono::milliseconds kInitialStandbyDelay{1'500};
  /// Between looks at the owners while standing by; a call that finds no owner looks as well.
  static constexpr std::chrono::milliseconds kStandbyPollInterval{1'000};
  /// Larger instances must have been enough for this long before a smaller one stands down.
  static constexpr std::chrono::milliseconds kStandDownDelay{3'000};

  /// A cell that is no longer ours, of which not all that we know is stored yet.
  struct Loss {
    CellNumber cell = 0;
    std::uint64_t generation_before = 0;  ///< The newest that did not take the cell away.
    Duration kept{};                      ///< With the store in reach.
    bool assigned_back = false;           ///< To us, by the newest generation.
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

  OwnerNeed Need() const { return ComputeOwnerNeed(options_.capacity, owners_, options_.cells); }

  void StandByFor(std::chrono::milliseconds pause) {
    timer_.expires_after(pause);
    timer_.async_wait([this](asio::error_code error) {
      if (error || leaving_) return;
      store_->Owners(options_.member.group,
                     [this](absl::StatusOr<std::vector<PartitionOwner>> owners) {
                       if (leaving_) return;
                       if (owners.ok()) UpdateOwners(*owners);
                       // A cell may be without an owner for a moment while it changes hands.
                       const bool needed = owners.ok() && Need() == OwnerNeed::kOwner;
                       const bool before = std::exchange(needed_at_last_poll_, needed);
                       if (!needed || (!before && !owners_.empty()))
                         return StandByFor(kStandbyPollInterval);
                       LogDecision("step_in", {{"owned", Concat(owners_.size())},
                                               {"capacity", Concat(options_.capacity)}});
                       standby_ = false;
                       not_needed_since_.reset();
                       events_.joining();
                       Rejoin();
                     });
    });
  }

  /// Leaves owning to the larger instances once they have been enough for a while.
  void MaybeStandDown() {
    if (Need() != OwnerNeed::kNone) return not_needed_since_.reset();
    if (!not_needed_since_) not_needed_since_ = clock_->Now();
    if (clock_->Now() - *not_needed_since_ < kStandDownDelay) return;
    if (!losses_.empty()) return;  // Leaving would deal on cells that are not released.
    LogDecision("stand_down",
                {{"cells", Concat(held_.size())}, {"capacity", Concat(options_.capacity)}});
    standby_ = true;
    needed_at_last_poll_ = false;
    reclaim_.clear();
    timer_.expires_after(kMaxReleaseTime);
    timer_.async_wait([this](asio::error_code error) {
      if (!error && !leaving_ && !losses_.empty()) LeaveForStandby();
    });
    if (held_.empty()) return LeaveForStandby();
    Lose(std::exchange(held_, {}), generation_);
  }

  void LeaveForStandby() {
    losses_.clear();
    timer_.cancel();
    store_->Leave(options_.member.group, options_.member.member,
                  [this](const absl::Status& status) {
                    // A membership that could not be ended ends by itself.
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
        Take(*view, sent);
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

  /// The newest generation whose losses are all released. The store deals a cell on when we join
  /// with the generation that took it away, or with a later one.
  std::uint64_t Confirmed() const {
    return losses_.empty() ? generation_ : losses_.begin()->second.generation_before;
  }

  void Lose(const std::set<CellNumber>& cells, std::uint64_t generation_before) {
    std::vector<std::uint64_t> numbers;
    for (const CellNumber cell : cells) {
      reclaim_.erase(cell);
      Loss& loss = losses_[++last_loss_number_];
      loss.cell = cell;
      loss.generation_before = generation_before;
      numbers.push_back(last_loss_number_);
    }
    auto number = numbers.begin();
    for (const CellNumber cell : cells) {
      events_.lost(cell, [this, loss = *number++] { Released(loss); });
    }
  }

  /// A renewal that neither confirms more nor gains a cell would only delay the one that does.
  void Released(std::uint64_t loss) {
    const std::uint64_t confirmed = Confirmed();
    const auto found = losses_.find(loss);
    if (found == losses_.end() || leaving_) return;
    const bool assigned_back = found->second.assigned_back;
    losses_.erase(found);
    if (standby_ && losses_.empty()) return LeaveForStandby();
    if (assigned_back || Confirmed() != confirmed) RenewNow();
  }

  /// A record that cannot be stored must not keep the cell from an owner. An outage counts as one
  /// pause between renewals: no record can be stored in it, and no cell dealt on.
  void DropOverdueReleases(Instant sent) {
    const Duration passed = std::min<Duration>(sent - renewed_at_, pause());
    for (auto& [number, loss] : losses_) loss.kept += passed;
    std::erase_if(losses_, [](const auto& item) {
      const Loss& loss = item.second;
      if (loss.kept < kMaxReleaseTime) return false;
      LogWarning("release_overdue", {{"cell", Concat(loss.cell)}});
      return true;
    });
  }

  void Schedule() {
    timer_.expires_after(pause());
    timer_.async_wait([this](asio::error_code error) {
      if (!error && !renewing_ && !leaving_ && !standby_) Renew();
    });
  }

  /// Unique among all tenures of all cells, and higher than any before of this cell.
  TermToken TokenOf(CellNumber cell) const { return generation_ * options_.cells + cell; }

  /// Without the oldest the next one answers, which is later.
  void RecordGeneration(std::uint64_t generation) {
    seen_.try_emplace(generation, clock_->Now());
    if (seen_.size() > kMaxRecordedGenerations) seen_.erase(seen_.begin());
  }

  void Take(const GroupView& view, Instant sent) {
    if (!std::exchange(reachable_, true)) LogInfo("store_regained", {});
    const bool changed = view.generation != generation_;
    // While we were away for longer than our time to live, others may have had our cells and given
    // them back: the tenures are over, whatever is listed now.
    const bool lapsed = changed && sent - renewed_at_ > options_.member.ttl;
    DropOverdueReleases(sent);
    renewed_at_ = sent;
    RecordGeneration(view.generation);
    const std::uint64_t before = std::exchange(generation_, view.generation);
    if (lapsed) Lose(std::exchange(held_, {}), before);
    std::set<CellNumber> now(view.parts.begin(), view.parts.end());
    // A tenure begins after the release of the one before, whose record it reads.
    for (auto& [number, loss] : losses_) loss.assigned_back = now.erase(loss.cell) > 0;
    std::set<CellNumber> lost;
    std::set_difference(held_.begin(), held_.end(), now.begin(), now.end(),
                        std::inserter(lost, lost.end()));
    for (const CellNumber cell : lost) held_.erase(cell);
    Lose(lost, before);
    events_.renewed(sent);
    for (const CellNumber cell : now) {
      if (!held_.insert(cell).second) continue;
      events_.gained(cell, TokenOf(cell));
    }
    for (const auto& [cell, token] : std::exchange(reclaim_, {})) {
      if (!held_.contains(cell)) continue;
      if (TokenOf(cell) > token) {
        events_.gained(cell, TokenOf(cell));
      } else {
        reclaim_[cell] = token;
        // A new generation brings a higher token. Leaving would deal on cells not released yet.
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
  Instant renewed_at_{};                   ///< When the last renewal that was confirmed was sent.
  std::map<std::uint64_t, Instant> seen_;  ///< When a generation was seen first.
  std::set<TermToken> renewed_before_start_;  ///< Tenures that began amid a generation.
  std::set<CellNumber> held_;
  std::map<std::uint64_t, Loss> losses_;  ///< Not released yet, oldest first.
  std::uint64_t last_loss_number_ = 0;
  std::map<CellNumber, TermToken> reclaim_;  ///< Tenures that ended before their time.
  std::map<CellNumber, std::string> owners_;
  std::map<std::string, Instant> evicted_at_;  ///< When a member was evicted last.
  bool renewing_ = false;
  bool renew_again_ = false;
  bool rejoin_requested_ = false;
  bool refreshing_ = false;
  bool reachable_ = true;
  bool leaving_ = false;
  bool standby_ = false;
  bool needed_at_last_poll_ = false;         ///< At the last look while standing by.
  std::optional<Instant> not_needed_since_;  ///< Larger instances have been enough since.
};

}  // namespace wigeonlane

#endif  // WIGEONLANE_CELLS_OWNERSHIP_H_
