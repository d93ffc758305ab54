#include "fleet/record.h"

#include "core/codec.h"
#include "core/text.h"

namespace wigeonlane {

std::string_view TypeOf(const Record& record) {
  constexpr std::string_view kTypes[] = {"publish", "add",           "drain",       "move",
                                         "advance", "claim-planner", "order-batch", "snapshot"};
  static_assert(std::size(kTypes) == std::variant_size_v<Record>);
  return kTypes[record.index()];
}

std::string EncodeRecord(const Record& record) { return Encode(record); }

absl::StatusOr<Record> DecodeRecord(std::string_view payload) {
  if (payload.size() > kLargestRecord) {
    return absl::InvalidArgumentError(
        Concat("record of ", payload.size(), " bytes; allowed: ", kLargestRecord));
  }
  return Decode<Record>(payload);
}

}  // namespace wigeonlane
