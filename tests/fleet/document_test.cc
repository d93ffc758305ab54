#include "fleet/document.h"

#include <catch2/catch.hpp>

#include "core/text.h"

namespace wigeonlane {
namespace {

class FleetDocumentTest {
 protected:
  static std::string Error(std::string_view kind, std::string_view text) {
    return MessageOf(ParseDocument(kind, text).status());
  }
};

TEST_CASE_METHOD(FleetDocumentTest, "Parse_OfPrintedDocument_ReturnsEqualDocument") {
  const char* texts[][2] = {
      {"profile", R"({"name": "counter", "floor_slots": 48, "queue_places": 400,
                      "keep_from": "urgent", "backend_idempotent": true})"},
      {"service", R"({"name": "quotes", "pool": "quotes", "profile": "counter"})"},
      {"pool", R"({"name": "quotes", "min_serving": 7, "spare": true})"},
      {"plan", R"({"name": "spring", "pools": ["quotes"], "action": "pause", "most_out": 2})"}};
  for (const auto& [kind, text] : texts) {
    const auto document = ParseDocument(kind, text);
    REQUIRE(document.ok());
    CHECK(KindOf(*document) == kind);
    CHECK(*ParseDocument(kind, ToJson(*document)) == *document);
  }
}

TEST_CASE_METHOD(FleetDocumentTest, "Parse_OfBadDocument_NamesThePath") {
  CHECK(Error("profile", R"({"name": "a", "floor_slots": -1, "queue_places": 1})")
            .starts_with("profile.floor_slots"));
  CHECK(Error("profile", R"({"name": "a", "floor_slots": 1, "queue_places": 1,
                             "default_deadline": "5s", "longest_deadline": "1s"})")
            .starts_with("profile.default_deadline"));
  CHECK(Error("pool", R"({"name": "a", "min_serving": "7"})").starts_with("pool.min_serving"));
  CHECK(Error("plan", R"({"name": "a", "pools": []})").starts_with("plan.pools"));
  CHECK(Error("plan", R"({"name": "a", "pools": ["b", 3]})").starts_with("plan.pools[1]"));
  CHECK(Error("place", "{}").starts_with("'place' is not a kind"));
}

}  // namespace
}  // namespace wigeonlane
