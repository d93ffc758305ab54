/// Documents that operators publish: profiles, services, pools and maintenance plans.
#ifndef WIGEONLANE_FLEET_DOCUMENT_H_
#define WIGEONLANE_FLEET_DOCUMENT_H_

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "absl/status/statusor.h"
#include "fleet/types.h"

namespace wigeonlane {

/// What a service that picks this profile is promised and may take.
struct ServiceProfile {
  std::string name;
  std::uint32_t floor_slots = 0;         ///< Slots that must stay available to the service.
  std::uint32_t borrow_slots = 0;        ///< Most slots it may borrow from the spare pool.
  std::uint32_t queue_places = 0;        ///< Most requests that wait, over all entry instances.
  Urgency keep_from = Urgency::kNormal;  ///< Under flood, less urgent requests are shed first.
  std::chrono::milliseconds default_deadline{0};
  std::chrono::milliseconds longest_deadline{0};
  std::uint32_t body_bytes = 0;     ///< Largest request body.
  std::uint32_t retry_percent = 0;  ///< Retries allowed as a share of successes.
  bool backend_idempotent = false;  ///< Backend servers deduplicate by Idempotency-Key.

  bool operator==(const ServiceProfile&) const = default;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(name, floor_slots, borrow_slots, queue_places, keep_from, default_deadline,
            longest_deadline, body_bytes, retry_percent, backend_idempotent);
  }
};

/// A service, the pool its runners live in and the profile it picked.
struct ServiceSpec {
  std::string name;
  std::string pool;
  std::string profile;

  bool operator==(const ServiceSpec&) const = default;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(name, pool, profile);
  }
};

/// A pool and its availability budget.
struct PoolSpec {
  std::string name;
  std::uint32_t min_serving = 0;         ///< Availability budget, in instances.
  std::uint32_t runner_slots = 0;        ///< Requests that one runner serves at once.
  std::uint32_t runner_connections = 0;  ///< Connections that one runner accepts.
  bool spare = false;                    ///< Whether its slots are lent to other services.

  bool operator==(const PoolSpec&) const = default;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(name, min_serving, runner_slots, runner_connections, spare);
  }
};

enum class PlanAction : std::uint8_t { kRun, kPause, kCancel };

/// A maintenance plan: every instance of the named pools is drained and rebooted once.
struct MaintenancePlan {
  std::string name;
  std::vector<std::string> pools;
  PlanAction action = PlanAction::kRun;
  std::uint32_t most_out = 1;    ///< Most instances of one pool out at once by this plan.
  std::uint32_t halt_after = 1;  ///< Stops new drains while this many instances of a pool are down.

  bool operator==(const MaintenancePlan&) const = default;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(name, pools, action, most_out, halt_after);
  }
};

using Document = std::variant<ServiceProfile, ServiceSpec, PoolSpec, MaintenancePlan>;

/// "profile", "service", "pool" or "plan".
std::string_view KindOf(const Document& document);

const std::string& NameOf(const Document& document);

/// Parses the JSON text of a document of `kind`. Errors: InvalidArgument, one line with the path.
absl::StatusOr<Document> ParseDocument(std::string_view kind, std::string_view json_text);

/// The document as indented JSON text that `ParseDocument` reads back to an equal value.
std::string ToJson(const Document& document);

}  // namespace wigeonlane

#endif  // WIGEONLANE_FLEET_DOCUMENT_H_
