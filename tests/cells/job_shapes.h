/// Jobs of different shapes for the simulation of a cell, and the outcomes of their runs.
#ifndef WIGEONLANE_TESTS_CELLS_JOB_SHAPES_H_
#define WIGEONLANE_TESTS_CELLS_JOB_SHAPES_H_

#include <cstddef>
#include <cstdint>

#include "jobs/job.h"
#include "tests/cells/sim_runner.h"

namespace wigeonlane {

/// Returns steps of different shapes: wide, chained, large, long-running, a diamond, a single task.
JobSpec SpecOf(std::size_t shape);

/// Returns steps of which the first is a gang: alone, before another step, on all runners.
JobSpec GangSpecOf(std::size_t shape);

/// Returns a number that looks random but depends on `value` only.
std::uint64_t Mix(std::uint64_t value);

/// Derives the outcome of a run from the payload, which contains a number from the fuzzer.
TaskOutcome OutcomeOf(const StartCommand& command, const StepSpec& step);

}  // namespace wigeonlane

#endif  // WIGEONLANE_TESTS_CELLS_JOB_SHAPES_H_
