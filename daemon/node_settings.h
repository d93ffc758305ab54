/// Settings of one entry instance, read from command-line flags and environment variables.
#ifndef WIGEONLANE_DAEMON_NODE_SETTINGS_H_
#define WIGEONLANE_DAEMON_NODE_SETTINGS_H_

#include <chrono>
#include <string>
#include <string_view>
#include <vector>

#include "absl/status/statusor.h"
#include "core/logging.h"
#include "core/settings.h"

namespace wigeonlane {

inline constexpr std::string_view kNodeEnvironmentPrefix = "WIGEONLANE_";

/// Validated settings of `wigeonlaned`.
struct NodeSettings {
  std::string name;
  std::string data_centre;
  Endpoint listen;
  Endpoint admin;
  Endpoint peer;
  Endpoint platform;
  std::vector<Endpoint> seeds;
  LogOptions log;
  std::size_t io_threads = 0;
  std::size_t send_threads = 0;
  std::size_t max_connections = 0;
  std::size_t max_buffered_bytes = 0;
  double order_appends_per_second = 0;
  std::chrono::milliseconds platform_timeout{0};
  std::chrono::milliseconds shutdown_wait{0};
  std::uint64_t snapshot_interval_records = 0;  ///< Number of log records between snapshots.
};

/// Returns the options, which apply to flags, environment variables and `--help` alike.
const std::vector<OptionSpec>& NodeOptions();

/// Validates `values`. Errors: InvalidArgument with a line that names the option, its value and the
/// allowed values.
absl::StatusOr<NodeSettings> ParseNodeSettings(const SettingValues& values);

}  // namespace wigeonlane

#endif  // WIGEONLANE_DAEMON_NODE_SETTINGS_H_
