/// This process among the other entry instances: heartbeats, exchange of the log, outcomes.
#ifndef WIGEONLANE_ENTRY_PEER_GROUP_H_
#define WIGEONLANE_ENTRY_PEER_GROUP_H_

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <atomic>
#include <chrono>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

#include "core/clock.h"
#include "core/metrics.h"
#include "core/settings.h"
#include "entry/caller_request.h"
#include "fleet/listed_instance.h"
#include "fleet/state.h"
#include "peer/membership.h"
#include "peer/peer_link.h"
#include "policy/allotment.h"
#include "policy/fleet_planner.h"

namespace wigeonlane {

/// Owner of the membership and the peer port. Safe for several threads.
class PeerGroup {
 public:
  struct Options {
    std::string incarnation;
    std::string name;
    std::string data_centre;
    Endpoint listen;
    std::vector<Endpoint> seeds;
  };

  /// How the group reaches the rest of the process.
  struct Hooks {
    std::function<std::map<std::string, std::uint32_t>()> demand;
    std::function<std::map<std::string, std::uint32_t>()> draining_in_flight;
    std::function<Offset()> next_offset;
    /// Offset below which everything is in force for new requests; never above `next_offset`.
    std::function<Offset()> in_force_offset;
    std::function<bool()> has_state;
    std::function<bool()> log_is_unresponsive;
    std::function<std::vector<LogEntry>(Offset from)> recent_entries;
    std::function<std::string()> encoded_state;
    std::function<void(const std::vector<LogEntry>&)> apply_entries;
    std::function<void(FleetState)> adopt_state;
    std::function<std::optional<CallerResponse>(const Digest& key, bool* in_flight)> find_response;
  };

  PeerGroup(Options options, const SteadyClock& clock, asio::io_context* context,
            MetricsRegistry* metrics);

  /// Opens the peer port and starts heartbeats. Errors: Unavailable.
  absl::Status Start(Hooks hooks);

  /// Tells the others that this instance leaves.
  void AnnounceLeaving();

  void Stop();

  /// Learns addresses of entry instances from the platform's list.
  void HandleInstanceList(const std::vector<ListedInstance>& listed);

  /// Demand of all live members, the own one among them, in incarnation order.
  std::vector<MemberDemand> MemberDemands(
      const std::map<std::string, std::uint32_t>& own_demand) const;

  /// LiveMemberProgress of all live members, the own one among them.
  std::vector<MemberProgress> LiveMemberProgress() const;

  /// Live members, without the own one.
  std::size_t other_member_count() const;

  /// Whether the others had time to be heard since the start.
  bool membership_settled() const;

  /// Asks the author of a claim for its outcome until `deadline`; none when it is not known.
  void QueryOutcome(const std::string& author, const Digest& key, Instant deadline,
                    std::function<void(std::optional<CallerResponse>)> callback);

 private:
  using OutcomeCallback = std::function<void(std::optional<CallerResponse>)>;

  void SendPeriodicHeartbeat();
  void SendHeartbeat(bool leaving);
  std::vector<Endpoint> HeartbeatTargets() const;
  void ScheduleExchange();
  void ExchangeLog();
  void RequestSuffix(const Endpoint& peer);
  void RequestState(const Endpoint& peer);
  PeerResponse Serve(const PeerRequest& request) const;
  void PollOutcome(const Endpoint& author, const Digest& key, Instant deadline,
                   OutcomeCallback callback);
  std::chrono::milliseconds HeartbeatIntervalFor(std::size_t bytes, std::size_t targets) const;

  const Options options_;
  const SteadyClock& clock_;
  asio::io_context& context_;
  Hooks hooks_;
  asio::steady_timer heartbeat_timer_;
  asio::steady_timer exchange_timer_;
  mutable std::mutex mutex_;
  Membership<SteadyClock> members_;
  std::map<std::string, Endpoint> listed_addresses_;
  std::vector<Endpoint> discovered_addresses_;  ///< Addresses that heartbeats of others named.
  std::uint64_t heartbeat_sequence_ = 0;
  std::chrono::milliseconds heartbeat_interval_{0};
  std::atomic<bool> exchange_in_progress_{false};
  Instant started_at_;
  PeerLink link_;
};

}  // namespace wigeonlane

#endif  // WIGEONLANE_ENTRY_PEER_GROUP_H_
