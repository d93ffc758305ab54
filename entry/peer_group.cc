#include "entry/peer_group.h"

#include <algorithm>
#include <asio/post.hpp>
#include <set>
#include <utility>

#include "core/codec.h"
#include "core/logging.h"
#include "core/text.h"

namespace wigeonlane {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kMinHeartbeatInterval{100};
constexpr milliseconds kMaxHeartbeatInterval{5'000};
/// Bytes a second for heartbeats sent; as many are received, which keeps both within 13 KB/s.
constexpr double kMaxHeartbeatBytesPerSecond = 6'000;
constexpr milliseconds kExchangeInterval{200};
constexpr milliseconds kRequestTimeout{2'000};
constexpr milliseconds kOutcomePollInterval{20};
constexpr Duration kMembershipSettleTime = std::chrono::milliseconds(1'200);
constexpr std::size_t kMaxAddressesInHeartbeat = 3;
constexpr std::size_t kMaxDiscoveredAddresses = 256;

}  // namespace

PeerGroup::PeerGroup(Options options, const SteadyClock& clock, asio::io_context* context,
                     MetricsRegistry* metrics)
    : options_(std::move(options)),
      clock_(clock),
      context_(*context),
      heartbeat_timer_(*context),
      exchange_timer_(*context),
      members_(options_.incarnation, clock),
      heartbeat_interval_(kMinHeartbeatInterval),
      started_at_(clock.Now()),
      link_(options_.listen,
            {.on_heartbeat =
                 [this](Heartbeat heartbeat) {
                   const std::lock_guard lock(mutex_);
                   for (const Endpoint& address : heartbeat.address) {
                     if (discovered_addresses_.size() < kMaxDiscoveredAddresses &&
                         std::find(discovered_addresses_.begin(), discovered_addresses_.end(),
                                   address) == discovered_addresses_.end()) {
                       discovered_addresses_.push_back(address);
                     }
                   }
                   members_.OnHeartbeat(std::move(heartbeat));
                 },
             .serve = [this](const PeerRequest& request) { return Serve(request); }},
            context, metrics) {}

absl::Status PeerGroup::Start(Hooks hooks) {
  hooks_ = std::move(hooks);
  started_at_ = clock_.Now();
  if (absl::Status status = link_.Start(); !status.ok()) return status;
  SendPeriodicHeartbeat();
  ScheduleExchange();
  return absl::OkStatus();
}

void PeerGroup::Stop() {
  asio::post(context_, [this] {
    heartbeat_timer_.cancel();
    exchange_timer_.cancel();
  });
  link_.Stop();
}

void PeerGroup::SendPeriodicHeartbeat() {
  {
    const std::lock_guard lock(mutex_);
    members_.Expire();
  }
  SendHeartbeat(/*leaving=*/false);
  heartbeat_timer_.expires_after(heartbeat_interval_);
  heartbeat_timer_.async_wait([this](std::error_code error) {
    if (!error) SendPeriodicHeartbeat();
  });
}

void PeerGroup::AnnounceLeaving() { SendHeartbeat(/*leaving=*/true); }

void PeerGroup::SendHeartbeat(bool leaving) {
  Heartbeat heartbeat;
  heartbeat.incarnation = options_.incarnation;
  heartbeat.name = options_.name;
  heartbeat.data_centre = options_.data_centre;
  heartbeat.peer = options_.listen;
  heartbeat.next_offset = hooks_.in_force_offset();
  heartbeat.has_state = hooks_.has_state();
  heartbeat.leaving = leaving;
  heartbeat.demand = hooks_.demand();
  heartbeat.in_flight = hooks_.draining_in_flight();
  std::vector<Endpoint> targets;
  {
    const std::lock_guard lock(mutex_);
    targets = HeartbeatTargets();
    heartbeat.sequence = ++heartbeat_sequence_;
    heartbeat.interval = heartbeat_interval_;
    for (const auto& [incarnation, member] : members_.live()) {
      if (heartbeat.address.size() >= kMaxAddressesInHeartbeat) break;
      heartbeat.address.push_back(member.latest.peer);
    }
  }
  const std::vector<std::string> datagrams = EncodeHeartbeat(heartbeat);
  std::size_t bytes = 0;
  for (const std::string& datagram : datagrams) {
    bytes += datagram.size();
    for (const Endpoint& target : targets) link_.SendDatagram(target, datagram);
  }
  const std::lock_guard lock(mutex_);
  heartbeat_interval_ = HeartbeatIntervalFor(bytes, targets.size());
}

milliseconds PeerGroup::HeartbeatIntervalFor(std::size_t bytes, std::size_t targets) const {
  const double seconds = static_cast<double>(bytes * targets) / kMaxHeartbeatBytesPerSecond;
  return std::clamp(milliseconds(static_cast<std::int64_t>(seconds * 1000)), kMinHeartbeatInterval,
                    kMaxHeartbeatInterval);
}

std::vector<Endpoint> PeerGroup::HeartbeatTargets() const {
  std::set<Endpoint> targets(options_.seeds.begin(), options_.seeds.end());
  targets.insert(discovered_addresses_.begin(), discovered_addresses_.end());
  for (const auto& [name, address] : listed_addresses_) targets.insert(address);
  for (const auto& [incarnation, member] : members_.live()) targets.insert(member.latest.peer);
  targets.erase(options_.listen);
  return {targets.begin(), targets.end()};
}

void PeerGroup::HandleInstanceList(const std::vector<ListedInstance>& listed) {
  const std::lock_guard lock(mutex_);
  listed_addresses_.clear();
  for (const ListedInstance& instance : listed) {
    if (instance.role == ListedRole::kEntry && instance.state == ListedState::kLive) {
      listed_addresses_[instance.name] = instance.address;
    }
  }
  // The list has the last word on addresses heard by hearsay, so that those of replaced
  // instances are not kept for ever.
  discovered_addresses_.clear();
}

std::vector<MemberDemand> PeerGroup::MemberDemands(
    const std::map<std::string, std::uint32_t>& own_offset) const {
  const std::lock_guard lock(mutex_);
  std::map<std::string, MemberDemand> by_name;
  for (const auto& [incarnation, member] : members_.live()) {
    if (member.latest.has_state) by_name[incarnation] = {incarnation, member.latest.demand};
  }
  by_name[options_.incarnation] = {options_.incarnation, own_offset};
  std::vector<MemberDemand> demands;
  demands.reserve(by_name.size());
  for (auto& [incarnation, demand] : by_name) demands.push_back(std::move(demand));
  return demands;
}

std::vector<MemberProgress> PeerGroup::LiveMemberProgress() const {
  std::vector<MemberProgress> progress = {
      {options_.incarnation, hooks_.in_force_offset(), hooks_.draining_in_flight()}};
  const std::lock_guard lock(mutex_);
  for (const auto& [incarnation, member] : members_.live()) {
    // One without the folded state takes no callers and cannot plan.
    if (!member.latest.has_state) continue;
    progress.push_back({incarnation, member.latest.next_offset, member.latest.in_flight});
  }
  return progress;
}

std::size_t PeerGroup::other_member_count() const {
  const std::lock_guard lock(mutex_);
  return members_.live().size();
}

bool PeerGroup::membership_settled() const {
  return clock_.Now() - started_at_ >= kMembershipSettleTime;
}

void PeerGroup::ScheduleExchange() {
  exchange_timer_.expires_after(kExchangeInterval);
  exchange_timer_.async_wait([this](std::error_code error) {
    if (error) return;
    ExchangeLog();
    ScheduleExchange();
  });
}

void PeerGroup::ExchangeLog() {
  // A member ahead by a whole round has records that the log does not give to this instance, or
  // not yet. Without any state only a log that is silent makes a peer the better source.
  if (exchange_in_progress_ || (!hooks_.has_state() && !hooks_.log_is_unresponsive())) return;
  const Offset own_offset = hooks_.next_offset();
  Endpoint most_advanced;
  Offset max_offset = own_offset;
  {
    const std::lock_guard lock(mutex_);
    for (const auto& [incarnation, member] : members_.live()) {
      const bool useful =
          member.latest.next_offset > max_offset ||
          (!hooks_.has_state() && member.latest.has_state && most_advanced.port == 0);
      if (!useful) continue;
      most_advanced = member.latest.peer;
      max_offset = std::max(max_offset, member.latest.next_offset);
    }
  }
  if (most_advanced.port == 0) return;
  exchange_in_progress_ = true;
  if (hooks_.has_state()) return RequestSuffix(most_advanced);
  RequestState(most_advanced);
}

void PeerGroup::RequestSuffix(const Endpoint& peer) {
  const Offset from = hooks_.next_offset();
  link_.SendRequest(peer, SuffixRequest{from}, kRequestTimeout,
                    [this, peer](absl::StatusOr<PeerResponse> response) {
                      const auto* suffix =
                          response.ok() ? std::get_if<SuffixResponse>(&*response) : nullptr;
                      if (suffix != nullptr && suffix->entries.empty()) return RequestState(peer);
                      if (suffix != nullptr) hooks_.apply_entries(suffix->entries);
                      exchange_in_progress_ = false;
                    });
}

void PeerGroup::RequestState(const Endpoint& peer) {
  link_.SendRequest(
      peer, StateRequest{}, kRequestTimeout, [this](absl::StatusOr<PeerResponse> response) {
        const auto* answer = response.ok() ? std::get_if<StateResponse>(&*response) : nullptr;
        if (answer != nullptr && DigestOf(answer->bytes) == answer->digest) {
          absl::StatusOr<FleetState> state = Decode<FleetState>(answer->bytes);
          if (state.ok()) {
            LogInfo("state-from-peer", {{"next_offset", std::to_string(state->next_offset())}});
            hooks_.adopt_state(*std::move(state));
          }
        }
        exchange_in_progress_ = false;
      });
}

PeerResponse PeerGroup::Serve(const PeerRequest& request) const {
  if (const auto* suffix = std::get_if<SuffixRequest>(&request)) {
    return SuffixResponse{hooks_.recent_entries(suffix->from)};
  }
  if (std::holds_alternative<StateRequest>(request)) {
    StateResponse response;
    response.bytes = hooks_.encoded_state();
    response.digest = DigestOf(response.bytes);
    return response;
  }
  OutcomeResponse response;
  bool in_flight = false;
  const auto answer = hooks_.outcome(std::get<OutcomeRequest>(request).key, &in_flight);
  if (in_flight) response.knowledge = OutcomeKnowledge::kInFlight;
  if (!answer.has_value()) return response;
  response.knowledge = OutcomeKnowledge::kKnown;
  response.code = answer->code;
  response.execution = static_cast<std::uint8_t>(answer->execution);
  response.headers = answer->headers;
  response.body = answer->body;
  return response;
}

void PeerGroup::QueryOutcome(const std::string& author, const Digest& key, Instant deadline,
                             OutcomeCallback callback) {
  std::optional<Endpoint> address;
  {
    const std::lock_guard lock(mutex_);
    address = members_.AddressOf(author);
  }
  if (!address.has_value()) return callback(std::nullopt);
  PollOutcome(*address, key, deadline, std::move(callback));
}

void PeerGroup::PollOutcome(const Endpoint& author, const Digest& key, Instant deadline,
                            OutcomeCallback callback) {
  const auto time_left = std::chrono::duration_cast<milliseconds>(deadline - clock_.Now());
  if (time_left <= kOutcomePollInterval) return callback(std::nullopt);
  link_.SendRequest(
      author, OutcomeRequest{key}, std::min(time_left, kRequestTimeout),
      [this, author, key, deadline,
       callback = std::move(callback)](absl::StatusOr<PeerResponse> response) mutable {
        const auto* outcome = response.ok() ? std::get_if<OutcomeResponse>(&*response) : nullptr;
        if (outcome == nullptr || outcome->knowledge == OutcomeKnowledge::kUnknown) {
          return callback(std::nullopt);
        }
        if (outcome->knowledge == OutcomeKnowledge::kKnown) {
          CallerResponse answer;
          answer.code = outcome->code;
          answer.execution = outcome->execution == static_cast<std::uint8_t>(Execution::kRan)
                                 ? Execution::kRan
                                 : Execution::kMayHaveRun;
          answer.headers = outcome->headers;
          answer.body = outcome->body;
          return callback(std::move(answer));
        }
        auto timer = std::make_shared<asio::steady_timer>(context_, kOutcomePollInterval);
        timer->async_wait([this, timer, author, key, deadline,
                           callback = std::move(callback)](std::error_code error) mutable {
          if (error) return callback(std::nullopt);
          PollOutcome(author, key, deadline, std::move(callback));
        });
      });
}

}  // namespace wigeonlane
