/// One instance of the job service: owns all components of its process and connects them.
#ifndef WIGEONLANE_DAEMON_JOB_INSTANCE_H_
#define WIGEONLANE_DAEMON_JOB_INSTANCE_H_

#include <asio/io_context.hpp>
#include <asio/signal_set.hpp>
#include <asio/steady_timer.hpp>
#include <map>
#include <memory>
#include <set>
#include <string>

#include "absl/status/status.h"
#include "cells/call_router.h"
#include "cells/cell_dispatcher.h"
#include "cells/cell_host.h"
#include "cells/cell_table.h"
#include "cells/ownership.h"
#include "cells/queue_locator.h"
#include "core/boot_clock.h"
#include "core/metrics.h"
#include "daemon/cell_assignment_keeper.h"
#include "daemon/machine_coordinator.h"
#include "daemon/quota_keeper.h"
#include "jobs/access_control.h"
#include "jobs/route_table.h"
#include "net/async_http_server.h"
#include "net/frame_link.h"
#include "platform/caller_api.h"
#include "platform/config_codec.h"
#include "platform/keyed_watch.h"
#include "platform/runner_directory.h"
#include "platform/runner_gateway.h"
#include "platform/settings_file.h"
#include "platform/store_client.h"

namespace wigeonlane {

/// Runs in a single thread: every callback runs on one io_context.
class JobInstance {
 public:
  explicit JobInstance(PlatformSettings settings);

  /// Serves until SIGTERM or SIGINT has been received and the shutdown has finished.
  /// Errors: Unavailable when an address cannot be bound.
  absl::Status Run();

 private:
  using Host = CellHost<StoreClient, RunnerGateway, BootClock>;

  absl::Status Listen();
  void WaitForSignal();
  void ApplyOperatorChanges(const std::set<std::string>& keys);
  void ApplyConfig();
  void ApplyWaves();
  void HandleRenewal(Instant sent);
  std::unique_ptr<Host> MakeHost(CellNumber cell, TermToken token);
  std::vector<OwnedCell> OwnedCells() const;
  void ApplyTeamTerms();
  void StartRunnerDirectory();
  void UpdateRunners();
  void ConfirmListings();
  void ExtendCellAssignment();
  void ReadRoutesAtTakeover(CellNumber cell, TermToken token);
  void SetHostRunners(CellNumber cell, Host* host);
  std::optional<Endpoint> OwnerAddress(CellNumber cell) const;
  void Serve(CellCall call, std::function<void(CallResponse)> respond);
  void StartShutdown();
  void LeaveGroup();
  /// Notifies the other owners that the ownership of cells has changed, so that they refresh it at
  /// once.
  void NotifyOwnersChanged();
  /// Evicts the instance at `peer` from the group, because its address no longer accepts
  /// connections.
  void EvictStoppedPeer(const Endpoint& peer);
  void FinishShutdown();
  void UpdateGauges();

  PlatformSettings settings_;
  BootClock clock_;
  asio::io_context io_;
  MetricsRegistry metrics_;
  const std::shared_ptr<ByteBudget> request_budget_;   ///< Of callers and other instances.
  const std::shared_ptr<ByteBudget> response_budget_;  ///< Of the store and the runners.
  StoreClient store_;
  RunnerGateway runner_gateway_;
  RouteTable routes_;
  AccessControl access_;
  std::vector<std::string> services_;  ///< Names of the configured services.
  HttpServerLimits caller_limits_;
  CallRouter router_;
  QueueLocator locator_;
  CellAssignmentKeeper assignment_keeper_;
  QuotaKeeper quota_keeper_;
  CallerApi caller_api_;
  std::unique_ptr<MachineClient> machines_;          ///< Null when the platform has no machine API.
  std::unique_ptr<MachineCoordinator> coordinator_;  ///< Null when the platform has no machine API.
  Ownership<StoreClient, BootClock> ownership_;
  CellTable<Host> cells_;
  CellDispatcher<Host> dispatcher_;
  KeyedWatch operator_watch_;
  RunnerDirectory runner_directory_;
  FrameServer peer_server_;
  AsyncHttpServer caller_server_;
  AsyncHttpServer readiness_server_;
  AsyncHttpServer metrics_server_;
  asio::signal_set signals_;
  asio::steady_timer shutdown_timer_;
  asio::steady_timer cell_assignment_timer_;
  Instant routes_read_at_{};  ///< When `routes_` got its version.
  Instant shutdown_started_at_{};
  bool draining_ = false;
  bool left_group_ = false;
  bool runner_directory_started_ = false;
};

}  // namespace wigeonlane

#endif  // WIGEONLANE_DAEMON_JOB_INSTANCE_H_
