/// Requests for a queue to which another version of the configuration gave another service or name.
#include "platform/caller_api.h"

#include <asio/io_context.hpp>
#include <catch2/catch.hpp>
#include <memory>
#include <optional>
#include <string>

#include "cells/cell_dispatcher.h"
#include "core/boot_clock.h"
#include "core/http_status.h"
#include "platform/job_codec.h"
#include "tests/cells/fake_cell_host.h"
#include "tests/support/free_endpoint.h"

namespace wigeonlane {
namespace {

using std::chrono::milliseconds;

constexpr std::uint32_t kCells = 3;
constexpr std::string_view kId = "00000000000000a1";

/// Cell n belongs to service "s" + n. All instances use the partitions in `partitions_`, and
/// instance `owner_` owns all cells.
class CallerApiTest {
 protected:
  struct Instance {
    explicit Instance(CallerApiTest* test)
        : router(&test->io_, test->address_,
                 {[test](CellNumber cell) {
                    return test->owners_missing_.contains(cell) ? std::nullopt
                                                                : std::optional(test->address_);
                  },
                  [test](CellCall call, std::function<void(CallResponse)> respond) {
                    test->owner_->dispatcher.Serve(std::move(call), std::move(respond));
                  },
                  [] {}, [](const Endpoint&) {}}),
          locator(&test->io_, &router, &routes, kCells),
          api(&test->io_, &routes, &access, &router, &locator, &test->division_, &test->metrics_),
          hosts(
              &test->io_,
              [test](CellNumber cell, TermToken token) {
                return std::make_unique<FakeCellHost>(&test->partitions_[cell], token);
              },
              [](CellNumber, TermToken) {},
              {kCells, [](TermToken) {}, [] { return milliseconds(0); }}),
          dispatcher(&hosts, &routes) {}

    /// Reads a version in which the queue at /q/ has this service; in which it is absent if
    /// `service` is empty.
    void Read(std::uint64_t version, const std::string& service, const std::string& name = "q") {
      ReadAll(version, service.empty() ? std::vector<QueueRoute>()
                                       : std::vector<QueueRoute>{RouteOf("/q/", service, name)});
    }

    void ReadAll(std::uint64_t version, std::vector<QueueRoute> all) {
      routes.Assign(version, std::move(all));
      dispatcher.ConfirmRoutes(version);
    }

    RouteTable routes;
    AccessControl access{{}};
    CallRouter router;
    QueueLocator locator;
    CallerApi api;
    CellTable<FakeCellHost> hosts;
    CellDispatcher<FakeCellHost> dispatcher;
  };

  CallerApiTest() {
    for (CellNumber cell = 0; cell < kCells; ++cell) {
      division_.services["s" + std::to_string(cell)].cells = {cell};
    }
    owner_ = Start();
  }

  static QueueRoute RouteOf(const std::string& path, const std::string& service,
                            const std::string& name, const std::string& host = "h") {
    QueueRoute route{{host, path}, {}};
    route.policy.name = name;
    route.policy.service = service;
    return route;
  }

  std::unique_ptr<Instance> Start() { return std::make_unique<Instance>(this); }

  /// `owner_` takes over all cells by the configuration that it has read.
  void TakeOver() {
    for (CellNumber cell = 0; cell < kCells; ++cell) {
      owner_->hosts.Gain(cell, ++last_token_);
      owner_->hosts.Find(cell)->SetRoutesAtTakeover(owner_->routes.version());
    }
  }

  /// Returns the status code and sets `body_`.
  int Ask(Instance* instance, const std::string& method, const std::string& id,
          const std::string& path = "/q/") {
    JobSpec spec;
    spec.steps.resize(1);
    std::optional<int> code;
    instance->api.Serve({method, path + id, "h", {}, EncodeJob(spec)},
                        [&](const HttpResponse& response) {
                          code = response.code;
                          body_ = response.body;
                        });
    io_.restart();
    io_.run_for(std::chrono::seconds(10));
    return code.value_or(0);
  }

