/// Common main function of the stand-in programs: signals, command line, help.
#ifndef WIGEONLANE_STANDIN_STANDIN_MAIN_H_
#define WIGEONLANE_STANDIN_STANDIN_MAIN_H_

#include <atomic>
#include <csignal>
#include <iostream>
#include <string>
#include <vector>

#include "core/settings.h"

namespace wigeonlane {

/// Set by SIGTERM and SIGINT.
inline std::atomic<bool> g_stop{false};

/// Runs a stand-in: `run` gets the parsed option values and returns the exit code. An invalid
/// command line prints one line to standard error and exits with 2.
inline int StandinMain(int argc, char** argv, const std::string& name, const std::string& summary,
                       const std::vector<OptionSpec>& options,
                       int (*run)(const SettingValues& values)) {
  constexpr std::string_view kEnvironmentPrefix = "WIGEONLANE_STANDIN_";
  constexpr int kExitUsage = 2;
  const auto on_signal = [](int /*signal*/) { g_stop = true; };
  std::signal(SIGTERM, on_signal);
  std::signal(SIGINT, on_signal);
  std::signal(SIGPIPE, SIG_IGN);
  const auto parsed = ParseCommandLine(argc, argv, options, kEnvironmentPrefix);
  if (!parsed.ok()) {
    std::cerr << name << ": " << parsed.status().message() << "\n";
    return kExitUsage;
  }
  if (parsed->values.Switch("help")) {
    std::cout << name << ": " << summary << "\n\n" << OptionHelp(options, kEnvironmentPrefix);
    return 0;
  }
  return run(parsed->values);
}

}  // namespace wigeonlane

#endif  // WIGEONLANE_STANDIN_STANDIN_MAIN_H_
