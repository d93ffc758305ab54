#include "daemon/job_instance.h"

#include <csignal>
#include <set>
#include <utility>
#include <vector>

#include "core/http_status.h"
#include "core/logging.h"
#include "core/text.h"

namespace wigeonlane {
namespace {

constexpr std::string_view kGroup = "wigeonlane";
/// At the readiness port and at the metrics port.
constexpr std::size_t kMaxProbeConnections = 100;
constexpr std::string_view kConfigKey = "config";
constexpr std::string_view kWavePrefix = "wave/";
/// Time after sending a membership renewal in which commands to machines may be sent: six times the
/// renewal period (250 ms). It is shorter than the authority to start tasks, so that a successor
/// waits less; an outage of the store therefore stops moves earlier than starts.
constexpr std::chrono::milliseconds kMachineAuthority{1'500};
/// Part of the time limit for applying a configuration that is reserved for the read that returns
/// it.
constexpr std::chrono::milliseconds kOperatorReadMargin{300};
/// Reads that return sooner than this would put load on the store.
constexpr std::chrono::milliseconds kMinOperatorReadWait{300};
/// Time after the start of the shutdown in which new connections are accepted. The load balancer
/// stops sending connections after two failed readiness checks, one second apart.
constexpr std::chrono::milliseconds kAcceptTimeAfterStop{2'500};
/// Longest wait for cells to store their decisions before this instance leaves the group.
constexpr std::chrono::milliseconds kMaxReleaseTime{800};
/// Time before the end of the grace period at which the process exits even with requests in flight.
constexpr std::chrono::milliseconds kExitMargin{500};
constexpr std::chrono::milliseconds kShutdownPollInterval{50};
/// Interval between checks for services and racks that have no cell. A machine that is moved comes
/// up after 1.5 s.
constexpr std::chrono::milliseconds kCellAssignmentInterval{250};

/// Returns how long the store may hold a read of the operators' records until one
/// changes. A connection may stop responding, so a read and one retry must fit into
/// `max_config_apply_time`, the time limit for applying a configuration.
std::chrono::milliseconds MaxOperatorReadWait(std::chrono::milliseconds max_config_apply_time) {
  return std::max(max_config_apply_time / 2 - kOperatorReadMargin, kMinOperatorReadWait);
}

/// Returns how old the configuration may be by which calls with a key are decided.
std::chrono::milliseconds MaxConfigAge(const AccessLimits& limits) {
  return std::min(limits.max_config_apply_time,
                  limits.max_revocation_time.value_or(limits.max_config_apply_time));
}

OwnershipOptions GroupOptions(const PlatformSettings& settings) {
  OwnershipOptions options;
  options.member.group = kGroup;
  options.capacity = settings.capacity;
  options.member.member =
      MemberName{settings.instance, settings.peers, settings.capacity}.ToString();
  options.member.topic = kJobsTopic;
  options.member.ttl = settings.membership_ttl;
  options.cells = settings.partitions;
  return options;
}

HttpServerLimits ProbeLimits() {
  HttpServerLimits limits;
  limits.max_connections = kMaxProbeConnections;
  return limits;
}

}  // namespace

JobInstance::JobInstance(PlatformSettings settings)
    : settings_(std::move(settings)),
      request_budget_(std::make_shared<ByteBudget>(settings_.max_buffered_bytes)),
      response_budget_(std::make_shared<ByteBudget>(settings_.max_buffered_bytes)),
      store_(&io_, settings_.store, &metrics_, response_budget_),
      runner_gateway_(&io_, settings_.advisor, response_budget_),
      access_(settings_.access),
      router_(&io_, settings_.peers,
              {[this](CellNumber cell) { return OwnerAddress(cell); },
               [this](CellCall call, std::function<void(CallResponse)> respond) {
                 Serve(std::move(call), std::move(respond));
               },
               [this] { ownership_.RefreshOwners(); },
               [this](const Endpoint& peer) { EvictStoppedPeer(peer); }}),
      locator_(&io_, &router_, &routes_, settings_.partitions),
      assignment_keeper_(&io_, &store_, settings_.partitions, [this] { UpdateRunners(); }),
      quota_keeper_(&io_, &store_,
                    {[this] { return OwnedCells(); }, [this] { ApplyTeamTerms(); },
                     [this] { return access_.IsConfigRecent(clock_.Now()); }}),
      caller_api_(&io_, &routes_, &access_, &router_, &locator_,
                  &assignment_keeper_.cell_assignment(), &metrics_),
      ownership_(
          &io_, &store_, &clock_, GroupOptions(settings_),
          {[this](CellNumber cell, TermToken token) { cells_.Gain(cell, token); },
           [this](CellNumber cell, std::function<void()> released) {
             cells_.Lose(cell, std::move(released));
           },
           [this](Instant sent) { HandleRenewal(sent); }, [this] { StartRunnerDirectory(); }}),
      cells_(
          &io_, [this](CellNumber cell, TermToken token) { return MakeHost(cell, token); },
          [this](CellNumber cell, TermToken token) {
            if (!draining_) ownership_.Reclaim(cell, token);
          },
          {kCoordinatorCell,
           [this](TermToken token) {
             if (coordinator_ != nullptr) coordinator_->Start(token);
           },
           [this] {
             return coordinator_ == nullptr ? std::chrono::milliseconds(0) : coordinator_->Stop();
           }}),
      dispatcher_(&cells_, &routes_),
      operator_watch_(&io_, &store_,
                      {"keyed.op", MaxOperatorReadWait(MaxConfigAge(settings_.access)),
                       std::chrono::milliseconds(0)},
                      [this](const std::set<std::string>& keys) { ApplyOperatorChanges(keys); }),
      runner_directory_(&io_, &store_, [this] { UpdateRunners(); }),
      peer_server_(
          &io_,
          [this](const std::string& bytes, FrameServer::Reply reply) {
            router_.ServeFrame(bytes, std::move(reply));
          },
          request_budget_, settings_.max_peer_connections),
      caller_server_(
          &io_,
          [this](const HttpRequest& request, HttpReply reply) {
            caller_api_.Serve(request, std::move(reply));
          },
          [this] { return caller_limits_; }, request_budget_),
      readiness_server_(
          &io_,
          [this](const HttpRequest&, const HttpReply& reply) {
            const bool keys_accepted =
                !access_.teams().requires_keys() || access_.MayAcceptKeys(clock_.Now());
            const bool ready =
                !draining_ && routes_.version() > 0 && assignment_keeper_.known() && keys_accepted;
            reply(BareResponse(ready ? http_status::kOk : http_status::kUnavailable));
          },
          ProbeLimits, request_budget_),
      metrics_server_(
          &io_,
          [this](const HttpRequest&, const HttpReply& reply) {
            UpdateGauges();
            HttpResponse response = BareResponse(http_status::kOk);
            response.body = metrics_.Text();
            response.content_type = "text/plain";
            reply(std::move(response));
          },
          ProbeLimits, request_budget_),
      signals_(io_, SIGTERM, SIGINT, SIGHUP),
      shutdown_timer_(io_),
      cell_assignment_timer_(io_) {
  caller_limits_.max_connections = settings_.max_caller_connections;
  if (!settings_.machines) return;
  machines_ = std::make_unique<MachineClient>(&io_, *settings_.machines, &metrics_);
  MachineCoordinator::Options options;
  options.holder = settings_.instance;
  options.cell_assignment = &assignment_keeper_.cell_assignment();
  options.machine_lease = settings_.machine_lease;
  options.commands_per_second = settings_.machine_commands_per_second;
  options.list_pages_per_second = settings_.machine_reads_per_second;
  options.predecessor = [this]() -> RolePredecessor {
    const Host* host = cells_.Find(kCoordinatorCell);
    if (host == nullptr || host->cell() == nullptr) return {};
    return host->cell()->role_predecessor();
  };
  options.takeover_wait = kMachineAuthority + settings_.machine_lease;
  coordinator_ =
      std::make_unique<MachineCoordinator>(&io_, machines_.get(), &store_, &router_, options);
}

absl::Status JobInstance::Run() {
  if (absl::Status status = Listen(); !status.ok()) return status;
  LogInfo("started", {{"instance", settings_.instance},
                      {"data_centre", settings_.data_centre},
                      {"peers", settings_.peers.ToString()},
                      {"first_start", settings_.first_start ? "yes" : "no"}});
  WaitForSignal();
  operator_watch_.SetCurrentHook([this](Instant as_of) { access_.ConfirmCurrent(as_of); });
  operator_watch_.Start();
  runner_directory_.SetCurrentHook([this] { ConfirmListings(); });
  assignment_keeper_.Start();
  ExtendCellAssignment();
  ownership_.Start();
  io_.run();
  LogInfo("stopped", {{"instance", settings_.instance}});
  return absl::OkStatus();
}

absl::Status JobInstance::Listen() {
  absl::Status status = peer_server_.Listen(settings_.peers);
  if (status.ok()) status = readiness_server_.Listen(settings_.readiness);
  if (status.ok()) status = metrics_server_.Listen(settings_.metrics);
  if (status.ok()) status = caller_server_.Listen(settings_.callers);
  return status;
}

void JobInstance::WaitForSignal() {
  signals_.async_wait([this](asio::error_code error, int signal) {
    if (error) return;
    if (signal == SIGHUP) {
      LogInfo("reload", {{"instance", settings_.instance}});
    } else if (!draining_) {
      StartShutdown();
    }
    WaitForSignal();
  });
}

void JobInstance::ApplyOperatorChanges(const std::set<std::string>& keys) {
  if (keys.contains(std::string(kConfigKey))) ApplyConfig();
  ApplyWaves();
}

void JobInstance::ApplyWaves() {
  if (coordinator_ == nullptr) return;
  std::vector<MaintenanceWave> waves;
  for (const auto& [key, value] : operator_watch_.values()) {
    if (!key.starts_with(kWavePrefix)) continue;
    auto wave = DecodeWave(value);
    if (wave.ok()) {
      waves.push_back(*std::move(wave));
    } else {
      LogError("unreadable_wave", {{"key", key}, {"why", MessageOf(wave.status())}});
    }
  }
  coordinator_->SetWaves(waves);
}

void JobInstance::HandleRenewal(Instant sent) {
  const Instant authority_until = sent + settings_.cell.authority;
  for (const auto& [cell, host] : cells_.hosts()) {
    host->RecordOwnership(ownership_.CurrentToken(cell));
    host->ExtendAuthority(authority_until);
  }
  if (routes_read_at_ <= sent) dispatcher_.ConfirmRoutes(routes_.version());
  if (coordinator_ != nullptr) coordinator_->ExtendAuthority(sent + kMachineAuthority);
}

void JobInstance::ApplyConfig() {
  const auto config_record = operator_watch_.values().find(std::string(kConfigKey));
  if (config_record == operator_watch_.values().end()) return;
  auto config = DecodeConfig(config_record->second);
  if (!config.ok()) {
    return LogError("unreadable_config", {{"why", MessageOf(config.status())}});
  }
  if (config->version <= routes_.version()) return;
  LogDecision("config", {{"from", Concat(routes_.version())},
                         {"to", Concat(config->version)},
                         {"routes", Concat(config->routes.size())},
                         {"teams", Concat(config->teams.teams().size())}});
  const std::vector<QueueService> old_assignments = routes_.Assignments();
  routes_.Assign(config->version, std::move(config->routes));
  access_.Assign(std::move(config->teams));
  quota_keeper_.SetTeams(access_.teams(), settings_.partitions);
  routes_read_at_ = clock_.Now();
  for (const auto& [cell, host] : cells_.hosts()) host->ApplyRoutes();
  // Requests of queues that moved wait until a renewal has confirmed the version.
  if (!cells_.hosts().empty() && routes_.Assignments() != old_assignments) ownership_.RenewNow();
  caller_limits_ = config->limits;
  caller_limits_.max_connections = settings_.max_caller_connections;
  services_.clear();
  std::vector<PoolConfig> pools;
  for (const ConfiguredService& service : config->services) {
    services_.push_back(service.name);
    pools.push_back({service.name, service.spare});
  }
  if (coordinator_ == nullptr) return;
  coordinator_->SetPools(std::move(pools));
}

std::unique_ptr<JobInstance::Host> JobInstance::MakeHost(CellNumber cell, TermToken token) {
  auto host =
      std::make_unique<Host>(&io_, &store_, &runner_gateway_, &clock_, cell, token, settings_.cell);
  host->SetTermWatch(
      {ownership_.NoRenewalsSince(token), settings_.partitions,
       [this](TermToken earlier_token) { return ownership_.GenerationStartedBy(earlier_token); }});
  host->SetRoutes(&routes_);
  host->SetFencedHook([this, cell, token] { ReadRoutesAtTakeover(cell, token); });
  // The response that assigned the cell to this instance may have been read late, so the authority
  // starts at the time of the renewal.
  host->ExtendAuthority(ownership_.renewed_at() + settings_.cell.authority);
  SetHostRunners(cell, host.get());
  host->ConfirmListings(runner_directory_.current_as_of());
  if (routes_.version() > 0) host->SetTeams(quota_keeper_.TermsFor(cell, token));
  host->SetRenewalHook([this] { ownership_.RenewEarly(); });
  host->SetLimitedHook([this] { quota_keeper_.Update(); });
  return host;
}

/// Returns the cells whose owner knows what their teams use.
std::vector<OwnedCell> JobInstance::OwnedCells() const {
  std::vector<OwnedCell> owned;
  for (const auto& [cell, host] : cells_.hosts()) {
    if (host->active()) owned.push_back({cell, host->token(), host->cell()->TeamUses()});
  }
  return owned;
}

void JobInstance::ApplyTeamTerms() {
  for (const auto& [cell, host] : cells_.hosts()) {
    host->SetTeams(quota_keeper_.TermsFor(cell, host->token()));
  }
}

void JobInstance::ReadRoutesAtTakeover(CellNumber cell, TermToken token) {
  operator_watch_.WhenCurrent([this, cell, token] {
    Host* host = cells_.Find(cell);
    if (host != nullptr && host->token() == token) host->SetRoutesAtTakeover(routes_.version());
  });
}

void JobInstance::SetHostRunners(CellNumber cell, Host* host) {
  host->SetRunners(runner_directory_.Listings([&](const RunnerListing& runner) {
    return assignment_keeper_.cell_assignment().CellOfRunner(runner.service, runner.rack) == cell;
  }));
}

void JobInstance::ConfirmListings() {
  for (const auto& [cell, host] : cells_.hosts()) {
    host->ConfirmListings(runner_directory_.current_as_of());
  }
}

void JobInstance::UpdateRunners() {
  for (const auto& [cell, host] : cells_.hosts()) SetHostRunners(cell, host.get());
}

/// Starts to read the entries of runners. Only owners of cells need them, so a standby instance
/// does not read them.
void JobInstance::StartRunnerDirectory() {
  if (!std::exchange(runner_directory_started_, true)) runner_directory_.Start();
}

/// Periodically assigns services and racks without a cell to cells, if this instance owns the
/// coordinator's cell.
void JobInstance::ExtendCellAssignment() {
  if (cells_.Find(kCoordinatorCell) != nullptr && routes_.version() > 0) {
    assignment_keeper_.Extend(
        services_, runner_directory_.Listings([](const RunnerListing&) { return true; }));
  }
  cell_assignment_timer_.expires_after(kCellAssignmentInterval);
  cell_assignment_timer_.async_wait([this](asio::error_code error) {
    if (!error && !draining_) ExtendCellAssignment();
  });
}

std::optional<Endpoint> JobInstance::OwnerAddress(CellNumber cell) const {
  const auto member = ownership_.OwnerOf(cell);
  if (!member) return {};
  const auto name = MemberName::Parse(*member);
  return name ? std::optional(name->peers) : std::nullopt;
}

void JobInstance::Serve(CellCall call, std::function<void(CallResponse)> respond) {
  if (call.verb == CellVerb::kOwnersChanged) {
    ownership_.RenewNow();
    ownership_.RefreshOwners();
    return respond({CallVerdict::kReady});
  }
  dispatcher_.Serve(std::move(call), std::move(respond));
}

void JobInstance::StartShutdown() {
  draining_ = true;
  shutdown_started_at_ = clock_.Now();
  LogInfo("stopping", {{"instance", settings_.instance}, {"cells", Concat(cells_.hosts().size())}});
  cells_.ReleaseAll([this] { LeaveGroup(); });
  shutdown_timer_.expires_after(kMaxReleaseTime);
  shutdown_timer_.async_wait([this](asio::error_code error) {
    if (!error) LeaveGroup();
  });
}

void JobInstance::LeaveGroup() {
  if (std::exchange(left_group_, true)) return;
  cells_.Clear();
  ownership_.Leave([this] { NotifyOwnersChanged(); });
  FinishShutdown();
}

void JobInstance::NotifyOwnersChanged() {
  std::set<Endpoint> notified{settings_.peers};
  for (const auto& [cell, member] : ownership_.owners()) {
    const auto peer = OwnerAddress(cell);
    if (peer && notified.insert(*peer).second) router_.Notify(*peer, CellVerb::kOwnersChanged);
  }
  ownership_.RefreshOwners();
}

void JobInstance::EvictStoppedPeer(const Endpoint& peer) {
  for (const auto& [cell, member] : ownership_.owners()) {
    if (OwnerAddress(cell) != peer) continue;
    return ownership_.Evict(member, [this] { NotifyOwnersChanged(); });
  }
}

void JobInstance::FinishShutdown() {
  const auto elapsed = clock_.Now() - shutdown_started_at_;
  if (elapsed > kAcceptTimeAfterStop) caller_server_.Drain();
  const bool done = elapsed > kAcceptTimeAfterStop && caller_server_.in_flight() == 0;
  if (done || elapsed > settings_.shutdown_grace - kExitMargin) {
    LogInfo("leaving", {{"in_flight", Concat(caller_server_.in_flight())}});
    return io_.stop();
  }
  shutdown_timer_.expires_after(kShutdownPollInterval);
  shutdown_timer_.async_wait([this](asio::error_code error) {
    if (!error) FinishShutdown();
  });
}

void JobInstance::UpdateGauges() {
  if (runner_directory_.current_as_of() != Instant{}) {
    metrics_.SetGauge(
        "wigeonlane_runner_list_age_ms", "",
        static_cast<double>(MillisOf(clock_.Now() - runner_directory_.current_as_of())));
  }
  for (const auto& [cell, host] : cells_.hosts()) {
    if (host->cell() == nullptr) continue;
    const std::string label = Concat("cell=\"", cell, "\"");
    const CellCounters& counters = host->cell()->counters();
    const std::pair<const char*, std::uint64_t> values[] = {
        {"accepted", counters.accepted},
        {"refused", counters.refused},
        {"completed", counters.completed},
        {"starts", counters.starts},
        {"starts_refused", counters.starts_refused},
        {"starts_unanswered", counters.starts_without_response},
        {"looks", counters.polls},
        {"ends_done", counters.runs_done},
        {"ends_failed", counters.runs_failed},
        {"ends_other", counters.runs_ended_otherwise},
        {"runners_lost", counters.runners_lost},
        {"starts_passed_on", counters.starts_passed_on},
        {"unsettled_runners", host->cell()->unreconciled_runners()},
        {"jobs", host->cell()->job_count()},
        {"pending_jobs", host->cell()->pending_job_count()}};
    for (const auto& [team, use] : host->cell()->TeamUses()) {
      const std::string team_label = Concat(label, ",team=\"", team, "\"");
      metrics_.SetGauge("wigeonlane_team_used_cpu_milli", team_label,
                        static_cast<double>(use.used.cpu_milli));
      metrics_.SetGauge("wigeonlane_team_blocked_cpu_milli", team_label,
                        static_cast<double>(use.blocked.cpu_milli));
    }
    for (const auto& [name, value] : values) {
      metrics_.SetGauge(Concat("wigeonlane_cell_", name), label, static_cast<double>(value));
    }
  }
  metrics_.SetGauge("wigeonlane_buffered_bytes", "kind=\"requests\"",
                    static_cast<double>(request_budget_->held()));
  metrics_.SetGauge("wigeonlane_buffered_bytes", "kind=\"responses\"",
                    static_cast<double>(response_budget_->held()));
  metrics_.SetGauge("wigeonlane_connections_evicted", "kind=\"requests\"",
                    static_cast<double>(request_budget_->evictions()));
  metrics_.SetGauge("wigeonlane_connections_evicted", "kind=\"responses\"",
                    static_cast<double>(response_budget_->evictions()));
  metrics_.SetGauge("wigeonlane_log_lines_dropped", "", static_cast<double>(DroppedLogLines()));
}

}  // namespace wigeonlane
