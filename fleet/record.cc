#include "fleet/record.h"

#include "core/codec.h"
#include "core/text.h"

namespace wigeonlane {
namespace {

/// Whether every enumeration in the record holds one of its values, which decoding lets through.
bool HasValidEnumValues(const Record& record) {
  if (const auto* advance = std::get_if<AdvanceInstance>(&record)) {
    return advance->to <= Lifecycle::kDown;
  }
  const auto* publish = std::get_if<PublishDocument>(&record);
  if (publish == nullptr) return true;
  if (const auto* profile = std::get_if<ServiceProfile>(&publish->document)) {
    return profile->keep_from <= Urgency::kUrgent;
  }
  const auto* plan = std::get_if<MaintenancePlan>(&publish->document);
  return plan == nullptr || plan->action <= PlanAction::kCancel;
}

}  // namespace

std::string_view TypeOf(const Record& record) {
  constexpr std::string_view kTypes[] = {"publish", "add",           "drain",       "move",
                                         "advance", "claim-planner", "order-batch", "snapshot"};
  static_assert(std::size(kTypes) == std::variant_size_v<Record>);
  return kTypes[record.index()];
}

std::string EncodeRecord(const Record& record) { return Encode(record); }

absl::StatusOr<Record> DecodeRecord(std::string_view payload) {
  if (payload.size() > kMaxRecordBytes) {
    return absl::InvalidArgumentError(
        Concat("record of ", payload.size(), " bytes; allowed: ", kMaxRecordBytes));
  }
  absl::StatusOr<Record> record = Decode<Record>(payload);
  if (record.ok() && !HasValidEnumValues(*record)) {
    return absl::InvalidArgumentError("record with an unknown enumeration value");
  }
  return record;
}

}  // namespace wigeonlane
