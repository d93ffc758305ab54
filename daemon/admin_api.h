/// HTTP interface of an entry instance for operators: documents, drains, moves, outcomes, status
/// and metrics.
#ifndef WIGEONLANE_DAEMON_ADMIN_API_H_
#define WIGEONLANE_DAEMON_ADMIN_API_H_

#include <functional>
#include <memory>
#include <string>

#include "absl/status/status.h"
#include "core/metrics.h"
#include "core/settings.h"
#include "daemon/node_types.h"

namespace wigeonlane {

/// Serves `/v1/admin/...`, `/healthz`, `/readyz` and `/metrics` on a separate port and separate
/// threads, so that operators are served even while callers overload the instance.
class AdminApi {
 public:
  struct Sources {
    NodeFollower* follower = nullptr;
    NodeControl* control = nullptr;
    MetricsRegistry* metrics = nullptr;
    std::function<bool()> ready;
    std::function<std::string()> status_json;
    std::function<void()> refresh_metrics;
  };

  AdminApi(Endpoint listen, Sources sources);
  ~AdminApi();
  AdminApi(const AdminApi&) = delete;
  AdminApi& operator=(const AdminApi&) = delete;

  /// Starts serving on separate threads. Errors: Unavailable when the address cannot be bound.
  absl::Status Start();

  void Stop();

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace wigeonlane

#endif  // WIGEONLANE_DAEMON_ADMIN_API_H_
