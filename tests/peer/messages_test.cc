#include "peer/messages.h"

#include <catch2/catch.hpp>

namespace wigeonlane {
namespace {

class MessagesTest {
 protected:
  MessagesTest() {
    heartbeat_.incarnation = "entry1-0123456789abcdef";
    heartbeat_.name = "entry1";
    heartbeat_.peer = {"127.0.0.1", 7702};
    heartbeat_.in_flight = {{"w1", 2}};
  }

  Heartbeat heartbeat_;
};

TEST_CASE_METHOD(MessagesTest, "EncodeHeartbeat_OfASmallSite_IsOneDatagram") {
  heartbeat_.demand = {{"quotes", 3}, {"stock", 70}};
  const auto datagrams = EncodeHeartbeat(heartbeat_);
  REQUIRE(datagrams.size() == 1);
  const auto decoded = DecodeHeartbeat(datagrams[0]);
  REQUIRE(decoded.ok());
  CHECK(decoded->demand == heartbeat_.demand);
  CHECK(decoded->in_flight == heartbeat_.in_flight);
}

TEST_CASE_METHOD(MessagesTest, "EncodeHeartbeat_OfManyServices_IsCutIntoBoundedParts") {
  for (int i = 0; i < 206; ++i) heartbeat_.demand["service-" + std::to_string(i)] = 1;
  const auto datagrams = EncodeHeartbeat(heartbeat_);
  CHECK(datagrams.size() > 1);
  std::size_t services = 0;
  for (const auto& datagram : datagrams) {
    CHECK(datagram.size() <= kMaxDatagramBytes);
    services += DecodeHeartbeat(datagram)->demand.size();
  }
  CHECK(services == 206);
}

TEST_CASE_METHOD(MessagesTest, "DecodeHeartbeat_OfForeignOrImpossible_IsRefused") {
  CHECK_FALSE(DecodeHeartbeat("").ok());
  auto datagram = EncodeHeartbeat(heartbeat_)[0];
  datagram[0] = 9;
  CHECK_FALSE(DecodeHeartbeat(datagram).ok());
  heartbeat_.interval = std::chrono::milliseconds(-1);
  CHECK_FALSE(DecodeHeartbeat(EncodeHeartbeat(heartbeat_)[0]).ok());
}

TEST_CASE_METHOD(MessagesTest, "DecodeResponse_OfEncoded_GivesTheSameKind") {
  OutcomeResponse outcome;
  outcome.knowledge = OutcomeKnowledge::kKnown;
  outcome.code = 200;
  outcome.headers = {{"A", "b"}};
  const auto decoded = DecodeResponse(EncodeResponse(outcome));
  REQUIRE(decoded.ok());
  CHECK(std::get<OutcomeResponse>(*decoded).headers == outcome.headers);
  CHECK(DecodeRequest(EncodeRequest(SuffixRequest{7})).ok());
}

}  // namespace
}  // namespace wigeonlane
