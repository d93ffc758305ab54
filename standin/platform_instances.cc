#include "standin/platform_instances.h"

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <nlohmann/json.hpp>
#include <vector>

#include "core/document.h"
#include "core/http_client.h"
#include "core/text.h"

namespace wigeonlane {
namespace {

constexpr std::chrono::milliseconds kControlTimeout{1'000};

std::string_view StateText(ListedState state) {
  switch (state) {
    case ListedState::kLive:
      return "live";
    case ListedState::kLeaving:
      return "leaving";
    case ListedState::kRebooting:
      return "rebooting";
    case ListedState::kGone:
      return "gone";
  }
  return "gone";
}

}  // namespace

absl::Status PlatformInstances::Register(std::string_view json_text) {
  const auto json = ParseJson(json_text);
  if (!json.ok()) return json.status();
  DocumentReader reader(*json, "instance");
  ListedInstance instance;
  instance.name = reader.Name("name");
  instance.role = reader.Choice("role", {"worker", "entry"}, "worker") == "entry"
                      ? ListedRole::kEntry
                      : ListedRole::kWorker;
  const bool worker = instance.role == ListedRole::kWorker;
  if (worker) instance.pool = reader.Name("pool");
  if (worker) instance.rack = reader.Name("rack");
  instance.data_centre = reader.Name("data_centre");
  const std::string host = reader.Name("host");
  instance.address = {host, static_cast<std::uint16_t>(reader.Integer("port", 1, 65535))};
  const Endpoint control{host, static_cast<std::uint16_t>(reader.Integer("control_port", 1, 65535,
                                                                         instance.address.port))};
  if (absl::Status status = reader.Finish(); !status.ok()) return status;
  const std::lock_guard lock(mutex_);
  const auto previous = instances_.find(instance.name);
  instance.boots = previous == instances_.end() ? 1 : previous->second.boots + 1;
  instances_[instance.name] = instance;
  control_addresses_[instance.name] = control;
  return absl::OkStatus();
}

absl::Status PlatformInstances::SetState(const std::string& name, ListedState state) {
  const std::lock_guard lock(mutex_);
  const auto registered = instances_.find(name);
  if (registered == instances_.end()) return absl::NotFoundError(Concat("no instance ", name));
  registered->second.state = state;
  return absl::OkStatus();
}

absl::Status PlatformInstances::Reboot(const std::string& name) {
  Endpoint control;
  {
    const std::lock_guard lock(mutex_);
    const auto registered = instances_.find(name);
    if (registered == instances_.end()) return absl::NotFoundError(Concat("no instance ", name));
    if (registered->second.state == ListedState::kRebooting) return absl::OkStatus();
    registered->second.state = ListedState::kRebooting;
    control = control_addresses_.at(name);
  }
  HttpClient client(control, kControlTimeout);
  const HttpExchange exchange =
      client.Post("/control/reboot", Concat("{\"for_ms\":", reboot_time_.count(), "}"));
  return exchange.answer.ok() ? absl::OkStatus() : exchange.answer.status();
}

bool PlatformInstances::AcceptsConnections(const ListedInstance& instance) {
  asio::io_context context;
  asio::ip::tcp::socket socket(context);
  std::error_code error;
  const auto address = asio::ip::make_address(instance.address.host, error);
  if (error) return false;
  socket.connect({address, instance.address.port}, error);
  return !error;
}

void PlatformInstances::Refresh() {
  std::map<std::string, ListedInstance> listed;
  {
    const std::lock_guard lock(mutex_);
    listed = instances_;
  }
  nlohmann::json rows = nlohmann::json::array();
  for (auto& [name, instance] : listed) {
    if (instance.state == ListedState::kLive && !AcceptsConnections(instance)) {
      instance.state = ListedState::kGone;
    }
    rows.push_back({{"name", name},
                    {"role", instance.role == ListedRole::kEntry ? "entry" : "worker"},
                    {"state", StateText(instance.state)},
                    {"pool", instance.pool},
                    {"rack", instance.rack},
                    {"data_centre", instance.data_centre},
                    {"address", instance.address.ToString()},
                    {"boots", instance.boots}});
  }
  const std::lock_guard lock(mutex_);
  published_list_ = nlohmann::json{{"instances", rows}}.dump();
}

std::string PlatformInstances::ListJson() const {
  const std::lock_guard lock(mutex_);
  return published_list_;
}

}  // namespace wigeonlane
