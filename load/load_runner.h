/// Sends the arrivals of a plan on time and collects what became of them.
#ifndef WIGEONLANE_LOAD_LOAD_RUNNER_H_
#define WIGEONLANE_LOAD_LOAD_RUNNER_H_

#include <functional>

#include "load/load_plan.h"
#include "load/load_report.h"

namespace wigeonlane {

/// Runs the plan to its end. `progress` gets the share done, 0 to 1, about once a second.
LoadReport RunLoad(const LoadPlan& plan, const std::function<void(double)>& progress);

}  // namespace wigeonlane

#endif  // WIGEONLANE_LOAD_LOAD_RUNNER_H_
