/// Calls to the platform's store while a part of it is silent, over loopback.
#include "platform/store_client.h"

#include <asio/io_context.hpp>
#include <catch2/catch.hpp>
#include <optional>
#include <string>
#include <vector>

#include "net/async_http_server.h"
#include "tests/support/free_endpoint.h"

namespace wigeonlane {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// A store that answers nothing whose target begins with `silent_`.
class StoreClientTest {
 protected:
  StoreClientTest() { REQUIRE(server_.Listen(at_).ok()); }

  /// Renews once and returns whether that was confirmed.
  bool Renew() {
    std::optional<bool> confirmed;
    client_.Join({"cells", "i1", "cells", seconds(1)}, 1,
                 [&](const absl::StatusOr<GroupView>& view) { confirmed = view.ok(); });
    while (!confirmed) io_.run_one_for(seconds(10));
    return *confirmed;
  }

  asio::io_context io_;
  const Endpoint at_ = FreeEndpoint();
  std::string silent_;
  std::vector<HttpReply> held_;  ///< A reply that is dropped ends its connection.
  AsyncHttpServer server_{&io_,
                          [this](const HttpRequest& request, const HttpReply& reply) {
                            if (request.target.starts_with(silent_)) return held_.push_back(reply);
                            reply({200, R"({"Generation":1,"parts":[]})", {}});
                          },
                          [] { return HttpServerLimits(); }};
  MetricsRegistry metrics_;
  StoreClient client_{&io_, at_, &metrics_};
};

// Guards against a membership that ends because renewals queue behind records that hang.
TEST_CASE_METHOD(StoreClientTest, "StoreClient_PutsToASilentPartition_RenewalsDoNotWait") {
  silent_ = "/log-append";
  int puts_over = 0;
  for (int i = 0; i < 12; ++i) {
    client_.Put({"keyed.upkeep", 0}, {{"1", "x"}}, [&](AppendResult) { ++puts_over; });
  }
  CHECK(Renew());
  CHECK(Renew());
  CHECK(puts_over == 0);
}

// Guards against a connection for group calls that is too narrow: a look at the owners may hang.
TEST_CASE_METHOD(StoreClientTest, "StoreClient_OwnersAreNotListed_RenewalsDoNotWait") {
  silent_ = "/log-owners";
  bool owners_over = false;
  client_.Owners("cells", [&](const auto&) { owners_over = true; });
  CHECK(Renew());
  CHECK(Renew());
  CHECK_FALSE(owners_over);
}

}  // namespace
}  // namespace wigeonlane
