#include "cells/quota_ledger.h"

#include <algorithm>
#include <array>

#include "core/codec.h"
#include "scheduling/fair_share.h"

namespace wigeonlane {
namespace {

using Member = std::int64_t Resources::*;

constexpr std::array<Member, 3> kMembers = {&Resources::cpu_milli, &Resources::memory_mb,
                                            &Resources::gpus};
/// A cell takes half as much again as it needs, so that few starts have to wait for the store, and
/// takes more before the last eighth of its amount is used up.
constexpr std::int64_t kHeadroomDivisor = 2;
constexpr std::int64_t kEarlyRaiseDivisor = 8;
/// The part of a cap that is divided among the cells from the start. The rest is free, so that a
/// cell whose demand rises need not wait for others to give something back.
constexpr std::int64_t kDividedDivisor = 2;
/// A cell gives back what it holds beyond twice its need once less than this part of the cap is
/// free.
constexpr std::int64_t kReserveDivisor = 4;

/// One resource of one team's cap, as it is divided among the cells of a record.
class CapDivision {
 public:
  CapDivision(const QuotaRecord* record, const std::string& team, Member member, std::int64_t cap)
      : turn_(record->turn), cap_(cap) {
    for (const auto& [number, cell] : record->cells) {
      const auto found = cell.shares.find(team);
      const QuotaShare share = found == cell.shares.end() ? QuotaShare() : found->second;
      cells_.push_back({number, share.amount.*member, share.wanted.*member, share.unit.*member});
    }
  }

  /// What no cell holds; negative if the cap was lowered below what they hold.
  std::int64_t Free() const {
    std::int64_t free = cap_;
    for (const Part& part : cells_) free -= part.amount;
    return free;
  }

  /// Sum of what cells lack of what they want.
  std::int64_t Lacking() const {
    std::int64_t lacking = 0;
    for (const Part& part : cells_) lacking += std::max<std::int64_t>(part.wanted - part.amount, 0);
    return lacking;
  }

  /// What the cell gets when all wants are served by max-min fairness and the rest is divided
  /// equally. Where that would give a cell less than one unit, one cell after the other gets one.
  std::int64_t TargetOf(CellNumber target, std::size_t total_cells) const {
    std::vector<double> shares = Shares(cells_.size(), 0);
    if (const std::size_t favoured = FavouredCell(shares); favoured < cells_.size()) {
      shares = Shares(favoured, std::min(cells_[favoured].unit, cap_));
    }
    double given = 0;
    double own = 0;
    for (std::size_t index = 0; index < cells_.size(); ++index) {
      given += shares[index];
      if (cells_[index].number == target) own = shares[index];
    }
    const double rest = (static_cast<double>(cap_) - given) /
                        static_cast<double>(std::max(total_cells, cells_.size()));
    return static_cast<std::int64_t>(own + std::max(rest, 0.0));
  }

  /// What a cell holds without any demand.
  std::int64_t Slice(std::size_t total_cells) const {
    const std::size_t cells = std::max(total_cells, cells_.size());
    return cap_ / (kDividedDivisor * static_cast<std::int64_t>(cells));
  }

  /// Returns what the cell should hold after it has given back what others want, or what exceeds a
  /// lowered cap. `used` is what its tasks may use, known or not.
  std::int64_t Lowered(const QuotaShare& share, Member member, CellNumber number, std::int64_t used,
                       std::size_t total_cells) const {
    const std::int64_t amount = share.amount.*member;
    const std::int64_t free = Free();
    if (free < 0) return std::min(amount, used);
    if (Lacking() > free) return std::min(amount, std::max(TargetOf(number, total_cells), used));
    const std::int64_t idle = share.wanted.*member + Slice(total_cells);
    const bool is_short = free < cap_ / kReserveDivisor;
    return is_short && amount > 2 * idle ? std::max(idle, used) : amount;
  }

