/// The owner of one cell: keeps its jobs and runners, and decides what to store and which tasks to
/// start.
///
/// `Cell` is a pure state machine. Every method gets the time as a parameter. Commands to runners,
/// appends to the store and responses to callers are collected in the outbox, which the driver
/// executes.
#ifndef WIGEONLANE_CELLS_CELL_H_
#define WIGEONLANE_CELLS_CELL_H_

#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "absl/status/status.h"
#include "absl/status/statusor.h"
#include "cells/cancelled_ids.h"
#include "cells/capacity_reservation.h"
#include "cells/cell_counters.h"
#include "cells/cell_options.h"
#include "cells/cell_types.h"
#include "cells/commit_queue.h"
#include "cells/lease_limit_records.h"
#include "cells/ownership_proof.h"
#include "cells/pending_jobs.h"
#include "cells/quota_ledger.h"
#include "cells/role_term.h"
#include "cells/runner.h"
#include "cells/stray_leases.h"
#include "cells/term_watch.h"
#include "cells/unreconciled_runners.h"
#include "jobs/job_progress.h"
#include "scheduling/arrival_meter.h"
#include "scheduling/estimate_model.h"
#include "scheduling/job_ranking.h"
#include "scheduling/placement.h"
#include "scheduling/preemption.h"
#include "scheduling/rejected_sizes.h"
#include "scheduling/step_admission.h"
#include "scheduling/team_rate.h"
#include "scheduling/waiting_jobs.h"

namespace wigeonlane {

/// A time on the clock that keeps running while the machine is suspended, and the time of day at
/// the same moment.
struct CellTime {
  Instant now{};
  UnixTime wall{};
};

/// What the owner of a cell goes by for one team.
struct TeamTerms {
  double weight = 0;  ///< See `Team::weight`.
  Resources cap;      ///< Of the team on all runners; 0: no limit.
  Resources limit{kUnlimited, kUnlimited, kUnlimited};  ///< Of the team in this cell.

  bool operator==(const TeamTerms&) const = default;
};

class Cell {
 public:
  Cell(CellNumber number, TermToken token, CellOptions options);

  /// Restores the state from the records that the partition held when it was fenced. Unreadable
  /// records are logged and left in the store.
  void Restore(const std::vector<StoreRecord>& records, CellTime time,
               const TermWatch& watch = TermWatch());

  /// Extends the time until which this instance may decide for the cell: the store confirmed the
  /// ownership by a renewal that was sent `options.authority` before `until`.
  void ExtendAuthority(Instant until);

  /// Whether tasks wait for the confirmation of a renewal that is sent from now on.
  bool awaits_renewal() const { return ownership_proof_.awaits_renewal(); }

  /// Records that this instance owned the cell in the generation of this token, the newest one
  /// seen.
  void RecordOwnership(TermToken last_owned_token, Instant now);

  /// Stops starting tasks and extending leases; pending decisions are still stored. Called once.
  /// Writes a record of how long the leases may last, so that the successor need not assume the
  /// longest time. `role_wait` is how long the successor must wait before it takes up the role that
  /// is tied to the cell.
  void PrepareHandover(std::chrono::milliseconds role_wait, CellTime time);

  /// Goes by the present routes as to whether an advisor must admit runners to a queue's jobs. Jobs
  /// of a queue without a route keep to the route that it had when they were accepted.
  void ApplyRoutes(const std::vector<QueueRoute>& routes, Instant now);

  /// Replaces the teams of the configuration. Jobs of other teams, and of none, have no limits.
  void SetTeams(std::map<std::string, TeamTerms> teams, Instant now);

  /// Sets how many jobs the teams submit at all cells.
  void SetTotalArrivals(const std::vector<TeamArrivals>& arrivals, Instant now);

  /// Whether tasks wait because of the limit of their team.
  bool limited_by_teams() const { return limited_by_teams_; }

  /// Returns what each team with a cap uses.
  std::map<std::string, TeamUse> TeamUses() const;