  int Ask(const std::string& method, std::string_view id = kId) {
    return Ask(owner_.get(), method, std::string(id));
  }

  std::size_t StoredJobs() const {
    std::size_t jobs = 0;
    for (const auto& [cell, partition] : partitions_) jobs += partition.jobs.size();
    return jobs;
  }

  asio::io_context io_;
  const Endpoint address_ = FreeEndpoint();
  CellAssignment division_;
  MetricsRegistry metrics_;
  std::map<CellNumber, FakePartition> partitions_;
  std::set<CellNumber> owners_missing_;
  std::unique_ptr<Instance> owner_;
  std::string body_;
  TermToken last_token_ = 0;
};

/// All instances started after the queue had led to one service, then to another.
class TeamKeyTest : protected CallerApiTest {
 protected:
  TeamKeyTest() {
    owner_->Read(1, "s0");
    owner_->access.Assign(*TeamDirectory::Create({{"red", {"key-1"}, 1, 0, {}}}));
    owner_->access.ConfirmCurrent(BootClock().Now());
    TakeOver();
  }

  int AskWith(const std::string& method, const std::string& authorization,
              const std::string& path = "/q/00000000000000a1") {
    JobSpec spec;
    spec.steps.resize(1);
    std::optional<int> code;
    owner_->api.Serve({method, path, "h", {{"authorization", authorization}}, EncodeJob(spec)},
                      [&](const HttpResponse& response) { code = response.code; });
    io_.restart();
    io_.run_for(std::chrono::seconds(10));
    return code.value_or(0);
  }
};

TEST_CASE_METHOD(TeamKeyTest, "Request_EveryMethodWithoutAValidKey_IsRejectedAndMakesNoJob") {
  for (const std::string method : {"POST", "GET", "DELETE"}) {
    CHECK(AskWith(method, "") == http_status::kUnauthorized);
    CHECK(AskWith(method, "Bearer key-2") == http_status::kUnauthorized);
    CHECK(AskWith(method, "Basic key-1") == http_status::kUnauthorized);
  }
  CHECK(AskWith("GET", "Bearer key-2", "/q/") == http_status::kUnauthorized);
  CHECK(StoredJobs() == 0);
}

TEST_CASE_METHOD(TeamKeyTest, "Post_ValidKey_IsServed") {
  CHECK(AskWith("POST", "bearer key-1") == http_status::kOk);
  CHECK(AskWith("GET", "Bearer key-1") == http_status::kOk);
  CHECK(StoredJobs() == 1);
}

class MovedQueueTest : protected CallerApiTest {
 protected:
  MovedQueueTest() {
    owner_->Read(1, "s0");
    TakeOver();
    REQUIRE(Ask("POST") == http_status::kOk);
    owner_ = Start();
    owner_->Read(3, "s1");
    TakeOver();
  }
};

// Guards against LOST (review/2): instances that start after a queue moved look for its jobs in the
// cells of the present service alone.
TEST_CASE_METHOD(MovedQueueTest, "Get_QueueMovedBeforeTheStart_FindsTheJob") {
  CHECK(Ask("GET") == http_status::kOk);
}

TEST_CASE_METHOD(MovedQueueTest, "Delete_QueueMovedBeforeTheStart_FindsTheJob") {
  CHECK(Ask("DELETE") == http_status::kOk);
}

TEST_CASE_METHOD(MovedQueueTest, "Post_RepeatedAfterQueueMovedBeforeTheStart_MakesNoSecondJob") {
  CHECK(Ask("POST") == http_status::kOk);
  CHECK(StoredJobs() == 1);
}

TEST_CASE_METHOD(MovedQueueTest, "Count_QueueMovedBeforeTheStart_IncludesAllServices") {
  REQUIRE(Ask("POST", "00000000000000a2") == http_status::kOk);
  REQUIRE(Ask("GET", "") == http_status::kOk);
  CHECK(DecodePending(body_).value() == 2);
}

TEST_CASE_METHOD(MovedQueueTest, "Get_QueueMovedTwiceAndBack_FindsTheJob") {
  owner_ = Start();
  owner_->Read(5, "s2");
  TakeOver();
  CHECK(Ask("GET") == http_status::kOk);
  owner_ = Start();
  owner_->Read(9, "s0");
  TakeOver();
  CHECK(Ask("GET") == http_status::kOk);
}

// An answer of 410, or a new job, would be wrong while an owner that may hold the job is missing.
TEST_CASE_METHOD(MovedQueueTest, "Request_OwnerOfFormerServiceIsMissing_IsRefusedForNow") {
  owners_missing_ = {0};
  CHECK(Ask("GET") == http_status::kUnavailable);
  CHECK(Ask("POST") == http_status::kUnavailable);
  owners_missing_.clear();
  CHECK(Ask("GET") == http_status::kOk);
  CHECK(StoredJobs() == 1);
}

// Guards against MIXED: the jobs of an owner that does not respond are missing from the count.
TEST_CASE_METHOD(MovedQueueTest, "Count_OneOwnerIsMissing_IsRefusedForNow") {
  owners_missing_ = {0};
  CHECK(Ask("GET", "") == http_status::kUnavailable);
  owners_missing_.clear();
  CHECK(Ask("GET", "") == http_status::kOk);
}

// Guards against UNASKED (issue 37): a submission that arrives after its cancellation was
// acknowledged makes a job, because the queue has moved and the new cell does not know the id.
TEST_CASE_METHOD(MovedQueueTest, "Post_CancelledBeforeTheQueueMovedAgain_MakesNoJob") {
  const std::string late = "00000000000000a7";
  REQUIRE(Ask("DELETE", late) == http_status::kGone);
  owner_ = Start();
  owner_->Read(5, "s2");
  TakeOver();
  CHECK(Ask("POST", late) == http_status::kOk);
  CHECK(StoredJobs() == 1);
  CHECK(Ask("GET", late) == http_status::kGone);
}

TEST_CASE_METHOD(MovedQueueTest, "Get_UnknownJobOfMovedQueue_IsGone") {
  CHECK(Ask("GET", "00000000000000ff") == http_status::kGone);
}

/// An instance keeps the old configuration while a queue moves, and a job of the queue is accepted
/// elsewhere.
class OutdatedInstanceTest : protected CallerApiTest {
 protected:
  OutdatedInstanceTest() {
    for (Instance* instance : {owner_.get(), outdated_.get()}) instance->Read(1, "s0");
    TakeOver();
    REQUIRE(Ask(outdated_.get(), "POST", "00000000000000a2") == http_status::kOk);
    owner_->Read(2, "");
    owner_->Read(3, "s1");
  }

