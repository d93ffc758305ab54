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

constexpr milliseconds kShortestInterval{100};
constexpr milliseconds kLongestInterval{5'000};
/// Bytes a second for heartbeats sent; as many are received, which keeps both within 13 KB/s.
constexpr double kSendBytesPerSecond = 6'000;
constexpr milliseconds kExchangeInterval{200};
constexpr milliseconds kAskTimeout{2'000};
constexpr milliseconds kOutcomePoll{20};
constexpr Duration kSettleTime = std::chrono::milliseconds(1'200);
constexpr std::size_t kKnownInHeartbeat = 3;
constexpr std::size_t kMostMet = 256;

}  // namespace

PeerGroup::PeerGroup(Options options, const SteadyClock& clock, asio::io_context* context,
                     MetricsRegistry* metrics)
    : options_(std::move(options)),
      clock_(clock),
      context_(*context),
      beat_timer_(*context),
      exchange_timer_(*context),
      members_(options_.incarnation, clock),
      interval_(kShortestInterval),
      started_(clock.Now()),
      link_(options_.listen,
            {.on_heartbeat =
                 [this](Heartbeat heartbeat) {
                   const std::lock_guard lock(mutex_);
                   for (const Endpoint& known : heartbeat.known) {
                     if (met_.size() < kMostMet &&
                         std::find(met_.begin(), met_.end(), known) == met_.end()) {
                       met_.push_back(known);
                     }
                   }
                   members_.OnHeartbeat(std::move(heartbeat));
                 },
             .serve = [this](const PeerRequest& request) { return Serve(request); }},
            context, metrics) {}

absl::Status PeerGroup::Start(Hooks hooks) {
  hooks_ = std::move(hooks);
  started_ = clock_.Now();
  if (absl::Status status = link_.Start(); !status.ok()) return status;
  Beat();
  ScheduleExchange();
  return absl::OkStatus();
}

void PeerGroup::Stop() {
  asio::post(context_, [this] {
    beat_timer_.cancel();
    exchange_timer_.cancel();
  });
  link_.Stop();
}

void PeerGroup::Beat() {
  {
    const std::lock_guard lock(mutex_);
    members_.Expire();
  }
  SendHeartbeat(/*leaving=*/false);
  beat_timer_.expires_after(interval_);
  beat_timer_.async_wait([this](std::error_code error) {
    if (!error) Beat();
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
    targets = Targets();
    heartbeat.sequence = ++sequence_;
    heartbeat.interval = interval_;
    for (const auto& [incarnation, member] : members_.live()) {
      if (heartbeat.known.size() >= kKnownInHeartbeat) break;
      heartbeat.known.push_back(member.latest.peer);
    }
  }
  const std::vector<std::string> datagrams = EncodeHeartbeat(heartbeat);
  std::size_t bytes = 0;
  for (const std::string& datagram : datagrams) {
    bytes += datagram.size();
    for (const Endpoint& target : targets) link_.SendDatagram(target, datagram);
  }
  const std::lock_guard lock(mutex_);
  interval_ = IntervalFor(bytes, targets.size());
}

milliseconds PeerGroup::IntervalFor(std::size_t bytes, std::size_t targets) const {
  const double seconds = static_cast<double>(bytes * targets) / kSendBytesPerSecond;
  return std::clamp(milliseconds(static_cast<std::int64_t>(seconds * 1000)), kShortestInterval,
                    kLongestInterval);
}

std::vector<Endpoint> PeerGroup::Targets() const {
  std::set<Endpoint> targets(options_.seeds.begin(), options_.seeds.end());
  targets.insert(met_.begin(), met_.end());
  for (const auto& [name, address] : listed_) targets.insert(address);
  for (const auto& [incarnation, member] : members_.live()) targets.insert(member.latest.peer);
  targets.erase(options_.listen);
  return {targets.begin(), targets.end()};
}

void PeerGroup::OnList(const std::vector<ListedInstance>& listed) {
  const std::lock_guard lock(mutex_);
  listed_.clear();
  for (const ListedInstance& row : listed) {
    if (row.role == ListedRole::kEntry && row.state == ListedState::kLive) {
      listed_[row.name] = row.address;
    }
  }
  // The list has the last word on addresses heard by hearsay, so that those of replaced
  // instances are not kept for ever.
  met_.clear();
}

std::vector<MemberDemand> PeerGroup::Demands(
    const std::map<std::string, std::uint32_t>& own) const {
  const std::lock_guard lock(mutex_);
  std::map<std::string, MemberDemand> by_name;
  for (const auto& [incarnation, member] : members_.live()) {
    if (member.latest.has_state) by_name[incarnation] = {incarnation, member.latest.demand};
  }
  by_name[options_.incarnation] = {options_.incarnation, own};
  std::vector<MemberDemand> demands;
  demands.reserve(by_name.size());
  for (auto& [incarnation, demand] : by_name) demands.push_back(std::move(demand));
  return demands;
}

std::vector<MemberProgress> PeerGroup::Progress() const {
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

std::size_t PeerGroup::others() const {
  const std::lock_guard lock(mutex_);
  return members_.live().size();
}

bool PeerGroup::settled() const { return clock_.Now() - started_ >= kSettleTime; }

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
  if (exchanging_ || (!hooks_.has_state() && !hooks_.log_is_silent())) return;
  const Offset own = hooks_.next_offset();
  Endpoint furthest;
  Offset furthest_offset = own;
  {
    const std::lock_guard lock(mutex_);
    for (const auto& [incarnation, member] : members_.live()) {
      const bool useful = member.latest.next_offset > furthest_offset ||
                          (!hooks_.has_state() && member.latest.has_state && furthest.port == 0);
      if (!useful) continue;
      furthest = member.latest.peer;
      furthest_offset = std::max(furthest_offset, member.latest.next_offset);
    }
  }
  if (furthest.port == 0) return;
  exchanging_ = true;
  if (hooks_.has_state()) return AskSuffix(furthest);
  AskState(furthest);
}

void PeerGroup::AskSuffix(const Endpoint& peer) {
  const Offset from = hooks_.next_offset();
  link_.SendRequest(
      peer, SuffixRequest{from}, kAskTimeout, [this, peer](absl::StatusOr<PeerResponse> response) {
        const auto* suffix = response.ok() ? std::get_if<SuffixResponse>(&*response) : nullptr;
        if (suffix != nullptr && suffix->entries.empty()) return AskState(peer);
        if (suffix != nullptr) hooks_.apply_entries(suffix->entries);
        exchanging_ = false;
      });
}

void PeerGroup::AskState(const Endpoint& peer) {
  link_.SendRequest(
      peer, StateRequest{}, kAskTimeout, [this](absl::StatusOr<PeerResponse> response) {
        const auto* answer = response.ok() ? std::get_if<StateResponse>(&*response) : nullptr;
        if (answer != nullptr && DigestOf(answer->bytes) == answer->digest) {
          absl::StatusOr<FleetState> state = Decode<FleetState>(answer->bytes);
          if (state.ok()) {
            LogInfo("state-from-peer", {{"next_offset", std::to_string(state->next_offset())}});
            hooks_.adopt_state(*std::move(state));
          }
        }
        exchanging_ = false;
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

void PeerGroup::AskOutcome(const std::string& author, const Digest& key, Instant deadline,
                           OutcomeCallback callback) {
  std::optional<Endpoint> address;
  {
    const std::lock_guard lock(mutex_);
    address = members_.AddressOf(author);
  }
  if (!address.has_value()) return callback(std::nullopt);
  AskOutcomeAgain(*address, key, deadline, std::move(callback));
}

void PeerGroup::AskOutcomeAgain(const Endpoint& author, const Digest& key, Instant deadline,
                                OutcomeCallback callback) {
  const auto left = std::chrono::duration_cast<milliseconds>(deadline - clock_.Now());
  if (left <= kOutcomePoll) return callback(std::nullopt);
  link_.SendRequest(
      author, OutcomeRequest{key}, std::min(left, kAskTimeout),
      [this, author, key, deadline,
       callback = std::move(callback)](absl::StatusOr<PeerResponse> response) mutable {
        const auto* outcome = response.ok() ? std::get_if<OutcomeResponse>(&*response) : nullptr;
        if (outcome == nullptr || outcome->knowledge == OutcomeKnowledge::kUnknown) {
          return callback(std::nullopt);
        }
        if (outcome->knowledge == OutcomeKnowledge::kKnown) {
          CallerAnswer answer;
          answer.code = outcome->code;
          answer.execution = outcome->execution == static_cast<std::uint8_t>(Execution::kRan)
                                 ? Execution::kRan
                                 : Execution::kMayHaveRun;
          answer.headers = outcome->headers;
          answer.body = outcome->body;
          return callback(std::move(answer));
        }
        auto timer = std::make_shared<asio::steady_timer>(context_, kOutcomePoll);
        timer->async_wait([this, timer, author, key, deadline,
                           callback = std::move(callback)](std::error_code error) mutable {
          if (error) return callback(std::nullopt);
          AskOutcomeAgain(author, key, deadline, std::move(callback));
        });
      });
}

}  // namespace wigeonlane
