/// The stand-in platform's lagging list of instances, and reboots of workers.
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

/// Registered instances and a list of them that lags behind. Safe for several threads.
class PlatformInstances {
 public:
  explicit PlatformInstances(std::chrono::milliseconds reboot_time) : reboot_time_(reboot_time) {}

  /// Registers an instance from a JSON object. Registering again counts as a boot.
  absl::Status Register(std::string_view json_text);

  /// Changes the true state of an instance. Errors: NotFound.
  absl::Status SetState(const std::string& name, ListedState state);

  /// Tells the instance's stand-in to reboot. Errors: NotFound, or Unavailable when it cannot be
  /// reached.
  absl::Status Reboot(const std::string& name);

  /// Looks which instances answer and publishes the list that readers see until the next call.
  void Refresh();

  /// The lagging list as JSON text.
  std::string ListJson() const;

 private:
  static bool Answers(const ListedInstance& instance);

  const std::chrono::milliseconds reboot_time_;
  mutable std::mutex mutex_;
  std::map<std::string, ListedInstance> instances_;
  std::map<std::string, Endpoint> controls_;
  std::string published_ = R"({"instances":[]})";
};

}  // namespace wigeonlane

#endif  // WIGEONLANE_STANDIN_PLATFORM_INSTANCES_H_
