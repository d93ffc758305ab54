/// One entry instance: owns every part and wires them together.
#ifndef WIGEONLANE_DAEMON_NODE_H_
#define WIGEONLANE_DAEMON_NODE_H_

#include <asio/executor_work_guard.hpp>
#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <atomic>
#include <map>
#include <memory>
#include <mutex>
#include <nlohmann/json_fwd.hpp>
#include <string>
#include <thread>
#include <vector>

#include "absl/status/status.h"
#include "core/clock.h"
#include "core/metrics.h"
#include "core/thread_pool.h"
#include "daemon/admin_api.h"
#include "daemon/node_settings.h"
#include "daemon/node_types.h"
#include "entry/dispatcher.h"
#include "entry/front_end.h"
#include "entry/order_claim_service.h"
#include "entry/peer_group.h"
#include "entry/runner_client.h"

namespace wigeonlane {

class Node {
 public:
  explicit Node(NodeSettings settings);
  ~Node();
  Node(const Node&) = delete;
  Node& operator=(const Node&) = delete;

  /// Starts all parts. Errors: Unavailable when an address cannot be had.
  absl::Status Start();

  /// Whether callers may be sent here.
  bool ready() const;

  /// Stops gracefully: not ready at once, requests in flight are finished or `give_up` turns
  /// true or the settings' wait passes, then everything ends. Returns the requests cut off.
  std::uint64_t Shutdown(const std::atomic<bool>& give_up);

 private:
  void OnRouteView(std::shared_ptr<const RouteView> view);
  void Reconfigure();
  void Resync();
  void ScheduleSweep(Duration pause);
  void ScheduleReconfigure(Duration pause);
  PeerGroup::Hooks PeerHooks();
  std::map<std::string, std::uint32_t> DrainingInFlight() const;
  std::shared_ptr<const RouteView> View() const;
  /// Everything below it is folded and used by the dispatcher: routing may lag behind the fold.
  Offset InForceOffset() const;
  std::string StatusJson() const;
  nlohmann::ordered_json SharesJson() const;
  std::map<std::string, std::uint32_t> own_demand() const;
  void RefreshMetrics();

  const NodeSettings settings_;
  const std::string incarnation_;
  SteadyClock clock_;
  MetricsRegistry metrics_;
  asio::io_context context_;
  asio::executor_work_guard<asio::io_context::executor_type> work_guard_;
  asio::steady_timer sweep_timer_;
  asio::steady_timer reconfigure_timer_;
  HttpLogService log_;
  HttpLogService control_log_;
  HttpLogService resync_log_;
  std::mutex resync_mutex_;
  Instant resynced_at_{};
  NodeFollower follower_;
  NodeControl control_;
  HttpInstanceList instance_list_;
  NodePlanner planner_;
  RunnerClient runner_client_;
  ThreadPool send_threads_;
  Dispatcher dispatcher_;
  OrderClaimService order_claims_;
  PeerGroup peer_group_;
  FrontEnd front_end_;
  AdminApi admin_;
  std::vector<std::thread> io_threads_;
  std::mutex reconfigure_mutex_;
  mutable std::mutex view_mutex_;
  std::shared_ptr<const RouteView> view_;
  std::shared_ptr<const RouteView> configured_view_;  ///< The one that the dispatcher uses.
  std::map<std::string, std::uint32_t> own_demand_;   ///< As of the latest division of slots.
  std::atomic<bool> shutting_down_{false};
  std::atomic<bool> shutdown_started_{false};
};

}  // namespace wigeonlane

#endif  // WIGEONLANE_DAEMON_NODE_H_
