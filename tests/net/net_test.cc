/// Tests the HTTP and frame clients of the net package against its servers over loopback.
#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/write.hpp>
#include <catch2/catch.hpp>
#include <optional>
#include <string>

#include "net/async_http_client.h"
#include "net/async_http_server.h"
#include "net/frame_link.h"
#include "tests/support/free_endpoint.h"

namespace wigeonlane {
namespace {

using asio::ip::tcp;
using std::chrono::milliseconds;
using std::chrono::seconds;

class NetTest {
 protected:
  static constexpr ConnectionLabel kLabel = 5;
  static constexpr std::uint64_t kFirstConnection = 1;

  /// Runs the event loop until `result` is set.
  template <typename T>
  T RunUntil(const std::optional<T>& result) {
    io_.restart();
    while (!result) io_.run_one_for(seconds(10));
    return *result;
  }

  HttpExchange Fetch(AsyncHttpClient* client, milliseconds timeout, const std::string& body) {
    std::optional<HttpExchange> outcome;
    client->Send({"POST", "/x", "", {}, body}, timeout,
                 [&](HttpExchange exchange) { outcome = std::move(exchange); });
    return RunUntil(outcome);
  }

  asio::io_context io_;
  const Endpoint at_ = FreeEndpoint();
};

TEST_CASE_METHOD(NetTest, "HttpClient_TwoRequests_ShareOneConnection") {
  int served = 0;
  AsyncHttpServer server(
      &io_,
      [&](const HttpRequest& request, const HttpReply& reply) {
        ++served;
        reply({200, request.body + "!", {}});
      },
      [] { return HttpServerLimits(); });
  REQUIRE(server.Listen(at_).ok());
  AsyncHttpClient client(&io_, at_, 1);
  CHECK_FALSE(client.HasLabelled(kLabel));
  const HttpExchange first = Fetch(&client, seconds(5), "a");
  CHECK(first.answer->body == "a!");
  client.Label(first.connection, kLabel);
  CHECK(client.HasLabelled(kLabel));
  const HttpExchange second = Fetch(&client, seconds(5), "b");
  CHECK(second.answer->body == "b!");
  CHECK(second.connection == first.connection);
  CHECK(served == 2);
}

TEST_CASE_METHOD(NetTest, "HttpClient_PortIsClosed_ReportsNotRun") {
  AsyncHttpClient client(&io_, at_, 1);
  const HttpExchange exchange = Fetch(&client, seconds(5), "a");
  CHECK_FALSE(exchange.answer.ok());
  CHECK(exchange.execution == Execution::kNotRun);
}

TEST_CASE_METHOD(NetTest, "HttpClient_ServerNeverResponds_TimesOutAndMayHaveRun") {
  AsyncHttpServer server(
      &io_, [](const HttpRequest&, const HttpReply&) {}, [] { return HttpServerLimits(); });
  REQUIRE(server.Listen(at_).ok());
  AsyncHttpClient client(&io_, at_, 1);
  const HttpExchange exchange = Fetch(&client, milliseconds(100), "a");
  CHECK_FALSE(exchange.answer.ok());
  CHECK(exchange.execution == Execution::kMayHaveRun);
  client.Label(kFirstConnection, kLabel);
  CHECK_FALSE(client.HasLabelled(kLabel));  // It is closed.
}

TEST_CASE_METHOD(NetTest, "HttpServer_BodyPastTheLimit_IsRefusedAndNotServed") {
  bool served = false;
  AsyncHttpServer server(
      &io_, [&](const HttpRequest&, const HttpReply&) { served = true; },
      [] {
        HttpServerLimits limits;
        limits.body_bytes = 10;
        return limits;
      });
  REQUIRE(server.Listen(at_).ok());
  AsyncHttpClient client(&io_, at_, 1);
  CHECK(Fetch(&client, seconds(5), std::string(11, 'x')).answer->code == 413);
  CHECK_FALSE(served);
}

TEST_CASE_METHOD(NetTest, "HttpServer_IncompleteRequest_GetsTimeoutResponse") {
  AsyncHttpServer server(
      &io_, [](const HttpRequest&, const HttpReply&) {},
      [] {
        HttpServerLimits limits;
        limits.header_timeout = milliseconds(50);
        return limits;
      });
  REQUIRE(server.Listen(at_).ok());
  tcp::socket socket(io_);
  socket.connect(tcp::endpoint(asio::ip::make_address(at_.host), at_.port));
  const std::string incomplete_request = "POST /x HTTP/1.1\r\nHost: a\r\nContent-Le";
  asio::write(socket, asio::buffer(incomplete_request));
  std::string answer(64, '\0');
  std::optional<std::size_t> count;
  socket.async_read_some(asio::buffer(answer),
                         [&](asio::error_code, std::size_t size) { count = size; });
  CHECK(RunUntil(count) > 0);
  CHECK(answer.starts_with("HTTP/1.1 408"));
}

/// Fails if a client keeps all that a server sends: trailers that never end.
TEST_CASE_METHOD(NetTest, "HttpClient_TrailersWithoutEnd_FailsWithoutReadingOn") {
  tcp::acceptor acceptor(io_, tcp::endpoint(asio::ip::make_address(at_.host), at_.port));
  tcp::socket socket(io_);
  std::string answer = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\na\r\n0\r\n";
  constexpr std::size_t kAnswerBytes = 32 * 1024 * 1024;
  while (answer.size() < kAnswerBytes) answer += "X-Trailer: 0123456789abcdef\r\n";
  std::optional<std::size_t> written;
  acceptor.async_accept(socket, [&](asio::error_code) {
    asio::async_write(socket, asio::buffer(answer),
                      [&](asio::error_code, std::size_t count) { written = count; });
  });
  AsyncHttpClient client(&io_, at_, 1);
  const HttpExchange exchange = Fetch(&client, seconds(10), "a");
  CHECK_FALSE(exchange.answer.ok());
  CHECK(exchange.execution == Execution::kMayHaveRun);
  CHECK(RunUntil(written) < kAnswerBytes);
}

TEST_CASE_METHOD(NetTest, "HttpServer_BudgetIsExceeded_LongestHolderIsRefusedAndOthersServed") {
  constexpr std::size_t kBudget = 64 * 1024;
  AsyncHttpServer server(
      &io_,
      [](const HttpRequest&, const HttpReply& reply) {
        reply({200, "ok", {}});
      },
      [] { return HttpServerLimits(); }, std::make_shared<ByteBudget>(kBudget));
  REQUIRE(server.Listen(at_).ok());
  tcp::socket holder(io_);
  holder.connect(tcp::endpoint(asio::ip::make_address(at_.host), at_.port));
  asio::write(holder, asio::buffer("POST /x HTTP/1.1\r\nContent-Length: 200000\r\n\r\n" +
                                   std::string(kBudget - 8'000, 'x')));
  std::string answer(64, '\0');
  std::optional<std::size_t> count;
  holder.async_read_some(asio::buffer(answer),
                         [&](asio::error_code, std::size_t size) { count = size; });
  io_.restart();
  io_.run_for(milliseconds(50));
  AsyncHttpClient client(&io_, at_, 1);
  CHECK(Fetch(&client, seconds(5), std::string(30'000, 'y')).answer->code == 200);
  CHECK(RunUntil(count) > 0);
  CHECK(answer.starts_with("HTTP/1.1 503"));
}

TEST_CASE_METHOD(NetTest, "FrameLink_ConcurrentCalls_EachGetsItsOwnResponse") {
  FrameServer server(
      &io_, [](const std::string& bytes, const FrameServer::Reply& reply) { reply(bytes + "!"); });
  REQUIRE(server.Listen(at_).ok());
  FrameClient client(&io_, at_);
  int correct_responses = 0;
  std::optional<int> done;
  for (int i = 0; i < 50; ++i) {
    client.Call(std::to_string(i), seconds(5), [&, i](const FrameOutcome& outcome) {
      if (outcome.response.ok() && *outcome.response == std::to_string(i) + "!") {
        ++correct_responses;
      }
      if (i == 49) done = correct_responses;
    });
  }
  CHECK(RunUntil(done) == 50);
}

TEST_CASE_METHOD(NetTest, "FrameLink_UnresponsiveServer_CallTimesOutAndNextCallReconnects") {
  bool unresponsive = true;
  FrameServer server(&io_, [&](const std::string& bytes, const FrameServer::Reply& reply) {
    if (!unresponsive) reply(bytes);
  });
  REQUIRE(server.Listen(at_).ok());
  FrameClient client(&io_, at_);
  std::optional<bool> first;
  client.Call("a", milliseconds(100), [&](const FrameOutcome& outcome) {
    first = outcome.response.ok();
    CHECK(outcome.execution == Execution::kMayHaveRun);
  });
  CHECK_FALSE(RunUntil(first));
  unresponsive = false;
  std::optional<bool> second;
  client.Call("b", seconds(5),
              [&](const FrameOutcome& outcome) { second = outcome.response.ok(); });
  CHECK(RunUntil(second));
}

TEST_CASE_METHOD(NetTest, "FrameLink_PortIsClosed_ReportsConnectionRefused") {
  FrameClient client(&io_, at_);
  std::optional<FrameOutcome> outcome;
  client.Call("x", milliseconds(1'000), [&](FrameOutcome result) { outcome = std::move(result); });
  io_.run();
  REQUIRE(outcome.has_value());
  CHECK(outcome->connection_refused);
  CHECK(outcome->execution == Execution::kNotRun);
}

}  // namespace
}  // namespace wigeonlane
