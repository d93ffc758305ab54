/// Simulation of a cell, its successive owners, a store and runners, checked by an oracle.
#ifndef WIGEONLANE_TESTS_CELLS_CELL_WORLD_H_
#define WIGEONLANE_TESTS_CELLS_CELL_WORLD_H_

#include <chrono>
#include <compare>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "cells/cell.h"
#include "cells/job_store.h"
#include "tests/cells/availability_oracle.h"
#include "tests/cells/job_oracle.h"
#include "tests/cells/sim_gangs.h"
#include "tests/cells/sim_runner.h"

namespace wigeonlane {

/// All actions run on one event queue in simulated time, so runs are deterministic.
class CellWorld {
 public:
  CellWorld();

  /// Returns the first violated guarantee, or an empty string.
  const std::string& broken() const { return oracle_.first_violation(); }

  void Advance(std::chrono::milliseconds step);
  /// Simulated time since the construction.
  Duration elapsed() const { return now_ - began_at_; }

  /// A caller submits a job. The numbers determine its steps and the outcomes of its tasks.
  /// Here and below, `owner` says whom the call reaches: 0 is the newest owner, other numbers
  /// choose one of all owners that serve callers, former ones without renewals among them.
  void Submit(std::size_t shape, std::size_t outcome_seed, std::size_t owner = 0);
  /// The same for a job whose first step is a gang. It reaches the newest owner.
  void SubmitGang(std::size_t shape, std::size_t outcome_seed);
  /// A caller submits an earlier job again under the same id.
  void Repeat(std::size_t which, std::size_t owner = 0);
  /// A caller cancels a job, whether or not its submission has arrived or was accepted.
  void Cancel(std::size_t which, std::size_t owner = 0);
  /// A caller asks for the state of a job.
  void Show(std::size_t which, std::size_t owner = 0);
  /// The callers of the next `count` submissions give up. The submissions are on their way for
  /// `delay`, and then reach one of the owners of that time.
  void DelaySubmissions(std::size_t count, std::chrono::milliseconds delay);

  /// The owner's process is killed. The cell has no owner until it is taken over.
  void KillOwner();
  /// Simulates group changes that leave the cell with its owner, who observes them at once.
  void ChangeGroup(std::uint64_t changes);
  /// The group assigns the cell to the previous owner again, which has not renewed since and has
  /// not observed that it lost the cell. The present owner is killed or continues without renewals.
  void ReassignToPreviousOwner(bool killed = true);
  /// Owners that start from now on observed the start of each term with this delay; without a value
  /// they are new instances that observed none. The delay is 0 unless this is called.
  void SetTermObservationDelay(std::optional<std::chrono::milliseconds> delay) {
    observation_delay_ = delay;
  }
  /// Another instance takes over the cell. The former owner is killed or continues without
  /// renewals.
  void TakeOver(bool former_killed);
  /// Simulates a series of takeovers, each after `gap`.
  void LoseOwners(std::size_t losses, std::chrono::milliseconds gap, bool killed);
  /// The owner hands the cell over regularly. Its successor starts once everything is stored, or
  /// after the longest time that an instance waits for that.
  void HandOver();
  /// Freezes the owner: it handles all events of that period at once afterwards.
  void Freeze(std::chrono::milliseconds duration);

  void CrashRunner(std::size_t which);
  /// Starts a new incarnation with the same id and without state.
  void RestartRunner(std::size_t which);

