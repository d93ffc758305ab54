/// Guards against jobs that are not found because an address is spelled differently.
#include "jobs/queue_address.h"

#include <catch2/catch.hpp>

namespace wigeonlane {
namespace {

class QueueAddressTest {};

TEST_CASE_METHOD(QueueAddressTest, "CanonicalHost_CasePortOrTrailingDotDiffer_IsEqual") {
  for (const char* host :
       {"jobs.example", "Jobs.Example", "jobs.example:8080", "JOBS.EXAMPLE.", "jobs.example.:80"}) {
    CHECK(CanonicalHost(host) == "jobs.example");
  }
}

TEST_CASE_METHOD(QueueAddressTest, "CanonicalHost_Ipv6Literal_KeepsItsColons") {
  CHECK(CanonicalHost("[2001:DB8::1]:8080") == "[2001:db8::1]");
  CHECK(CanonicalHost("[::1]") == "[::1]");
}

TEST_CASE_METHOD(QueueAddressTest, "MayBe_OneAddressIsUnknown_IsTrue") {
  const QueueAddress a{"h", "/a/"};
  const QueueAddress b{"h", "/b/"};
  CHECK(a.MayBe(a));
  CHECK_FALSE(a.MayBe(b));
  CHECK(a.MayBe({}));
  CHECK(QueueAddress().MayBe(b));
}

}  // namespace
}  // namespace wigeonlane
