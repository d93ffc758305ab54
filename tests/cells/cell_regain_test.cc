/// A cell that is dealt back to the instance that has just lost it.
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

/// Partition and group of one cell. Answers are never given within the call.
class RegainStore {
 public:
  explicit RegainStore(asio::io_context* io) : io_(io) {}

  void Append(const TopicPartition&, const std::string&, std::uint64_t epoch, std::uint64_t,
              const std::vector<StoreRecord>& records,
              const std::function<void(AppendResult)>& done) {
    if (away) return unanswered_.push_back(done);
    const AppendResult result = epoch < epoch_ ? AppendResult::kFenced : AppendResult::kStored;
    epoch_ = std::max(epoch_, epoch);
    for (const StoreRecord& record : records) {
      if (result != AppendResult::kStored || record.key != kHandoverKey || !record.value) continue;
      handovers.push_back(epoch);
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

  /// Another instance took the cell over under this token.
  void FenceBy(TermToken token) { epoch_ = token; }

  /// Appends that had no answer are given up by whoever sent them.
  void Return() {
    away = false;
    for (const auto& done : std::exchange(unanswered_, {})) done(AppendResult::kUnknown);
  }

  std::deque<GroupView> views;  ///< The last one stays.
  std::vector<std::uint64_t> handovers;
  bool away = false;

 private:
  asio::io_context* io_;
  std::uint64_t epoch_ = 0;
  std::vector<std::function<void(AppendResult)>> unanswered_;
};

/// Takes orders and never answers.
class MuteRunners {
 public:
  using OnOrder = std::function<void(CommandOutcome)>;
  using OnLook = std::function<void(CommandStatus, std::optional<RunnerReport>)>;

  void Start(const RunnerListing&, FenceToken, const StartCommand&, milliseconds, const OnOrder&) {}
  void Stop(const RunnerListing&, FenceToken, const StopCommand&, milliseconds, const OnOrder&) {}
  void Pace(const RunnerListing&, FenceToken, const PaceCommand&, milliseconds, const OnOrder&) {}
  void Poll(const RunnerListing&, FenceToken, const PollRequest&, milliseconds, const OnLook&) {}
  void Advise(const AdviceRequest&, const std::function<void(absl::StatusOr<Advice>)>&) {}
};

class CellRegainTest {
 protected:
  using Host = CellHost<RegainStore, MuteRunners, ManualClock>;
  static constexpr std::uint32_t kCells = 8;
  static constexpr CellNumber kCell = 1;
  static constexpr milliseconds kTtl{2'000};
  static constexpr TermToken kFirst = 3 * kCells + kCell;
  static constexpr TermToken kSecond = 7 * kCells + kCell;

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

  /// Lets all happen that is due within `duration` of real time.
  void RunFor(milliseconds duration) {
    io_.restart();
    io_.run_for(duration);
  }

  /// An append that the store takes its time to answer.
  void SubmitUnanswered() {
    store_.away = true;
    JobRecord record;
    record.spec.steps = {StepSpec()};
    record.policy.service = "press";
    clock_.Advance(milliseconds(50));
    cells_.Find(kCell)->Submit(*JobId::Parse("00000000000000a1"), std::move(record),
                               [](const CallResponse&) {});
    RunFor(milliseconds(50));
  }

  /// The membership ends unnoticed, and the next renewal finds the cell dealt to us again.
  void LapseAndRegain() {
    store_.views = {{7, {kCell}}};
    clock_.Advance(3 * kTtl);
    ownership_.RenewNow();
    RunFor(milliseconds(50));
  }

  asio::io_context io_;
  RegainStore store_{&io_};
  MuteRunners runners_;
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

// Against the next tenure ending the host that still stores which leases it granted.
TEST_CASE_METHOD(CellRegainTest, "Regain_AppendIsUnderWay_LeasesKnownAreStoredFirst") {
  REQUIRE(cells_.Find(kCell)->token() == kFirst);
  SubmitUnanswered();
  LapseAndRegain();
  store_.Return();
  RunFor(milliseconds(200));
  CHECK(store_.handovers == std::vector<std::uint64_t>{kFirst});
  REQUIRE(cells_.Find(kCell) != nullptr);
  CHECK(cells_.Find(kCell)->token() == kSecond);
  CHECK(cells_.Find(kCell)->active());
}

// Against a record of leases that were granted before another instance owned the cell.
TEST_CASE_METHOD(CellRegainTest, "Regain_AnotherOwnedTheCellMeanwhile_NothingIsPassedOn") {
  SubmitUnanswered();
  store_.FenceBy(5 * kCells + kCell);
  LapseAndRegain();
  store_.Return();
  RunFor(milliseconds(200));
  CHECK(store_.handovers.empty());
  REQUIRE(cells_.Find(kCell) != nullptr);
  CHECK(cells_.Find(kCell)->token() == kSecond);
  CHECK(cells_.Find(kCell)->active());
}

}  // namespace
}  // namespace wigeonlane
