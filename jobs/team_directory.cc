#include "jobs/team_directory.h"

#include <cmath>
#include <utility>

#include "core/text.h"

namespace wigeonlane {

absl::StatusOr<TeamDirectory> TeamDirectory::Create(std::vector<Team> teams) {
  TeamDirectory directory;
  directory.requires_keys_ = true;
  directory.teams_ = std::move(teams);
  for (std::size_t number = 0; number < directory.teams_.size(); ++number) {
    const Team& team = directory.teams_[number];
    if (team.name.empty()) return absl::InvalidArgumentError("a team has no name");
    if (!std::isfinite(team.weight) || team.weight < 0) {
      return absl::InvalidArgumentError(
          Concat("team ", team.name, ": the weight is not a number from 0"));
    }
    if (!directory.team_by_name_.emplace(team.name, number).second) {
      return absl::InvalidArgumentError(Concat("two teams have the name ", team.name));
    }
    for (const std::string& key : team.keys) {
      if (key.empty()) return absl::InvalidArgumentError(Concat("team ", team.name, ": empty key"));
      const auto [holder, added] = directory.team_by_key_.emplace(key, number);
      if (!added && holder->second != number) {
        return absl::InvalidArgumentError(Concat("teams ", directory.teams_[holder->second].name,
                                                 " and ", team.name, " have the same key"));
      }
    }
  }
  return directory;
}

const Team* TeamDirectory::FindByKey(std::string_view key) const {
  const auto found = team_by_key_.find(std::string(key));
  return found == team_by_key_.end() ? nullptr : &teams_[found->second];
}

const Team* TeamDirectory::Find(const std::string& name) const {
  const auto found = team_by_name_.find(name);
  return found == team_by_name_.end() ? nullptr : &teams_[found->second];
}

}  // namespace wigeonlane
