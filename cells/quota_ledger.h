/// Divides the caps of teams among cells, so that the sum of what all cells run stays within a cap
/// without a call to the store for each start.
///
/// Load pattern: a team's demand moves between services within seconds, and each service has other
/// owners. A fixed division would waste what one cell does not need. The division is one record
/// that is replaced by compare-and-swap; an owner changes only its own cells, raises an amount only
/// from what no cell holds, and lowers it to what is in use at least. This holds whatever owners
/// do.
#ifndef WIGEONLANE_CELLS_QUOTA_LEDGER_H_
#define WIGEONLANE_CELLS_QUOTA_LEDGER_H_

#include <cstddef>
#include <cstdint>
#include <limits>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "absl/status/statusor.h"
#include "cells/cell_types.h"
#include "jobs/job.h"

namespace wigeonlane {

/// Amount of a resource that is not limited.
inline constexpr std::int64_t kUnlimited = std::numeric_limits<std::int64_t>::max() / 4;

/// What one cell may use of a team's cap. Members whose cap has no limit are 0.
struct QuotaShare {
  Resources amount;  ///< What the team's tasks may use in the cell.
  Resources wanted;  ///< What they could use; above `amount` while tasks wait for it.
  Resources unit;    ///< The largest load that waits for it: less would not help.

  bool operator==(const QuotaShare&) const = default;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(amount, wanted, unit);
  }
};

/// The shares of one cell, and the term of the owner that may change them.
struct CellQuota {
  TermToken token = 0;
  std::map<std::string, QuotaShare> shares;  ///< By team.

  bool operator==(const CellQuota&) const = default;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(token, shares);
  }
};

/// The stored division.
struct QuotaRecord {
  std::map<CellNumber, CellQuota> cells;
  /// Where a cap is too small to give each cell a unit, this rotates which cell gets one first.
  std::uint32_t turn = 0;

  bool operator==(const QuotaRecord&) const = default;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(cells, turn);
  }
};

/// Decodes the stored division. Errors: InvalidArgument.
absl::StatusOr<QuotaRecord> DecodeQuotaRecord(std::string_view bytes);

/// What a team's tasks use in one cell, and what more they could use if the cap allowed it.
struct TeamUse {
  Resources used;       ///< By the runs that the owner knows.
  Resources uncertain;  ///< What a predecessor may have started beyond that.
  Resources blocked;    ///< Of tasks that wait only for the cap.
  Resources unit;       ///< The largest load among these.
};

/// A cell of this instance.
struct OwnedCell {
  CellNumber cell = 0;
  TermToken token = 0;
  std::map<std::string, TeamUse> uses;  ///< By team.
};

/// What the team's tasks may use in the cell under the owner's token. Nothing may start beyond it;
/// it is 0 while the owner's token is not recorded, or while the amounts exceed a cap that was
/// lowered. While other cells lack what this one has beyond its fair part, it may use only that
/// part. Resources without a cap are `kUnlimited`.
Resources QuotaLimit(const QuotaRecord& record, CellNumber cell, TermToken token,
                     const std::string& team, const Resources& cap);

/// Whether tasks wait for what another write may give them: in one of the cells of this instance,
/// or in a cell that lacks what others may hold. Also if a term of this instance is not recorded
/// yet.
bool IsUrgent(const QuotaRecord& record, const std::vector<OwnedCell>& owned);

/// Returns the record that the owner of `owned` should write next, or nothing if the present one
/// will do. `caps` are the teams that have one. `total_cells` is the number of cells that may run
/// tasks. Amounts are raised only if `may_raise`: the caps may be out of date otherwise.
std::optional<QuotaRecord> PlanQuota(const QuotaRecord& record, const std::vector<OwnedCell>& owned,
                                     const std::map<std::string, Resources>& caps,
                                     std::size_t total_cells, bool may_raise);

}  // namespace wigeonlane

#endif  // WIGEONLANE_CELLS_QUOTA_LEDGER_H_
