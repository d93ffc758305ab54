#include "core/settings.h"

#include <arpa/inet.h>

#include <boost/program_options.hpp>
#include <cstdlib>

#include "absl/strings/ascii.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_replace.h"
#include "absl/strings/str_split.h"
#include "core/text.h"

namespace wigeonlane {
namespace {

namespace po = boost::program_options;

constexpr std::int64_t kMaxPort = 65535;

std::string EnvironmentName(std::string_view prefix, std::string_view option) {
  return Concat(prefix, absl::AsciiStrToUpper(absl::StrReplaceAll(AbslView(option), {{"-", "_"}})));
}

po::options_description MakeProgramOptions(const std::vector<OptionSpec>& specs) {
  po::options_description options;
  for (const OptionSpec& spec : specs) {
    if (spec.is_switch) {
      options.add_options()(spec.name.c_str(), spec.help.c_str());
    } else {
      options.add_options()(spec.name.c_str(), po::value<std::string>(), spec.help.c_str());
    }
  }
  return options;
}

absl::Status InvalidValueError(const std::string& name, const std::string& value,
                               std::string_view allowed) {
  return absl::InvalidArgumentError(
      Concat("option --", name, ": '", value, "' is not allowed; allowed: ", allowed));
}

}  // namespace

const std::string& SettingValues::Text(const std::string& name) const { return values_.at(name); }

bool SettingValues::Switch(const std::string& name) const {
  const std::string& text = values_.at(name);
  return text == "1" || text == "true";
}

absl::StatusOr<std::int64_t> SettingValues::Integer(const std::string& name, std::int64_t lowest,
                                                    std::int64_t highest) const {
  const std::string& text = values_.at(name);
  std::int64_t value = 0;
  if (!absl::SimpleAtoi(text, &value) || value < lowest || value > highest) {
    return InvalidValueError(name, text, Concat("a whole number from ", lowest, " to ", highest));
  }
  return value;
}

absl::StatusOr<std::chrono::milliseconds> SettingValues::Period(
    const std::string& name, std::chrono::milliseconds lowest,
    std::chrono::milliseconds highest) const {
  const std::string& text = values_.at(name);
  const auto period = ParsePeriod(text);
  if (!period.ok() || *period < lowest || *period > highest) {
    return InvalidValueError(name, text,
                             Concat("a duration such as 250ms, 2s or 1m, from ", lowest.count(),
                                    "ms to ", highest.count(), "ms"));
  }
  return *period;
}

absl::StatusOr<ParsedCommandLine> ParseCommandLine(int argc, const char* const* argv,
                                                   const std::vector<OptionSpec>& specs,
                                                   std::string_view environment_prefix) {
  const po::options_description options = MakeProgramOptions(specs);
  std::map<std::string, std::string> values;
  for (const OptionSpec& spec : specs) {
    const char* from_environment =
        std::getenv(EnvironmentName(environment_prefix, spec.name).c_str());
    values[spec.name] = from_environment == nullptr ? spec.default_value : from_environment;
  }
  std::vector<std::string> words;
  try {
    const auto parsed =
        po::command_line_parser(argc, argv)
            .options(options)
            .style(po::command_line_style::unix_style ^ po::command_line_style::allow_guessing)
            .run();
    for (const auto& option : parsed.options) {
      if (option.position_key >= 0) {
        words.insert(words.end(), option.value.begin(), option.value.end());
      } else {
        values[option.string_key] = option.value.empty() ? "1" : option.value.front();
      }
    }
  } catch (const po::error& error) {
    return absl::InvalidArgumentError(
        Concat(error.what(), "; allowed: the options that --help lists"));
  }
  for (const OptionSpec& spec : specs) {
    if (spec.required && values[spec.name].empty() && values["help"].empty()) {
      return absl::InvalidArgumentError(Concat("option --", spec.name, " (or ",
                                               EnvironmentName(environment_prefix, spec.name),
                                               "): '' is not allowed; allowed: ", spec.help));
    }
  }
  return ParsedCommandLine{SettingValues(std::move(values)), std::move(words)};
}

std::string OptionHelp(const std::vector<OptionSpec>& specs, std::string_view environment_prefix) {
  std::string help;
  for (const OptionSpec& spec : specs) {
    AppendTo(&help, "  --", spec.name, spec.is_switch ? "" : " VALUE", "\n      ", spec.help,
             "\n      environment ", EnvironmentName(environment_prefix, spec.name));
    if (!spec.default_value.empty()) AppendTo(&help, ", default ", spec.default_value);
    if (spec.required) AppendTo(&help, ", required");
    AppendTo(&help, "\n");
  }
  return help;
}

std::string Endpoint::ToString() const { return Concat(host, ":", port); }

absl::StatusOr<Endpoint> ParseEndpoint(std::string_view text) {
  const std::vector<std::string> parts = absl::StrSplit(AbslView(text), ':');
  std::int64_t port = 0;
  in_addr address{};
  const bool valid = parts.size() == 2 && inet_pton(AF_INET, parts[0].c_str(), &address) == 1 &&
                     absl::SimpleAtoi(parts[1], &port) && port >= 0 && port <= kMaxPort;
  if (!valid) {
    return absl::InvalidArgumentError(
        Concat("'", text, "' is not an address; allowed: IPv4:PORT with a port from 0 to 65535"));
  }
  return Endpoint{parts[0], static_cast<std::uint16_t>(port)};
}

absl::StatusOr<std::vector<Endpoint>> ParseEndpoints(std::string_view text) {
  std::vector<Endpoint> endpoints;
  const std::vector<std::string> parts =
      absl::StrSplit(AbslView(text), ',', absl::SkipWhitespace());
  for (const std::string& part : parts) {
    const auto endpoint = ParseEndpoint(part);
    if (!endpoint.ok()) return endpoint.status();
    endpoints.push_back(*endpoint);
  }
  return endpoints;
}

absl::StatusOr<std::chrono::milliseconds> ParsePeriod(std::string_view text) {
  const std::size_t digits = text.find_first_not_of("0123456789");
  const std::string_view unit =
      digits == std::string_view::npos ? std::string_view() : text.substr(digits);
  std::int64_t millis_per_unit = 0;
  if (unit == "ms") millis_per_unit = 1;
  if (unit == "s") millis_per_unit = 1000;
  if (unit == "m") millis_per_unit = 60'000;
  if (unit == "h") millis_per_unit = 3'600'000;
  std::int32_t count = 0;
  if (millis_per_unit == 0 || !absl::SimpleAtoi(AbslView(text.substr(0, digits)), &count)) {
    return absl::InvalidArgumentError(
        Concat("'", text, "' is not a duration; allowed: a number with ms, s, m or h"));
  }
  return std::chrono::milliseconds(count * millis_per_unit);
}

}  // namespace wigeonlane
