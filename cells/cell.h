/// The owner of one cell: its jobs, its runners, and what is written and started when.
///
/// A pure state machine. Every method takes the time; orders to runners, appends to the store and
/// answers to callers are collected in the outbox, which the driver carries out.
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
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "absl/status/status.h"
#include "absl/status/statusor.h"
#include "cells/capacity_reservation.h"
#include "cells/cell_options.h"
#include "cells/cell_types.h"
#include "cells/commit_queue.h"
#include "cells/lease_limit_records.h"
#include "cells/role_term.h"
#include "cells/runner.h"
#include "cells/term_watch.h"
#include "cells/unreconciled_runners.h"
#include "jobs/job_progress.h"
#include "scheduling/arrival_meter.h"
#include "scheduling/estimate_model.h"
#include "scheduling/job_ranking.h"
#include "scheduling/rejected_sizes.h"
#include "scheduling/step_admission.h"
#include "scheduling/waiting_jobs.h"

namespace wigeonlane {

/// A time on the clock that counts suspension, with the time of day read at the same moment.
struct CellTime {
  Instant now{};
  UnixTime wall{};
};

/// Counts of decisions since the cell was taken over, for metrics.
struct CellCounters {
  std::uint64_t accepted = 0;
  std::uint64_t refused = 0;
  std::uint64_t starts = 0;
  std::uint64_t starts_without_response = 0;
  std::uint64_t starts_refused = 0;
  std::uint64_t polls = 0;
  std::uint64_t runs_done = 0;
  std::uint64_t runs_failed = 0;
  std::uint64_t runs_ended_otherwise = 0;
  std::uint64_t runners_lost = 0;
  std::uint64_t completed = 0;
};

class Cell {
 public:
  Cell(CellNumber number, TermToken token, CellOptions options);

  /// Takes over what the partition held when it was fenced. Unreadable records are logged and
  /// left alone.
  void Restore(const std::vector<StoreRecord>& records, CellTime time,
               const TermWatch& watch = TermWatch());

  /// The store confirmed our ownership by a renewal sent `options.authority` before `until`.
  void ExtendAuthority(Instant until) { authority_until_ = std::max(authority_until_, until); }

  /// The cell was ours in the generation of this token, the newest that was seen.
  void RecordOwnership(TermToken last_owned_token, Instant now);

  /// From now on nothing is started or extended; what was decided is still stored. Called once.
  /// A record tells the successor how long leases may last, so that it need not assume the longest.
  /// `role_wait` is how long a successor must leave the role that goes with the cell alone.
  void PrepareHandover(std::chrono::milliseconds role_wait, CellTime time);

  /// Replaces what discovery says of the runners of this cell's services.
  void SetRunners(const std::vector<RunnerListing>& listings, CellTime time);

  /// Carries out what is due: commits, looks, stops, expiry, placement. Call it after other calls
  /// and no later than `NextWake`.
  void Advance(CellTime time);
  Instant NextWake(Instant now) const;

  void Submit(CallNumber call, const JobId& id, JobRecord record, CellTime time);
  void Cancel(CallNumber call, const JobId& id, CellTime time);
  CallResponse Show(const JobId& id) const;
  CallResponse CountPending(const std::string& queue) const;

  /// What each service of the cell has to do, for decisions on machines.
  CallResponse ReportLoads(CellTime time) const;

  /// Reserves a runner for upkeep: nothing starts there any more. Says whether it may be taken
  /// now, which is when nothing runs on it that should not be ended. Lasting tasks that have to
  /// leave are stopped once room is held for all of them; where there is none the runner is not
  /// reserved.
  CallResponse ReserveRunner(const std::string& runner_id, CellTime time);

  /// The same for a machine that is to leave for another pool and does not come back: a runner
  /// with lasting tasks is not reserved.
  CallResponse ReserveForMove(const std::string& runner_id, CellTime time);

  /// The machine of a runner was taken down: that life is over.
  void HandleMachineDown(const std::string& runner_id, CellTime time);

  /// The append under way was stored.
  void HandleBatchStored(CellTime time);
  /// The append under way was refused for good: another instance owns the cell.
  void Depose() { deposed_ = true; }
  /// A runner refused an order because it has seen a higher token. That deposes us unless the order
  /// was meant for a former life, and the token is our own for its present one.
  void HandleFencedCommand(RunnerKey key) {
    if (runners_.contains(key)) Depose();
  }

