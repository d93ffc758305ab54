/// The driver of a cell on a reactor, with a store and runners that the test plays.
#include "cells/cell_host.h"

#include <catch2/catch.hpp>
#include <memory>
#include <thread>

namespace wigeonlane {
namespace {

using std::chrono::milliseconds;

/// Refuses every append and counts them.
class RefusingStore {
 public:
  void Append(const TopicPartition&, const std::string&, std::uint64_t, std::uint64_t,
              const std::vector<StoreRecord>&, const std::function<void(AppendResult)>& done) {
    ++appends;
    done(AppendResult::kRefused);
  }
  void Snapshot(const TopicPartition&,
                const std::function<void(absl::StatusOr<KeyedSnapshot>)>& done) {
    done(absl::UnavailableError("not read in this test"));
  }

  int appends = 0;
};

/// Takes orders and never answers.
class SilentRunners {
 public:
  using OnOrder = std::function<void(CommandOutcome)>;
  using OnLook = std::function<void(CommandStatus, std::optional<RunnerReport>)>;

  void Start(const RunnerListing&, FenceToken, const StartCommand&, milliseconds, const OnOrder&) {}
  void Stop(const RunnerListing&, FenceToken, const StopCommand&, milliseconds, const OnOrder&) {}
  void Pace(const RunnerListing&, FenceToken, const PaceCommand&, milliseconds, const OnOrder&) {}
  void Poll(const RunnerListing&, FenceToken, const PollRequest&, milliseconds, const OnLook&) {}
  void Advise(const AdviceRequest&, const std::function<void(absl::StatusOr<Advice>)>&) {}
};

class CellHostTest {
 protected:
  using Host = CellHost<RefusingStore, SilentRunners, ManualClock>;

  /// Longer than the pause after which a host tries the store again.
  static constexpr milliseconds kPastRetry{150};

  asio::io_context io_;
  RefusingStore store_;
  SilentRunners runners_;
  ManualClock clock_;
  std::unique_ptr<Host> host_ =
      std::make_unique<Host>(&io_, &store_, &runners_, &clock_, 0, 8, CellOptions());
};

TEST_CASE_METHOD(CellHostTest, "Host_DestroyedAfterItsTimerHasFired_DoesNothingMore") {
  host_->Start([] {});
  REQUIRE(store_.appends == 1);
  // Both timers are over when the reactor looks, so that both handlers are queued; ours goes first.
  asio::steady_timer first(io_, milliseconds(1));
  first.async_wait([this](asio::error_code) { host_.reset(); });
  std::this_thread::sleep_for(kPastRetry);
  io_.run();
  CHECK(store_.appends == 1);
}

TEST_CASE_METHOD(CellHostTest, "Host_StoreRefuses_TriesAgain") {
  host_->Start([] {});
  io_.run_for(kPastRetry);
  CHECK(store_.appends > 1);
}

}  // namespace
}  // namespace wigeonlane
