/// A cell that is assigned again to the instance that has just lost it.
#include <asio/post.hpp>
#include <catch2/catch.hpp>
#include <deque>
#include <memory>
#include <utility>
#include <vector>

#include "cells/cell_host.h"
#include "cells/cell_table.h"
#include "cells/ownership.h"
#include "cells/record_keys.h"

namespace wigeonlane {
namespace {

using std::chrono::milliseconds;

/// The partition and group of one cell. Never calls back before the call returns.
class RegainStore {
 public:
  explicit RegainStore(asio::io_context* io) : io_(io) {}

  void Append(const TopicPartition&, const std::string&, std::uint64_t epoch, std::uint64_t,
              const std::vector<StoreRecord>& records,
              const std::function<void(AppendResult)>& done) {
    if (unavailable) return pending_appends_.push_back(done);
    const AppendResult result = epoch < epoch_ ? AppendResult::kFenced : AppendResult::kStored;
    epoch_ = std::max(epoch_, epoch);
    for (const StoreRecord& record : records) {
      if (result != AppendResult::kStored || record.key != kHandoverKey || !record.value) continue;
      handover_epochs.push_back(epoch);
    }
    asio::post(*io_, [done, result] { done(result); });
  }
  void Snapshot(const TopicPartition&,
                const std::function<void(absl::StatusOr<KeyedSnapshot>)>& done) {
    asio::post(*io_, [done] { done(KeyedSnapshot()); });
  }
  void Join(const GroupMember&, std::uint64_t,
            const std::function<void(absl::StatusOr<GroupView>)>& done) {
    GroupView view = views.front();
    if (views.size() > 1) views.pop_front();
    asio::post(*io_, [done, view = std::move(view)] { done(view); });
  }
  void Leave(const std::string&, const std::string&,
             const std::function<void(absl::Status)>& done) {
    asio::post(*io_, [done] { done(absl::OkStatus()); });
  }
  void Owners(const std::string&,
              const std::function<void(absl::StatusOr<std::vector<PartitionOwner>>)>& done) {
    asio::post(*io_, [done] { done(std::vector<PartitionOwner>{}); });
  }

  /// Fences the partition as another instance does that takes the cell over under this token.
  void FenceByOtherInstance(TermToken token) { epoch_ = token; }

  /// Makes the store available again. Pending appends end with kUnknown, as when the client gives
  /// up waiting.
  void ResumeResponses() {
    unavailable = false;
    for (const auto& done : std::exchange(pending_appends_, {})) done(AppendResult::kUnknown);
  }

  std::deque<GroupView> views;  ///< Views for the next joins; the last one is repeated.
  std::vector<std::uint64_t> handover_epochs;
  bool unavailable = false;

 private:
  asio::io_context* io_;
  std::uint64_t epoch_ = 0;
  std::vector<std::function<void(AppendResult)>> pending_appends_;
};

/// Accepts commands and never responds.
class UnresponsiveRunners {
 public:
  using CommandCallback = std::function<void(CommandOutcome)>;
  using PollCallback = std::function<void(CommandStatus, std::optional<RunnerReport>)>;