  void HandleStartResponse(const StartCommand& order, CommandOutcome outcome, CellTime time);
  void HandleStopResponse(const StopCommand& order, CommandOutcome outcome, CellTime time);
  /// `report` is present when `answer` is kDone.
  void HandlePollResponse(const PollRequest& order, CommandStatus answer,
                          const std::optional<RunnerReport>& report, CellTime time);

  void HandleAdvice(const AdviceRequest& order, const absl::StatusOr<Advice>& advice,
                    CellTime time);

  Outbox TakeOutbox() { return std::exchange(outbox_, {}); }

  /// A runner or the store has seen a higher token: nothing may be done any more.
  bool deposed() const { return deposed_; }
  /// Whether nothing waits to be stored.
  bool flushed() const { return commits_.idle() && dirty_.empty(); }
  /// Whether nothing of a predecessor can run that we do not know of.
  bool reconciled() const { return unreconciled_.empty(); }
  std::size_t unreconciled_runners() const { return unreconciled_.size(); }

  /// What the record of a predecessor that handed the cell over in good order says of its role.
  RolePredecessor role_predecessor() const {
    return {!handover_record_present_, role_available_at_};
  }

  CellNumber number() const { return number_; }
  TermToken token() const { return token_; }
  FenceToken FenceOf(RunnerKey key) const { return token_ * kMaxIncarnationsPerTerm + key; }
  const Runner* FindRunner(RunnerKey key) const;
  /// The present life under an id; null when there is none.
  const Runner* FindRunnerById(const std::string& id) const;
  const CellCounters& counters() const { return counters_; }
  std::size_t job_count() const { return jobs_.size(); }

 private:
  /// More lives of runners than one tenure of a cell sees; keeps tokens of tenures apart.
  static constexpr FenceToken kMaxIncarnationsPerTerm = 1ULL << 20U;

  struct JobEntry {
    explicit JobEntry(Job given) : job(std::move(given)) {}

    Job job;
    JobState stored = JobState::kQueued;  ///< Final only once the store holds it.
    bool accepted = false;                ///< The store holds the job.
    bool inherited = false;               ///< A predecessor may have started its tasks.
    Instant accepted_at{};
    /// Tasks are ready and none has started since; nothing while none is ready.
    std::optional<Instant> nothing_started_since;
    BatchNumber accept_batch = 0;  ///< The batch that carries it.
    Instant ended_at{};
    std::vector<CallNumber> accept_calls;
    std::vector<CallNumber> cancel_calls;
    /// By occurrence and step; only of queues with an advisor.
    std::map<std::pair<std::uint32_t, std::uint32_t>, StepAdmission> admissions;
  };

  /// What ends with a task: it alone, or everything on its runner.
  enum class StopScope : std::uint8_t { kOneTask, kWholeRunner };

  /// What keeps a runner from being taken.
  enum class Blocker : std::uint8_t { kNothing, kShortTask, kLongRunningTask };

  /// What becomes true when a batch is stored.
  struct DeferredUpdate {
    JobId job;
    JobState state = JobState::kQueued;
  };

  /// A start that was not answered: it may still reach a later life of its runner.
  struct UnacknowledgedStart {
    TaskId task;
    RunNumber run = 0;
    Instant until{};
  };

  /// While a predecessor's record of its leases stands, none may be granted: should we fall silent,
  /// a third owner would rely on it.
  bool HasAuthority(Instant now) const {
    return !deposed_ && !handover_record_present_ && now < authority_until_;
  }
  /// No lease may last longer: a successor relies on it.
  Instant LeaseLimit() const {
    return authority_until_ + (options_.max_lease_after_renewal - options_.authority);
  }
  /// Whether tasks of the job may run on a runner that has not answered since the takeover.
  bool IsBlocked(const JobEntry& entry) const {
    return entry.inherited && unreconciled_.Blocks(entry.job.policy().service);
  }

  /// Work of one service that waits and fits on no runner as things stand.
  struct UnplaceableWork {
    bool any = false;
    /// That hold what needs places for all its tasks at once: lasting steps and gangs.
    double machines = 0;
  };

