/// Delayed instance list of the stand-in platform, and reboots of workers.
#ifndef WIGEONLANE_STANDIN_PLATFORM_INSTANCES_H_
#define WIGEONLANE_STANDIN_PLATFORM_INSTANCES_H_

#include <chrono>
#include <map>
#include <mutex>
#include <string>
#include <string_view>

#include "absl/status/status.h"
#include "platform/instance_list.h"

namespace wigeonlane {

/// Registered instances and a published list that is updated with a delay. Safe for several
/// threads.
class PlatformInstances {
 public:
  explicit PlatformInstances(std::chrono::milliseconds reboot_time) : reboot_time_(reboot_time) {}

  /// Registers an instance from a JSON object. A repeated registration counts as a boot.
  absl::Status Register(std::string_view json_text);

  /// Sets the state of an instance, which the list shows after the next `Refresh`. Errors:
  /// NotFound.
  absl::Status SetState(const std::string& name, ListedState state);

  /// Requests a reboot from the instance's stand-in. Errors: NotFound, or the error of the call.
  absl::Status Reboot(const std::string& name);

  /// Checks which instances accept connections and publishes the list that `ListJson` returns until
  /// the next call.
  void Refresh();

  /// Returns the last published list as JSON text.
  std::string ListJson() const;

 private:
  static bool AcceptsConnections(const ListedInstance& instance);

  const std::chrono::milliseconds reboot_time_;
  mutable std::mutex mutex_;
  std::map<std::string, ListedInstance> instances_;
  std::map<std::string, Endpoint> control_addresses_;
  std::string published_list_ = R"({"instances":[]})";
};

}  // namespace wigeonlane

#endif  // WIGEONLANE_STANDIN_PLATFORM_INSTANCES_H_
