/// Settings from flags and environment variables: one table of options serves both.
#ifndef WIGEONLANE_CORE_SETTINGS_H_
#define WIGEONLANE_CORE_SETTINGS_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "absl/status/statusor.h"

namespace wigeonlane {

/// One option. `--peer-port` is also read from `WIGEONLANE_PEER_PORT`; the flag wins.
struct OptionSpec {
  std::string name;           ///< Long flag without dashes.
  std::string default_value;  ///< Empty and `required` means that it must be given.
  std::string help;           ///< One line: meaning, unit, what is allowed.
  bool required = false;
  bool is_switch = false;  ///< A flag without a value.
};

/// Raw option values after flags, environment and defaults were merged.
class SettingValues {
 public:
  explicit SettingValues(std::map<std::string, std::string> values) : values_(std::move(values)) {}

  /// The text of a declared option.
  const std::string& Text(const std::string& name) const;

  /// Whether a switch was given.
  bool Switch(const std::string& name) const;

  /// The value as a whole number within [lowest, highest]. Errors name option, value and range.
  absl::StatusOr<std::int64_t> Integer(const std::string& name, std::int64_t lowest,
                                       std::int64_t highest) const;

  /// The value as a duration such as "250ms", "2s" or "1m" within [lowest, highest].
  absl::StatusOr<std::chrono::milliseconds> Period(const std::string& name,
                                                   std::chrono::milliseconds lowest,
                                                   std::chrono::milliseconds highest) const;

 private:
  std::map<std::string, std::string> values_;
};

/// Result of reading a command line: the values and the words that are not options.
struct ParsedCommandLine {
  SettingValues values;
  std::vector<std::string> words;
};

/// Merges flags over environment over defaults. Errors: InvalidArgument that names the option.
absl::StatusOr<ParsedCommandLine> ParseCommandLine(int argc, const char* const* argv,
                                                   const std::vector<OptionSpec>& specs,
                                                   std::string_view environment_prefix);

/// Help text of the table, one option a paragraph.
std::string OptionHelp(const std::vector<OptionSpec>& specs, std::string_view environment_prefix);

/// An IP address and port.
struct Endpoint {
  std::string host;
  std::uint16_t port = 0;

  auto operator<=>(const Endpoint&) const = default;

  /// "host:port".
  std::string ToString() const;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(host, port);
  }
};

/// Parses "ip:port" with a numeric IPv4 address. Errors: InvalidArgument that says what is allowed.
absl::StatusOr<Endpoint> ParseEndpoint(std::string_view text);

/// Parses a comma-separated list of endpoints; an empty text is an empty list.
absl::StatusOr<std::vector<Endpoint>> ParseEndpoints(std::string_view text);

/// Parses "250ms", "2s", "1m" or "1h". Errors: InvalidArgument.
absl::StatusOr<std::chrono::milliseconds> ParsePeriod(std::string_view text);

}  // namespace wigeonlane

#endif  // WIGEONLANE_CORE_SETTINGS_H_
