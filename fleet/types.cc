#include "fleet/types.h"

namespace wigeonlane {

std::string_view ToString(Urgency urgency) {
  switch (urgency) {
    case Urgency::kBulk:
      return "bulk";
    case Urgency::kNormal:
      return "normal";
    case Urgency::kUrgent:
      return "urgent";
  }
  return "unknown";
}

std::optional<Urgency> ParseUrgency(std::string_view text) {
  for (const Urgency urgency : {Urgency::kBulk, Urgency::kNormal, Urgency::kUrgent}) {
    if (text == ToString(urgency)) return urgency;
  }
  return std::nullopt;
}

std::string_view ToString(Lifecycle lifecycle) {
  switch (lifecycle) {
    case Lifecycle::kJoining:
      return "joining";
    case Lifecycle::kServing:
      return "serving";
    case Lifecycle::kDraining:
      return "draining";
    case Lifecycle::kRebooting:
      return "rebooting";
    case Lifecycle::kDown:
      return "down";
  }
  return "unknown";
}

}  // namespace wigeonlane