  /// From now on connections lead to the runners through a relay that outlives them. What is sent
  /// over a connection to an earlier incarnation reaches the one that is alive when it arrives.
  /// While the runner is down, it waits for the next one, for 2 s at most. Some connections are
  /// reset at a restart.
  void RelayConnections() { relayed_ = true; }
  /// Starts a new incarnation that discovery lists after `lag`. Until then it keeps the entry of
  /// the earlier one, if it has not expired.
  void RestartRunnerUnlisted(std::size_t which, std::chrono::milliseconds lag);
  /// Discovery drops the entry of a runner that has lost the store, for a minute.
  void UnlistRunner(std::size_t which);
  /// Discovery lists all runners that are alive.
  void ListRestarts();
  /// All owners can reach all runners that are alive.
  void EndCuts();
  /// The next `count` calls that the relay carries are executed, and their responses are lost.
  void LoseResponses(std::size_t count) { lost_responses_ = count; }
  /// The relay holds up the next `count` polls or their responses by `delay`; commands pass.
  void HoldUpPolls(std::size_t count, std::chrono::milliseconds delay);
  void CutRunner(std::size_t which, std::chrono::milliseconds duration);
  /// Owners that start after the present one cannot reach the runner; the present one can.
  void CutRunnerFromSuccessors(std::size_t which, std::chrono::milliseconds duration);
  /// The present owner cannot reach the runner; its successors can.
  void CutRunnerFromOwner(std::size_t which, std::chrono::milliseconds duration);
  /// The runner crashes and never restarts. Here and below, a runner that leaves for good keeps its
  /// entry in discovery until that expires, another one with a new id joins in its place, and
  /// nothing happens if few runners are left.
  void CrashRunnerForGood(std::size_t which);
  /// No owner ever reaches the runner again. Its runs last until its lease ends.
  void CutRunnerForGood(std::size_t which);
  /// The machine of a runner is taken down for maintenance: the present owner is asked until it
  /// releases the machine, which goes down after `lead` for good. The owner at that time is told
  /// after `notice`.
  void TakeDownMachine(std::size_t which, std::chrono::milliseconds lead,
                       std::chrono::milliseconds notice);
  void DrainRunner(std::size_t which);
  /// Reserves the runner, so that no task starts there until the reservation ends.
  void ReserveRunner(std::size_t which);
  /// The next `count` commands get no response and are executed seconds later.
  void DelayCommands(std::size_t count);
  /// The next `count` polls that grant a lease get no response and are executed after `delay`, on
  /// the incarnation of that time.
  void DelayPolls(std::size_t count, std::chrono::milliseconds delay);
  /// The next `count` appends are stored but get no response in time.
  void LoseAppendResponses(std::size_t count);
  /// The next `count` appends reach the store later by `delay`.
  void DelayAppends(std::size_t count, std::chrono::milliseconds delay);
  void StoreDown(std::chrono::milliseconds duration);
  /// The store refuses the calls of the newest owner, and serves those of its successors.
  void CutOwnerFromStore(std::chrono::milliseconds duration);
  /// The store decides the next `count` renewals at once, and its responses arrive after `delay`.
  void DelayRenewals(std::size_t count, std::chrono::milliseconds delay);

  /// From now on checks that no long-running task is left without a run. Called once.
  void WatchAvailability();

  /// Ends the injected faults, waits, and checks the final state of every job.
  void EndFaultsAndCheck();

  std::size_t jobs() const { return submitted_.size(); }
  /// Number of submitted jobs whose tasks run until the job is cancelled.
  std::size_t long_running_jobs() const;
  /// Whether a cancel of the job was answered with 2xx or 410.
  bool CancelAcknowledged(std::size_t job) const;
  /// Returns the index of the runner of each present run of a job.
  std::vector<std::size_t> RunnersOf(std::size_t job) const;
  const Cell* cell() const;

 private:
  static constexpr std::string_view kService = "press";
  /// Connections of an owner to a runner: those for commands have the numbers below, that for polls
  /// has this one.
  static constexpr std::size_t kPollConnection = 3;

  struct Submission {
    JobId job;
    bool awaited = true;  ///< The caller still waits for the response.
  };

  struct Owner {
    std::unique_ptr<Cell> cell;
    TermToken token = 0;
    bool alive = true;
    bool handing_over = false;  ///< It gave up its authority for a handover.
    bool released = false;      ///< The handover is over, so it serves no callers.
    Instant assigned_at{};      ///< When the cell was assigned to it.
    std::optional<std::chrono::milliseconds> observation_delay;  ///< See `SetTermObservationDelay`.
    std::vector<RunnerListing> listed;  ///< The listings that it received last.
    Instant frozen_until{};
    Instant store_cut_until{};      ///< See `CutOwnerFromStore`.
    Instant early_renewal_until{};  ///< An early renewal is on its way until then.
    Instant next_wake{};            ///< Time of the pending wake-up; in the past if there is none.
    std::map<CallNumber, Submission> submits;
    std::map<CallNumber, JobId> cancels;
  };

  struct Store {
    std::map<std::string, std::string> records;
    TermToken epoch = 0;
    std::uint64_t last_sequence = 0;
    Instant down_until{};
  };

  /// A poll that a runner has received and not responded to yet.
  struct PendingPoll {
    std::size_t runner = 0;
    std::chrono::milliseconds started_at{0};  ///< Start of the incarnation that received it.
    FenceToken fence = 0;
    bool same_incarnation = false;  ///< The connection has carried a report of that incarnation.
    Instant until{};
  };

  /// A runner that owners from index `first_owner` on cannot reach.
  struct OneSidedCut {
    std::size_t first_owner = 0;
    Instant until{};
  };

