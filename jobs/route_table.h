/// Which queue a caller's request is for: by host and the longest prefix of its path.
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

/// One queue as callers reach it.
struct QueueRoute {
  std::string host;         ///< Lower case, without port.
  std::string path_prefix;  ///< Ends with a slash.
  QueuePolicy policy;
};

/// A request's queue and what follows the prefix in its path.
struct RouteMatch {
  const QueueRoute* route = nullptr;
  std::string_view path_remainder;
};

/// The queues of one version of the configuration, and the services that each had before, so that
/// jobs accepted under an earlier version are still found.
class RouteTable {
 public:
  /// Replaces the routes. Keeps the services that queues had before.
  void Assign(std::uint64_t version, std::vector<QueueRoute> routes);

  /// The route of `path` (without query) on `host`; nothing when there is none.
  std::optional<RouteMatch> Match(std::string_view host, std::string_view path) const;

  /// Services that the queue had in earlier versions, other than its present one.
  std::vector<std::string> FormerServices(const QueueRoute& route) const;

  std::uint64_t version() const { return version_; }
  const std::vector<QueueRoute>& routes() const { return routes_; }

  /// All services that each queue ever had, by host and prefix, to be stored and taken over.
  using History = std::map<std::string, std::set<std::string>>;
  const History& history() const { return history_; }
  /// Adds a stored history. Returns whether it said anything new.
  bool Merge(const History& stored);

 private:
  std::uint64_t version_ = 0;
  std::vector<QueueRoute> routes_;
  History history_;
};

}  // namespace wigeonlane

#endif  // WIGEONLANE_JOBS_ROUTE_TABLE_H_
