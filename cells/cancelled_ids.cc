#include "cells/cancelled_ids.h"

#include <string>

#include "core/codec.h"

namespace wigeonlane {
namespace {

/// The form that earlier versions stored, with the name of the queue in place of its address.
struct UnaddressedCancelledId {
  std::string queue_name;
  std::string service;
  bool submitted = false;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(queue_name, service, submitted);
  }
};

}  // namespace

absl::StatusOr<CancelledId> DecodeCancelledId(std::string_view bytes) {
  auto cancelled = Decode<CancelledId>(bytes);
  if (cancelled.ok()) return cancelled;
  auto unaddressed = Decode<UnaddressedCancelledId>(bytes);
  if (!unaddressed.ok()) return cancelled.status();
  return CancelledId{{{}, std::move(unaddressed->service)}, unaddressed->submitted};
}

}  // namespace wigeonlane
