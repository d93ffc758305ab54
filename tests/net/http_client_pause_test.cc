/// A client whose process stands still for longer than its requests may take.
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

/// Long enough to connect and write on a busy machine before the pause.
constexpr milliseconds kTimeout{400};
constexpr milliseconds kPause{500};
/// With the turns before the answer, less than the timeout: the line itself takes the time.
constexpr milliseconds kMostOfTimeout{180};
/// The server's turns; loopback needs less than a millisecond.
constexpr milliseconds kTurn{50};

/// Client and server run by turns, so that the client can stand still.
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

// Guards against an order that leaves after a pause, on a permission that ran out meanwhile.
TEST_CASE_METHOD(HttpClientPauseTest, "HttpClient_PausedPastTheTimeout_WaitingRequestIsNotSent") {
  std::optional<HttpExchange> first;
  std::optional<HttpExchange> second;
  Send("1", &first);
  Send("2", &second);
  RunClient();
  RunServer();
  REQUIRE(served_ == std::vector<std::string>{"1"});
  std::this_thread::sleep_for(kPause);
  RunClient();
  RunServer();
  RunClient();
  CHECK(served_ == std::vector<std::string>{"1"});
  REQUIRE(second.has_value());
  CHECK_FALSE(second->answer.ok());
  CHECK(second->execution == Execution::kNotRun);
}

// Guards against the same when the pause falls between connecting and writing.
TEST_CASE_METHOD(HttpClientPauseTest, "HttpClient_PausedWhileConnecting_ExpiredRequestIsNotSent") {
  std::optional<HttpExchange> first;
  Send("1", &first);
  RunServer();
  std::this_thread::sleep_for(kPause);
  RunClient();
  RunServer();
  RunClient();
  CHECK(served_.empty());
  REQUIRE(first.has_value());
  CHECK_FALSE(first->answer.ok());
  CHECK(first->execution == Execution::kNotRun);
}

// Guards against a line of requests that outlives the load: each is sent with too little time left
// for its answer, times out and closes its connection.
TEST_CASE_METHOD(HttpClientPauseTest, "HttpClient_LineTookMostOfTheTime_RequestIsNotSent") {
  std::optional<HttpExchange> first;
  std::optional<HttpExchange> second;
  Send("1", &first);
  Send("2", &second);
  RunClient();
  std::this_thread::sleep_for(kMostOfTimeout);
  RunServer();
  RunClient();
  RunServer();
  REQUIRE(second.has_value());
  CHECK(second->execution == Execution::kNotRun);
  CHECK(served_ == std::vector<std::string>{"1"});
}

// Guards against requests sent after the pause that are lost with those that expired.
TEST_CASE_METHOD(HttpClientPauseTest, "HttpClient_PausedPastTheTimeout_NewRequestIsAnswered") {
  std::optional<HttpExchange> first;
  std::optional<HttpExchange> second;
  std::optional<HttpExchange> third;
  Send("1", &first);
  Send("2", &second);
  RunClient();
  RunServer();
  std::this_thread::sleep_for(kPause);
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
