/// Input and output types of a cell. A cell is one partition of the jobs topic together with the
/// runners of its services; see docs/DESIGN.md.
#ifndef WIGEONLANE_CELLS_CELL_TYPES_H_
#define WIGEONLANE_CELLS_CELL_TYPES_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "core/clock.h"
#include "core/settings.h"
#include "jobs/job_progress.h"
#include "jobs/route_table.h"

namespace wigeonlane {

/// Number of a cell; equals the number of its partition of the jobs topic.
using CellNumber = std::uint32_t;

/// The owner of this cell also coordinates the machines.
inline constexpr CellNumber kCoordinatorCell = 0;

/// Fencing token of one owner's term in a cell. Later owners have higher tokens.
using TermToken = std::uint64_t;

/// Fencing token of one incarnation of a runner within one term. It rises with each incarnation, so
/// that a new incarnation refuses commands sent to an earlier one once its owner has called it.
using FenceToken = std::uint64_t;

/// Numbers a cell's polls and what it learns of runs, in their order.
using EventNumber = std::uint64_t;

/// Numbers the teams that one owner of a cell has seen.
using TeamNumber = std::uint32_t;
inline constexpr TeamNumber kNoTeam = 0;

/// A time on a runner's own clock, counted from the start of the runner's incarnation.
using RunnerClock = std::chrono::milliseconds;

/// Entry of one runner in service discovery.
struct RunnerListing {
  std::string id;
  std::string service;
  Endpoint endpoint;
  std::string data_centre;
  std::string rack;
  std::vector<std::string> labels;  ///< Include the machine kind and the rack.
  Resources capacity;
  /// Start of the incarnation, since 1970; distinguishes incarnations with the same id.
  std::chrono::milliseconds started_at{0};
  bool draining = false;

  bool operator==(const RunnerListing&) const = default;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(id, service, endpoint, data_centre, rack, labels, capacity, started_at, draining);
  }
};

/// One run that a runner reports as running.
struct ReportedRun {
  TaskId task;
  RunNumber run = 0;
  std::string checkpoint;
  std::uint32_t percent = 0;  ///< Speed as a percentage of full speed.
  /// Tail response time in milliseconds for a serving task; CPU use in thousandths of a core for
  /// any other task.
  std::int64_t usage = 0;
};

/// Result of one run. A runner reports it until the owner acknowledges it.
struct ReportedResult {
  std::uint64_t number = 0;  ///< Counts from 1 in each incarnation.
  TaskId task;
  RunNumber run = 0;
  RunResult result = RunResult::kStopped;
  std::string checkpoint;
};

/// A runner's response to a poll.
struct RunnerReport {
  /// Whether `PollRequest::forget_up_to` and `lease` were sent. They are left out on a connection
  /// that has not carried a report yet: a different incarnation with the same id may respond on it
  /// and would discard its own results.
  bool acknowledgement_sent = true;
  std::chrono::milliseconds started_at{0};  ///< Start of the incarnation that responded.
  RunnerClock clock{0};
  std::vector<ReportedRun> running;
  std::vector<ReportedResult> results;
  /// The runner may hold results beyond the listed ones, so a run that the report does not mention
  /// may have ended. It lists them once these are acknowledged.
  bool more_results = false;
};

/// Outcome of a command to a runner.
enum class CommandStatus : std::uint8_t {
  kDone,              ///< Executed now or earlier.
  kFenced,            ///< The runner has seen a higher token.
  kOldRun,            ///< A run with the same or a higher number has stopped or ended there.
  kTooLate,           ///< The command's deadline has passed on the runner's clock.
  kNoCapacity,        ///< The runner has too little free capacity.
  kNoTicket,          ///< The advisor's ticket is missing or no longer valid.
  kWrongIncarnation,  ///< Not sent: another incarnation of the runner responds at that address.
  kWrongRunner,       ///< Refused: another runner responds at that address.
  kUnhealthy,         ///< Refused by an unhealthy runner; nothing was executed.
  kInvalid,           ///< The runner cannot parse the command.
  kNotSent,           ///< No byte of the command left this process.
  kNoResponse,        ///< The command may have been executed, or may be executed later.
};

std::string_view CommandStatusName(CommandStatus status);

/// Status of a command, with the runner's clock if the response carried it.
struct CommandOutcome {
  CommandStatus status = CommandStatus::kNoResponse;
  std::optional<RunnerClock> clock;
};

/// Identifies a caller's call, so that the response can be matched to it.
using CallNumber = std::uint64_t;

/// Result of a caller's call to a cell.
enum class CallVerdict : std::uint8_t {
  kAccepted,      ///< The job is stored. A repeated submission gets the same verdict.
  kRefused,       ///< The job is not accepted and never runs; retry after `retry_after`.
  kUnknown,       ///< The job may have been accepted; a repeated submission finds out.
  kCancelled,     ///< The cancellation is stored, or the job had already ended.
  kShown,         ///< `state` is set.
  kNotFound,      ///< The cell has no such job.
  kNotOwner,      ///< This instance does not own the cell, or has not restored it yet.
  kCounted,       ///< `pending` is set.
  kReady,         ///< The machine may be taken down for maintenance now.
  kNotReady,      ///< The machine may not be taken down yet.
  kLoads,         ///< `loads` is set.
  kNotEvacuable,  ///< The machine's long-running tasks fit nowhere else; it keeps accepting work.
  kOutdated,      ///< Nothing was decided: the owner's or the sender's configuration is outdated.
  kQueues,        ///< `queues` is set.
  kTooLarge,      ///< The store cannot hold the job, so it is not accepted and never will be.
  kIdInUse,       ///< Not accepted: the cell holds the id for another queue.
  kCancelledBeforeSubmit,  ///< Cancelled before a submission of the id arrived, so it never runs.
};