  std::unique_ptr<Instance> outdated_ = Start();
};

// Guards against TWICE (review/5): a request arrives again at an instance that still assigns the
// queue to its former service, and makes a second job there.
TEST_CASE_METHOD(OutdatedInstanceTest, "Post_RepeatedAtOutdatedInstance_MakesNoSecondJob") {
  REQUIRE(Ask("POST") == http_status::kOk);
  CHECK(Ask(outdated_.get(), "POST", std::string(kId)) == http_status::kUnavailable);
  CHECK(Ask(outdated_.get(), "GET", std::string(kId)) == http_status::kUnavailable);
  CHECK(StoredJobs() == 2);
}

TEST_CASE_METHOD(OutdatedInstanceTest, "Post_QueueMovedBackWhileInstanceWasAway_MakesNoSecondJob") {
  REQUIRE(Ask("POST") == http_status::kOk);
  owner_->Read(4, "s0");
  CHECK(Ask(outdated_.get(), "POST", std::string(kId)) == http_status::kOk);
  CHECK(Ask(outdated_.get(), "GET", std::string(kId)) == http_status::kOk);
  CHECK(StoredJobs() == 2);
}

// The owner, not the instance that the request reached, has the old configuration.
TEST_CASE_METHOD(OutdatedInstanceTest, "Post_OwnerIsOutdated_IsRefusedForNow") {
  outdated_->Read(7, "s2");
  CHECK(Ask(outdated_.get(), "POST", std::string(kId)) == http_status::kUnavailable);
  owner_->Read(7, "s2");
  CHECK(Ask(outdated_.get(), "POST", std::string(kId)) == http_status::kOk);
}

TEST_CASE_METHOD(OutdatedInstanceTest, "Request_JobThatTheNewVersionDoesNotConcern_IsServed") {
  CHECK(Ask(outdated_.get(), "GET", "00000000000000a2") == http_status::kOk);
  owner_->Read(8, "s1");
  outdated_->Read(3, "s1");
  CHECK(Ask(outdated_.get(), "POST", "00000000000000a3") == http_status::kOk);
}

/// A queue got another name and another service under the same address, and all instances started
/// anew.
class RenamedQueueTest : protected CallerApiTest {
 protected:
  RenamedQueueTest() {
    owner_->Read(1, "s0");
    TakeOver();
    REQUIRE(Ask("POST") == http_status::kOk);
  }

