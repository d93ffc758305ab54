/// A cell, its successors, a store and runners in simulated time, with an oracle of what must
/// never happen.
#ifndef WIGEONLANE_TESTS_CELLS_CELL_WORLD_H_
#define WIGEONLANE_TESTS_CELLS_CELL_WORLD_H_

#include <chrono>
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
#include "tests/cells/job_oracle.h"
#include "tests/cells/sim_runner.h"

namespace wigeonlane {

/// Everything runs on one queue of events; nothing depends on real time or order of threads.
class CellWorld {
 public:
  CellWorld();

  /// The first broken promise; empty while all hold.
  const std::string& broken() const { return oracle_.broken(); }

  void Advance(std::chrono::milliseconds step);

  /// A caller hands in a job; its shape and its tasks' fates follow from the numbers.
  void Submit(std::size_t shape, std::size_t fate);
  /// A caller repeats the id of an earlier job.
  void Repeat(std::size_t which);
  void Cancel(std::size_t which);

  /// The owner ends without a word. Nobody owns the cell until it is taken over.
  void KillOwner();
  /// So many changes of the group that leave the cell where it is; its owner sees them at once.
  void ChangeGroup(std::uint64_t changes);
  /// The group deals the cell back to the owner before, which has not renewed since and does not
  /// know that it ever lost the cell. The owner ends, or goes on without renewals.
  void ReassignToPreviousOwner(bool killed = true);
  /// Owners that begin from now on saw each tenure begin this late; with nothing they are new and
  /// have seen none. At once unless this is called.
  void SetTermObservationDelay(std::optional<std::chrono::milliseconds> late) { seen_late_ = late; }
  /// Another instance takes the cell over. The former owner is killed, or goes on without renewals.
  void TakeOver(bool former_killed);
  /// So many owners are lost one after the other, each after `gap`.
  void LoseOwners(std::size_t losses, std::chrono::milliseconds gap, bool killed);
  /// The owner hands the cell over in good order; its successor begins once all is stored, or
  /// after the time that an instance waits for that.
  void HandOver();
  /// The owner is frozen: it sees no event until it wakes and finds them all at once.
  void Freeze(std::chrono::milliseconds duration);

  void CrashRunner(std::size_t which);
  /// A new life under the same id, in which nothing is known of before.
  void RestartRunner(std::size_t which);
  void CutRunner(std::size_t which, std::chrono::milliseconds duration);
  /// Owners that begin after this one cannot reach the runner; this one can.
  void CutRunnerFromSuccessors(std::size_t which, std::chrono::milliseconds duration);
  void DrainRunner(std::size_t which);
  /// Nothing new starts on the runner for a while.
  void ReserveRunner(std::size_t which);
  /// Of the next orders, some get no answer and are carried out seconds later.
  void DelayCommands(std::size_t count);
  /// Of the next appends, some are stored but not answered.
  void LoseAppendResponses(std::size_t count);
  void StoreDown(std::chrono::milliseconds duration);

  /// Ends all trouble, waits, and checks that every accepted job ended as it should.
  void SettleAndCheck();

  std::size_t jobs() const { return submitted_.size(); }
  /// Where tasks of a job run, by index of the runner; one entry for each run.
  std::vector<std::size_t> RunnersOf(std::size_t job) const;
  const Cell* cell() const;

 private:
  struct Owner {
    std::unique_ptr<Cell> cell;
    TermToken token = 0;
    bool alive = true;
    bool leaving = false;                                ///< Its authority was given up.
    Instant dealt{};                                     ///< When it was given the cell.
    std::optional<std::chrono::milliseconds> seen_late;  ///< See `SetTermObservationDelay`.
    std::vector<RunnerListing> listed;                   ///< As it was told last.
    Instant frozen_until{};
    Instant next_wake{};  ///< Of the pending wake-up; in the past when there is none.
    std::map<CallNumber, JobId> submits;
    std::map<CallNumber, JobId> cancels;
  };

  struct Store {
    std::map<std::string, std::string> records;
    TermToken epoch = 0;
    std::uint64_t last_sequence = 0;
    Instant down_until{};
  };

  /// A look that waits at a runner.
  struct OpenLook {
    std::size_t runner = 0;
    std::chrono::milliseconds born{0};  ///< Of the life that it reached.
    FenceToken fence = 0;
    bool same_life = false;  ///< The connection has carried a report of that life before.
    Instant until{};
  };

  /// Owners of this number and later ones cannot reach the runner.
  struct OneSidedCut {
    std::size_t first_owner = 0;
    Instant until{};
  };

  struct Submitted {
    JobId id;
    JobRecord record;
  };

  CellTime Time() const;
  void At(Instant time, std::function<void()> action);
  void After(std::chrono::milliseconds delay, std::function<void()> action);
  /// Runs `action` on an owner that is alive, once it is not frozen.
  void OnOwner(std::size_t owner, const std::function<void(Owner*)>& action);
  void StartOwner(TermToken token);
  void FinishHandOver(std::size_t owner, Instant until);
  void Restore(std::size_t owner);
  TermWatch WatchOf(std::size_t owner) const;
  void Renew(std::size_t owner);
  void TellListings(Owner* owner);
  void Pump(std::size_t index);
  void ScheduleNextPump(std::size_t index);
  void TakeAnswer(Owner* owner, const CallerResponse& order);
  void Append(std::size_t owner, const AppendRequest& order);
  AppendResult StoreAppend(TermToken epoch, const AppendRequest& order);
  void SendStart(std::size_t owner, const StartCommand& order);
  void SendStop(std::size_t owner, const StopCommand& order);
  void SendLook(std::size_t owner, const PollRequest& order);
  void AnswerLook(std::size_t owner, const PollRequest& order, const OpenLook& look);
  bool IsCut(std::size_t owner, const SimRunner& runner) const;
  std::vector<RunnerListing> Listings() const;
  void ListRunners();
  void Hand(std::size_t owner, const Submitted& job);

  Instant now_;
  std::multimap<Instant, std::function<void()>> events_;
  std::vector<std::unique_ptr<Owner>> owners_;
  Store store_;
  std::vector<SimRunner> runners_;
  std::map<std::string, OneSidedCut> one_sided_cuts_;  ///< By runner id.
  JobOracle oracle_;
  std::vector<Submitted> submitted_;
  CallNumber last_call_ = 0;
  /// The life to which an owner's connection for looks goes, by owner and runner.
  std::map<std::pair<std::size_t, std::size_t>, std::chrono::milliseconds> connections_;
  /// The same for starts, by owner and runner id.
  std::map<std::pair<std::size_t, std::string>, std::chrono::milliseconds> order_connections_;
  std::optional<std::chrono::milliseconds> seen_late_{0};
  std::size_t holder_ = 0;    ///< The owner whose renewals are confirmed.
  TermToken generation_ = 0;  ///< The token of an owner that would begin in it.
  std::size_t late_orders_ = 0;
  std::size_t lost_appends_ = 0;
  std::uint64_t mix_ = 1;  ///< Varies latencies deterministically.
};

}  // namespace wigeonlane

#endif  // WIGEONLANE_TESTS_CELLS_CELL_WORLD_H_