  /// Replaces the list of discovered runners of this cell's services.
  void SetRunners(const std::vector<RunnerListing>& listings, CellTime time);

  /// The discovered runners were as listed when discovery was asked at `as_of`. Without such a
  /// confirmation no tasks are started after a while: a runner may have said that it leaves.
  void ConfirmListings(Instant as_of) { listed_as_of_ = std::max(listed_as_of_, as_of); }
  bool ListingsAreRecent(Instant now) const {
    return now <= listed_as_of_ + options_.max_listing_age;
  }

  /// Does all work that is due: commits, polls, stops, expiry and placement. Must be called after
  /// other calls, and no later than `NextWake`.
  void Advance(CellTime time);
  Instant NextWake(Instant now) const;

  void Submit(CallNumber call, const JobId& id, JobRecord record, CellTime time);
  /// Here and below, a job of another queue than `queue` is as if it were not there. An unknown
  /// address may be that of any queue.
  ///
  /// Cancels a job. An id that the cell does not hold is remembered as cancelled if `present` is
  /// set, which it is only in a call to a cell of the queue's present service.
  void Cancel(CallNumber call, const JobId& id, const QueueAddress& queue,
              const std::optional<QueueService>& present, CellTime time);
  CallResponse Show(const JobId& id, Instant now, const QueueAddress& queue = {}) const;
  /// Counts the accepted jobs of a queue of which no task has begun. Jobs of an unknown address are
  /// counted by the `name` that their queue had.
  CallResponse CountPending(const QueueAddress& queue, const std::string& name, Instant now) const;
  /// Whether callers are shown a job with this id.
  bool Holds(const JobId& id, const QueueAddress& queue) const;
  /// Returns the queues of which the cell holds a job or a cancelled id, whether stored yet or not.
  /// Some may have an unknown address.
  std::vector<QueueService> HeldQueues() const;

  /// Reports the load of each service of the cell, which decisions on machines are based on.
  CallResponse ReportLoads(CellTime time) const;

  /// Reserves a runner for maintenance, so that no task starts there any more. The response says
  /// whether its machine may go down now, i.e. whether it runs no task that must not be stopped.
  /// Long-running tasks are stopped once capacity is reserved elsewhere for all of them; without
  /// such capacity the runner is not reserved.
  CallResponse ReserveRunner(const std::string& runner_id, CellTime time);

  /// Reserves a runner whose machine moves to another pool for good. A runner with long-running
  /// tasks is not reserved.
  CallResponse ReserveForMove(const std::string& runner_id, CellTime time);

  /// The machine of a runner was taken down, so this incarnation of the runner has ended.
  void HandleMachineDown(const std::string& runner_id, CellTime time);

  /// The append in flight was stored.
  void HandleAppendStored(CellTime time);
  /// The store will never accept the append in flight, which had these records. The term goes on
  /// without those that cannot be stored.
  void HandleAppendRejected(std::vector<StoreRecord> records, CellTime time);
  /// Ends the term, because another instance owns the cell, e.g. after an append was fenced.
  void Depose() { deposed_ = true; }
  /// A runner refused a command because it has seen a higher token. This ends the term, unless the
  /// command was meant for an earlier incarnation of the runner: then the higher token is the one
  /// that this cell uses for the present incarnation.
  void HandleFencedCommand(RunnerKey key) {
    if (runners_.contains(key)) Depose();
  }

  void HandleStartResponse(const StartCommand& command, CommandOutcome outcome, CellTime time);
  void HandleStopResponse(const StopCommand& command, CommandOutcome outcome, CellTime time);
  /// `report` is present when the status is kDone.
  void HandlePollResponse(const PollRequest& request, CommandStatus status,
                          const std::optional<RunnerReport>& report, CellTime time);

  void HandleAdvice(const AdviceRequest& request, const absl::StatusOr<Advice>& advice,
                    CellTime time);

  Outbox TakeOutbox() { return std::exchange(outbox_, {}); }

