/// Commands of stateful fuzzing on a world that wraps any numbers, so that each is always valid.
#ifndef WIGEONLANE_TESTS_SUPPORT_WORLD_COMMAND_H_
#define WIGEONLANE_TESTS_SUPPORT_WORLD_COMMAND_H_

#include <rapidcheck.h>
#include <rapidcheck/state.h>

#include <cstdint>
#include <ostream>

namespace wigeonlane {

/// The worlds keep their own oracle, so the model of RapidCheck has nothing to hold.
struct NoModel {};

/// A command with three free numbers. `World::broken()` tells the first broken promise.
template <typename World>
struct WorldCommand : rc::state::Command<NoModel, World> {
  const std::size_t a = *rc::gen::inRange<std::size_t>(0, 64);
  const std::size_t b = *rc::gen::inRange<std::size_t>(0, 64);
  const std::size_t c = *rc::gen::inRange<std::size_t>(0, 64);
  /// For commands whose precondition is stale in one of eight: by how much.
  const std::uint64_t stale = c < 56 ? 0 : c - 55;

  /// Commands run in this process, shrinking included.
  static inline std::uint64_t executed_commands = 0;

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

/// Defines the command `name` of a world as one statement on `world`, `a`, `b`, `c` and `stale`.
#define WIGEONLANE_WORLD_COMMAND(World, name, call)     \
  struct name : WorldCommand<World> {                   \
    void Execute(World* world) const override { call; } \
    const char* Name() const override { return #name; } \
  }

}  // namespace wigeonlane

#endif  // WIGEONLANE_TESTS_SUPPORT_WORLD_COMMAND_H_
