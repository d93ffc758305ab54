/// Sends the arrivals of a plan at their scheduled times and collects the outcomes.
#ifndef WIGEONLANE_LOAD_LOAD_RUNNER_H_
#define WIGEONLANE_LOAD_LOAD_RUNNER_H_

#include <functional>

#include "load/load_plan.h"
#include "load/load_report.h"

namespace wigeonlane {

/// Runs the plan to its end. Calls `progress`, unless it is empty, about once a second with the
/// completed fraction of the run, 0 to 1.
LoadReport RunLoad(const LoadPlan& plan, const std::function<void(double)>& progress);

}  // namespace wigeonlane

#endif  // WIGEONLANE_LOAD_LOAD_RUNNER_H_