  /// Whether a runner or the store has seen a higher token; the cell then does nothing any more.
  bool deposed() const { return deposed_; }
  /// Whether everything is stored.
  bool flushed() const { return commits_.idle() && dirty_.empty(); }
  /// Whether no task can be running, or have ended unnoticed, that a predecessor started and this
  /// owner does not know of.
  bool reconciled() const { return unreconciled_.empty(); }
  std::size_t unreconciled_runners() const { return unreconciled_.size(); }

  /// The state of the role according to the handover record of a predecessor.
  RolePredecessor role_predecessor() const {
    return {!handover_record_present_, role_available_at_};
  }

  CellNumber number() const { return number_; }
  TermToken token() const { return token_; }
  FenceToken FenceOf(RunnerKey key) const { return token_ * kMaxIncarnationsPerTerm + key; }
  const Runner* FindRunner(RunnerKey key) const;
  /// The present incarnation of the runner with this id; null when there is none.
  const Runner* FindRunnerById(const std::string& id) const;
  const CellCounters& counters() const { return counters_; }
  std::size_t job_count() const { return jobs_.size(); }
  std::size_t pending_job_count() const { return pending_jobs_.size(); }

 private:
  /// More runner incarnations than one term of a cell has. It spaces the fence tokens of terms.
  static constexpr FenceToken kMaxIncarnationsPerTerm = 1ULL << 20U;

  struct JobEntry {
    JobEntry(Job new_job, QueueAddress address)
        : job(std::move(new_job)),
          queue(std::move(address)),
          estimate_key(queue.known() ? queue.ToString() : job.policy().name),
          advice(job.policy().advice) {}

    Job job;
    QueueAddress queue;
    std::string estimate_key;           ///< Identifies the queue for estimates of run times.
    std::optional<QueueAdvice> advice;  ///< Set if an advisor must admit runners.
    JobState stored_state =
        JobState::kQueued;   ///< Newest state that callers may see: final only when stored.
    bool accepted = false;   ///< The job is stored.
    bool inherited = false;  ///< A predecessor may have started its tasks.
    Instant accepted_at{};
    /// Since when tasks have been ready without any start; nothing while no task is ready.
    std::optional<Instant> nothing_started_since;
    BatchNumber accept_batch = 0;  ///< The batch that contains the job.
    Instant ended_at{};
    TeamNumber team = kNoTeam;
    bool beyond_rate = false;      ///< Submitted beyond the rate of its team.
    bool limited_by_team = false;  ///< Its tasks wait because of the limit of its team.
    std::vector<CallNumber> accept_calls;
    std::vector<CallNumber> cancel_calls;
    /// By occurrence and step; used only for queues with an advisor.
    std::map<std::pair<std::uint32_t, std::uint32_t>, StepAdmission> admissions;
  };

  /// The runner that was chosen for a task, or why there is none.
  struct RunnerChoice {
    Runner* runner = nullptr;
    NoRunnerReason reason = NoRunnerReason::kNoCapacity;  ///< Unused if there is a runner.
  };

  /// Whether only one task stops, or all tasks of its runner.
  enum class StopScope : std::uint8_t { kOneTask, kWholeRunner };

  /// Whether capacity is reserved elsewhere for the long-running tasks that have to leave a runner.
  enum class EvacuationState : std::uint8_t { kReserved, kAwaitsAdvice, kImpossible };

  /// The kind of task that prevents the machine of a runner from going down.
  enum class Blocker : std::uint8_t { kNothing, kShortTask, kLongRunningTask };

  /// A state of a job that callers may see once a batch is stored.
  struct DeferredUpdate {
    JobId job;
    JobState state = JobState::kQueued;
  };

  /// A start without a response: it may still reach a later incarnation of its runner.
  struct UnacknowledgedStart {
    TaskId task;
    RunNumber run = 0;
    Instant sent_at{};
  };

  /// A machine that was released to go down, whatever happens to its runner meanwhile.
  struct MachineRelease {
    RunnerKey runner = kNoRunner;  ///< The incarnation that was present.
    Instant reserved_until{};
    Instant resolved_at{};  ///< See `ReleaseResolvedAt`.
  };