  /// Returns what the cell should hold after it has taken what it needs and some more, as far as no
  /// cell holds it, but no more than its target, which leaves the others what they want.
  std::int64_t Raised(const QuotaShare& share, Member member, CellNumber number,
                      std::size_t total_cells) const {
    const std::int64_t need = share.wanted.*member;
    const std::int64_t amount = share.amount.*member;
    const std::int64_t slice = Slice(total_cells);
    if (need <= amount - amount / kEarlyRaiseDivisor && amount >= slice) return amount;
    const std::int64_t goal =
        std::min(need + need / kHeadroomDivisor + slice, TargetOf(number, total_cells));
    return amount + std::clamp<std::int64_t>(goal - amount, 0, std::max<std::int64_t>(Free(), 0));
  }

 private:
  struct Part {
    CellNumber number = 0;
    std::int64_t amount = 0;
    std::int64_t wanted = 0;
    std::int64_t unit = 0;
  };

  /// Returns the fair shares when the cell at `favoured`, if there is one, gets `first`.
  std::vector<double> Shares(std::size_t favoured, std::int64_t first) const {
    std::vector<ShareDemand> demands;
    for (std::size_t index = 0; index < cells_.size(); ++index) {
      demands.push_back({index == favoured ? 0.0 : static_cast<double>(cells_[index].wanted), 1.0});
    }
    std::vector<double> shares = MaxMinShares(demands, static_cast<double>(cap_ - first));
    if (favoured < shares.size()) shares[favoured] = static_cast<double>(first);
    return shares;
  }

  /// Returns the first cell, by turns, in which a unit waits that it would not get by `shares`; the
  /// number of cells if there is none.
  std::size_t FavouredCell(const std::vector<double>& shares) const {
    for (std::size_t step = 0; step < cells_.size(); ++step) {
      const std::size_t index = (turn_ + step) % cells_.size();
      const Part& part = cells_[index];
      const std::int64_t unit = std::min(part.unit, cap_);
      if (part.wanted >= unit && shares[index] < static_cast<double>(unit)) return index;
    }
    return cells_.size();
  }

