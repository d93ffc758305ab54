/// Rows of the platform's list of instances, which may be some seconds out of date.
#ifndef WIGEONLANE_FLEET_LISTED_INSTANCE_H_
#define WIGEONLANE_FLEET_LISTED_INSTANCE_H_

#include <cstdint>
#include <string>

#include "core/settings.h"

namespace wigeonlane {

enum class ListedRole : std::uint8_t { kWorker, kEntry };

enum class ListedState : std::uint8_t { kLive, kLeaving, kRebooting, kGone };

/// One row of the list. It describes the instance as it was some seconds ago.
struct ListedInstance {
  std::string name;
  ListedRole role = ListedRole::kWorker;
  ListedState state = ListedState::kLive;
  std::string pool;
  std::string rack;
  std::string data_centre;
  Endpoint address;  ///< Address of the runner of a worker, or peer address of an entry instance.
  std::uint64_t boots = 0;  ///< Completed boots; increases by one with each reboot.
};

}  // namespace wigeonlane

#endif  // WIGEONLANE_FLEET_LISTED_INSTANCE_H_
