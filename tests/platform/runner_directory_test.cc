/// Tests which runners are listed after readings of their entries that differ in age, over
/// loopback.
#include "platform/runner_directory.h"

#include <asio/io_context.hpp>
#include <catch2/catch.hpp>
#include <string>
#include <vector>

#include "absl/strings/escaping.h"
#include "core/http_status.h"
#include "core/text.h"
#include "net/async_http_server.h"
#include "tests/support/free_endpoint.h"

namespace wigeonlane {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// A store with the entry of one runner. It has dropped the history at first, so that each read of
/// changes makes the directory read the entries anew.
class RunnerDirectoryTest {
 protected:
  /// The end of the partition, the first offset that is retained, and no records.
  const std::string kNoChanges = std::string(7, '\0') + "\5" + std::string(8, '\0');

  RunnerDirectoryTest() {
    REQUIRE(server_.Listen(store_endpoint_).ok());
    directory_.SetCurrentHook([] {});
    directory_.Start();
  }

  /// The store shows the entry from now on. Returns once it has been read.
  void Show(const std::string& state, milliseconds started_at) {
    const std::string entry = Concat(
        R"({"Service":"press","Address":"10.0.0.9:80","State":")", state, R"(","born":)",
        started_at.count(), R"(,"Capacity":{"Cpu":16000,"MemMb":32768,"Gpus":0},"Labels":["a"]})");
    entry_ = absl::Base64Escape(entry);
    snapshots_ = 0;
    while (snapshots_ < 2) io_.run_one_for(seconds(10));
  }

  bool Draining() const {
    const auto listings = directory_.Listings([](const RunnerListing&) { return true; });
    REQUIRE(listings.size() == 1);
    return listings.front().draining;
  }

  asio::io_context io_;
  const Endpoint store_endpoint_ = FreeEndpoint();
  std::string entry_;
  int snapshots_ = 0;
  bool history_dropped_ = true;
  AsyncHttpServer server_{&io_,
                          [this](const HttpRequest& request, const HttpReply& reply) {
                            if (request.target.starts_with("/log-read")) {
                              if (history_dropped_) {
                                return reply({http_status::kGone, R"({"FirstOffset":9})", {}});
                              }
                              return reply({http_status::kOk, kNoChanges, {}});
                            }
                            ++snapshots_;
                            reply({http_status::kOk,
                                   Concat(R"({"items":[{"Key":"i-1","Offset":1,"Value":")", entry_,
                                          R"("}],"EndOffset":5})"),
                                   {}});
                          },
                          [] { return HttpServerLimits(); }};
  MetricsRegistry metrics_;
  StoreClient store_{&io_, store_endpoint_, &metrics_};
  RunnerDirectory directory_{&io_, &store_, [] {}};
};

// Guards against DRAIN (issue 54): an older reading made a runner that had said it leaves look like
// one that takes work.
TEST_CASE_METHOD(RunnerDirectoryTest, "RunnerDirectory_OlderReadingAfterDrain_KeepsDraining") {
  Show("ready", milliseconds(12));
  REQUIRE_FALSE(Draining());
  Show("draining", milliseconds(12));
  REQUIRE(Draining());
  Show("ready", milliseconds(12));
  CHECK(Draining());
}

// Guards against DRAIN: a snapshot that the store serves late counted as a proof that the list of
// runners is recent.
TEST_CASE_METHOD(RunnerDirectoryTest,
                 "RunnerDirectory_ChangesSinceSnapshotAreUnread_IsNotCurrent") {
  Show("ready", milliseconds(12));
  CHECK(directory_.current_as_of() == Instant{});
  history_dropped_ = false;
  while (directory_.current_as_of() == Instant{}) io_.run_one_for(seconds(10));
  CHECK_FALSE(Draining());
}

// Guards against DRAIN: an entry that cannot be read hid that its runner had said it leaves, and
// the runner stayed in use.
TEST_CASE_METHOD(RunnerDirectoryTest, "RunnerDirectory_EntryBecomesUnreadable_RunnerIsNotListed") {
  Show("ready", milliseconds(12));
  REQUIRE_FALSE(Draining());
  Show("asleep", milliseconds(12));
  CHECK(directory_.Listings([](const RunnerListing&) { return true; }).empty());
}

// Guards against runners that stay unused: the next incarnation of a runner that left takes work.
TEST_CASE_METHOD(RunnerDirectoryTest, "RunnerDirectory_RunnerRestartsAfterDrain_TakesWorkAgain") {
  Show("draining", milliseconds(12));
  REQUIRE(Draining());
  Show("ready", milliseconds(3'012));
  CHECK_FALSE(Draining());
}

}  // namespace
}  // namespace wigeonlane
