/// Values that a cell takes in and gives out. A cell is one partition of the jobs topic with the
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

namespace wigeonlane {

/// Number of a cell: the partition of the jobs topic.
using CellNumber = std::uint32_t;

/// Whoever owns this cell orders the machines as well.
inline constexpr CellNumber kCoordinatorCell = 0;

/// Fencing token of one tenure of a cell; later owners have higher ones.
using TermToken = std::uint64_t;

/// Fencing token of one life of a runner within one tenure. It rises with each life under an id, so
/// that a new life refuses what was sent to a former one as soon as its owner has called it once.
using FenceToken = std::uint64_t;

/// A time on a runner's own clock, since that life of the runner began.
using RunnerClock = std::chrono::milliseconds;

/// What discovery says of one runner.
struct RunnerListing {
  std::string id;
  std::string service;
  Endpoint endpoint;
  std::string data_centre;
  std::string rack;
  std::vector<std::string> labels;  ///< Kind and rack among them.
  Resources capacity;
  std::chrono::milliseconds born{0};  ///< Since 1970; tells lives under one id apart.
  bool draining = false;

  bool operator==(const RunnerListing&) const = default;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(id, service, endpoint, data_centre, rack, labels, capacity, born, draining);
  }
};

/// One run that a runner lists as under way.
struct ReportedRun {
  TaskId task;
  RunNumber run = 0;
  std::string checkpoint;
  std::uint32_t percent = 0;  ///< How much of its full speed it works at.
  /// Response-time tail of a serving task in ms; thousandths of a core in use for any other.
  std::int64_t usage = 0;
};

/// One end that a runner lists until it is told to forget it.
struct ReportedResult {
  std::uint64_t number = 0;  ///< Rises from 1 in each life.
  TaskId task;
  RunNumber run = 0;
  RunResult end = RunResult::kStopped;
  std::string checkpoint;
};

/// A runner's answer to a look.
struct RunnerReport {
  /// Whether `PollRequest::forget_up_to` and `lease` were told. They are left out on a connection
  /// that has not carried a report yet: another life under the same id may answer on it, and would
  /// forget ends of its own.
  bool forgot = true;
  std::chrono::milliseconds born{0};
  RunnerClock clock{0};
  std::vector<ReportedRun> running;
  std::vector<ReportedResult> ended;
};

/// How a runner answered an order, or that it did not.
enum class CommandStatus : std::uint8_t {
  kDone,              ///< Carried out, or was already.
  kFenced,            ///< The runner has seen a higher token.
  kOldRun,            ///< A run with this or a higher number was stopped or ended there.
  kTooLate,           ///< The order's deadline has passed on the runner's clock.
  kNoCapacity,        ///< The runner is full.
  kNoTicket,          ///< The advisor's ticket is missing or no longer valid.
  kWrongIncarnation,  ///< Another life answers at that address.
  kUnhealthy,         ///< Refused by a runner that is not well; nothing was done.
  kInvalid,           ///< The runner does not understand the order.
  kNotSent,           ///< No byte left this process.
  kNoResponse,        ///< May have been carried out, or may be later.
};

std::string_view CommandStatusName(CommandStatus answer);

/// An order's answer with the clock that came with it, when one did.
struct CommandOutcome {
  CommandStatus answer = CommandStatus::kNoResponse;
  std::optional<RunnerClock> clock;
};

/// Number by which a caller's call is answered.
using CallNumber = std::uint64_t;

/// What a cell says to a caller's call.
enum class CallVerdict : std::uint8_t {
  kAccepted,      ///< The job is stored; also for a repeat.
  kRefused,       ///< Not taken and never runs; come back after `retry_after`.
  kUnknown,       ///< May have been taken; a repeat finds out.
  kCancelled,     ///< The cancelling is stored, or the job had ended.
  kShown,         ///< `state` holds.
  kNotFound,      ///< There is no such job here.
  kNotOwner,      ///< This instance does not own the cell, or not yet.
  kCounted,       ///< `pending` holds.
  kReady,         ///< A machine may be taken for upkeep now.
  kNotReady,      ///< It may not yet.
  kLoads,         ///< `loads` holds.
  kNotEvacuable,  ///< It may not: its lasting tasks have no other place now. It goes on taking
                  ///< work.
};

