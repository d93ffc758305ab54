#include "core/document.h"

#include <catch2/catch.hpp>

#include "core/text.h"

namespace wigeonlane {
namespace {

class DocumentReaderTest {
 protected:
  std::string Error(const char* text) {
    const nlohmann::json json = nlohmann::json::parse(text);
    DocumentReader reader(json, "pool");
    reader.Name("name");
    reader.Integer("count", 0, 10);
    reader.Period("wait", std::chrono::milliseconds(0), std::chrono::seconds(5),
                  std::chrono::seconds(1));
    return MessageOf(reader.Finish());
  }
};

TEST_CASE_METHOD(DocumentReaderTest, "Finish_OfGoodDocument_IsOk") {
  CHECK(Error(R"({"name": "a", "count": 3, "wait": "250ms"})").empty());
}

TEST_CASE_METHOD(DocumentReaderTest, "Finish_OfBadDocument_NamesThePath") {
  CHECK(Error(R"({"name": "a", "count": -1})") ==
        "pool.count: allowed: a whole number from 0 to 10");
  CHECK(Error(R"({"name": "a", "count": 1, "extra": 1})").starts_with("pool.extra: unknown field"));
  CHECK(Error(R"({"name": "a b", "count": 1})").starts_with("pool.name: required"));
  CHECK(Error(R"({"name": "a", "count": 1.5})").starts_with("pool.count"));
  CHECK(Error(R"({"name": "a", "count": 18446744073709551615})").starts_with("pool.count"));
  CHECK(Error(R"({"name": "a", "count": 1, "wait": "6s"})").starts_with("pool.wait"));
  CHECK(Error("[]") == "pool: not a JSON object");
}

TEST_CASE_METHOD(DocumentReaderTest, "ParseJson_OfTooLongText_IsRefused") {
  CHECK_FALSE(ParseJson(std::string(kMaxDocumentBytes + 1, ' ')).ok());
  CHECK_FALSE(ParseJson("{").ok());
}

}  // namespace
}  // namespace wigeonlane
