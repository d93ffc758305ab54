/// Commands for stateful fuzzing of a world, a test model that maps any number to a valid argument,
/// so that every command is valid in every state.
#ifndef WIGEONLANE_TESTS_SUPPORT_WORLD_COMMAND_H_
#define WIGEONLANE_TESTS_SUPPORT_WORLD_COMMAND_H_

#include <rapidcheck.h>
#include <rapidcheck/state.h>

#include <cstdint>
#include <ostream>

namespace wigeonlane {

/// Empty RapidCheck model, because each world checks its own invariants.
struct NoModel {};

/// A command with three random numbers. The run fails if `World::broken()` returns the text of a
/// violated invariant.
template <typename World>
struct WorldCommand : rc::state::Command<NoModel, World> {
  const std::size_t a = *rc::gen::inRange<std::size_t>(0, 64);
  const std::size_t b = *rc::gen::inRange<std::size_t>(0, 64);
  const std::size_t c = *rc::gen::inRange<std::size_t>(0, 64);
  /// By how much the precondition of a command is stale: 0 in seven of eight commands, else 1 to 8.
  const std::uint64_t stale = c < 56 ? 0 : c - 55;

  /// Number of commands executed in this process, including those of shrinking.
  static inline std::uint64_t executed_commands = 0;

  /// Executes the command on `world`.
  virtual void Execute(World* world) const = 0;
  virtual const char* Name() const = 0;

  void run(const NoModel& /*model*/, World& world) const override {
    ++executed_commands;
    Execute(&world);
    if (!world.broken().empty()) RC_FAIL(world.broken());
  }

  void show(std::ostream& out) const override {
    out << Name() << "(" << a << ", " << b << ", " << c << ")";
  }
};

/// Defines the command `name`, which executes the statement `call` with `world`, `a`, `b`, `c` and
/// `stale` in scope.
#define WIGEONLANE_WORLD_COMMAND(World, name, call)     \
  struct name : WorldCommand<World> {                   \
    void Execute(World* world) const override { call; } \
    const char* Name() const override { return #name; } \
  }

}  // namespace wigeonlane

#endif  // WIGEONLANE_TESTS_SUPPORT_WORLD_COMMAND_H_
