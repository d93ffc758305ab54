/// Simulated gangs: the tasks of one run work from when all of them are present, and end together.
#ifndef WIGEONLANE_TESTS_CELLS_SIM_GANGS_H_
#define WIGEONLANE_TESTS_CELLS_SIM_GANGS_H_

#include <compare>
#include <map>
#include <optional>
#include <vector>

#include "core/clock.h"
#include "tests/cells/job_oracle.h"
#include "tests/cells/sim_runner.h"

namespace wigeonlane {

class SimGangs {
 public:
  /// Ends the runs of gangs that have worked long enough, lost a member or waited too long for one.
  void Advance(std::vector<SimRunner>* runners, Instant now, JobOracle* oracle);

 private:
  struct GangId {
    TaskId first;  ///< The member with index 0.
    RunNumber run = 0;

    auto operator<=>(const GangId&) const = default;
  };

  struct Gang {
    Instant appeared_at{};
    std::optional<Instant> ends_at;  ///< Set once all members are present.
  };

  struct Member {
    SimRunner* runner = nullptr;
    TaskId task;
    SimRunner::Run run;
  };

  static std::vector<RunResult> ResultsOf(Gang* gang, const std::vector<Member>& members,
                                          Instant now);

  std::map<GangId, Gang> gangs_;
};

}  // namespace wigeonlane

#endif  // WIGEONLANE_TESTS_CELLS_SIM_GANGS_H_
