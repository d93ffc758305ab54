/// Whether an instance takes part in owning cells.
///
/// Load pattern: instances differ fourfold in processor share, and the store deals cells evenly to
/// whoever asks. A small instance that owns a busy cell keeps all its callers waiting, so it stands
/// by while enough larger ones live, and steps in when any number of them is lost.
#ifndef WIGEONLANE_CELLS_OWNER_NEED_H_
#define WIGEONLANE_CELLS_OWNER_NEED_H_

#include <cstdint>
#include <map>
#include <set>
#include <string>

#include "cells/cell_types.h"
#include "cells/member_name.h"

namespace wigeonlane {

/// An instance of this size always owns: the smallest of deployments with instances of one size.
inline constexpr MilliCores kMinOwnerCapacity = 250;
/// Share of a core that a cell needs in its queue's peak (700 runs a second at 0.2 to 0.3 ms).
inline constexpr MilliCores kMilliCoresPerCell = 120;

/// What the list of owners says about an instance's own part.
enum class OwnerNeed : std::uint8_t {
  kNone,    ///< Larger instances carry all cells.
  kEither,  ///< They do, but with little to spare: whoever owns goes on.
  kOwner,   ///< A cell has no owner, or the larger ones are too few.
};

/// `owners` names the member that owns each cell.
inline OwnerNeed ComputeOwnerNeed(MilliCores own, const std::map<CellNumber, std::string>& owners,
                                  std::uint32_t cells) {
  if (own >= kMinOwnerCapacity || owners.size() < cells) return OwnerNeed::kOwner;
  std::set<std::string> members;
  for (const auto& [cell, member] : owners) members.insert(member);
  std::uint64_t larger = 0;
  for (const std::string& member : members) {
    const auto name = MemberName::Parse(member);
    if (name && name->capacity > own) larger += name->capacity;
  }
  const std::uint64_t needed = std::uint64_t{cells} * kMilliCoresPerCell;
  if (larger < needed) return OwnerNeed::kOwner;
  return larger < needed + needed / 2 ? OwnerNeed::kEither : OwnerNeed::kNone;
}

}  // namespace wigeonlane

#endif  // WIGEONLANE_CELLS_OWNER_NEED_H_
