/// Maps a caller's request to a queue, by its host and the longest matching prefix of its path.
#ifndef WIGEONLANE_JOBS_ROUTE_TABLE_H_
#define WIGEONLANE_JOBS_ROUTE_TABLE_H_

#include <compare>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "jobs/job.h"
#include "jobs/queue_address.h"

namespace wigeonlane {

/// The address and the present policy of one queue.
struct QueueRoute {
  QueueAddress address;
  QueuePolicy policy;
  bool is_public = false;  ///< Calls need no API key, and its jobs belong to no team.
};

/// The queue of a request.
struct RouteMatch {
  const QueueRoute* route = nullptr;
  std::string_view path_remainder;  ///< The request's path after the prefix.
};

/// A queue and a service whose runners execute its jobs. Another version of the configuration may
/// name another service for the queue.
struct QueueService {
  QueueAddress queue;
  std::string service;

  auto operator<=>(const QueueService&) const = default;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(queue, service);
  }
};

/// The queues of one version of the configuration.
class RouteTable {
 public:
  /// Replaces the routes.
  void Assign(std::uint64_t version, std::vector<QueueRoute> routes);

  /// Returns the route for `path` (without query) on `host`; nothing if there is none.
  std::optional<RouteMatch> Match(std::string_view host, std::string_view path) const;

  /// Returns the oldest version from which on every version that this process has read names the
  /// service for the queue; nothing if the present version does not.
  std::optional<std::uint64_t> AssignedSince(const QueueService& assignment) const;

  /// Returns the service of every queue.
  std::vector<QueueService> Assignments() const;

  std::uint64_t version() const { return version_; }
  const std::vector<QueueRoute>& routes() const { return routes_; }

 private:
  std::uint64_t version_ = 0;
  std::vector<QueueRoute> routes_;
  std::map<QueueService, std::uint64_t> assigned_since_;
};

}  // namespace wigeonlane

#endif  // WIGEONLANE_JOBS_ROUTE_TABLE_H_
