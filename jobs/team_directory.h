/// The teams of one configuration, and the API keys that identify them.
#ifndef WIGEONLANE_JOBS_TEAM_DIRECTORY_H_
#define WIGEONLANE_JOBS_TEAM_DIRECTORY_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "absl/status/statusor.h"
#include "jobs/job.h"

namespace wigeonlane {

/// A customer's group of callers.
struct Team {
  std::string name;
  std::vector<std::string> keys;  ///< Secrets: never logged, stored or sent.
  /// Share of a full service, relative to other teams, and the number of jobs per second that the
  /// team may submit before its jobs go behind those of others.
  double weight = 0;
  std::uint32_t priority = 0;  ///< Decoded only; it does not change the order of jobs.
  Resources cap;               ///< What its tasks may use on all runners together; 0: no limit.

  bool HasCap() const { return cap != Resources{}; }
};

/// Finds teams by name or key. The time of a lookup does not depend on the number of teams or keys.
class TeamDirectory {
 public:
  /// Has no teams and requires no keys.
  TeamDirectory() = default;

  /// Errors: InvalidArgument that names the team, never the key: a team without a name, two teams
  /// with one name or one key, an empty key, or a weight that is negative or not finite.
  static absl::StatusOr<TeamDirectory> Create(std::vector<Team> teams);

  /// Whether calls on queues that are not public need a key.
  bool requires_keys() const { return requires_keys_; }

  /// Returns null if no team has the key.
  const Team* FindByKey(std::string_view key) const;
  /// Returns null if no team has the name.
  const Team* Find(const std::string& name) const;

  const std::vector<Team>& teams() const { return teams_; }

 private:
  bool requires_keys_ = false;
  std::vector<Team> teams_;
  std::unordered_map<std::string, std::size_t> team_by_key_;
  std::unordered_map<std::string, std::size_t> team_by_name_;
};

}  // namespace wigeonlane

#endif  // WIGEONLANE_JOBS_TEAM_DIRECTORY_H_