/// A runner whose machine could be moved: no lasting task runs there.
struct MovableRunner {
  std::string id;
  std::uint32_t runs = 0;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(id, runs);
  }
};

/// How much one service of a cell has to do.
struct ServiceLoad {
  std::string service;
  /// In use on its runners, by the resource that binds; all, while work waits that fits nowhere.
  std::int64_t busy_cpu_milli = 0;
  std::int64_t long_running_cpu_milli = 0;  ///< Of that, by tasks that last.
  std::int64_t capacity_cpu_milli = 0;      ///< Of its runners that take work.
  std::int64_t arriving_cpu_milli = 0;      ///< What keeps up with the jobs that come in.
  std::int64_t backlog_work = 0;  ///< In thousandths of a core-second, of tasks that wait for room.
  std::vector<MovableRunner> movable;  ///< Least busy first.
  std::uint32_t runners = 0;           ///< That discovery names.
  /// Beyond these, for work that waits and fits on none of them as things stand.
  std::uint32_t further_machines = 0;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(service, busy_cpu_milli, capacity_cpu_milli, arriving_cpu_milli, backlog_work, movable,
            runners, further_machines, long_running_cpu_milli);
  }
};

struct CallResponse {
  CallVerdict verdict = CallVerdict::kNotOwner;
  JobState state = JobState::kQueued;
  std::uint32_t pending = 0;
  std::chrono::milliseconds retry_after{0};
  std::vector<ServiceLoad> loads = {};

  template <class Archive>
  void serialize(Archive& archive) {
    archive(verdict, state, pending, retry_after, loads);
  }
};

/// Orders to runners, writes to the store and answers to callers, in the order they were decided.
struct StartCommand {
  RunnerKey runner = kNoRunner;
  TaskId task;
  RunNumber run = 0;
  RunnerClock deadline{0};  ///< The runner refuses the order after this.
  std::string checkpoint;
  std::string payload;
  std::string ticket;  ///< The advisor's; empty where the queue has none.
};

struct StopCommand {
  RunnerKey runner = kNoRunner;
  TaskId task;
  RunNumber run = 0;
};

struct PaceCommand {
  RunnerKey runner = kNoRunner;
  TaskId task;
  RunNumber run = 0;
  std::uint32_t percent = 100;
};

struct PollRequest {
  RunnerKey runner = kNoRunner;
  std::optional<RunnerClock> lease;  ///< Extends what runs there until this.
  std::uint64_t forget_up_to = 0;
  std::chrono::milliseconds wait{0};  ///< The answer may wait this long for an end.
};

/// A question to the advisor: which of these runners may run a step.
struct AdviceRequest {
  TaskId step;                                             ///< Its index says nothing.
  std::vector<std::pair<RunnerKey, std::string>> runners;  ///< With their ids.
  std::chrono::milliseconds timeout{0};
};

/// The advisor's answer. Runners that are not named may not run the step.
struct Advice {
  std::map<std::string, std::string> tickets;  ///< By runner id.
  std::chrono::milliseconds valid{0};
};

/// One record for the cell's partition; no value removes the key.
struct StoreRecord {
  std::string key;
  std::optional<std::string> value;
};

struct AppendRequest {
  std::uint64_t sequence = 0;
  std::vector<StoreRecord> records;
};

struct CallerResponse {
  CallNumber call = 0;
  CallResponse answer;
};

/// What the cell wants done. The driver takes everything after each call into the cell.
struct Outbox {
  std::vector<StartCommand> starts;
  std::vector<StopCommand> stops;
  std::vector<PaceCommand> paces;
  std::vector<PollRequest> polls;
  std::vector<AdviceRequest> questions;
  std::vector<AppendRequest> appends;
  std::vector<CallerResponse> answers;
};

}  // namespace wigeonlane

#endif  // WIGEONLANE_CELLS_CELL_TYPES_H_