  /// Whether this instance may decide for the cell. No lease may be granted while a predecessor's
  /// record of its leases is stored: if this owner became unresponsive, the next one would rely on
  /// that record.
  bool HasAuthority(Instant now) const {
    return !deposed_ && !handover_record_present_ && now < authority_until_;
  }
  /// Whether the membership cannot have expired yet. An eviction may end it earlier.
  bool MembershipHolds(Instant now) const {
    return !deposed_ && now < authority_until_ - options_.authority + options_.min_membership;
  }
  /// Milliseconds since the last confirmed renewal was sent, for the log; "none" without authority
  /// by a renewal, as during a handover.
  std::string MillisSinceRenewal(Instant now) const;
  /// The latest time at which a lease may end. A successor waits only until then.
  Instant LeaseLimit() const {
    return authority_until_ + (options_.max_lease_after_renewal - options_.authority);
  }
  /// Whether tasks of the job may be running on a runner that has not responded since the takeover,
  /// unless they are accounted for.
  bool IsBlocked(const JobEntry& entry) const {
    return entry.inherited && unreconciled_.Blocks(entry.job.policy().service);
  }
  /// Whether a waiting task may be running on such a runner.
  bool MayRunOutOfReach(const JobEntry& entry, const TaskState& task) const {
    return !task.accounted_for && IsBlocked(entry);
  }
  /// Whether a successor may know more of the last run of a waiting task than this owner.
  bool NeedsConfirmation(const TaskState& task, Instant now) const {
    if (!task.lost_run) return false;
    const Instant end = task.lost_run->ended_by;
    return task.lost_run->on_claimed_runner ? !ownership_proof_.IsOverOnClaimed(end, now)
                                            : !ownership_proof_.IsOver(end, now);
  }
  bool MayStart(const JobEntry& entry, const TaskState& task, Instant now);
  bool HasStartableTasks(const JobEntry& entry) const;

  /// Waiting work of one service that fits on no runner at present.
  struct UnplaceableWork {
    bool any = false;
    /// Machines needed for work that starts all its tasks at once: long-running steps and gangs.
    double machines = 0;
  };

