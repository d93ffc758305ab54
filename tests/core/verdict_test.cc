#include "core/verdict.h"

#include <catch2/catch.hpp>
#include <type_traits>

namespace wigeonlane {
namespace {

// Neither a trace nor a verdict can be assigned, so that its execution is never lowered.
static_assert(!std::is_copy_assignable_v<ExecutionTrace>);
static_assert(!std::is_copy_assignable_v<Verdict>);
static_assert(!std::is_move_assignable_v<Verdict>);
static_assert(!std::is_default_constructible_v<Verdict>);

class VerdictTest {
 protected:
  ExecutionTrace trace_;
};

TEST_CASE_METHOD(VerdictTest, "Trace_AfterMayHaveRun_CannotBeLowered") {
  trace_.Raise(Execution::kMayHaveRun);
  trace_.Raise(Execution::kNotRun);
  CHECK(trace_.execution() == Execution::kMayHaveRun);
  CHECK(Verdict::Failed(trace_, absl::UnknownError("x")).execution() == Execution::kMayHaveRun);
}

TEST_CASE_METHOD(VerdictTest, "Trace_AfterRan_StaysRan") {
  trace_.Raise(Execution::kRan);
  trace_.Raise(Execution::kMayHaveRun);
  CHECK(trace_.execution() == Execution::kRan);
}

TEST_CASE_METHOD(VerdictTest, "Refused_BeforeAnyAttempt_IsNotRunWithRetryAfter") {
  const Verdict verdict =
      Verdict::Refused(absl::ResourceExhaustedError("full"), std::chrono::milliseconds(70));
  CHECK(verdict.execution() == Execution::kNotRun);
  CHECK(verdict.retry_after() == std::chrono::milliseconds(70));
}

}  // namespace
}  // namespace wigeonlane
