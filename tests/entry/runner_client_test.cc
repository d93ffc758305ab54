#include "entry/runner_client.h"

#include <catch2/catch.hpp>
#include <thread>

#include "tests/entry/scripted_server.h"

namespace wigeonlane {
namespace {

/// Long enough for any machine; tests that must pass the deadline set a short one.
constexpr std::chrono::seconds kLongDeadline{30};
constexpr std::chrono::milliseconds kShortDeadline{300};

class RunnerClientTest {
 protected:
  RunnerClientTest() : clock_(), client_(clock_) {}

  AttemptResult Send(const ScriptedServer& server, const std::string& id,
                     Duration deadline = kLongDeadline) {
    CallerRequest request;
    request.request_id = id;
    request.method = "GET";
    request.path = "/";
    return client_.Send(server.endpoint(), request, clock_.Now() + deadline);
  }

  /// A whole answer that echoes the id.
  static std::string CompleteResponse(const std::string& id, const std::string& body) {
    return "HTTP/1.1 200 OK\r\nWigeonlane-Request-Id: " + id +
           "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
  }

  /// AlwaysRespond the same bytes.
  static ScriptedServer::Script AlwaysRespond(const std::vector<std::string>& parts,
                                              bool close_after = false,
                                              std::chrono::milliseconds delay_before_part = {}) {
    return [=](const std::string&) {
      return ScriptedResponse{parts, delay_before_part, close_after};
    };
  }

  /// Answers the first request twice; `second_sent_separately` sends the second answer as bytes of
  /// its own.
  static ScriptedServer::Script TwoResponsesToFirstRequest(bool second_sent_separately) {
    return [=](const std::string& request) {
      const bool is_first = request.find("first") != std::string::npos;
      const std::string own_response =
          CompleteResponse(is_first ? "first" : "second", is_first ? "own first" : "own second");
      if (!is_first) return ScriptedResponse{{own_response}, {}, false};
      const std::string extra_response = CompleteResponse("second", "not for you");
      if (!second_sent_separately)
        return ScriptedResponse{{own_response + extra_response}, {}, false};
      return ScriptedResponse{{own_response, extra_response}, std::chrono::milliseconds(20), false};
    };
  }

  SteadyClock clock_;
  RunnerClient client_;
};

TEST_CASE_METHOD(RunnerClientTest, "Send_WholeAnswer_RanAndTheConnectionIsReused") {
  ScriptedServer server(AlwaysRespond({CompleteResponse("a", "yes")}));
  const AttemptResult is_first = Send(server, "a");
  REQUIRE(is_first.response.has_value());
  CHECK(is_first.execution == Execution::kRan);
  CHECK(is_first.response->body == "yes");
  CHECK(Send(server, "a").response.has_value());
  CHECK(server.connections() == 1);
}

TEST_CASE_METHOD(RunnerClientTest, "Send_AnswerToAnotherRequest_MayHaveRunAndIsNotReused") {
  ScriptedServer server(AlwaysRespond({CompleteResponse("someone-else", "their answer")}));
  for (int i = 0; i < 2; ++i) {
    const AttemptResult result = Send(server, "mine");
    CHECK_FALSE(result.response.has_value());
    CHECK(result.execution == Execution::kMayHaveRun);
  }
  CHECK(server.connections() == 2);
}

TEST_CASE_METHOD(RunnerClientTest, "Send_SecondAnswerAtOnce_NeverReachesTheNextCaller") {
  ScriptedServer server(TwoResponsesToFirstRequest(/*second_sent_separately=*/false));
  CHECK(Send(server, "first").response->body == "own first");
  CHECK(Send(server, "second").response->body == "own second");
}

TEST_CASE_METHOD(RunnerClientTest, "Send_SecondAnswerLater_EndsTheConnection") {
  ScriptedServer server(TwoResponsesToFirstRequest(/*second_sent_separately=*/true));
  CHECK(Send(server, "first").response->body == "own first");
  while (server.responses_written() == 0) std::this_thread::sleep_for(std::chrono::milliseconds(1));
  CHECK(Send(server, "second").response->body == "own second");
  CHECK(server.connections() == 2);
}

TEST_CASE_METHOD(RunnerClientTest, "Send_TruncatedOrUnmeasuredAnswer_MayHaveRun") {
  const std::string head = "HTTP/1.1 200 OK\r\nWigeonlane-Request-Id: a\r\n";
  for (const std::string& bytes :
       {head + "Content-Length: 10\r\n\r\nhalf", head + "\r\nends with the connection",
        head + "Transfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n", head, std::string()}) {
    ScriptedServer server(AlwaysRespond({bytes}, /*close_after=*/true));
    const AttemptResult result = Send(server, "a");
    CHECK_FALSE(result.response.has_value());
    CHECK(result.execution == Execution::kMayHaveRun);
    CHECK(result.runner_at_fault);
  }
}

TEST_CASE_METHOD(RunnerClientTest, "Send_TricklingAnswer_EndsAtTheDeadlineAndIsNotReused") {
  // Each part comes well within the deadline, the whole would take 30 seconds.
  ScriptedServer server([](const std::string&) {
    std::vector<std::string> parts = {
        "HTTP/1.1 200 OK\r\nWigeonlane-Request-Id: a\r\nContent-Length: 300\r\n\r\n"};
    parts.resize(301, "x");
    return ScriptedResponse{parts, std::chrono::milliseconds(100), false};
  });
  const AttemptResult result = Send(server, "a", kShortDeadline);
  CHECK(result.execution == Execution::kMayHaveRun);
  CHECK(absl::IsDeadlineExceeded(result.status));
}

TEST_CASE_METHOD(RunnerClientTest, "Send_LateAnswer_IsNotGivenToTheNextRequest") {
  std::atomic<int> requests{0};
  ScriptedServer server([&](const std::string&) {
    const bool is_first = ++requests == 1;
    return ScriptedResponse{
        {CompleteResponse(is_first ? "late" : "next", is_first ? "late body" : "next body")},
        is_first ? 2 * kShortDeadline : std::chrono::milliseconds(0),
        false};
  });
  CHECK(Send(server, "late", kShortDeadline).execution == Execution::kMayHaveRun);
  const AttemptResult next = Send(server, "next");
  REQUIRE(next.response.has_value());
  CHECK(next.response->body == "next body");
  CHECK(server.connections() == 2);
}

TEST_CASE_METHOD(RunnerClientTest, "Send_RunnerThatRefuses_IsProvenNotRun") {
  ScriptedServer server(
      AlwaysRespond({"HTTP/1.1 503 Service Unavailable\r\nWigeonlane-Request-Id: a\r\n"
                     "Wigeonlane-Refused: not-run\r\nContent-Length: 0\r\n\r\n"}));
  CHECK(Send(server, "a").execution == Execution::kNotRun);
  // The same words in an answer to another request prove nothing.
  CHECK(Send(server, "b").execution == Execution::kMayHaveRun);
}

TEST_CASE_METHOD(RunnerClientTest, "Send_ToNobody_IsProvenNotRun") {
  Endpoint closed_endpoint;
  {
    ScriptedServer server(AlwaysRespond({}));
    closed_endpoint = server.endpoint();
  }
  CallerRequest request;
  request.request_id = "a";
  request.method = "POST";
  request.path = "/";
  CHECK(client_.Send(closed_endpoint, request, clock_.Now() + kLongDeadline).execution ==
        Execution::kNotRun);
  CHECK(client_.Send(closed_endpoint, request, clock_.Now()).execution == Execution::kNotRun);
}

}  // namespace
}  // namespace wigeonlane
