/// Tests that renewals of a membership do not wait for other calls to which the store does not
/// respond, over loopback.
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

/// Runs a store that does not respond to requests whose target begins with `unresponsive_prefix_`.
class StoreClientTest {
 protected:
  StoreClientTest() { REQUIRE(server_.Listen(store_endpoint_).ok()); }

  /// Renews the membership once and returns whether the store confirmed it.
  bool Renew() {
    std::optional<bool> confirmed;
    client_.Join({"cells", "i1", "cells", seconds(1)}, 1,
                 [&](const absl::StatusOr<GroupView>& view) { confirmed = view.ok(); });
    while (!confirmed) io_.run_one_for(seconds(10));
    return *confirmed;
  }

  asio::io_context io_;
  const Endpoint store_endpoint_ = FreeEndpoint();
  std::string unresponsive_prefix_;
  std::string response_body_ = R"({"Generation":1,"parts":[]})";
  /// Keeps connections open: destroying a reply closes its connection.
  std::vector<HttpReply> held_replies_;
  AsyncHttpServer server_{&io_,
                          [this](const HttpRequest& request, const HttpReply& reply) {
                            if (request.target.starts_with(unresponsive_prefix_)) {
                              return held_replies_.push_back(reply);
                            }
                            reply({200, response_body_, {}});
                          },
                          [] { return HttpServerLimits(); }};
  MetricsRegistry metrics_;
  StoreClient client_{&io_, store_endpoint_, &metrics_};
};

// Guards against a membership that expires because renewals queue behind appends without a
// response.
TEST_CASE_METHOD(StoreClientTest, "StoreClient_PutsGetNoResponse_RenewalsDoNotWait") {
  unresponsive_prefix_ = "/log-append";
  int completed_puts = 0;
  for (int i = 0; i < 12; ++i) {
    client_.Put({"keyed.upkeep", 0}, {{"1", "x"}}, [&](AppendResult) { ++completed_puts; });
  }
  CHECK(Renew());
  CHECK(Renew());
  CHECK(completed_puts == 0);
}

// Guards against a membership that expires because a read of the owners without a response occupies
// the only connection for group calls.
TEST_CASE_METHOD(StoreClientTest, "StoreClient_OwnersGetNoResponse_RenewalsDoNotWait") {
  unresponsive_prefix_ = "/log-owners";
  bool owners_completed = false;
  client_.Owners("cells", [&](const auto&) { owners_completed = true; });
  CHECK(Renew());
  CHECK(Renew());
  CHECK_FALSE(owners_completed);
}

// Guards against DRAIN (issue 54): reads of other topics, which the store holds until something
// changes there, occupied all connections for reads. The runners' entries were read seconds late,
// so tasks were started on runners that had said they leave.
TEST_CASE_METHOD(StoreClientTest, "StoreClient_ReadsOfOtherTopicsAreHeld_ReadDoesNotWait") {
  constexpr int kHeldReads = 12;
  unresponsive_prefix_ = "/log-read?Topic=keyed.held";
  response_body_ = std::string(16, '\0');  // An empty partition.
  int completed_reads = 0;
  for (int i = 0; i < kHeldReads; ++i) {
    client_.Changes({"keyed.held" + std::to_string(i), 0}, 0, seconds(5),
                    [&](const auto&) { ++completed_reads; });
  }
  std::optional<bool> read;
  client_.Changes({"keyed.servers", 0}, 0, milliseconds(0),
                  [&](const auto& changes) { read = changes.ok(); });
  while (!read) io_.run_one_for(seconds(10));
  CHECK(*read);
  CHECK(completed_reads == 0);
}

// Guards against a part of a partition that is taken for all of it.
TEST_CASE_METHOD(StoreClientTest, "StoreClient_PageWithoutRecordsIsNotTheLast_SnapshotFails") {
  response_body_ = R"({"items":[],"HasMore":true,"EndOffset":5})";
  std::optional<bool> complete;
  client_.Snapshot({"keyed.jobs", 0}, [&](const auto& snapshot) { complete = snapshot.ok(); });
  while (!complete) io_.run_one_for(seconds(10));
  CHECK_FALSE(*complete);
}

}  // namespace
}  // namespace wigeonlane
