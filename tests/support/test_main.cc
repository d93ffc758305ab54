#define CATCH_CONFIG_RUNNER
#include <catch2/catch.hpp>
#include <cstdlib>

#include "core/logging.h"

/// Runs the Catch2 tests. If WIGEONLANE_TEST_LOG is set, the log of the code under test is printed.
int main(int argc, char** argv) {
  if (std::getenv("WIGEONLANE_TEST_LOG") != nullptr) {
    wigeonlane::LogOptions options;
    options.to_standard_output = true;
    if (!wigeonlane::StartLogging(options).ok()) return EXIT_FAILURE;
  }
  const int result = Catch::Session().run(argc, argv);
  wigeonlane::StopLogging();
  return result;
}
