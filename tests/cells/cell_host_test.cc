/// CellHost on an io_context, with a store that refuses appends and runners that never respond.
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

class CellHostTest {
 protected:
  using Host = CellHost<RefusingStore, UnresponsiveRunners, ManualClock>;

  /// Longer than the delay after which a host retries a call to the store.
  static constexpr milliseconds kLongerThanRetryDelay{150};

  asio::io_context io_;
  RefusingStore store_;
  UnresponsiveRunners runners_;
  ManualClock clock_;
  std::unique_ptr<Host> host_ =
      std::make_unique<Host>(&io_, &store_, &runners_, &clock_, 0, 8, CellOptions());
};

TEST_CASE_METHOD(CellHostTest, "Host_DestroyedAfterItsTimerExpired_MakesNoFurtherAppend") {
  host_->Start([] {});
  REQUIRE(store_.appends == 1);
  // Both timers have expired when the io_context runs, so both handlers are queued; the test's
  // handler runs destroying_timer.
  asio::steady_timer destroying_timer(io_, milliseconds(1));
  destroying_timer.async_wait([this](asio::error_code) { host_.reset(); });
  std::this_thread::sleep_for(kLongerThanRetryDelay);
  io_.run();
  CHECK(store_.appends == 1);
}

TEST_CASE_METHOD(CellHostTest, "Host_StoreRefusesAppend_RetriesIt") {
  host_->Start([] {});
  io_.run_for(kLongerThanRetryDelay);
  CHECK(store_.appends > 1);
}

}  // namespace
}  // namespace wigeonlane
