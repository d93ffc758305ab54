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

/// Guarantees and limits of the services that use this profile.
struct ServiceProfile {
  std::string name;
  std::uint32_t floor_slots = 0;         ///< Slots that must stay available to the service.
  std::uint32_t borrow_slots = 0;        ///< Maximum slots borrowed from spare pools.
  std::uint32_t queue_places = 0;        ///< Maximum waiting requests at all entry instances.
  Urgency keep_from = Urgency::kNormal;  ///< Under overload, less urgent requests are shed first.
  std::chrono::milliseconds default_deadline{0};
  std::chrono::milliseconds longest_deadline{0};
  std::uint32_t body_bytes = 0;     ///< Maximum size of a request body.
  std::uint32_t retry_percent = 0;  ///< Retries allowed, as a percentage of successes.
  bool backend_idempotent = false;  ///< Backend servers deduplicate by Idempotency-Key.

  bool operator==(const ServiceProfile&) const = default;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(name, floor_slots, borrow_slots, queue_places, keep_from, default_deadline,
            longest_deadline, body_bytes, retry_percent, backend_idempotent);
  }
};

/// A service with the pool of its runners and its profile.
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
  std::uint32_t min_serving = 0;   ///< Instances that must keep serving (availability budget).
  std::uint32_t runner_slots = 0;  ///< Maximum concurrent requests of one runner.
  std::uint32_t runner_connections = 0;  ///< Maximum connections that one runner accepts.
  bool spare = false;                    ///< Whether other services may borrow its slots.

  bool operator==(const PoolSpec&) const = default;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(name, min_serving, runner_slots, runner_connections, spare);
  }
};

enum class PlanAction : std::uint8_t { kRun, kPause, kCancel };

/// Maintenance plan: drains and reboots every instance of the named pools once.
struct MaintenancePlan {
  std::string name;
  std::vector<std::string> pools;
  PlanAction action = PlanAction::kRun;
  std::uint32_t most_out = 1;    ///< Maximum instances of one pool out on purpose at once.
  std::uint32_t halt_after = 1;  ///< Starts no drain in a pool with this many instances down.

  bool operator==(const MaintenancePlan&) const = default;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(name, pools, action, most_out, halt_after);
  }
};

using Document = std::variant<ServiceProfile, ServiceSpec, PoolSpec, MaintenancePlan>;

/// Returns "profile", "service", "pool" or "plan".
std::string_view KindOf(const Document& document);

const std::string& NameOf(const Document& document);

/// Parses the JSON text of a document of `kind`. Errors: InvalidArgument, with one line that starts
/// with the path of the wrong field.
absl::StatusOr<Document> ParseDocument(std::string_view kind, std::string_view json_text);

/// Returns the document as indented JSON text. `ParseDocument` parses it to an equal document.
std::string ToJson(const Document& document);

}  // namespace wigeonlane

#endif  // WIGEONLANE_FLEET_DOCUMENT_H_
