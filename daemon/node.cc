#include "daemon/node.h"

#include <algorithm>
#include <asio/post.hpp>
#include <nlohmann/json.hpp>
#include <random>
#include <utility>

#include "core/codec.h"
#include "core/logging.h"
#include "core/pacing.h"
#include "core/text.h"

namespace wigeonlane {
namespace {

constexpr std::chrono::milliseconds kSweepInterval{5};
constexpr Duration kMaxCountedSweepTime = std::chrono::microseconds(500);
constexpr std::chrono::milliseconds kReconfigureInterval{50};
constexpr std::chrono::milliseconds kDrainPollInterval{5};
constexpr std::chrono::milliseconds kNoWait{0};
constexpr std::chrono::milliseconds kResyncTimeout{250};
constexpr std::size_t kMaxResyncEntries = 10'000;
constexpr std::size_t kMinReadingThreads = 8;
constexpr std::size_t kMaxRecentEntriesBytes = 1024 * 1024;

std::string NewIncarnation(const std::string& name) {
  std::random_device random;
  return Concat(name, "-", absl::Hex(random(), absl::kZeroPad8),
                absl::Hex(random(), absl::kZeroPad8));
}

/// Returns how many IO threads may send requests to runners at once. The others keep reading from
/// connections and running timers.
std::size_t MaxInlineSends(std::size_t io_threads) {
  return io_threads > kMinReadingThreads ? io_threads - kMinReadingThreads : 0;
}

}  // namespace

Node::Node(NodeSettings settings)
    : settings_(std::move(settings)),
      incarnation_(NewIncarnation(settings_.name)),
      work_guard_(asio::make_work_guard(context_)),
      sweep_timer_(context_),
      reconfigure_timer_(context_),
      log_(settings_.platform, settings_.platform_timeout, NodeFollower::kMaxReadWait),
      control_log_(settings_.platform, settings_.platform_timeout, kNoWait),
      resync_log_(settings_.platform, kResyncTimeout, kNoWait),
      follower_(&log_, clock_),
      control_(&control_log_, &follower_, clock_),
      instance_list_(settings_.platform, settings_.platform_timeout),
      planner_(
          {.self = incarnation_, .snapshot_interval_records = settings_.snapshot_interval_records},
          &control_log_, &instance_list_, &follower_, clock_),
      runner_client_(clock_),
      send_threads_(settings_.send_threads),
      dispatcher_(clock_, &runner_client_, &send_threads_, MaxInlineSends(settings_.io_threads),
                  &metrics_),
      order_claims_(
          {.author = incarnation_, .appends_per_second = settings_.order_appends_per_second},
          clock_, [this](const std::vector<NewRecord>& records) { return log_.Append(records); },
          [this] { return peer_group_.other_member_count() + 1; },
          [this](std::function<void()> work) { asio::post(context_, std::move(work)); }, &metrics_),
      peer_group_({.incarnation = incarnation_,
                   .name = settings_.name,
                   .data_centre = settings_.data_centre,
                   .listen = settings_.peer,
                   .seeds = settings_.seeds},
                  clock_, &context_, &metrics_),
      front_end_({.listen = settings_.listen,
                  .request_id_prefix = incarnation_,
                  .max_connections = settings_.max_connections,
                  .max_buffered_bytes = settings_.max_buffered_bytes},
                 {.serve =
                      [this](CallerRequest request, Responder respond) {
                        dispatcher_.Handle(std::move(request), std::move(respond));
                      },
                  .body_limit =
                      [this](const std::string& service) { return dispatcher_.BodyLimit(service); },
                  .ready = [this] { return ready(); }},
                 &context_, &metrics_),
      admin_(settings_.admin, {.follower = &follower_,
                               .control = &control_,
                               .metrics = &metrics_,
                               .ready = [this] { return ready(); },
                               .status_json = [this] { return StatusJson(); },
                               .refresh_metrics = [this] { RefreshMetrics(); }}) {}

Node::~Node() {
  const std::atomic<bool> give_up{true};
  Shutdown(give_up);
}

absl::Status Node::Start() {
  dispatcher_.SetDependencies(
      {.order_claims = &order_claims_,
       .begin_order =
           [this](const Digest& key, std::uint64_t content_digest, std::uint64_t call_id,
                  Instant deadline, OrderClaimService::DecisionCallback callback) {
             return follower_.WithState([&](const FleetState& state) {
               return order_claims_.BeginOrder(key, content_digest, call_id, deadline,
                                               state.claims(), std::move(callback));
             });
           },
       .query_author =
           [this](const std::string& author, const Digest& key, Instant deadline,
                  std::function<void(std::optional<CallerResponse>)> callback) {
             peer_group_.QueryOutcome(author, key, deadline, std::move(callback));
           },
       .resync = [this] { Resync(); }});
  if (absl::Status status = peer_group_.Start(PeerHooks()); !status.ok()) return status;
  if (absl::Status status = admin_.Start(); !status.ok()) return status;
  if (absl::Status status = front_end_.Start(); !status.ok()) return status;
  follower_.Start(
      {.on_order_batch = [this](
                             const OrderBatch& batch,
                             const ClaimTable& claims) { order_claims_.OnFolded(batch, claims); },
       .on_route_view =
           [this](std::shared_ptr<const RouteView> view) { OnRouteView(std::move(view)); }});
  planner_.Start({.members = [this] { return peer_group_.LiveMemberProgress(); },
                  .on_instance_list =
                      [this](const std::vector<ListedInstance>& listed) {
                        peer_group_.HandleInstanceList(listed);
                      }});
  ScheduleSweep(kSweepInterval);
  ScheduleReconfigure(kReconfigureInterval);
  for (std::size_t i = 0; i < settings_.io_threads; ++i) {
    io_threads_.emplace_back([this] { context_.run(); });
  }
  LogInfo("started", {{"incarnation", incarnation_},
                      {"listen", settings_.listen.ToString()},
                      {"admin", settings_.admin.ToString()}});
  return absl::OkStatus();
}

PeerGroup::Hooks Node::PeerHooks() {
  return {
      .demand = [this] { return own_demand(); },
      .draining_in_flight = [this] { return DrainingInFlight(); },
      .next_offset = [this] { return follower_.next_offset(); },
      .in_force_offset = [this] { return InForceOffset(); },
      .has_state = [this] { return follower_.has_state(); },
      .log_is_unresponsive = [this] { return follower_.log_is_unresponsive(); },
      .recent_entries =
          [this](Offset from) { return follower_.RecentEntries(from, kMaxRecentEntriesBytes); },
      .encoded_state =
          [this] {
            return follower_.WithState([](const FleetState& state) { return Encode(state); });
          },
      .apply_entries =
          [this](const std::vector<LogEntry>& entries) { follower_.ApplyPeerEntries(entries); },
      .adopt_state = [this](FleetState state) { follower_.AdoptPeerState(std::move(state)); },
      .find_response = [this](const Digest& key, bool* in_flight) -> std::optional<CallerResponse> {
        const auto response = order_claims_.FindResponse(key, in_flight);
        if (!response.has_value()) return std::nullopt;
        return **response;
      }};
}

std::map<std::string, std::uint32_t> Node::DrainingInFlight() const {
  const auto view = CurrentView();
  std::map<std::string, std::uint32_t> in_flight;
  if (view == nullptr || view->draining.empty()) return in_flight;
  const auto in_flight_by_instance = dispatcher_.InFlight();
  for (const std::string& instance : view->draining) {
    if (const auto entry = in_flight_by_instance.find(instance);
        entry != in_flight_by_instance.end()) {
      in_flight.insert(*entry);
    }
  }
  return in_flight;
}

Offset Node::InForceOffset() const {
  // Read before the views are compared: a record that is applied later must not count before its
  // view is configured.
  const Offset applied_offset = follower_.next_offset();
  const std::lock_guard lock(view_mutex_);
  if (view_ == configured_view_) return applied_offset;
  return configured_view_ == nullptr ? 0 : configured_view_->offset;
}

void Node::Resync() {
  const Instant requested_at = clock_.Now();
  const std::lock_guard lock(resync_mutex_);
  if (resynced_at_ > requested_at) return;
  const auto page = resync_log_.Read(follower_.next_offset(), kMaxResyncEntries, kNoWait);
  if (page.ok()) follower_.ApplyPeerEntries(page->entries);
  Reconfigure();
  resynced_at_ = clock_.Now();
  LogInfo("resync-after-pause", {{"next_offset", std::to_string(follower_.next_offset())},
                                 {"log", page.ok() ? "answered" : "silent"}});
}

std::shared_ptr<const RouteView> Node::CurrentView() const {
  const std::lock_guard lock(view_mutex_);
  return view_;
}

bool Node::ready() const {
  return !shutting_down_ && follower_.has_state() && peer_group_.membership_settled();
}

void Node::OnRouteView(std::shared_ptr<const RouteView> view) {
  {
    const std::lock_guard lock(view_mutex_);
    view_ = std::move(view);
  }
  asio::post(context_, [this] { Reconfigure(); });
}

void Node::Reconfigure() {
  // Serialized, so that an older distribution of slots never replaces a newer one.
  const std::lock_guard reconfigure_lock(reconfigure_mutex_);
  const auto view = CurrentView();
  if (view == nullptr) return;
  const auto reported_demand = dispatcher_.ReportedDemand();
  {
    const std::lock_guard lock(view_mutex_);
    own_demand_ = reported_demand;
  }
  const auto members = peer_group_.MemberDemands(reported_demand);
  dispatcher_.Configure(*view, ComputeAllotments(*view, members, incarnation_));
  const std::lock_guard lock(view_mutex_);
  const bool view_is_newer = configured_view_ == nullptr || configured_view_->offset < view->offset;
  if (view_is_newer) configured_view_ = view;
}

void Node::ScheduleSweep(Duration delay) {
  sweep_timer_.expires_after(delay);
  sweep_timer_.async_wait([this](std::error_code error) {
    if (error) return;
    const Instant started_at = clock_.Now();
    dispatcher_.Sweep();
    // Time in which the process was suspended is not work and must not delay the next sweep.
    const Duration work_time = std::min(clock_.Now() - started_at, kMaxCountedSweepTime);
    ScheduleSweep(DelayAfterRound(work_time, kSweepInterval));
  });
}

void Node::ScheduleReconfigure(Duration delay) {
  reconfigure_timer_.expires_after(delay);
  reconfigure_timer_.async_wait([this](std::error_code error) {
    if (error) return;
    const Instant started_at = clock_.Now();
    Reconfigure();
    ScheduleReconfigure(DelayAfterRound(clock_.Now() - started_at, kReconfigureInterval));
  });
}

std::string Node::StatusJson() const {
  nlohmann::ordered_json status{{"name", settings_.name},
                                {"incarnation", incarnation_},
                                {"data_centre", settings_.data_centre},
                                {"ready", ready()}};
  follower_.WithState([&](const FleetState& state) {
    status["next_offset"] = state.next_offset();
    status["config_offset"] = state.config_offset();
    status["claims"] = state.claims().size();
  });
  status["in_force_offset"] = InForceOffset();
  status["log_end"] = follower_.log_end();
  status["log_silent_ms"] =
      std::chrono::duration_cast<std::chrono::milliseconds>(follower_.time_since_log_response())
          .count();
  status["members"] = peer_group_.other_member_count() + 1;
  status["open_requests"] = dispatcher_.open_calls();
  status["services"] = nlohmann::ordered_json::array();
  for (const auto& [name, service_dispatcher] : dispatcher_.ServiceDispatchers()) {
    status["services"].push_back({{"name", name},
                                  {"slots", service_dispatcher->slots()},
                                  {"running", service_dispatcher->running()},
                                  {"waiting", service_dispatcher->waiting()}});
  }
  status["shares"] = SharesJson();
  return status.dump();
}

/// Returns the demand of each live member for each service, in hundredths of a slot. The shares of
/// slots are computed from these figures.
nlohmann::ordered_json Node::SharesJson() const {
  std::map<std::string, nlohmann::ordered_json> by_service;
  for (const MemberDemand& member : peer_group_.MemberDemands(own_demand())) {
    for (const auto& [service, demand] : member.by_service) {
      by_service[service][member.member] = demand;
    }
  }
  nlohmann::ordered_json shares = nlohmann::ordered_json::array();
  for (const auto& [service, demand] : by_service) {
    shares.push_back({{"service", service}, {"demand_by_member", demand}});
  }
  return shares;
}

std::map<std::string, std::uint32_t> Node::own_demand() const {
  const std::lock_guard lock(view_mutex_);
  return own_demand_;
}

void Node::RefreshMetrics() {
  metrics_.SetGauge("wigeonlane_next_offset", "", static_cast<double>(follower_.next_offset()));
  metrics_.SetGauge("wigeonlane_open_requests", "", static_cast<double>(dispatcher_.open_calls()));
  metrics_.SetGauge("wigeonlane_log_lines_dropped", "", static_cast<double>(DroppedLogLines()));
}

std::uint64_t Node::Shutdown(const std::atomic<bool>& give_up) {
  if (shutdown_started_.exchange(true)) return 0;
  shutting_down_ = true;
  peer_group_.AnnounceLeaving();
  front_end_.StopAccepting();
  const Instant wait_until = clock_.Now() + settings_.shutdown_wait;
  while (dispatcher_.open_calls() > 0 && !give_up && clock_.Now() < wait_until) {
    std::this_thread::sleep_for(kDrainPollInterval);
  }
  const std::uint64_t cut_off = dispatcher_.open_calls();
  LogInfo("stopping", {{"requests_cut_off", std::to_string(cut_off)}});
  asio::post(context_, [this] {
    sweep_timer_.cancel();
    reconfigure_timer_.cancel();
  });
  peer_group_.Stop();
  admin_.Stop();
  log_.Cancel();
  control_log_.Cancel();
  resync_log_.Cancel();
  instance_list_.Cancel();
  planner_.Stop();
  follower_.Stop();
  order_claims_.Stop();
  work_guard_.reset();
  context_.stop();
  for (std::thread& thread : io_threads_) thread.join();
  return cut_off;
}

}  // namespace wigeonlane