  struct Submitted {
    JobId id;
    JobRecord record;
  };

  /// One connection of an owner to a runner through the relay.
  struct RelayedConnection {
    std::size_t owner = 0;
    std::size_t runner = 0;
    std::size_t number = 0;  ///< See `kPollConnection`.

    auto operator<=>(const RelayedConnection&) const = default;
  };

  /// A call on such a connection.
  struct RelayedCall {
    RelayedConnection connection;
    Instant sent_at{};
    bool ended = false;  ///< The owner has the response, or has given the call up.
    std::chrono::milliseconds response_delay{1};
    /// Executes the call on the incarnation that it reaches.
    std::function<void(const std::shared_ptr<RelayedCall>&, SimRunner*)> execute;
    /// Tells the owner that there is no response.
    std::function<void(Owner*)> fail;
  };
  using RelayedCallPtr = std::shared_ptr<RelayedCall>;

  /// What discovery shows of a runner in place of its state.
  struct HiddenRestart {
    std::optional<RunnerListing> shown;
    Instant until{};
  };

  /// See `TakeDownMachine`.
  struct MachineOrder {
    std::chrono::milliseconds lead{0};
    std::chrono::milliseconds notice{0};
    Instant until{};  ///< The order is given up if the machine is not released by then.
  };

  CellTime Time() const;
  void At(Instant time, std::function<void()> action);
  void After(std::chrono::milliseconds delay, std::function<void()> action);
  /// Runs `action` on an owner if it is alive, after the end of its freeze.
  void OnOwner(std::size_t owner, const std::function<void(Owner*)>& action);
  void StartOwner(TermToken token);
  void FinishHandOver(std::size_t owner, Instant until);
  void Restore(std::size_t owner);
  TermWatch WatchOf(std::size_t owner) const;
  void Renew(std::size_t owner);
  void SendRenewal(std::size_t owner);
  void RenewEarly(std::size_t owner);
  /// An owner reads the confirmation of a renewal that was sent at `sent`.
  void ConfirmRenewal(std::size_t owner, Instant sent);
  void SendListings(Owner* owner);
  void Pump(std::size_t index);
  void ScheduleNextPump(std::size_t index);
  void HandleResponse(Owner* owner, const PendingCallResponse& response);
  void Append(std::size_t owner, const AppendRequest& request);
  AppendResult StoreAppend(TermToken epoch, const AppendRequest& request);
  void SendStart(std::size_t owner, const StartCommand& command);
  void SendStop(std::size_t owner, const StopCommand& command);
  void SendPoll(std::size_t owner, const PollRequest& request);
  /// Executes a poll late. The owner gets no response in time.
  void SendLatePoll(std::size_t owner, std::size_t runner, FenceToken fence,
                    const PollRequest& request);
  void AnswerPoll(std::size_t owner, const PollRequest& request, const PendingPoll& poll);
  std::size_t IndexOf(const std::string& runner_id) const;
  bool IsCut(std::size_t owner, const SimRunner& runner) const;
  RelayedConnection ChooseCommandConnection(std::size_t owner, std::size_t runner);
  void RelayStart(const RelayedConnection& connection, std::chrono::milliseconds known,
                  FenceToken fence, const StartCommand& command);
  /// Relays a start over a connection that is labelled with the intended incarnation.
  void RelayVerifiedStart(const RelayedConnection& connection, std::chrono::milliseconds known,
                          FenceToken fence, const StartCommand& command);
  void RelayStop(const RelayedConnection& connection, std::chrono::milliseconds known,
                 FenceToken fence, const StopCommand& command);
  void RelayPoll(const RelayedConnection& connection, std::chrono::milliseconds known,
                 FenceToken fence, const PollRequest& request);
  void AnswerRelayedPoll(const RelayedCallPtr& call, const PollRequest& request, bool verified,
                         std::chrono::milliseconds received_by, Instant until);
  /// Sends a call, which the owner gives up after `timeout`; it then closes the connection.
  void SendOverRelay(const RelayedCallPtr& call, std::chrono::milliseconds delay,
                     std::chrono::milliseconds timeout);
  void DeliverRelayed(const RelayedCallPtr& call);
  void RespondOverRelay(const RelayedCallPtr& call, std::function<void(Owner*)> handle);
  /// Tells the owner how a call ended, unless it knows already.
  void EndRelayedCall(const RelayedCallPtr& call, const std::function<void(Owner*)>& handle);
  /// Resets some connections to a runner that has restarted, and delivers what waits on the others.
  void ReopenRelay(std::size_t runner);
  /// Discovery keeps the entry of a runner that has crashed until it expires.
  void HideCrash(std::size_t runner);
  /// Returns a number below `bound` that varies deterministically.
  std::uint64_t Draw(std::uint64_t bound);
  std::vector<RunnerListing> Listings() const;
  void AddRunner();
  void Restart(std::size_t index);
  /// Index of the chosen runner among those that have not left for good.
  std::size_t IndexOfPresent(std::size_t which) const;
  bool MayLeave(std::size_t index) const;
  bool NewestOwnerServes() const;
  void RemoveForGood(std::size_t index);
  void OrderMachineDown(std::size_t index, const MachineOrder& order);
  void PowerOff(std::size_t index, const MachineOrder& order);
  void ReportMachineDown(std::size_t index);
  void ObserveAvailability();
  bool IsDisrupted() const;
  bool HasCapacityTwiceOver(const JobId& job, const StepSpec& step,
                            const std::vector<RunnerListing>& listings) const;
  /// Index of the owner that a call reaches; see `Submit`.
  std::size_t ChooseOwner(std::size_t choice) const;
  /// Runs `action` on the chosen owner if it serves callers.
  void OnServingOwner(std::size_t choice, const std::function<void(Owner*)>& action);
  void AdvanceRunners();
  bool StoreServes(const Owner& owner) const;
  void SubmitSpec(JobSpec spec, std::size_t outcome_seed, std::size_t owner);
  void Send(const Submitted& job, std::size_t choice);
  void Deliver(const Submitted& job, std::size_t choice, bool awaited);
  CallResponse ShowAt(const Owner& owner, const JobId& id) const;

