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
  static std::string Whole(const std::string& id, const std::string& body) {
    return "HTTP/1.1 200 OK\r\nWigeonlane-Request-Id: " + id +
           "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
  }

  /// Always the same bytes.
  static ScriptedServer::Script Always(const std::vector<std::string>& parts, bool close = false,
                                       std::chrono::milliseconds pause = {}) {
    return [=](const std::string&) { return ScriptedAnswer{parts, pause, close}; };
  }

  /// Answers the first request twice; `apart` sends the second answer as bytes of its own.
  static ScriptedServer::Script TwiceForTheFirst(bool apart) {
    return [=](const std::string& request) {
      const bool first = request.find("first") != std::string::npos;
      const std::string own = Whole(first ? "first" : "second", first ? "own first" : "own second");
      if (!first) return ScriptedAnswer{{own}, {}, false};
      const std::string extra = Whole("second", "not for you");
      if (!apart) return ScriptedAnswer{{own + extra}, {}, false};
      return ScriptedAnswer{{own, extra}, std::chrono::milliseconds(20), false};
    };
  }

  SteadyClock clock_;
  RunnerClient client_;
};

TEST_CASE_METHOD(RunnerClientTest, "Send_WholeAnswer_RanAndTheConnectionIsReused") {
  ScriptedServer server(Always({Whole("a", "yes")}));
  const AttemptResult first = Send(server, "a");
  REQUIRE(first.answer.has_value());
  CHECK(first.execution == Execution::kRan);
  CHECK(first.answer->body == "yes");
  CHECK(Send(server, "a").answer.has_value());
  CHECK(server.connections() == 1);
}

TEST_CASE_METHOD(RunnerClientTest, "Send_AnswerToAnotherRequest_MayHaveRunAndIsNotReused") {
  ScriptedServer server(Always({Whole("someone-else", "their answer")}));
  for (int i = 0; i < 2; ++i) {
    const AttemptResult result = Send(server, "mine");
    CHECK_FALSE(result.answer.has_value());
    CHECK(result.execution == Execution::kMayHaveRun);
  }
  CHECK(server.connections() == 2);
}

TEST_CASE_METHOD(RunnerClientTest, "Send_SecondAnswerAtOnce_NeverReachesTheNextCaller") {
  ScriptedServer server(TwiceForTheFirst(/*apart=*/false));
  CHECK(Send(server, "first").answer->body == "own first");
  CHECK(Send(server, "second").answer->body == "own second");
}

TEST_CASE_METHOD(RunnerClientTest, "Send_SecondAnswerLater_EndsTheConnection") {
  ScriptedServer server(TwiceForTheFirst(/*apart=*/true));
  CHECK(Send(server, "first").answer->body == "own first");
  while (server.answered() == 0) std::this_thread::sleep_for(std::chrono::milliseconds(1));
  CHECK(Send(server, "second").answer->body == "own second");
  CHECK(server.connections() == 2);
}

TEST_CASE_METHOD(RunnerClientTest, "Send_TruncatedOrUnmeasuredAnswer_MayHaveRun") {
  const std::string head = "HTTP/1.1 200 OK\r\nWigeonlane-Request-Id: a\r\n";
  for (const std::string& bytes :
       {head + "Content-Length: 10\r\n\r\nhalf", head + "\r\nends with the connection",
        head + "Transfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n", head, std::string()}) {
    ScriptedServer server(Always({bytes}, /*close=*/true));
    const AttemptResult result = Send(server, "a");
    CHECK_FALSE(result.answer.has_value());
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
    return ScriptedAnswer{parts, std::chrono::milliseconds(100), false};
  });
  const AttemptResult result = Send(server, "a", kShortDeadline);
  CHECK(result.execution == Execution::kMayHaveRun);
  CHECK(absl::IsDeadlineExceeded(result.status));
}

TEST_CASE_METHOD(RunnerClientTest, "Send_LateAnswer_IsNotGivenToTheNextRequest") {
  std::atomic<int> requests{0};
  ScriptedServer server([&](const std::string&) {
    const bool first = ++requests == 1;
    return ScriptedAnswer{{Whole(first ? "late" : "next", first ? "late body" : "next body")},
                          first ? 2 * kShortDeadline : std::chrono::milliseconds(0),
                          false};
  });
  CHECK(Send(server, "late", kShortDeadline).execution == Execution::kMayHaveRun);
  const AttemptResult next = Send(server, "next");
  REQUIRE(next.answer.has_value());
  CHECK(next.answer->body == "next body");
  CHECK(server.connections() == 2);
}

TEST_CASE_METHOD(RunnerClientTest, "Send_RunnerThatRefuses_IsProvenNotRun") {
  ScriptedServer server(
      Always({"HTTP/1.1 503 Service Unavailable\r\nWigeonlane-Request-Id: a\r\n"
              "Wigeonlane-Refused: not-run\r\nContent-Length: 0\r\n\r\n"}));
  CHECK(Send(server, "a").execution == Execution::kNotRun);
  // The same words in an answer to another request prove nothing.
  CHECK(Send(server, "b").execution == Execution::kMayHaveRun);
}

TEST_CASE_METHOD(RunnerClientTest, "Send_ToNobody_IsProvenNotRun") {
  Endpoint gone;
  {
    ScriptedServer server(Always({}));
    gone = server.endpoint();
  }
  CallerRequest request;
  request.request_id = "a";
  request.method = "POST";
  request.path = "/";
  CHECK(client_.Send(gone, request, clock_.Now() + kLongDeadline).execution == Execution::kNotRun);
  CHECK(client_.Send(gone, request, clock_.Now()).execution == Execution::kNotRun);
}

}  // namespace
}  // namespace wigeonlane
