/// Decides whether an instance owns cells or stands by.
///
/// Load pattern: instances differ fourfold in processor share, and the store distributes cells
/// evenly among all members. A small instance that owns a busy cell delays all callers of that
/// cell, so it stands by while enough larger instances are alive, and takes over when too
/// many of them are lost.
#ifndef WIGEONLANE_CELLS_OWNER_NEED_H_
#define WIGEONLANE_CELLS_OWNER_NEED_H_

#include <cstdint>
#include <map>
#include <set>
#include <string>

#include "cells/cell_types.h"
#include "cells/member_name.h"

namespace wigeonlane {

/// An instance of at least this size always owns cells. It is the size of the smallest instance in
/// deployments whose instances all have the same size.
inline constexpr MilliCores kMinOwnerCapacity = 250;
/// Share of a core that a cell needs at the peak of its queue (700 runs a second, 0.2 to 0.3 ms
/// each).
inline constexpr MilliCores kMilliCoresPerCell = 120;

/// Whether an instance is needed as an owner, according to the list of owners.
enum class OwnerNeed : std::uint8_t {
  kNone,    ///< Larger instances have enough capacity for all cells.
  kEither,  ///< Larger instances suffice, with little to spare: owners stay owners.
  kOwner,   ///< A cell has no owner, or larger instances do not suffice.
};

/// `own_capacity` is the capacity of this instance; `owners` names the member that owns each cell.
inline OwnerNeed ComputeOwnerNeed(MilliCores own_capacity,
                                  const std::map<CellNumber, std::string>& owners,
                                  std::uint32_t cells) {
  if (own_capacity >= kMinOwnerCapacity || owners.size() < cells) return OwnerNeed::kOwner;
  std::set<std::string> members;
  for (const auto& [cell, member] : owners) members.insert(member);
  std::uint64_t larger_capacity = 0;
  for (const std::string& member : members) {
    const auto name = MemberName::Parse(member);
    if (name && name->capacity > own_capacity) larger_capacity += name->capacity;
  }
  const std::uint64_t needed_capacity = std::uint64_t{cells} * kMilliCoresPerCell;
  if (larger_capacity < needed_capacity) return OwnerNeed::kOwner;
  return larger_capacity < needed_capacity + needed_capacity / 2 ? OwnerNeed::kEither
                                                                 : OwnerNeed::kNone;
}

}  // namespace wigeonlane

#endif  // WIGEONLANE_CELLS_OWNER_NEED_H_
