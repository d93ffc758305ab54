#include "fleet/document.h"

#include <nlohmann/json.hpp>

#include "core/document.h"
#include "core/text.h"

namespace wigeonlane {
namespace {

using std::chrono::milliseconds;

constexpr std::int64_t kMaxSlots = 1'000'000;
constexpr std::int64_t kMaxInstances = 100'000;
constexpr std::int64_t kMaxQueuePlaces = 1'000'000;
constexpr std::int64_t kMaxBodyBytes = 8 * 1024 * 1024;
constexpr std::int64_t kDefaultBodyBytes = 256 * 1024;
constexpr std::int64_t kMaxSlotsPerRunner = 4096;
constexpr std::int64_t kDefaultRunnerSlots = 8;
constexpr std::int64_t kDefaultRunnerConnections = 64;
constexpr std::int64_t kDefaultRetryPercent = 10;
constexpr milliseconds kMinDeadline{1};
constexpr milliseconds kMaxDeadline{600'000};
constexpr milliseconds kDefaultDeadline{2'000};

std::string FormatMilliseconds(milliseconds period) { return Concat(period.count(), "ms"); }

absl::StatusOr<Document> ParseProfile(const nlohmann::json& json) {
  DocumentReader reader(json, "profile");
  ServiceProfile profile;
  profile.name = reader.Name("name");
  profile.floor_slots = static_cast<std::uint32_t>(reader.Integer("floor_slots", 0, kMaxSlots));
  profile.borrow_slots =
      static_cast<std::uint32_t>(reader.Integer("borrow_slots", 0, kMaxSlots, 0));
  profile.queue_places =
      static_cast<std::uint32_t>(reader.Integer("queue_places", 0, kMaxQueuePlaces));
  profile.keep_from =
      *ParseUrgency(reader.Choice("keep_from", {"bulk", "normal", "urgent"}, "normal"));
  profile.longest_deadline =
      reader.Period("longest_deadline", kMinDeadline, kMaxDeadline, kMaxDeadline);
  profile.default_deadline =
      reader.Period("default_deadline", kMinDeadline, kMaxDeadline, kDefaultDeadline);
  profile.body_bytes =
      static_cast<std::uint32_t>(reader.Integer("body_bytes", 0, kMaxBodyBytes, kDefaultBodyBytes));
  profile.retry_percent =
      static_cast<std::uint32_t>(reader.Integer("retry_percent", 0, 100, kDefaultRetryPercent));
  profile.backend_idempotent = reader.Boolean("backend_idempotent", false);
  if (profile.default_deadline > profile.longest_deadline) {
    reader.Fail("default_deadline", "must not be longer than longest_deadline");
  }
  if (absl::Status status = reader.Finish(); !status.ok()) return status;
  return Document(profile);
}

absl::StatusOr<Document> ParseService(const nlohmann::json& json) {
  DocumentReader reader(json, "service");
  ServiceSpec service;
  service.name = reader.Name("name");
  service.pool = reader.Name("pool");
  service.profile = reader.Name("profile");
  if (absl::Status status = reader.Finish(); !status.ok()) return status;
  return Document(service);
}

absl::StatusOr<Document> ParsePool(const nlohmann::json& json) {
  DocumentReader reader(json, "pool");
  PoolSpec pool;
  pool.name = reader.Name("name");
  pool.min_serving = static_cast<std::uint32_t>(reader.Integer("min_serving", 0, kMaxInstances));
  pool.runner_slots = static_cast<std::uint32_t>(
      reader.Integer("runner_slots", 1, kMaxSlotsPerRunner, kDefaultRunnerSlots));
  pool.runner_connections = static_cast<std::uint32_t>(
      reader.Integer("runner_connections", 1, kMaxSlotsPerRunner, kDefaultRunnerConnections));
  pool.spare = reader.Boolean("spare", false);
  if (absl::Status status = reader.Finish(); !status.ok()) return status;
  return Document(pool);
}

absl::StatusOr<Document> ParsePlan(const nlohmann::json& json) {
  DocumentReader reader(json, "plan");
  MaintenancePlan plan;
  plan.name = reader.Name("name");
  plan.pools = reader.Names("pools");
  const std::string action = reader.Choice("action", {"run", "pause", "cancel"}, "run");
  if (action == "pause") plan.action = PlanAction::kPause;
  if (action == "cancel") plan.action = PlanAction::kCancel;
  plan.most_out = static_cast<std::uint32_t>(reader.Integer("most_out", 1, kMaxInstances, 1));
  plan.halt_after = static_cast<std::uint32_t>(reader.Integer("halt_after", 1, kMaxInstances, 1));
  if (plan.pools.empty()) reader.Fail("pools", "must name at least one pool");
  if (absl::Status status = reader.Finish(); !status.ok()) return status;
  return Document(plan);
}

nlohmann::ordered_json JsonOf(const ServiceProfile& profile) {
  return {{"name", profile.name},
          {"floor_slots", profile.floor_slots},
          {"borrow_slots", profile.borrow_slots},
          {"queue_places", profile.queue_places},
          {"keep_from", ToString(profile.keep_from)},
          {"default_deadline", FormatMilliseconds(profile.default_deadline)},
          {"longest_deadline", FormatMilliseconds(profile.longest_deadline)},
          {"body_bytes", profile.body_bytes},
          {"retry_percent", profile.retry_percent},
          {"backend_idempotent", profile.backend_idempotent}};
}

nlohmann::ordered_json JsonOf(const ServiceSpec& service) {
  return {{"name", service.name}, {"pool", service.pool}, {"profile", service.profile}};
}

nlohmann::ordered_json JsonOf(const PoolSpec& pool) {
  return {{"name", pool.name},
          {"min_serving", pool.min_serving},
          {"runner_slots", pool.runner_slots},
          {"runner_connections", pool.runner_connections},
          {"spare", pool.spare}};
}

nlohmann::ordered_json JsonOf(const MaintenancePlan& plan) {
  constexpr std::string_view kActions[] = {"run", "pause", "cancel"};
  return {{"name", plan.name},
          {"pools", plan.pools},
          {"action", kActions[static_cast<std::size_t>(plan.action)]},
          {"most_out", plan.most_out},
          {"halt_after", plan.halt_after}};
}

}  // namespace

std::string_view KindOf(const Document& document) {
  constexpr std::string_view kKinds[] = {"profile", "service", "pool", "plan"};
  return kKinds[document.index()];
}

const std::string& NameOf(const Document& document) {
  return std::visit([](const auto& content) -> const std::string& { return content.name; },
                    document);
}

absl::StatusOr<Document> ParseDocument(std::string_view kind, std::string_view json_text) {
  const absl::StatusOr<nlohmann::json> json = ParseJson(json_text);
  if (!json.ok()) return json.status();
  if (kind == "profile") return ParseProfile(*json);
  if (kind == "service") return ParseService(*json);
  if (kind == "pool") return ParsePool(*json);
  if (kind == "plan") return ParsePlan(*json);
  return absl::InvalidArgumentError(
      Concat("'", kind, "' is not a kind; allowed: profile, service, pool, plan"));
}

std::string ToJson(const Document& document) {
  return std::visit([](const auto& content) { return JsonOf(content).dump(2); }, document);
}

}  // namespace wigeonlane
