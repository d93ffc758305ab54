/// Settings from command-line flags and environment variables, declared in one table of options.
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

/// One option. `--peer-port` is also read from `WIGEONLANE_PEER_PORT`; the flag takes precedence.
struct OptionSpec {
  std::string name;           ///< Long flag without dashes.
  std::string default_value;  ///< A required option needs a value when its default is empty.
  std::string help;           ///< One line with the meaning, the unit and the allowed values.
  bool required = false;
  bool is_switch = false;  ///< A flag without a value.
};

/// Option values as text, merged from flags, environment and defaults.
class SettingValues {
 public:
  explicit SettingValues(std::map<std::string, std::string> values) : values_(std::move(values)) {}

  /// Returns the value of a declared option as text.
  const std::string& Text(const std::string& name) const;

  /// Whether a switch was given, or its variable is "1" or "true".
  bool Switch(const std::string& name) const;

  /// Returns the value as an integer within [lowest, highest]. Errors name the option, the value
  /// and the range.
  absl::StatusOr<std::int64_t> Integer(const std::string& name, std::int64_t lowest,
                                       std::int64_t highest) const;

  /// Returns the value as a duration such as "250ms", "2s" or "1m" within [lowest, highest]. Errors
  /// name the option, the value and the range.
  absl::StatusOr<std::chrono::milliseconds> Period(const std::string& name,
                                                   std::chrono::milliseconds lowest,
                                                   std::chrono::milliseconds highest) const;

 private:
  std::map<std::string, std::string> values_;
};

/// Parsed command line: the option values and the positional arguments (`words`).
struct ParsedCommandLine {
  SettingValues values;
  std::vector<std::string> words;
};

/// Parses the command line. Flags take precedence over the environment, and the environment over
/// defaults. Errors: InvalidArgument that names the option.
absl::StatusOr<ParsedCommandLine> ParseCommandLine(int argc, const char* const* argv,
                                                   const std::vector<OptionSpec>& specs,
                                                   std::string_view environment_prefix);

/// Returns the help text of `specs`, one paragraph for each option.
std::string OptionHelp(const std::vector<OptionSpec>& specs, std::string_view environment_prefix);

/// An IPv4 address and a port.
struct Endpoint {
  std::string host;
  std::uint16_t port = 0;

  auto operator<=>(const Endpoint&) const = default;

  /// Returns "host:port".
  std::string ToString() const;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(host, port);
  }
};

/// Parses "ip:port" with a numeric IPv4 address. Errors: InvalidArgument with the allowed format.
absl::StatusOr<Endpoint> ParseEndpoint(std::string_view text);

/// Parses a comma-separated list of endpoints. An empty text gives an empty list.
absl::StatusOr<std::vector<Endpoint>> ParseEndpoints(std::string_view text);

/// Parses "250ms", "2s", "1m" or "1h". Errors: InvalidArgument.
absl::StatusOr<std::chrono::milliseconds> ParsePeriod(std::string_view text);

}  // namespace wigeonlane

#endif  // WIGEONLANE_CORE_SETTINGS_H_