  JobEntry* FindJob(const JobId& id);
  void Respond(CallNumber call, CallResponse answer);
  BatchNumber MarkDirty(JobEntry* entry);
  void FlushDirty();
  void Refuse(CallNumber call, const JobId& id, std::string_view why);
  void RefuseUnsentJobs();
  void Commit(CellTime time);
  void RecordArrival(const Job& job, Instant now);
  void ApplyDeferredUpdate(const DeferredUpdate& effect, CellTime time);
  void RemoveExpiredJobs(CellTime time);
  void RestoreJob(const std::string& key, const std::string& value, CellTime time);
  void RestoreProgress(const std::string& key, const std::string& value, CellTime time);
  void RestoreRunnerRegistry(const std::string& value, CellTime time);
  void RestoreHandover(const std::string& value, const TermWatch& watch, CellTime time);
  bool IsUnresponsive(const Runner& runner, Instant now) const;
  std::int64_t RemainingLeaseMs(const Runner& runner, Instant now) const;
  TermToken NoLeaseGrantedSince(const Runner& runner) const;
  void MaybeStoreLeaseLimits(CellTime time);
  BatchNumber StoreLeaseLimits(LeaseLimitRecords::RunnerIds silent, Instant now);
  void UpdateLimitedRunners();

  Runner* FindRunner(RunnerKey key);
  Runner* AddRunner(const RunnerListing& listing, Instant now);
  void UpdateListing(const RunnerListing& listing, CellTime time);
  void ReplaceIncarnation(Runner* old_life, const RunnerListing& listing, CellTime time);
  void RecordUnacknowledgedStart(const std::string& runner_id, const TaskId& task, RunNumber run,
                                 Instant now);
  void ForbidUnacknowledgedStarts(Runner* runner, Instant now);
  void LoseRunner(RunnerKey key, std::string_view why, CellTime time);
  void StoreRunnerRegistry();
  void AdvanceRunners(CellTime time);
  void AdvanceStops(Runner* runner, CellTime time);
  void MaybePoll(Runner* runner, CellTime time);
  void HandleReport(Runner* runner, const RunnerReport& report, CellTime time);
  static TaskState* FindReportedTask(JobEntry* entry, const TaskId& id, UnixTime wall);
  void HandleResult(Runner* runner, const ReportedResult& end, CellTime time);
  void HandleFailure(Runner* runner, JobEntry* entry, const ReportedResult& end, Instant ordered,
                     CellTime time);
  static void DelayRestart(TaskState* task, Instant ordered, Instant now);
  void HandleReportedRun(Runner* runner, const ReportedRun& row, RunnerClock clock, CellTime time);
  void FreeVanishedRuns(Runner* runner, const RunnerReport& report, CellTime time);
  void UpdatePace(Runner* runner, const RunnerReport& report);
  void RecordStoredResults(CellTime time);
  LiveRun* FindRun(Runner* runner, const TaskId& task, RunNumber run);
  void AddRun(Runner* runner, const TaskId& task, LiveRun run);
  void RemoveRun(Runner* runner, const TaskId& task);
  void FreeTask(Runner* runner, const TaskId& task, std::string_view why, CellTime time);
  void RequestStop(Runner* runner, const TaskId& task, Instant now);
  void StopJob(JobEntry* entry, Instant now);
  bool MayStop(const Runner& runner, const TaskId& id, StopScope ending, Instant now);
  bool IsConfirmedRunning(const TaskId& id, const TaskState& task, Instant now);
  Blocker BlockerOf(const Runner& runner, Instant now);
  bool PrepareEvacuation(Runner* runner, Instant now);
  bool HasLongRunningWork(const Runner& runner);
  bool CouldRunUnavailableTask(const Runner& runner, Instant now);
  CallResponse CancelReservation(Runner* runner, Instant now);
  void Evacuate(Runner* runner, Instant now);
  Instant ReleaseResolvedAt(Instant now) const;
  bool ReserveCapacityForEvacuation(const Runner& runner, Instant now);
  bool ReserveCapacityForStep(const Runner& runner, std::vector<TaskId> tasks, Instant now);
  bool ReserveCapacity(const JobEntry& entry, const TaskId& id, const Runner& origin, Instant now);
  void AddCapacityReservation(const TaskId& id, const Resources& load, const Runner& origin,
                              Runner* holder, Instant now);
  bool MoveCapacityReservationsFrom(const Runner& holder, Instant now);
  Runner* TakeOverReservedCapacity(const JobEntry& entry, const TaskId& id, Instant now);
  Runner* ChooseEvacuationTarget(const JobEntry& entry, const TaskId& id,
                                 const std::set<RunnerKey>& excluded, Instant now);
  bool IsMoving(const TaskId& id, const CapacityReservation& room);
  bool IsReservationValid(const TaskId& id, const CapacityReservation& room, Instant now);
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
  Runner* ChooseRunner(const JobEntry& entry, const TaskId& task, const std::string& rack,
                       Instant now);
  std::string RackOfStep(const JobEntry& entry, std::uint32_t occurrence, std::uint32_t step);
  std::uint32_t RunsOfStep(const Runner& runner, const TaskId& task) const;
  std::uint32_t ReservationsOfStep(const Runner& runner, const TaskId& task) const;
  double CostOf(const JobEntry& entry, const Runner& runner, const TaskId& id,
                const std::string& rack) const;
  bool MayHost(const JobEntry& entry, const Runner& runner, const TaskId& id, Instant now) const;
  void EarmarkCapacity(const JobEntry& entry, const TaskId& id, Instant now);

