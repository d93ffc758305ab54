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
    std::function<bool()> log_is_silent;
    std::function<std::vector<LogEntry>(Offset from)> recent_entries;
    std::function<std::string()> encoded_state;
    std::function<void(const std::vector<LogEntry>&)> apply_entries;
    std::function<void(FleetState)> adopt_state;
    std::function<std::optional<CallerAnswer>(const Digest& key, bool* in_flight)> outcome;
  };

  PeerGroup(Options options, const SteadyClock& clock, asio::io_context* context,
            MetricsRegistry* metrics);

  /// Opens the peer port and starts heartbeats. Errors: Unavailable.
  absl::Status Start(Hooks hooks);

  /// Tells the others that this instance leaves.
  void AnnounceLeaving();

  void Stop();

  /// Learns addresses of entry instances from the platform's list.
  void OnList(const std::vector<ListedInstance>& listed);

  /// Demand of all live members, the own one among them, in incarnation order.
  std::vector<MemberDemand> Demands(const std::map<std::string, std::uint32_t>& own) const;

  /// Progress of all live members, the own one among them.
  std::vector<MemberProgress> Progress() const;

  /// Live members, without the own one.
  std::size_t others() const;

  /// Whether the others had time to be heard since the start.
  bool settled() const;

  /// Asks the author of a claim for its outcome until `deadline`; none when it is not known.
  void AskOutcome(const std::string& author, const Digest& key, Instant deadline,
                  std::function<void(std::optional<CallerAnswer>)> callback);

 private:
  using OutcomeCallback = std::function<void(std::optional<CallerAnswer>)>;

  void Beat();
  void SendHeartbeat(bool leaving);
  std::vector<Endpoint> Targets() const;
  void ScheduleExchange();
  void ExchangeLog();
  void AskSuffix(const Endpoint& peer);
  void AskState(const Endpoint& peer);
  PeerResponse Serve(const PeerRequest& request) const;
  void AskOutcomeAgain(const Endpoint& author, const Digest& key, Instant deadline,
                       OutcomeCallback callback);
  std::chrono::milliseconds IntervalFor(std::size_t bytes, std::size_t targets) const;

  const Options options_;
  const SteadyClock& clock_;
  asio::io_context& context_;
  Hooks hooks_;
  asio::steady_timer beat_timer_;
  asio::steady_timer exchange_timer_;
  mutable std::mutex mutex_;
  Membership<SteadyClock> members_;
  std::map<std::string, Endpoint> listed_;
  std::vector<Endpoint> met_;  ///< Addresses that heartbeats of others named.
  std::uint64_t sequence_ = 0;
  std::chrono::milliseconds interval_{0};
  std::atomic<bool> exchanging_{false};
  Instant started_;
  PeerLink link_;
};

}  // namespace wigeonlane

#endif  // WIGEONLANE_ENTRY_PEER_GROUP_H_
