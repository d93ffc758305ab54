/// Maps a caller's request to a queue, by its host and the longest matching prefix of its path.
#ifndef WIGEONLANE_JOBS_ROUTE_TABLE_H_
#define WIGEONLANE_JOBS_ROUTE_TABLE_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "jobs/job.h"

namespace wigeonlane {

/// The address and the policy of one queue.
struct QueueRoute {
  std::string host;         ///< Lower case, without port.
  std::string path_prefix;  ///< Ends with a slash.
  QueuePolicy policy;
};

/// The queue of a request.
struct RouteMatch {
  const QueueRoute* route = nullptr;
  std::string_view path_remainder;  ///< The request's path after the prefix.
};

/// The queues of one version of the configuration, and the services that each queue has ever had,
/// so that jobs accepted under an earlier version are still found.
class RouteTable {
 public:
  /// Replaces the routes. Keeps the history of services.
  void Assign(std::uint64_t version, std::vector<QueueRoute> routes);

  /// Returns the route for `path` (without query) on `host`; nothing if there is none.
  std::optional<RouteMatch> Match(std::string_view host, std::string_view path) const;

  /// Returns the services that the queue had in earlier versions, without its current one.
  std::vector<std::string> FormerServices(const QueueRoute& route) const;

  std::uint64_t version() const { return version_; }
  const std::vector<QueueRoute>& routes() const { return routes_; }

  /// All services that each queue has ever had, by host and prefix. The owner stores it for its
  /// successors.
  using History = std::map<std::string, std::set<std::string>>;
  const History& history() const { return history_; }
  /// Adds a stored history. Returns whether it contained new services.
  bool Merge(const History& stored);

 private:
  std::uint64_t version_ = 0;
  std::vector<QueueRoute> routes_;
  History history_;
};

}  // namespace wigeonlane

#endif  // WIGEONLANE_JOBS_ROUTE_TABLE_H_