  /// All instances start anew, by this configuration.
  void StartWith(std::uint64_t version, const std::vector<QueueRoute>& routes) {
    owner_ = Start();
    owner_->ReadAll(version, routes);
    TakeOver();
  }

  int AskAt(const std::string& path, const std::string& method, std::string_view id = kId) {
    return Ask(owner_.get(), method, std::string(id), path);
  }
};

// Guards against LOST and TWICE (review/10): a job is looked for by the name of its queue, which
// callers never see, so a renamed queue does not know the jobs that were accepted at its address.
TEST_CASE_METHOD(RenamedQueueTest, "Request_QueueRenamedAndMoved_FindsTheJob") {
  StartWith(3, {RouteOf("/q/", "s1", "renamed")});
  CHECK(Ask("GET") == http_status::kOk);
  CHECK(Ask("POST") == http_status::kOk);
  CHECK(StoredJobs() == 1);
  REQUIRE(Ask("GET", "") == http_status::kOk);
  CHECK(DecodePending(body_).value() == 1);
  CHECK(Ask("DELETE") == http_status::kOk);
}

TEST_CASE_METHOD(RenamedQueueTest, "Request_QueueRenamedAndMovedWhileInstancesRun_FindsTheJob") {
  owner_->Read(2, "s1", "renamed");
  CHECK(Ask("GET") == http_status::kOk);
  CHECK(Ask("POST") == http_status::kOk);
  CHECK(StoredJobs() == 1);
}

TEST_CASE_METHOD(RenamedQueueTest, "Request_NameAndServiceChangeInTurns_FindsTheJob") {
  std::uint64_t version = 1;
  for (const auto& [service, name] :
       {std::pair("s0", "a"), std::pair("s1", "a"), std::pair("s1", "b"), std::pair("s2", "q")}) {
    StartWith(++version, {RouteOf("/q/", service, name)});
    CHECK(Ask("GET") == http_status::kOk);
    CHECK(Ask("POST") == http_status::kOk);
    REQUIRE(Ask("GET", "") == http_status::kOk);
    CHECK(DecodePending(body_).value() == 1);
  }
  CHECK(StoredJobs() == 1);
}

// Each queue has the name and the service that the other one had.
TEST_CASE_METHOD(RenamedQueueTest, "Request_TwoQueuesAreSwapped_EachFindsItsOwnJobs") {
  constexpr std::string_view kOtherId = "00000000000000b1";
  owner_->ReadAll(2, {RouteOf("/q/", "s0", "q"), RouteOf("/p/", "s1", "p")});
  REQUIRE(AskAt("/p/", "POST", kOtherId) == http_status::kOk);
  StartWith(3, {RouteOf("/q/", "s1", "p"), RouteOf("/p/", "s0", "q")});
  CHECK(AskAt("/q/", "GET") == http_status::kOk);
  CHECK(AskAt("/p/", "GET", kOtherId) == http_status::kOk);
  CHECK(AskAt("/q/", "POST") == http_status::kOk);
  CHECK(AskAt("/p/", "POST", kOtherId) == http_status::kOk);
  CHECK(StoredJobs() == 2);
  CHECK(AskAt("/q/", "GET", kOtherId) == http_status::kGone);
  CHECK(AskAt("/p/", "GET") == http_status::kGone);
  for (const char* path : {"/q/", "/p/"}) {
    REQUIRE(AskAt(path, "GET", "") == http_status::kOk);
    CHECK(DecodePending(body_).value() == 1);
  }
}

TEST_CASE_METHOD(RenamedQueueTest, "Request_QueueIsAbsentAndComesBackRenamed_FindsTheJob") {
  StartWith(2, {});
  CHECK(Ask("GET") == http_status::kNotFound);
  StartWith(3, {RouteOf("/q/", "s2", "renamed")});
  CHECK(Ask("GET") == http_status::kOk);
  CHECK(Ask("POST") == http_status::kOk);
  CHECK(StoredJobs() == 1);
}

TEST_CASE_METHOD(RenamedQueueTest, "Request_HostIsSpelledDifferently_FindsTheJob") {
  StartWith(2, {RouteOf("/q/", "s1", "renamed", "H.:8080")});
  CHECK(Ask("GET") == http_status::kOk);
}

// Guards against UNASKED: the cancel was acknowledged under the former name.
TEST_CASE_METHOD(RenamedQueueTest, "Post_CancelledBeforeTheQueueWasRenamedAndMoved_MakesNoJob") {
  constexpr std::string_view kLateId = "00000000000000a7";
  REQUIRE(Ask("DELETE", kLateId) == http_status::kGone);
  StartWith(3, {RouteOf("/q/", "s1", "renamed")});
  CHECK(Ask("POST", kLateId) == http_status::kOk);
  CHECK(StoredJobs() == 1);
}

// Another queue of the same service may have the same id, which its callers chose.
TEST_CASE_METHOD(RenamedQueueTest, "Request_IdIsInUseAtAnotherQueue_LeavesThatJobAlone") {
  owner_->ReadAll(2, {RouteOf("/q/", "s0", "q"), RouteOf("/p/", "s0", "p")});
  CHECK(AskAt("/p/", "GET") == http_status::kGone);
  CHECK(AskAt("/p/", "DELETE") == http_status::kGone);
  CHECK(AskAt("/p/", "POST") == http_status::kConflict);
  CHECK(AskAt("/q/", "GET") == http_status::kOk);
  CHECK(StoredJobs() == 1);
}

/// The store holds a job that an earlier version accepted, without the address of its queue.
class UnaddressedJobTest : protected RenamedQueueTest {
 protected:
  UnaddressedJobTest() {
    for (auto& [cell, partition] : partitions_) {
      for (auto& [id, queue] : partition.jobs) queue.queue = {};
    }
  }
};

TEST_CASE_METHOD(UnaddressedJobTest, "Request_QueueOfUnaddressedJobRenamedAndMoved_FindsTheJob") {
  StartWith(3, {RouteOf("/q/", "s1", "renamed")});
  CHECK(Ask("GET") == http_status::kOk);
  CHECK(Ask("POST") == http_status::kOk);
  CHECK(StoredJobs() == 1);
  CHECK(Ask("DELETE") == http_status::kOk);
}

TEST_CASE_METHOD(UnaddressedJobTest, "Request_OwnerThatMayHoldTheJobIsMissing_IsRefusedForNow") {
  StartWith(3, {RouteOf("/q/", "s1", "renamed")});
  owners_missing_ = {0};
  CHECK(Ask("GET") == http_status::kUnavailable);
  CHECK(Ask("POST") == http_status::kUnavailable);
  CHECK(StoredJobs() == 1);
}

}  // namespace
}  // namespace wigeonlane