  JobEntry* FindJob(const JobId& id);
  JobEntry* AddJob(std::unique_ptr<JobEntry> entry);
  void EraseJob(const JobId& id);
  void Respond(CallNumber call, CallResponse response);
  BatchNumber MarkDirty(JobEntry* entry);
  BatchNumber BatchOfAllChanges() const;
  BatchNumber StoredBatch() const;
  void FlushDirty();
  void Refuse(CallNumber call, const JobId& id, std::string_view reason);
  TeamNumber NumberOfTeam(const std::string& team);
  const TeamTerms* TermsOf(TeamNumber team) const;
  bool IsWithinRate(TeamNumber team, Instant now);
  bool CanStartAtOnce(const JobRecord& record, TeamNumber team, Instant now) const;
  bool FitsTeamLimit(TeamNumber team, const Resources& load, const Resources& task) const;
  std::vector<Resources> UncertainUses() const;
  void RecordLimited(JobEntry* entry, const Resources& load, const Resources& unit,
                     std::uint32_t count);
  void UpdateTeamStandings(Instant now);
  TeamStanding StandingOf(const JobEntry& entry) const;
  std::vector<TeamArrivals> ReportArrivals(Instant now) const;
  void LogCancel(const JobId& id, std::string_view state, Instant now) const;
  bool IsHeldForOther(const JobId& id, const QueueAddress& queue) const;
  void CancelUnknown(CallNumber call, const JobId& id, const std::optional<QueueService>& present,
                     CellTime time);
  void SubmitCancelled(CallNumber call, const JobId& id, CancelledIds::Entry* entry, CellTime time);
  BatchNumber StoreCancelledId(const JobId& id, const CancelledIds::Entry& entry);
  void ConfirmCancelledIds(BatchNumber batch);
  void RefuseUnsentCancelledIds();
  void DropCancelledId(const JobId& id, std::string_view reason);
  void RemoveExpiredCancelledIds(Instant now);
  void RestoreCancelledId(const std::string& key, const std::string& value, CellTime time);
  CallVerdict VerdictOnUnknown(Instant now) const;
  void RefuseUnsentJobs();
  void WithdrawJob(const JobId& id);
  void FinishBatch(CellTime time);
  void HandleUnstorable(const StoreRecord& record);
  void RemoveStoredJob(const JobEntry& entry);
  void Commit(CellTime time);
  void RecordArrival(const JobEntry& entry, Instant now);
  void ApplyDeferredUpdate(const DeferredUpdate& update, CellTime time);
  void RemoveExpiredJobs(CellTime time);
  void RestoreJob(const std::string& key, const std::string& value, CellTime time);
  void RestoreProgress(const std::string& key, const std::string& value);
  void ClassifyRestoredJobs(CellTime time);
  void RestoreRunnerRecord(const std::string& key, const std::string& value, CellTime time);
  void RestoreRunner(const RunnerListing& listing, CellTime time);
  void RestoreStrayLease(const std::string& key, const std::string& value, CellTime time);
  void RestoreHandover(const std::string& value, const TermWatch& watch, CellTime time);
  Instant FormerOwnersStrayLeaseEnd() const;
  Instant PredecessorLeaseEnd(const Runner& runner) const;
  Instant OwnLeaseEnd(const Runner& runner) const;
  bool HasNoLease(const Runner& runner, Instant now);
  bool IsUnresponsive(const Runner& runner, Instant now) const;
  std::int64_t RemainingLeaseMs(const Runner& runner, Instant now) const;
  TermToken NoLeaseGrantedSince(const Runner& runner) const;
  void MaybeStoreLeaseLimits(CellTime time);
  BatchNumber StoreLeaseLimits(LeaseLimitRecords::RunnerIds unresponsive, Instant now);
  void UpdateLimitedRunners();