  const std::uint32_t turn_;
  const std::int64_t cap_;
  std::vector<Part> cells_;
};

/// Whether the cell waits for more of a team's cap than it has.
bool Lacks(const QuotaShare& share) {
  return std::any_of(kMembers.begin(), kMembers.end(),
                     [&](Member member) { return share.wanted.*member > share.amount.*member; });
}

/// Whether others act on the difference between two records: changes of what a cell wants are left
/// out while it lacks nothing.
bool DiffersForOthers(const QuotaRecord& before, const QuotaRecord& after) {
  if (before.cells.size() != after.cells.size()) return true;
  for (const auto& [number, cell] : after.cells) {
    const auto former = before.cells.find(number);
    if (former == before.cells.end() || former->second.token != cell.token ||
        former->second.shares.size() != cell.shares.size()) {
      return true;
    }
    for (const auto& [team, share] : cell.shares) {
      const auto former_share = former->second.shares.find(team);
      const QuotaShare old =
          former_share == former->second.shares.end() ? QuotaShare() : former_share->second;
      if (old.amount != share.amount || Lacks(old) != Lacks(share)) return true;
      if (Lacks(share) && old.unit != share.unit) return true;
    }
  }
  return false;
}

}  // namespace

absl::StatusOr<QuotaRecord> DecodeQuotaRecord(std::string_view bytes) {
  return Decode<QuotaRecord>(bytes);
}

Resources QuotaLimit(const QuotaRecord& record, CellNumber cell, TermToken token,
                     const std::string& team, const Resources& cap) {
  const auto owned = record.cells.find(cell);
  const bool recorded = owned != record.cells.end() && owned->second.token == token;
  const auto share =
      recorded ? owned->second.shares.find(team) : decltype(CellQuota().shares.end())();
  Resources limit;
  for (const Member member : kMembers) {
    if (cap.*member == 0) {
      limit.*member = kUnlimited;
      continue;
    }
    if (!recorded || share == owned->second.shares.end()) continue;
    const CapDivision division(&record, team, member, cap.*member);
    const std::int64_t free = division.Free();
    if (free < 0) continue;
    limit.*member = share->second.amount.*member;
    // Otherwise tasks that end would be replaced, and the cell would never have anything to give.
    if (division.Lacking() > free) {
      limit.*member = std::min(limit.*member, division.TargetOf(cell, record.cells.size()));
    }
  }
  return limit;
}

bool IsUrgent(const QuotaRecord& record, const std::vector<OwnedCell>& owned) {
  for (const OwnedCell& cell : owned) {
    const auto quota = record.cells.find(cell.cell);
    if (quota == record.cells.end() || quota->second.token != cell.token) return true;
    for (const auto& [team, use] : cell.uses) {
      if (use.blocked != Resources{}) return true;
    }
  }
  for (const auto& [number, cell] : record.cells) {
    for (const auto& [team, share] : cell.shares) {
      if (Lacks(share)) return true;
    }
  }
  return false;
}

std::optional<QuotaRecord> PlanQuota(const QuotaRecord& record, const std::vector<OwnedCell>& owned,
                                     const std::map<std::string, Resources>& caps,
                                     std::size_t total_cells, bool may_raise) {
  QuotaRecord next = record;
  std::vector<const OwnedCell*> present;
  for (const OwnedCell& cell : owned) {
    CellQuota& quota = next.cells[cell.cell];
    if (quota.token > cell.token) continue;  // A later owner has taken the cell over.
    quota.token = cell.token;
    // A team without a cap holds nothing any more.
    std::erase_if(quota.shares, [&](const auto& share) { return !caps.contains(share.first); });
    present.push_back(&cell);
  }
  bool turn_taken = false;
  for (const auto& [team, cap] : caps) {
    const auto use_of = [&team = team](const OwnedCell& cell) {
      const auto use = cell.uses.find(team);
      return use == cell.uses.end() ? TeamUse() : use->second;
    };
    const auto share_of = [&next, &team = team](const OwnedCell* cell) -> QuotaShare& {
      return next.cells.at(cell->cell).shares[team];
    };
    for (const Member member : kMembers) {
      for (const OwnedCell* cell : present) share_of(cell).amount.*member *= cap.*member != 0;
      if (cap.*member == 0) continue;
      for (const OwnedCell* cell : present) {
        const TeamUse use = use_of(*cell);
        QuotaShare& share = share_of(cell);
        share.wanted.*member = std::min(use.used.*member + use.blocked.*member, cap.*member);
        // A unit that waited has started, so another cell is next.
        const std::int64_t waited = std::min(share.unit.*member, cap.*member);
        const CapDivision division(&next, team, member, cap.*member);
        turn_taken = turn_taken || (waited > 0 && use.used.*member >= waited &&
                                    division.Lacking() > division.Free());
        share.unit.*member = use.unit.*member;
        // What runs counts, whether it was within an amount or not: the cap may be new.
        share.amount.*member = std::max(share.amount.*member, use.used.*member);
      }
      for (const OwnedCell* cell : present) {
        const TeamUse use = use_of(*cell);
        const CapDivision division(&next, team, member, cap.*member);
        QuotaShare& share = share_of(cell);
        const std::int64_t used = use.used.*member + use.uncertain.*member;
        share.amount.*member = division.Lowered(share, member, cell->cell, used, total_cells);
      }
      if (!may_raise) continue;
      for (const OwnedCell* cell : present) {
        QuotaShare& share = share_of(cell);
        const CapDivision division(&next, team, member, cap.*member);
        share.amount.*member = division.Raised(share, member, cell->cell, total_cells);
      }
    }
  }
  if (turn_taken) ++next.turn;
  return turn_taken || DiffersForOthers(record, next) ? std::optional(std::move(next))
                                                      : std::nullopt;
}

}  // namespace wigeonlane
