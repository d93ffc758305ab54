#include "logs/log_line.h"

#include <absl/strings/numbers.h>
#include <absl/time/time.h>

#include <nlohmann/json.hpp>
#include <utility>

namespace wigeonlane {
namespace {

constexpr std::string_view kTimeField = "time=";

std::optional<LogTime> ParseTime(std::string_view text) {
  absl::Time time;
  std::string error;
  if (!absl::ParseTime("%Y-%m-%dT%H:%M:%E3S", std::string(text), &time, &error)) return {};
  return LogTime(std::chrono::milliseconds(absl::ToUnixMillis(time)));
}

/// The end of a value that begins at `begin`; quoted values may contain spaces and escapes.
std::size_t EndOfValue(std::string_view text, std::size_t begin) {
  if (begin >= text.size() || text[begin] != '"') {
    return std::min(text.find(' ', begin), text.size());
  }
  for (std::size_t i = begin + 1; i < text.size(); ++i) {
    if (text[i] == '\\') {
      ++i;
    } else if (text[i] == '"') {
      return i + 1;
    }
  }
  return text.size();
}

std::string Unquote(std::string_view value) {
  if (value.empty() || value.front() != '"') return std::string(value);
  const auto json = nlohmann::json::parse(value, nullptr, false);
  return json.is_string() ? json.get<std::string>() : std::string(value);
}

}  // namespace

std::optional<std::int64_t> LogLine::Number(std::string_view name) const {
  std::int64_t number = 0;
  if (!absl::SimpleAtoi(std::string(Field(name)), &number)) return {};
  return number;
}

std::optional<LogLine> ParseLogLine(std::string_view text) {
  const std::size_t start = text.find(kTimeField);
  if (start == std::string_view::npos) return {};
  text.remove_prefix(start);
  while (!text.empty() && (text.back() == '\n' || text.back() == '\r')) text.remove_suffix(1);
  LogLine line;
  for (std::size_t begin = 0; begin < text.size();) {
    const std::size_t equals = text.find('=', begin);
    if (equals == std::string_view::npos) break;
    const std::size_t end = EndOfValue(text, equals + 1);
    line.fields[std::string(text.substr(begin, equals - begin))] =
        Unquote(text.substr(equals + 1, end - equals - 1));
    begin = end + 1;
  }
  const auto time = ParseTime(line.Field("time"));
  line.event = line.Field("event");
  if (!time || line.event.empty()) return {};
  line.time = *time;
  return line;
}

InstanceLog ReadInstanceLog(std::istream* input, std::string_view fallback) {
  InstanceLog log;
  log.instance = fallback;
  std::string text;
  while (std::getline(*input, text)) {
    auto line = ParseLogLine(text);
    if (!line) {
      ++log.unparsed_lines;
      continue;
    }
    if (line->event == "started") log.instance = line->Field("instance");
    log.lines.push_back(*std::move(line));
  }
  for (LogLine& line : log.lines) line.instance = log.instance;
  return log;
}

}  // namespace wigeonlane