  Runner* FindRunner(RunnerKey key);
  Runner* AddRunner(const RunnerListing& listing, Instant now);
  void UpdateListing(const RunnerListing& listing, CellTime time);
  void ReplaceIncarnation(Runner* old_incarnation, const RunnerListing& listing, LossReason reason,
                          CellTime time);
  void PassOnStart(const TaskId& id, LiveRun run, RunnerKey earlier, Runner* runner);
  static void LogSettledStart(const Runner& runner, const TaskId& id, const LiveRun& run,
                              std::string_view outcome);
  void UpdateIncarnation(Runner* runner, const RunnerListing& listing, Instant now);
  void FreeExpiredStrays(Runner* runner, CellTime time);
  void RecordUnacknowledgedStart(const std::string& runner_id, const TaskId& task, RunNumber run,
                                 Instant sent_at);
  void ForbidUnacknowledgedStarts(Runner* runner, Instant now);
  void LoseRunner(RunnerKey key, LossReason reason, CellTime time);
  void RecordStrayLease(const Runner& runner, Instant now);
  void LimitStrayLease(Runner* runner, Instant now);
  void StoreStrayLease(const std::string& runner_id, Instant now);
  void RemoveExpiredStrayLeases(Instant now);
  void StoreRunnerRecords();
  void AdvanceRunners(CellTime time);
  void AdvanceStops(Runner* runner, CellTime time);
  void MaybePoll(Runner* runner, CellTime time);
  void HandleReport(Runner* runner, const RunnerReport& report, EventNumber poll, CellTime time);
  static TaskState* FindReportedTask(JobEntry* entry, const TaskId& id, UnixTime wall);
  void HandleResult(Runner* runner, const ReportedResult& result, CellTime time);
  void HandleFailure(Runner* runner, JobEntry* entry, const ReportedResult& result,
                     Instant start_sent_at, CellTime time);
  static void DelayRestart(TaskState* task, Instant start_sent_at, Instant now);
  static void RecordSoundRun(Runner* runner, LiveRun* run, Instant now);
  void HandleReportedRun(Runner* runner, const ReportedRun& reported, CellTime time);
  void FreeVanishedRuns(Runner* runner, const RunnerReport& report, EventNumber poll,
                        CellTime time);
  void ReplaceByEarlierRun(Runner* runner, const TaskId& task, RunNumber earlier, Instant now);
  void HandleStrayStartResponse(const StartCommand& command, CommandOutcome outcome, CellTime time);
  void UpdatePace(Runner* runner, const RunnerReport& report);
  std::chrono::milliseconds PauseBeforePoll(const Runner& runner) const;
  void RecordStoredResults(Runner* runner, Instant now) const;
  LiveRun* FindRun(Runner* runner, const TaskId& task, RunNumber run);
  void AddRun(Runner* runner, const TaskId& task, LiveRun run);
  void RemoveRun(Runner* runner, const TaskId& task);
  TaskState* FreeTask(Runner* runner, const TaskId& id, std::string_view reason, CellTime time);
  void FreeLostTask(Runner* runner, const TaskId& id, const LostRun& lost, std::string_view reason,
                    CellTime time);
  void RecordRun(JobEntry* entry, const TaskId& id, RunNumber run, RunEvidence evidence);
  void StoreBegin(JobEntry* entry);
  void RequestStop(Runner* runner, const TaskId& task, Instant now);
  void StopJob(JobEntry* entry, Instant now);
  bool MayStop(const Runner& runner, const TaskId& id, StopScope scope, Instant now);
  bool IsConfirmedRunning(const TaskId& id, const TaskState& task, Instant now);
  Blocker BlockerOf(const Runner& runner, Instant now);
  EvacuationState PrepareEvacuation(Runner* runner, Instant now);
  bool HasLongRunningWork(const Runner& runner);
  bool CouldRunUnavailableTask(const Runner& runner, Instant now);
  void ReleaseMachine(Runner* runner, Instant now);
  void InheritRelease(Runner* runner, Instant now) const;
  CallResponse CancelReservation(Runner* runner, Instant now);
  void Evacuate(Runner* runner, Instant now);
  Instant ReleaseResolvedAt(Instant now) const;
  EvacuationState ReserveCapacityForEvacuation(const Runner& runner, Instant now);
  EvacuationState ReserveCapacityForStep(const Runner& runner, std::vector<TaskId> tasks,
                                         Instant now);
  bool ReserveCapacity(JobEntry* entry, const TaskId& id, const Runner& origin, Instant now);
  void AddCapacityReservation(const TaskId& id, const Resources& load, const Runner& origin,
                              Runner* holder, Instant now);
  bool MoveCapacityReservationsFrom(const Runner& holder, Instant now);
  Runner* TakeOverReservedCapacity(const JobEntry& entry, const TaskId& id, Instant now);
  RunnerChoice ChooseEvacuationTarget(const JobEntry& entry, const TaskId& id,
                                      const std::set<RunnerKey>& excluded, Instant now);
  bool HasTicketForMove(const TaskId& id, const Runner& holder, Instant now);
  bool IsMoving(const TaskId& id, const CapacityReservation& reservation);
  bool IsReservationValid(const TaskId& id, const CapacityReservation& reservation, Instant now);
  void DropCapacityReservation(const TaskId& id);
  void DropCapacityReservationsOf(const Runner& origin);
  void DropExpiredCapacityReservations(Instant now);
  Resources FreeForTask(const Runner& runner, const TaskId& id) const;

