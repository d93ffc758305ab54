/// Commands to a runner that restarts at its address between two of them.
#include "platform/runner_gateway.h"

#include <algorithm>
#include <asio/io_context.hpp>
#include <catch2/catch.hpp>
#include <memory>
#include <optional>
#include <vector>

#include "core/http_status.h"
#include "net/async_http_server.h"
#include "standin/task_runner.h"
#include "tests/support/free_endpoint.h"

namespace wigeonlane {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

class RunnerGatewayTest {
 protected:
  static constexpr FenceToken kFence = 7;
  static constexpr seconds kTimeout{10};

  RunnerGatewayTest() {
    listing_.id = "runner-0";
    listing_.endpoint = FreeEndpoint();
    listing_.started_at = milliseconds(1'000);
    StartServer(listing_.started_at);
  }

  /// Ends the incarnation that listens, if there is any, and starts the next one. Its connections
  /// are closed, which the gateway notices only when the event loop runs.
  void StartServer(milliseconds started_at) {
    server_.reset();
    served_.clear();
    runner_.StartIncarnation(clock_.Now(), started_at);
    server_ = std::make_unique<AsyncHttpServer>(
        &io_,
        [this](const HttpRequest& request, const HttpReply& reply) {
          served_.push_back(request);
          if (silent_) return withheld_replies_.push_back(reply);
          if (relay_error_) return reply(BareResponse(*relay_error_));
          if (!IsMeantFor(request, present_id_)) {
            return reply(BareResponse(http_status::kMisdirectedRequest));
          }
          reply(runner_.Serve(request.target, request.body, clock_.Now()));
        },
        [] { return HttpServerLimits(); });
    REQUIRE(server_->Listen(listing_.endpoint).ok());
  }

  static bool IsMeantFor(const HttpRequest& request, const std::string& id) {
    return std::any_of(request.headers.begin(), request.headers.end(), [&](const auto& header) {
      return header.first == "X-Wigeonlane-Target-Instance" && header.second == id;
    });
  }

  void RunUntilServed(std::size_t count) {
    io_.restart();
    while (served_.size() < count) REQUIRE(io_.run_one_for(kTimeout) > 0);
  }

  void Start(RunNumber run) {
    StartCommand command;
    command.task = *TaskId::Parse("00000000000000a1.0.0." + std::to_string(run));
    command.run = run;
    command.deadline = RunnerClock(3'600'000);
    command.payload = R"({"ms":-1})";
    gateway_.Start(listing_, kFence, command, kTimeout,
                   [this](CommandOutcome outcome) { outcomes_.push_back(outcome.status); });
  }

  void Poll(std::optional<RunnerClock> lease, std::uint64_t forget_up_to) {
    PollRequest poll;
    poll.lease = lease;
    poll.forget_up_to = forget_up_to;
    gateway_.Poll(listing_, kFence, poll, kTimeout,
                  [this](CommandStatus status, const std::optional<RunnerReport>& /*report*/) {
                    outcomes_.push_back(status);
                  });
  }

  void RunUntilOutcomes(std::size_t count) {
    io_.restart();
    while (outcomes_.size() < count) REQUIRE(io_.run_one_for(kTimeout) > 0);
  }

  /// Number of calls that the present incarnation served whose body contains `text`.
  std::size_t ServedWith(std::string_view text) const {
    return std::count_if(served_.begin(), served_.end(), [&](const HttpRequest& request) {
      return request.body.find(text) != std::string::npos;
    });
  }

  asio::io_context io_;
  SteadyClock clock_;
  TaskLedger ledger_;
  TaskRunner runner_{&ledger_};
  RunnerListing listing_;
  std::vector<HttpRequest> served_;  ///< By the present incarnation.
  std::string present_id_ = "runner-0";
  std::optional<int> relay_error_;           ///< Status code of all responses.
  bool silent_ = false;                      ///< The runner does not respond.
  std::vector<HttpReply> withheld_replies_;  ///< Keep their connections open.
  std::unique_ptr<AsyncHttpServer> server_;
  RunnerGateway gateway_{&io_, std::nullopt};
  std::vector<CommandStatus> outcomes_;
};

// Guards against TWICE (issue 45): of a burst of starts, those beyond the first one went over new
// connections, to an incarnation that they were not meant for.
TEST_CASE_METHOD(RunnerGatewayTest, "Start_RunnerHasRestarted_BurstStartsNothing") {
  constexpr std::size_t kBurst = 7;
  Start(1);
  RunUntilOutcomes(1);
  REQUIRE(outcomes_.back() == CommandStatus::kDone);
  StartServer(milliseconds(2'000));
  for (RunNumber run = 2; run < 2 + kBurst; ++run) Start(run);
  RunUntilOutcomes(1 + kBurst);
  CHECK(ServedWith("DeadlineMs") == 0);
}

// Guards against the same for starts that wait for a connection: it breaks, and they are sent over
// the next one with the next call.
TEST_CASE_METHOD(RunnerGatewayTest, "Start_ConnectionBreaksWhileItWaits_IsNotSentOverANewOne") {
  constexpr std::size_t kBurst = 7;
  Start(1);
  RunUntilOutcomes(1);
  for (RunNumber run = 2; run < 2 + kBurst; ++run) Start(run);
  StartServer(milliseconds(2'000));
  RunUntilOutcomes(2);
  gateway_.Stop(listing_, kFence, {kNoRunner, *TaskId::Parse("00000000000000a1.0.0.1"), 1},
                kTimeout, [this](CommandOutcome outcome) { outcomes_.push_back(outcome.status); });
  RunUntilOutcomes(2 + kBurst);
  CHECK(ServedWith("DeadlineMs") == 0);
}

// Guards against a lease and a lost result: a poll waited for the connection of another one, which
// broke, and was sent to the next incarnation.
TEST_CASE_METHOD(RunnerGatewayTest, "Poll_ConnectionBreaksWhileItWaits_GrantsAndForgetsNothing") {
  Poll({}, 0);
  RunUntilOutcomes(1);
  REQUIRE(outcomes_.back() == CommandStatus::kDone);
  Poll(RunnerClock(3'600'000), 1);
  Poll(RunnerClock(3'600'000), 1);
  StartServer(milliseconds(2'000));
  RunUntilOutcomes(2);
  Poll({}, 0);
  RunUntilOutcomes(4);
  CHECK(ServedWith("DeadlineMs") == 0);
  CHECK(ServedWith("\"LastSeen\":1") == 0);
}

// Guards against a runner that gets one start at a time: the check of the incarnation must not keep
// the starts of a burst from running.
TEST_CASE_METHOD(RunnerGatewayTest, "Start_Burst_AllAreExecuted") {
  constexpr std::size_t kBurst = 7;
  for (RunNumber run = 1; run <= kBurst; ++run) Start(run);
  RunUntilOutcomes(kBurst);
  for (RunNumber run = kBurst + 1; run <= 2 * kBurst; ++run) Start(run);
  RunUntilOutcomes(2 * kBurst);
  CHECK(std::count(outcomes_.begin(), outcomes_.end(), CommandStatus::kDone) == 2 * kBurst);
  CHECK(ServedWith("\"Spec\"") == 2 * kBurst);
}

// Guards against a restart that stays unnoticed (issue 48): a poll waited behind one of the earlier
// incarnation, which never gets a response over a connection that outlives its runner.
TEST_CASE_METHOD(RunnerGatewayTest, "Poll_EarlierOneGetsNoResponse_DoesNotWaitForIt") {
  Poll({}, 0);
  RunUntilOutcomes(1);
  silent_ = true;
  Poll(RunnerClock(3'600'000), 1);
  RunUntilServed(2);
  silent_ = false;
  runner_.StartIncarnation(clock_.Now(), milliseconds(2'000));
  Poll({}, 0);
  RunUntilOutcomes(2);
  CHECK(outcomes_.back() == CommandStatus::kDone);
}

// Guards against TWICE (issue 48): a restarted runner was taken for an address that another runner
// has, where all incarnations have ended.
TEST_CASE_METHOD(RunnerGatewayTest, "Start_AnotherIncarnationOrRunner_AreToldApart") {
  StartServer(milliseconds(2'000));
  Start(1);
  RunUntilOutcomes(1);
  CHECK(outcomes_.back() == CommandStatus::kWrongIncarnation);
  present_id_ = "runner-1";
  Start(2);
  RunUntilOutcomes(2);
  CHECK(outcomes_.back() == CommandStatus::kWrongRunner);
}

// Guards against TWICE: the error of a relay that had passed a start on was taken for a refusal.
TEST_CASE_METHOD(RunnerGatewayTest, "Start_RelayRespondsWithAnError_MayHaveBeenExecuted") {
  Start(1);
  RunUntilOutcomes(1);
  relay_error_ = http_status::kGatewayTimeout;
  Start(2);
  RunUntilOutcomes(2);
  CHECK(outcomes_.back() == CommandStatus::kNoResponse);
}

}  // namespace
}  // namespace wigeonlane
