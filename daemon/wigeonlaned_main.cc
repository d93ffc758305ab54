/// wigeonlaned: runs an entry instance between callers and backend servers, or with `jobs` an
/// instance of the job service.
#include <malloc.h>

#include <atomic>
#include <chrono>
#include <csignal>
#include <cstdlib>
#include <iostream>
#include <thread>

#include "core/logging.h"
#include "core/text.h"
#include "daemon/job_instance.h"
#include "daemon/node.h"
#include "daemon/node_settings.h"

namespace {

constexpr int kExitUsage = 2;
constexpr int kExitFailure = 1;
constexpr std::chrono::milliseconds kSignalPollInterval{10};
constexpr std::string_view kJobsCommand = "jobs";
constexpr std::string_view kCheckSettingsFlag = "--check-settings";
constexpr const char* kDefaultSettingsFile = "/etc/wigeonlane/settings.conf";

std::atomic<int> g_signal_count{0};
std::atomic<bool> g_give_up{false};

void OnSignal(int /*signal*/) {
  if (++g_signal_count > 1) g_give_up = true;
}

int Fail(int code, std::string_view message) {
  std::cerr << "wigeonlaned: " << message << "\n";
  return code;
}

/// Keeps memory that was freed after a flood of requests from staying with the process: the
/// allocator otherwise has an arena for each of many threads, and returns bodies only from the end
/// of an arena.
void LimitRetainedMemory() {
  constexpr int kArenas = 2;
  constexpr int kMappedBytes = 64 * 1024;  // Below the size of a large body.
  ::mallopt(M_ARENA_MAX, kArenas);
  ::mallopt(M_MMAP_THRESHOLD, kMappedBytes);
}

/// Runs an instance of the job service. WIGEONLANE_NODE_FILE names its settings file.
int RunJobInstance(bool check_only) {
  const char* path = std::getenv("WIGEONLANE_NODE_FILE");
  auto settings = wigeonlane::ReadPlatformSettings(path == nullptr ? kDefaultSettingsFile : path);
  if (!settings.ok()) return Fail(kExitUsage, wigeonlane::MessageOf(settings.status()));
  if (check_only) {
    std::cout << "instance = " << settings->instance << "\ndata-centre = " << settings->data_centre
              << "\ncallers = " << settings->callers.ToString()
              << "\nreadiness = " << settings->readiness.ToString()
              << "\npeers = " << settings->peers.ToString()
              << "\nmetrics = " << settings->metrics.ToString()
              << "\nstore = " << settings->store.ToString() << "\ncells = " << settings->partitions
              << "\n";
    return 0;
  }
  wigeonlane::LogOptions log;
  log.to_standard_output = true;
  if (absl::Status status = wigeonlane::StartLogging(log); !status.ok()) {
    return Fail(kExitUsage, wigeonlane::MessageOf(status));
  }
  const absl::Status status = wigeonlane::JobInstance(*std::move(settings)).Run();
  wigeonlane::StopLogging();
  return status.ok() ? 0 : Fail(kExitFailure, wigeonlane::MessageOf(status));
}

}  // namespace

int main(int argc, char** argv) {
  using wigeonlane::NodeOptions;
  if (argc >= 2 && kJobsCommand == argv[1]) {
    std::signal(SIGPIPE, SIG_IGN);
    const bool check_only = argc == 3 && kCheckSettingsFlag == argv[2];
    if (argc > 2 && !check_only) return Fail(kExitUsage, "jobs: allowed: --check-settings");
    return RunJobInstance(check_only);
  }
  LimitRetainedMemory();
  std::signal(SIGTERM, OnSignal);
  std::signal(SIGINT, OnSignal);
  std::signal(SIGPIPE, SIG_IGN);
  const auto parsed =
      wigeonlane::ParseCommandLine(argc, argv, NodeOptions(), wigeonlane::kNodeEnvironmentPrefix);
  if (!parsed.ok()) return Fail(kExitUsage, wigeonlane::MessageOf(parsed.status()));
  if (parsed->values.Switch("help")) {
    std::cout << "wigeonlaned: an entry instance of wigeonlane\n\nOptions:\n"
              << wigeonlane::OptionHelp(NodeOptions(), wigeonlane::kNodeEnvironmentPrefix);
    return 0;
  }
  if (!parsed->words.empty()) {
    return Fail(kExitUsage, "unexpected word '" + parsed->words.front() + "'; allowed: options");
  }
  auto settings = wigeonlane::ParseNodeSettings(parsed->values);
  if (!settings.ok()) return Fail(kExitUsage, wigeonlane::MessageOf(settings.status()));
  if (parsed->values.Switch("check-settings")) {
    for (const auto& option : NodeOptions()) {
      if (!option.is_switch) {
        std::cout << option.name << " = " << parsed->values.Text(option.name) << "\n";
      }
    }
    return 0;
  }
  if (absl::Status status = wigeonlane::StartLogging(settings->log); !status.ok()) {
    return Fail(kExitUsage, wigeonlane::MessageOf(status));
  }
  std::uint64_t cut_off = 0;
  {
    wigeonlane::Node node(*std::move(settings));
    if (absl::Status status = node.Start(); !status.ok()) {
      return Fail(kExitFailure, wigeonlane::MessageOf(status));
    }
    while (g_signal_count == 0) std::this_thread::sleep_for(kSignalPollInterval);
    cut_off = node.Shutdown(g_give_up);
  }
  wigeonlane::StopLogging();
  return cut_off == 0 ? 0 : kExitFailure;
}