  void Schedule(CellTime time);
  void RankStaleJobs(Instant now);
  void RerankJob(const JobId& id, Instant now);
  void RerankAllJobs() { jobs_to_rank_.insert(open_jobs_.begin(), open_jobs_.end()); }
  void MarkReconciled(RunnerKey key, Instant now);
  void UpdateOpenState(Runner* runner, Instant now);
  void PlaceJob(JobEntry* entry, CellTime time);
  void PlaceStep(JobEntry* entry, std::uint32_t occurrence, std::uint32_t step, CellTime time);
  void PlaceGang(JobEntry* entry, std::uint32_t occurrence, std::uint32_t step, CellTime time);
  bool LacksCapacityFor(const JobEntry& entry, const StepSpec& step) const;
  RunnerChoice ChooseRunner(const JobEntry& entry, const TaskId& id, const std::string& rack,
                            Instant now);
  std::string RackOfStep(const JobEntry& entry, std::uint32_t occurrence, std::uint32_t step);
  std::uint32_t RunsOfStep(const Runner& runner, const TaskId& task) const;
  std::uint32_t ReservationsOfStep(const Runner& runner, const TaskId& task) const;
  double CostOf(const JobEntry& entry, const Runner& runner, const TaskId& id,
                const std::string& rack, Instant now) const;
  std::optional<NoRunnerReason> FindObstacle(const JobEntry& entry, const Runner& runner,
                                             const TaskId& id, Instant now) const;
  bool MayHost(const JobEntry& entry, const Runner& runner, const TaskId& id, Instant now) const;
  void EarmarkCapacity(const JobEntry& entry, const TaskId& id, Instant now);
  void LogWaitingTasks(Instant now);
  void LogWaitingTask(const JobEntry& entry, const TaskId& id, Instant now) const;
  std::string DescribeObstacles(const JobEntry& entry, const TaskId& id, Instant now) const;
  Instant WaitingSince(const JobEntry& entry, const TaskState& task) const;

  std::vector<PreemptionCandidate> PreemptableRuns(const Runner& runner, std::uint32_t priority,
                                                   Instant now);
  void PreemptFor(const JobEntry& entry, const TaskId& id, Instant now);

  std::map<std::string, Resources> LargestCapacities() const;
  static bool OffersCapacity(const Runner& runner, const TaskId& task, Instant now);
  std::uint32_t UnplaceableTasks(const JobEntry& entry, std::uint32_t occurrence,
                                 std::uint32_t step, RejectedSizes* rejected, Instant now) const;
  void AddUnplaceable(const JobEntry& entry, const Resources& capacity, RejectedSizes* rejected,
                      UnplaceableWork* unplaceable, Instant now) const;
  void ReportFreeCoresAsBusy(const std::string& service, ServiceLoad* load, Instant now) const;
  void Start(JobEntry* entry, const TaskId& id, Runner* runner, RunNumber run, CellTime time);
  RunNumber NextRun(const JobEntry& entry, RunNumber last) const;

  static const StepAdmission* FindAdmission(const JobEntry& entry, const TaskId& task);
  void RequestAdvice(JobEntry* entry, std::uint32_t occurrence, std::uint32_t step,
                     NoRunnerReason reason, Instant now);
  void HandleRefusedTicket(const StartCommand& command);
  static bool AwaitsAdvice(const JobEntry& entry, const TaskId& task);
  std::uint32_t& PendingAdviceRequests(bool long_running) {
    return long_running ? pending_long_running_advice_requests_ : pending_advice_requests_;
  }

  const CellNumber number_;
  const TermToken token_;
  const CellOptions options_;
  Instant authority_until_{};
  OwnershipProof ownership_proof_;
  bool handing_over_ = false;
  TermToken no_renewals_since_ = 0;  ///< See `TermWatch`.
  TermToken token_step_ = 0;         ///< See `TermWatch`.
  TermToken last_owned_token_ = 0;
  TermToken limits_last_owned_token_ = 0;  ///< `last_owned_token` of the newest record.
  LeaseLimitRecords limits_;
  Instant limits_written_at_{};
  Instant limits_expire_at_{};            ///< When all leases in the newest record end.
  bool handover_record_present_ = false;  ///< A predecessor's record is still stored.
  Instant restored_at_{};
  Instant other_owners_authority_end_{};  ///< From then on no other owner starts tasks.
  std::optional<Instant> role_available_at_;
  BatchNumber handover_batch_ = 0;  ///< The batch that replaces the predecessor's record.
  bool deposed_ = false;

