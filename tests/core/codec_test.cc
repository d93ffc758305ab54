#include "core/codec.h"

#include <catch2/catch.hpp>
#include <map>
#include <string>
#include <vector>

namespace wigeonlane {
namespace {

class CodecTest {
 protected:
  using Value = std::map<std::string, std::vector<std::uint32_t>>;

  const Value value_ = {{"a", {1, 2, 3}}, {"", {}}, {"long name", {4'000'000'000U}}};
};

TEST_CASE_METHOD(CodecTest, "Decode_OfEncodedValue_ReturnsEqualValue") {
  const auto decoded = Decode<Value>(Encode(value_));
  REQUIRE(decoded.ok());
  CHECK(*decoded == value_);
}

TEST_CASE_METHOD(CodecTest, "Decode_OfEveryPrefix_IsRejected") {
  const std::string bytes = Encode(value_);
  for (std::size_t size = 0; size < bytes.size(); ++size) {
    CHECK(absl::IsInvalidArgument(Decode<Value>(bytes.substr(0, size)).status()));
  }
}

TEST_CASE_METHOD(CodecTest, "Decode_WithTrailingByte_IsRejected") {
  CHECK_FALSE(Decode<Value>(Encode(value_) + "x").ok());
}

TEST_CASE_METHOD(CodecTest, "Decode_OfHugeLength_IsRejectedWithoutAllocating") {
  const std::string bytes = "\xff\xff\xff\xff tail";
  CHECK_FALSE(Decode<std::string>(bytes).ok());
  CHECK_FALSE(Decode<std::vector<std::uint64_t>>(bytes).ok());
}

TEST_CASE_METHOD(CodecTest, "Decode_OfNegativeDuration_KeepsMilliseconds") {
  const std::chrono::milliseconds period(-17);
  CHECK(*Decode<std::chrono::milliseconds>(Encode(period)) == period);
}

}  // namespace
}  // namespace wigeonlane
