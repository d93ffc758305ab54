/// Writes more lines than the log buffer holds while nobody reads the log. Guards against a log in
/// which a dropped line looks like one that was never written, against lines on callers' requests
/// that make room for lines on runs, and against a logger that blocks (the tests would hang).
#include "core/logging.h"

#include <unistd.h>

#include <algorithm>
#include <array>
#include <catch2/catch.hpp>
#include <sstream>
#include <string>
#include <thread>

#include "logs/log_line.h"

namespace wigeonlane {
namespace {

/// More than the buffer and a pipe hold together.
constexpr int kTooManyLines = 20'000;
constexpr int kRunsPerRequest = 100;

class LoggingTest {
 protected:
  LoggingTest() : standard_error_(dup(STDERR_FILENO)) {
    std::array<int, 2> pipe_ends{};
    REQUIRE(pipe(pipe_ends.data()) == 0);
    log_end_ = pipe_ends[0];
    dup2(pipe_ends[1], STDERR_FILENO);
    close(pipe_ends[1]);
    REQUIRE(StartLogging({}).ok());
  }

  ~LoggingTest() {
    if (log_end_ >= 0) StopAndRead();
  }

  /// Stops the logger and returns all lines that it has written.
  InstanceLog StopAndRead() {
    std::thread stopping([this] {
      StopLogging();
      dup2(standard_error_, STDERR_FILENO);
      close(standard_error_);
    });
    std::stringstream text;
    std::array<char, 4096> part{};
    for (ssize_t size = 0; (size = read(log_end_, part.data(), part.size())) > 0;) {
      text.write(part.data(), size);
    }
    stopping.join();
    close(log_end_);
    log_end_ = -1;
    return ReadInstanceLog(&text, "instance");
  }

  static std::int64_t CountOf(const InstanceLog& log, std::string_view event) {
    return std::count_if(log.lines.begin(), log.lines.end(),
                         [&](const LogLine& line) { return line.event == event; });
  }

  /// Returns the sum of a field of the reports on dropped lines.
  static std::int64_t Reported(const InstanceLog& log, std::string_view field) {
    std::int64_t sum = 0;
    for (const LogLine& line : log.lines) {
      if (line.event == "log_lines_dropped") sum += line.Number(field).value_or(0);
    }
    return sum;
  }

  int standard_error_;
  int log_end_ = -1;  ///< Where the log is read.
};

TEST_CASE_METHOD(LoggingTest, "Log_MoreLinesThanItsBuffer_SaysHowManyWereDropped") {
  for (int i = 0; i < kTooManyLines; ++i) LogInfo("notice", {{"n", std::to_string(i)}});
  CHECK(DroppedLogLines() > 0);
  const InstanceLog log = StopAndRead();
  CHECK(log.unparsed_lines == 0);
  CHECK(CountOf(log, "notice") < kTooManyLines);
  CHECK(CountOf(log, "notice") + Reported(log, "count") == kTooManyLines);
  CHECK(log.lines.back().Field("n") == std::to_string(kTooManyLines - 1));
}

TEST_CASE_METHOD(LoggingTest, "Log_FewerLinesThanItsBuffer_AreAllWritten") {
  for (int i = 0; i < kRunsPerRequest; ++i) LogDecision("start", {{"n", std::to_string(i)}});
  CHECK(DroppedLogLines() == 0);
  const InstanceLog log = StopAndRead();
  CHECK(CountOf(log, "start") == kRunsPerRequest);
  CHECK(CountOf(log, "log_lines_dropped") == 0);
}

TEST_CASE_METHOD(LoggingTest, "Log_RunsFillItsBuffer_LinesOnRequestsAreKept") {
  const std::array<std::string_view, 5> request_events{"call", "accept", "cancel", "refuse",
                                                       "job_final"};
  const std::array<std::string_view, 3> run_events{"start", "run_end", "free"};
  for (int i = 0; i < kTooManyLines; ++i) {
    LogDecision(run_events[i % run_events.size()], {{"n", std::to_string(i)}});
    if (i % kRunsPerRequest != 0) continue;
    for (const std::string_view event : request_events) LogDecision(event, {});
  }
  const InstanceLog log = StopAndRead();
  for (const std::string_view event : request_events) {
    CAPTURE(std::string(event));
    CHECK(CountOf(log, event) == kTooManyLines / kRunsPerRequest);
  }
  std::int64_t runs_written = 0;
  for (const std::string_view event : run_events) runs_written += CountOf(log, event);
  CHECK(runs_written < kTooManyLines);
  CHECK(runs_written + Reported(log, "count") == kTooManyLines);
  CHECK(Reported(log, "of_runs") == Reported(log, "count"));
}

}  // namespace
}  // namespace wigeonlane