  std::map<std::string, Resources> LargestCapacities() const;
  static bool OffersCapacity(const Runner& runner, const TaskId& task, Instant now);
  std::uint32_t UnplaceableTasks(const JobEntry& entry, std::uint32_t occurrence,
                                 std::uint32_t step, RejectedSizes* full, Instant now) const;
  void AddUnplaceable(const JobEntry& entry, const Resources& capacity, RejectedSizes* full,
                      UnplaceableWork* stranded, Instant now) const;
  void ReportFreeCoresAsBusy(const std::string& service, ServiceLoad* load, Instant now) const;
  void Start(JobEntry* entry, const TaskId& id, Runner* runner, RunNumber run, CellTime time);
  RunNumber NextRun(const JobEntry& entry, RunNumber last) const;

  static const StepAdmission* FindAdmission(const JobEntry& entry, const TaskId& task);
  void RequestAdvice(JobEntry* entry, std::uint32_t occurrence, std::uint32_t step, Instant now);

  const CellNumber number_;
  const TermToken token_;
  const CellOptions options_;
  Instant authority_until_{};
  bool handing_over_ = false;
  TermToken no_renewals_since_ = 0;  ///< See `TermWatch`.
  TermToken token_step_ = 0;         ///< Likewise.
  TermToken last_owned_token_ = 0;
  Instant
      other_owners_leases_end_{};  ///< Of owners that may have come and gone unseen in our tenure.
  TermToken limits_last_owned_token_ = 0;  ///< As the newest record says.
  LeaseLimitRecords limits_;
  Instant limits_written_at_{};
  Instant limits_expire_at_{};  ///< By then all leases are over of which the newest record tells.
  bool handover_record_present_ = false;  ///< A predecessor's record is still in the store ...
  Instant restored_at_{};
  std::optional<Instant> role_available_at_;
  BatchNumber handover_batch_ = 0;  ///< ... until this batch, which replaces it, is stored.
  bool deposed_ = false;

  std::unordered_map<JobId, std::unique_ptr<JobEntry>> jobs_;
  std::unordered_set<JobId> open_jobs_;   ///< Jobs that are not final.
  std::unordered_set<JobId> timed_jobs_;  ///< Open jobs with due times.
  std::unordered_set<JobId> unaccepted_;  ///< Open jobs that the store does not hold yet.
  std::deque<JobId>
      final_jobs_;  ///< Final jobs, kept for callers for a while; the first ended first.
  std::unordered_set<JobId> dirty_;  ///< Jobs whose progress goes into the next batch.
  CommitQueue commits_;
  std::map<BatchNumber, std::vector<DeferredUpdate>> deferred_updates_;

  std::map<RunnerKey, Runner> runners_;
  std::unordered_map<std::string, RunnerKey> key_by_id_;
  std::unordered_map<std::string, std::vector<UnacknowledgedStart>>
      unacknowledged_starts_;  ///< By runner id.
  UnreconciledRunners unreconciled_;
  RunnerKey last_key_ = kNoRunner;
  bool schedule_requested_ = false;
  WaitingJobs waiting_;
  std::unordered_set<JobId> jobs_to_rank_;  ///< Jobs to be ranked again.
  Instant rank_all_at_{};
  RejectedSizes rejected_sizes_;
  std::set<RunnerKey> newly_open_runners_;  ///< Runners that may have room since shapes were noted.
  std::map<TaskId, CapacityReservation>
      capacity_reservations_;  ///< By the lasting task that is to leave its runner.
  /// When tasks that found no place are tried again. Reservations, pauses and tickets end without
  /// an event, and an idle cell hears of nothing.
  Instant reschedule_at_ = Instant::max();
  std::uint32_t pending_advice_requests_ = 0;  ///< To the advisor, not answered yet.

  EstimateModel estimates_;
  std::map<std::string, ArrivalMeter> arrivals_;  ///< By service.
  CellCounters counters_;
  Outbox outbox_;
};

}  // namespace wigeonlane

#endif  // WIGEONLANE_CELLS_CELL_H_
