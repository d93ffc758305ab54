/// Parses the logs of instances.
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

/// One parsed log line.
struct LogLine {
  LogTime time{};
  std::string instance;
  std::string event;
  std::map<std::string, std::string, std::less<>> fields;

  /// Returns the value of a field, empty when the line has no such field.
  std::string_view Field(std::string_view name) const {
    const auto found = fields.find(name);
    return found == fields.end() ? std::string_view() : std::string_view(found->second);
  }

  /// Returns the value of a field as an integer, or nullopt when it is missing or not an integer.
  std::optional<std::int64_t> Number(std::string_view name) const;
};

/// Parses "time=... level=... event=... name=value ...". Text before `time=`, such as the prefix of
/// a log collector, is ignored. Returns nullopt when the line has another format.
std::optional<LogLine> ParseLogLine(std::string_view text);

/// The log of one instance, in the order in which it was written.
struct InstanceLog {
  std::string instance;
  std::vector<LogLine> lines;
  std::size_t unparsed_lines = 0;  ///< Number of lines in another format.
};

/// Reads a whole log. The name of the instance is read from its line `event=started`.
/// `default_instance` is used when the log does not contain that line.
InstanceLog ReadInstanceLog(std::istream* input, std::string_view default_instance);

}  // namespace wigeonlane

#endif  // WIGEONLANE_LOGS_LOG_LINE_H_