  std::unordered_map<JobId, std::unique_ptr<JobEntry>> jobs_;
  std::map<QueueService, std::size_t> jobs_by_queue_;  ///< Number of jobs of each queue.
  std::unordered_set<JobId> open_jobs_;                ///< Jobs that are not final.
  std::unordered_set<JobId> timed_jobs_;               ///< Open jobs with due times.
  std::unordered_set<JobId> unaccepted_;               ///< Open jobs that are not stored yet.
  PendingJobs pending_jobs_;  ///< Accepted jobs that are not final and have not begun.
  std::deque<JobId>
      final_jobs_;  ///< Final jobs, kept for callers for a while, in the order in which they ended.
  CancelledIds cancelled_ids_;
  std::unordered_set<JobId> unstored_cancelled_ids_;  ///< With a record that is not stored yet.
  std::unordered_set<JobId> dirty_;  ///< Jobs whose progress is stored with the next batch.
  CommitQueue commits_;
  std::set<std::string> unstorable_keys_;  ///< Keys of records for which an error was logged.
  std::map<BatchNumber, std::vector<DeferredUpdate>> deferred_updates_;

  std::map<RunnerKey, Runner> runners_;
  std::unordered_map<std::string, RunnerKey> key_by_id_;
  std::map<std::string, RunnerListing> stored_runners_;  ///< Newest runner records, by id.
  Instant listed_as_of_{};                               ///< See `ConfirmListings`.
  bool unsplit_registry_present_ = false;  ///< The store holds the record of an earlier version.
  std::unordered_map<std::string, std::vector<UnacknowledgedStart>>
      unacknowledged_starts_;  ///< By runner id.
  StrayLeases stray_leases_;
  std::map<std::string, MachineRelease> machine_releases_;  ///< By runner id.
  UnreconciledRunners unreconciled_;
  RunnerKey last_key_ = kNoRunner;
  EventNumber last_event_ = 0;
  bool schedule_requested_ = false;
  WaitingJobs waiting_;
  /// Nothing until the configuration is known. Until then no job with a team starts.
  std::optional<std::map<std::string, TeamTerms>> teams_;
  std::map<std::string, TeamNumber> team_numbers_;
  /// By team number. The first ones are unused.
  std::vector<std::string> team_names_{""};
  std::vector<Resources> team_used_{{}};     ///< By the runs that this owner knows.
  std::vector<Resources> team_blocked_{{}};  ///< Of tasks that wait because of their team's limit.
  std::vector<Resources> team_units_{{}};    ///< The largest load among these.
  /// What a predecessor may have started on runners that have not reported, as of the present
  /// round.
  std::vector<Resources> team_uncertain_;
  std::vector<TeamRate> team_rates_{{}};
  /// Teams that use more than their share of a service, with the service.
  std::set<std::pair<std::string, TeamNumber>> teams_over_share_;
  Instant standings_due_{};
  bool limited_by_teams_ = false;
  std::unordered_set<JobId> jobs_to_rank_;  ///< Jobs to be ranked again.
  Instant rank_all_at_{};
  Instant waits_checked_at_{};
  RejectedSizes rejected_sizes_;
  std::set<RunnerKey>
      newly_open_runners_;  ///< Runners that may have gained capacity since sizes were rejected.
  std::map<TaskId, CapacityReservation>
      capacity_reservations_;  ///< By the long-running task that is to leave its runner.
  /// When placement is tried again for tasks that fit nowhere. Reservations, restart delays and
  /// tickets expire without an event, and an idle cell gets no events.
  Instant reschedule_at_ = Instant::max();
  /// Requests to the advisor without a response yet, for short steps and for long-running ones.
  std::uint32_t pending_advice_requests_ = 0;
  std::uint32_t pending_long_running_advice_requests_ = 0;

  EstimateModel estimates_;
  std::map<std::string, ArrivalMeter> arrivals_;  ///< By service.
  CellCounters counters_;
  Outbox outbox_;
};

}  // namespace wigeonlane

#endif  // WIGEONLANE_CELLS_CELL_H_
