/// Runs RapidCheck properties with a fixed seed inside Catch2 tests.
#ifndef WIGEONLANE_TESTS_SUPPORT_PROPERTY_H_
#define WIGEONLANE_TESTS_SUPPORT_PROPERTY_H_

#include <rapidcheck.h>

#include <catch2/catch.hpp>
#include <cstdint>
#include <cstdlib>
#include <sstream>
#include <string>
#include <utility>

namespace wigeonlane {

/// Returns the number in an environment variable, or `fallback` if it is not set. Longer manual
/// runs set WIGEONLANE_FUZZ_TIMES, which multiplies the number of runs, and WIGEONLANE_FUZZ_SEED.
inline std::uint64_t EnvironmentNumber(const char* name, std::uint64_t fallback) {
  const char* text = std::getenv(name);
  return text == nullptr ? fallback : std::strtoull(text, nullptr, 10);
}

/// Runs the property `runs` times on inputs that grow up to `max_size`, which limits the number of
/// commands of a stateful run. Fails the test with RapidCheck's report and the seed if the property
/// does not hold.
template <typename Testable>
void RequireProperty(std::uint64_t seed, int runs, Testable&& testable, int max_size = 100) {
  rc::detail::TestParams params;
  params.seed = EnvironmentNumber("WIGEONLANE_FUZZ_SEED", seed);
  params.maxSize = max_size;
  params.maxSuccess = runs * static_cast<int>(EnvironmentNumber("WIGEONLANE_FUZZ_TIMES", 1));
  const auto result = rc::detail::checkTestable(std::forward<Testable>(testable),
                                                rc::detail::TestMetadata(), params);
  std::ostringstream report;
  rc::detail::printResultMessage(result, report);
  INFO("seed " << params.seed << "\n" << report.str());
  REQUIRE(result.template is<rc::detail::SuccessResult>());
}

}  // namespace wigeonlane

#endif  // WIGEONLANE_TESTS_SUPPORT_PROPERTY_H_
