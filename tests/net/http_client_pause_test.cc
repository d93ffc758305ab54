/// Runs an HTTP client whose process is suspended for longer than the timeout of its requests.
#include <asio/io_context.hpp>
#include <catch2/catch.hpp>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include "net/async_http_client.h"
#include "net/async_http_server.h"
#include "tests/support/free_endpoint.h"

namespace wigeonlane {
namespace {

using std::chrono::milliseconds;

/// Long enough to connect and write on a busy machine before the suspension.
constexpr milliseconds kTimeout{400};
constexpr milliseconds kSuspension{500};
/// Together with the turns before the response, this is longer than a request may wait for a
/// connection and shorter than the timeout.
constexpr milliseconds kQueueTime{180};
/// How long the event loop of the client or server runs at a time. An exchange over loopback needs
/// less than a millisecond.
constexpr milliseconds kTurn{50};

/// Runs client and server in turns, so that the client can be suspended while the server runs.
class HttpClientPauseTest {
 protected:
  HttpClientPauseTest() { REQUIRE(server_.Listen(at_).ok()); }

  void Send(const std::string& body, std::optional<HttpExchange>* outcome) {
    client_.Send({"POST", "/x", "", {}, body}, kTimeout,
                 [outcome](HttpExchange exchange) { *outcome = std::move(exchange); });
  }

  void RunClient() {
    client_io_.restart();
    client_io_.run_for(kTurn);
  }

  void RunServer() {
    server_io_.restart();
    server_io_.run_for(kTurn);
  }

  const Endpoint at_ = FreeEndpoint();
  asio::io_context server_io_;
  asio::io_context client_io_;
  std::vector<std::string> served_;
  AsyncHttpServer server_{&server_io_,
                          [this](const HttpRequest& request, const HttpReply& reply) {
                            served_.push_back(request.body);
                            reply({200, request.body, {}});
                          },
                          [] { return HttpServerLimits(); }};
  AsyncHttpClient client_{&client_io_, at_, 1};
};

// Guards against a request that is sent after a suspension although the permission to send it has
// expired in the meantime.
TEST_CASE_METHOD(HttpClientPauseTest, "HttpClient_SuspendedPastTheTimeout_QueuedRequestIsNotSent") {
  std::optional<HttpExchange> first;
  std::optional<HttpExchange> second;
  Send("1", &first);
  Send("2", &second);
  RunClient();
  RunServer();
  REQUIRE(served_ == std::vector<std::string>{"1"});
  std::this_thread::sleep_for(kSuspension);
  RunClient();
  RunServer();
  RunClient();
  CHECK(served_ == std::vector<std::string>{"1"});
  REQUIRE(second.has_value());
  CHECK_FALSE(second->answer.ok());
  CHECK(second->execution == Execution::kNotRun);
}

// Guards against sending an expired request when the suspension falls between connecting and
// writing.
TEST_CASE_METHOD(HttpClientPauseTest,
                 "HttpClient_SuspendedWhileConnecting_ExpiredRequestIsNotSent") {
  std::optional<HttpExchange> first;
  Send("1", &first);
  RunServer();
  std::this_thread::sleep_for(kSuspension);
  RunClient();
  RunServer();
  RunClient();
  CHECK(served_.empty());
  REQUIRE(first.has_value());
  CHECK_FALSE(first->answer.ok());
  CHECK(first->execution == Execution::kNotRun);
}

// Guards against a queue that stays long after a load peak: each queued request is sent with too
// little time left for its response, times out and closes its connection.
TEST_CASE_METHOD(HttpClientPauseTest, "HttpClient_QueueTookMostOfTheTimeout_RequestIsNotSent") {
  std::optional<HttpExchange> first;
  std::optional<HttpExchange> second;
  Send("1", &first);
  Send("2", &second);
  RunClient();
  std::this_thread::sleep_for(kQueueTime);
  RunServer();
  RunClient();
  RunServer();
  REQUIRE(second.has_value());
  CHECK(second->execution == Execution::kNotRun);
  CHECK(served_ == std::vector<std::string>{"1"});
}

// Guards against losing requests that are sent after the suspension, together with the expired
// ones.
TEST_CASE_METHOD(HttpClientPauseTest, "HttpClient_SuspendedPastTheTimeout_NewRequestGetsResponse") {
  std::optional<HttpExchange> first;
  std::optional<HttpExchange> second;
  std::optional<HttpExchange> third;
  Send("1", &first);
  Send("2", &second);
  RunClient();
  RunServer();
  std::this_thread::sleep_for(kSuspension);
  Send("3", &third);
  CHECK_FALSE(second.has_value());  // No callback runs inside Send.
  for (int turn = 0; turn < 4 && !third; ++turn) {
    RunClient();
    RunServer();
  }
  REQUIRE(third.has_value());
  REQUIRE(third->answer.ok());
  CHECK(third->answer->body == "3");
}

}  // namespace
}  // namespace wigeonlane
