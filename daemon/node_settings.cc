#include "daemon/node_settings.h"

#include <algorithm>

#include "core/text.h"

namespace wigeonlane {
namespace {

using std::chrono::milliseconds;

absl::StatusOr<Endpoint> AddressOption(const SettingValues& values, const std::string& option) {
  auto endpoint = ParseEndpoint(values.Text(option));
  if (endpoint.ok()) return endpoint;
  return absl::InvalidArgumentError(
      Concat("option --", option, ": ", MessageOf(endpoint.status())));
}

absl::Status CheckOneOf(const SettingValues& values, const std::string& option,
                        const std::vector<std::string>& allowed) {
  const std::string& text = values.Text(option);
  if (std::find(allowed.begin(), allowed.end(), text) != allowed.end()) return absl::OkStatus();
  std::string list;
  for (const std::string& value : allowed) AppendTo(&list, list.empty() ? "" : ", ", value);
  return absl::InvalidArgumentError(
      Concat("option --", option, ": '", text, "' is not allowed; allowed: ", list));
}

}  // namespace

const std::vector<OptionSpec>& NodeOptions() {
  static const std::vector<OptionSpec> kOptions = {
      {"help", "", "print this help and exit", false, true},
      {"check-settings", "", "check all settings, print them and exit", false, true},
      {"name", "", "name of this entry instance, as the platform lists it", true},
      {"data-centre", "", "data centre that this instance runs in", true},
      {"listen", "127.0.0.1:7700", "address for callers, IPv4:PORT"},
      {"admin", "127.0.0.1:7701", "address for operators, health and metrics, IPv4:PORT"},
      {"peer", "127.0.0.1:7702", "UDP and TCP address for other entry instances, IPv4:PORT"},
      {"platform", "127.0.0.1:7600", "address of the platform's service, IPv4:PORT"},
      {"seeds", "", "peer addresses to try first, comma-separated IPv4:PORT"},
      {"log-level", "info", "trace, debug, info, warn, error or off"},
      {"log-format", "kv", "kv (key=value) or json"},
      {"log-decisions", "on", "one line for each routing or placement decision: on or off"},
      {"io-threads", "32",
       "threads for callers' and peers' connections, which also send while few do, 1 to 512"},
      {"send-threads", "512", "most requests on runners at once, 1 to 8192"},
      {"most-connections", "4096", "most callers' connections, 1 to 100000"},
      {"buffer-mb", "64",
       "memory for unfinished requests and unread responses of all callers, 1 to 65536 MB"},
      {"order-appends", "300",
       "appends a second that order claims of all entry instances together may take, 1 to 100000"},
      {"platform-timeout", "2s", "longest wait for one answer of the platform, 10ms to 60s"},
      {"shutdown-wait", "30s", "longest wait for requests in flight after SIGTERM, 0ms to 1h"},
      {"snapshot-every", "20000", "records between snapshots on the log, 10 to 10000000"},
  };
  return kOptions;
}

absl::StatusOr<NodeSettings> ParseNodeSettings(const SettingValues& values) {
  NodeSettings settings;
  settings.name = values.Text("name");
  settings.data_centre = values.Text("data-centre");
  const auto listen = AddressOption(values, "listen");
  const auto admin = AddressOption(values, "admin");
  const auto peer = AddressOption(values, "peer");
  const auto platform = AddressOption(values, "platform");
  const auto seeds = ParseEndpoints(values.Text("seeds"));
  const auto io_threads = values.Integer("io-threads", 1, 512);
  const auto send_threads = values.Integer("send-threads", 1, 8192);
  const auto max_connections = values.Integer("most-connections", 1, 100'000);
  const auto buffer_mb = values.Integer("buffer-mb", 1, 65'536);
  const auto order_appends = values.Integer("order-appends", 1, 100'000);
  const auto platform_timeout =
      values.Period("platform-timeout", milliseconds(10), milliseconds(60'000));
  const auto shutdown_wait =
      values.Period("shutdown-wait", milliseconds(0), milliseconds(3'600'000));
  const auto snapshot_interval_records = values.Integer("snapshot-every", 10, 10'000'000);
  for (const absl::Status& status :
       {listen.status(), admin.status(), peer.status(), platform.status(), seeds.status(),
        io_threads.status(), send_threads.status(), max_connections.status(), buffer_mb.status(),
        order_appends.status(), platform_timeout.status(), shutdown_wait.status(),
        snapshot_interval_records.status(),
        CheckOneOf(values, "log-level", {"trace", "debug", "info", "warn", "error", "off"}),
        CheckOneOf(values, "log-format", {"kv", "json"}),
        CheckOneOf(values, "log-decisions", {"on", "off"})}) {
    if (!status.ok()) return status;
  }
  settings.listen = *listen;
  settings.admin = *admin;
  settings.peer = *peer;
  settings.platform = *platform;
  settings.seeds = *seeds;
  settings.log.level = values.Text("log-level");
  settings.log.format =
      values.Text("log-format") == "json" ? LogFormat::kJson : LogFormat::kKeyValue;
  settings.log.decisions = values.Text("log-decisions") == "on";
  settings.io_threads = static_cast<std::size_t>(*io_threads);
  settings.send_threads = static_cast<std::size_t>(*send_threads);
  settings.max_connections = static_cast<std::size_t>(*max_connections);
  settings.max_buffered_bytes = static_cast<std::size_t>(*buffer_mb) << 20U;
  settings.order_appends_per_second = static_cast<double>(*order_appends);
  settings.platform_timeout = *platform_timeout;
  settings.shutdown_wait = *shutdown_wait;
  settings.snapshot_interval_records = static_cast<std::uint64_t>(*snapshot_interval_records);
  return settings;
}

}  // namespace wigeonlane
