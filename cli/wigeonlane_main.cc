/// Main program of wigeonlane, the operators' command-line tool.
#include <csignal>
#include <iostream>

#include "cli/commands.h"
#include "cli/exit_codes.h"
#include "cli/explain_command.h"
#include "cli/job_command.h"
#include "cli/load_command.h"
#include "core/settings.h"

namespace wigeonlane {
namespace {

constexpr std::string_view kEnvironmentPrefix = "WIGEONLANE_";

const std::vector<OptionSpec>& Options() {
  static const std::vector<OptionSpec> kOptions = {
      {"help", "", "print this help and exit", false, true},
      {"admins", "127.0.0.1:7701", "admin addresses of the entry instances, comma-separated"},
      {"callers", "127.0.0.1:8624", "address of an instance's callers' interface, for jobs"},
      {"host", "", "host name of the queue that a job command is about"},
      {"output", "table", "table or json"},
      {"timeout", "8s", "longest wait for one answer, 10ms to 10m"},
      {"id", "", "record id to write under; the same id again is harmless"},
      {"replaces", "", "version that a published document replaces; the present one by default"},
      {"wait", "", "wait until it is in force on every listed instance, or the job has finished",
       false, true},
      {"svg", "", "file that a load run's plot is written to"},
      {"wait-limit", "17s", "longest wait for that, 10ms to 10m"},
  };
  return kOptions;
}

int Run(int argc, char** argv) {
  const auto parsed = ParseCommandLine(argc, argv, Options(), kEnvironmentPrefix);
  if (!parsed.ok()) {
    std::cerr << "wigeonlane: " << parsed.status().message() << "\n";
    return kExitUsage;
  }
  const SettingValues& values = parsed->values;
  if (!parsed->words.empty() && parsed->words.front() == "explain" && !values.Switch("help")) {
    return RunExplainCommand(parsed->words);
  }
  if (values.Switch("help")) {
    std::cout << "wigeonlane: publish, drain, move, ask and measure\n\n"
              << CommandHelp() << "\nOptions:\n"
              << OptionHelp(Options(), kEnvironmentPrefix);
    return kExitAccepted;
  }
  constexpr std::chrono::milliseconds kMinTimeout{10};
  constexpr std::chrono::milliseconds kMaxTimeout{600'000};
  const auto admins = ParseEndpoints(values.Text("admins"));
  const auto timeout = values.Period("timeout", kMinTimeout, kMaxTimeout);
  const auto wait_limit = values.Period("wait-limit", kMinTimeout, kMaxTimeout);
  for (const absl::Status& status : {admins.status(), timeout.status(), wait_limit.status()}) {
    if (!status.ok()) {
      std::cerr << "wigeonlane: " << status.message() << "\n";
      return kExitUsage;
    }
  }
  if (!parsed->words.empty() && parsed->words.front() == "job") {
    const auto callers = ParseEndpoint(values.Text("callers"));
    if (!callers.ok()) {
      std::cerr << "wigeonlane: " << callers.status().message() << "\n";
      return kExitUsage;
    }
    return RunJobCommand(
        {*callers, values.Text("host"), *timeout, values.Switch("wait"), *wait_limit},
        parsed->words);
  }
  const bool json = values.Text("output") == "json";
  if (!parsed->words.empty() && parsed->words.front() == "load") {
    return RunLoadCommand(parsed->words, json, values.Text("svg"));
  }
  return RunCommand({.client = AdminClient(*admins, *timeout),
                     .json = json,
                     .record_id = values.Text("id"),
                     .replaces = values.Text("replaces"),
                     .wait = values.Switch("wait"),
                     .wait_limit = *wait_limit},
                    parsed->words);
}

}  // namespace
}  // namespace wigeonlane

int main(int argc, char** argv) {
  std::signal(SIGPIPE, SIG_IGN);
  return wigeonlane::Run(argc, argv);
}
