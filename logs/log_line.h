/// One line of an instance's log, read back.
#ifndef WIGEONLANE_LOGS_LOG_LINE_H_
#define WIGEONLANE_LOGS_LOG_LINE_H_

#include <chrono>
#include <istream>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace wigeonlane {

/// Milliseconds since 1970 on the clock of the instance that wrote the line.
using LogTime = std::chrono::time_point<std::chrono::system_clock, std::chrono::milliseconds>;

struct LogLine {
  LogTime time{};
  std::string instance;
  std::string event;
  std::map<std::string, std::string, std::less<>> fields;

  /// Empty when the line has no such field.
  std::string_view Field(std::string_view name) const {
    const auto found = fields.find(name);
    return found == fields.end() ? std::string_view() : std::string_view(found->second);
  }

  /// Nothing when the field is missing or not a number.
  std::optional<std::int64_t> Number(std::string_view name) const;
};

/// Parses "time=... level=... event=... name=value ...". Whatever stands before `time=`, such as a
/// collector's prefix, is passed over. Nothing when the line is of another form.
std::optional<LogLine> ParseLogLine(std::string_view text);

/// One instance's log in the order in which it was written.
struct InstanceLog {
  std::string instance;
  std::vector<LogLine> lines;
  std::size_t unparsed_lines = 0;  ///< Lines that are not of the log's form.
};

/// Reads a whole log. The instance names itself in the line `event=started`; `fallback` is its name
/// in a log that was cut before.
InstanceLog ReadInstanceLog(std::istream* input, std::string_view fallback);

}  // namespace wigeonlane

#endif  // WIGEONLANE_LOGS_LOG_LINE_H_