  Instant now_;
  Instant began_at_ = now_;
  std::multimap<Instant, std::function<void()>> events_;
  std::vector<std::unique_ptr<Owner>> owners_;
  Store store_;
  std::vector<SimRunner> runners_;
  SimGangs gangs_;
  bool has_gangs_ = false;                             ///< A job with a gang was submitted.
  std::map<std::string, OneSidedCut> one_sided_cuts_;  ///< By runner id.
  /// Until when single owners cannot reach single runners, by owner index and runner id.
  std::map<std::pair<std::size_t, std::string>, Instant> owner_cuts_;
  JobOracle oracle_;
  AvailabilityOracle availability_;
  /// Runners that have left for good, by index, and when discovery removes their entries.
  std::map<std::size_t, Instant> gone_;
  std::set<std::size_t> leaving_;  ///< Indices of runners whose machines are to be taken down.
  std::vector<Submitted> submitted_;
  CallNumber last_call_ = 0;
  /// Incarnation that an owner's poll connection leads to, by owner and runner index.
  std::map<std::pair<std::size_t, std::size_t>, std::chrono::milliseconds> connections_;
  /// The same for command connections, by owner and runner id.
  std::map<std::pair<std::size_t, std::string>, std::chrono::milliseconds> command_connections_;
  bool relayed_ = false;
  /// Incarnation that responded last on a connection through the relay; none once it is closed.
  std::map<RelayedConnection, std::chrono::milliseconds> relayed_labels_;
  std::vector<RelayedCallPtr> open_calls_;      ///< Sent, without a response so far.
  std::vector<RelayedCallPtr> waiting_calls_;   ///< Their runners are down.
  std::vector<HiddenRestart> hidden_restarts_;  ///< By runner index.
  std::size_t lost_responses_ = 0;
  std::size_t held_up_polls_ = 0;
  std::chrono::milliseconds hold_up_{0};
  std::optional<std::chrono::milliseconds> observation_delay_{0};
  std::size_t holder_ = 0;    ///< Index of the owner whose renewals are confirmed.
  TermToken generation_ = 0;  ///< Token of an owner that starts in the present generation.
  std::size_t delayed_commands_ = 0;
  std::size_t delayed_polls_ = 0;
  std::chrono::milliseconds poll_delay_{0};
  std::size_t lost_append_responses_ = 0;
  std::size_t late_renewals_ = 0;
  std::chrono::milliseconds renewal_delay_{0};
  std::size_t late_appends_ = 0;
  std::chrono::milliseconds append_delay_{0};
  std::size_t delayed_submissions_ = 0;
  std::chrono::milliseconds submission_delay_{0};
  std::uint64_t mix_ = 1;  ///< Varies latencies deterministically.
};

}  // namespace wigeonlane

#endif  // WIGEONLANE_TESTS_CELLS_CELL_WORLD_H_