  void Start(const RunnerListing&, FenceToken, const StartCommand&, milliseconds,
             const CommandCallback&) {}
  void Stop(const RunnerListing&, FenceToken, const StopCommand&, milliseconds,
            const CommandCallback&) {}
  void Pace(const RunnerListing&, FenceToken, const PaceCommand&, milliseconds,
            const CommandCallback&) {}
  void Poll(const RunnerListing&, FenceToken, const PollRequest&, milliseconds,
            const PollCallback&) {}
  void Advise(const AdviceRequest&, const std::function<void(absl::StatusOr<Advice>)>&) {}
};

class CellRegainTest {
 protected:
  using Host = CellHost<RegainStore, UnresponsiveRunners, ManualClock>;
  static constexpr std::uint32_t kCells = 8;
  static constexpr CellNumber kCell = 1;
  static constexpr milliseconds kTtl{2'000};
  static constexpr TermToken kFirstToken = 3 * kCells + kCell;
  static constexpr TermToken kSecondToken = 7 * kCells + kCell;

  CellRegainTest() {
    store_.views = {{3, {kCell}}};
    ownership_.Start();
    RunFor(milliseconds(50));
  }

  static OwnershipOptions Options() {
    OwnershipOptions options;
    options.member = {"group", "member", "topic", kTtl};
    options.cells = kCells;
    return options;
  }

  std::unique_ptr<Host> MakeHost(CellNumber cell, TermToken token) {
    auto host =
        std::make_unique<Host>(&io_, &store_, &runners_, &clock_, cell, token, CellOptions());
    host->ExtendAuthority(clock_.Now() + milliseconds(60'000));
    return host;
  }

  /// Runs all handlers that are due within `duration` of real time.
  void RunFor(milliseconds duration) {
    io_.restart();
    io_.run_for(duration);
  }

  /// Submits a job whose append gets no response until `ResumeResponses`.
  void SubmitWithoutResponse() {
    store_.unavailable = true;
    JobRecord record;
    record.spec.steps = {StepSpec()};
    record.policy.service = "press";
    clock_.Advance(milliseconds(50));
    cells_.Find(kCell)->Submit(*JobId::Parse("00000000000000a1"), std::move(record),
                               [](const CallResponse&) {});
    RunFor(milliseconds(50));
  }

  /// Lets the membership expire unnoticed. The next renewal finds the cell assigned to this
  /// instance again.
  void ExpireAndRegain() {
    store_.views = {{7, {kCell}}};
    clock_.Advance(3 * kTtl);
    ownership_.RenewNow();
    RunFor(milliseconds(50));
  }

  asio::io_context io_;
  RegainStore store_{&io_};
  UnresponsiveRunners runners_;
  ManualClock clock_;
  CellTable<Host> cells_{&io_,
                         [this](CellNumber cell, TermToken token) { return MakeHost(cell, token); },
                         [](CellNumber, TermToken) {},
                         {0, [](TermToken) {}, [] { return milliseconds(0); }}};
  Ownership<RegainStore, ManualClock> ownership_{
      &io_,
      &store_,
      &clock_,
      Options(),
      {[this](CellNumber cell, TermToken token) { cells_.Gain(cell, token); },
       [this](CellNumber cell, std::function<void()> released) {
         cells_.Lose(cell, std::move(released));
       },
       [](Instant) {}}};
};

// Guards against the next term destroying the host that still stores which leases it granted.
TEST_CASE_METHOD(CellRegainTest, "Regain_AppendInFlight_HandoverRecordIsStoredFirst") {
  REQUIRE(cells_.Find(kCell)->token() == kFirstToken);
  SubmitWithoutResponse();
  ExpireAndRegain();
  store_.ResumeResponses();
  RunFor(milliseconds(200));
  CHECK(store_.handover_epochs == std::vector<std::uint64_t>{kFirstToken});
  REQUIRE(cells_.Find(kCell) != nullptr);
  CHECK(cells_.Find(kCell)->token() == kSecondToken);
  CHECK(cells_.Find(kCell)->active());
}

// Guards against a record of leases that were granted before another instance owned the cell.
TEST_CASE_METHOD(CellRegainTest, "Regain_AnotherInstanceOwnedTheCell_NoHandoverRecordIsStored") {
  SubmitWithoutResponse();
  store_.FenceByOtherInstance(5 * kCells + kCell);
  ExpireAndRegain();
  store_.ResumeResponses();
  RunFor(milliseconds(200));
  CHECK(store_.handover_epochs.empty());
  REQUIRE(cells_.Find(kCell) != nullptr);
  CHECK(cells_.Find(kCell)->token() == kSecondToken);
  CHECK(cells_.Find(kCell)->active());
}

}  // namespace
}  // namespace wigeonlane