/// A runner whose machine may be moved, because no long-running task runs there.
struct MovableRunner {
  std::string id;
  std::uint32_t runs = 0;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(id, runs);
  }
};

/// Load of one service of a cell.
struct ServiceLoad {
  std::string service;
  /// CPU in use on the runners, scaled by the scarcest resource. Equals the capacity while
  /// unplaceable work waits.
  std::int64_t busy_cpu_milli = 0;
  std::int64_t long_running_cpu_milli = 0;  ///< Part of it that long-running tasks use.
  std::int64_t capacity_cpu_milli = 0;      ///< Capacity of the runners that accept starts.
  std::int64_t arriving_cpu_milli = 0;      ///< CPU needed to keep up with arriving jobs.
  /// Work of tasks that wait for capacity, in thousandths of a core-second.
  std::int64_t backlog_work = 0;
  std::vector<MovableRunner> movable;  ///< Least busy first.
  std::uint32_t runners = 0;           ///< Runners that discovery lists.
  /// Machines needed beyond these runners for unplaceable work.
  std::uint32_t further_machines = 0;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(service, busy_cpu_milli, capacity_cpu_milli, arriving_cpu_milli, backlog_work, movable,
            runners, further_machines, long_running_cpu_milli);
  }
};

/// Jobs that a team submits per second.
struct TeamArrivals {
  std::string team;
  double per_second = 0;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(team, per_second);
  }
};

/// The queues whose jobs a cell holds, and its owner's configuration.
struct CellQueues {
  std::uint64_t config_version = 0;
  /// The service is the one that the queue had when a job was accepted.
  std::vector<QueueService> held;
  /// Services of all queues; left out if the sender has the same version.
  std::vector<QueueService> assigned;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(config_version, held, assigned);
  }
};

/// Content of a response to a caller's call; `verdict` says which members are set.
struct CallResponse {
  CallVerdict verdict = CallVerdict::kNotOwner;
  JobState state = JobState::kQueued;
  std::uint32_t pending = 0;
  std::chrono::milliseconds retry_after{0};
  std::vector<ServiceLoad> loads = {};
  CellQueues queues = {};
  /// With kOutdated: the oldest survey that would have sufficed; 0 if a survey would not help.
  std::uint64_t required_survey = 0;
  std::vector<TeamArrivals> arrivals = {};  ///< With `loads`: at this cell.
  bool stored = true;  ///< With `state`: the job is stored, so it cannot be refused any more.
  /// The instance that made the response. Set by the `CallRouter` that received it; not sent.
  Endpoint decided_by = {};

  template <class Archive>
  void serialize(Archive& archive) {
    archive(verdict, state, pending, retry_after, loads, queues, required_survey, stored, arrivals);
  }
};

/// Asks a runner to start a run of a task.
struct StartCommand {
  RunnerKey runner = kNoRunner;
  TaskId task;
  RunNumber run = 0;
  RunnerClock deadline{0};  ///< The runner refuses the command after this.
  std::string checkpoint;
  std::string payload;
  std::string ticket;  ///< Issued by the advisor; empty if the queue has no advisor.
};

/// Asks a runner to stop a run and to refuse it if it has not started.
struct StopCommand {
  RunnerKey runner = kNoRunner;
  TaskId task;
  RunNumber run = 0;
};

/// Sets the speed of a best-effort run.
struct PaceCommand {
  RunnerKey runner = kNoRunner;
  TaskId task;
  RunNumber run = 0;
  std::uint32_t percent = 100;
};

/// Requests a runner's report, extends its lease and acknowledges results.
struct PollRequest {
  RunnerKey runner = kNoRunner;
  std::optional<RunnerClock> lease;  ///< New end of the lease, on the runner's clock.
  std::uint64_t forget_up_to = 0;    ///< The runner may discard results up to this number.
  std::chrono::milliseconds wait{
      0};                  ///< The runner may delay its response this long until a run ends.
  EventNumber number = 0;  ///< Of the poll among the cell's events.
};

/// Asks the advisor which of the given runners may run a step.
struct AdviceRequest {
  TaskId step;  ///< Identifies the step; the task index is unused.
  bool long_running = false;
  std::vector<std::pair<RunnerKey, std::string>> runners;  ///< Keys and ids.
  std::chrono::milliseconds timeout{0};
};

/// The advisor's response. Runners without a ticket may not run the step.
struct Advice {
  std::map<std::string, std::string> tickets;  ///< By runner id.
  std::chrono::milliseconds valid{0};          ///< Validity period of the tickets.
};

/// One record of the cell's partition. A record without a value removes the key.
struct StoreRecord {
  std::string key;
  std::optional<std::string> value;
};

/// A batch of records to append to the store.
struct AppendRequest {
  std::uint64_t sequence = 0;
  std::vector<StoreRecord> records;
};

/// Response to one call of a caller.
struct PendingCallResponse {
  CallNumber call = 0;
  CallResponse response;
};

/// Actions that the cell requests, each list in the order of the decisions. The driver executes
/// them after each call into the cell.
struct Outbox {
  std::vector<StartCommand> starts;
  std::vector<StopCommand> stops;
  std::vector<PaceCommand> paces;
  std::vector<PollRequest> polls;
  std::vector<AdviceRequest> advice_requests;
  std::vector<AppendRequest> appends;
  std::vector<PendingCallResponse> responses;
};

}  // namespace wigeonlane

#endif  // WIGEONLANE_CELLS_CELL_TYPES_H_
