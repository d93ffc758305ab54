#include "fleet/state.h"

#include <algorithm>
#include <type_traits>

#include "core/text.h"

namespace wigeonlane {
namespace {

/// Records whose outcome nobody asks for by id: they are frequent and settled by other means.
bool SkipsOutcomeTracking(const Record& record) {
  return std::holds_alternative<OrderBatch>(record) ||
         std::holds_alternative<SnapshotChunk>(record);
}

absl::Status ConflictError(std::string_view what, std::uint64_t expected, std::uint64_t current) {
  return absl::AbortedError(
      Concat(what, ": the record names ", expected, ", the log is at ", current));
}

}  // namespace

bool IsLifecycleStep(Lifecycle from, Lifecycle to) {
  switch (to) {
    case Lifecycle::kJoining:
      return from == Lifecycle::kRebooting || from == Lifecycle::kDown;
    case Lifecycle::kServing:
      return from == Lifecycle::kJoining;
    case Lifecycle::kDraining:
      return false;  // Only drains and moves take an instance out, since they check the budget.
    case Lifecycle::kRebooting:
      return from == Lifecycle::kDraining;
    case Lifecycle::kDown:
      return from != Lifecycle::kDown;
  }
  return false;
}

absl::Status FleetState::Apply(const LogEntry& entry) {
  if (entry.offset > next_offset_) {
    return absl::OutOfRangeError(
        Concat("entry ", entry.offset, " follows a gap: entry ", next_offset_, " was not applied"));
  }
  if (entry.offset < next_offset_) {
    return absl::AlreadyExistsError(Concat("entry ", entry.offset, " was applied before"));
  }
  latest_stamp_ = std::max(latest_stamp_, entry.stamp);
  const absl::StatusOr<Record> record = DecodeRecord(entry.payload);
  if (!record.ok()) {
    ++next_offset_;
    return record.status();
  }
  if (const auto earlier = outcomes_.find(entry.record_id); earlier != outcomes_.end()) {
    ++next_offset_;
    const RecordOutcome& outcome = earlier->second;
    return outcome.accepted ? absl::OkStatus() : absl::FailedPreconditionError(outcome.reason);
  }
  absl::Status outcome = ApplyRecord(*record);
  if (!SkipsOutcomeTracking(*record)) {
    StoreOutcome(entry.record_id, outcome);
    if (outcome.ok()) config_offset_ = entry.offset;
  }
  ++next_offset_;
  return outcome;
}

absl::Status FleetState::ApplyRecord(const Record& record) {
  return std::visit([this](const auto& content) { return ApplyTo(content); }, record);
}

absl::Status FleetState::ApplyTo(const PublishDocument& publish) {
  const DocumentKey key{KindOf(publish.document), NameOf(publish.document)};
  const auto found = documents_.find(key);
  const std::uint64_t current = found == documents_.end() ? 0 : found->second.version;
  if (publish.replaces != current) {
    return ConflictError(Concat(key.first, " ", key.second, " version"), publish.replaces, current);
  }
  if (absl::Status status = CheckReferences(publish.document); !status.ok()) return status;
  if (found != documents_.end()) {
    std::vector<VersionedDocument>& earlier = history_[key];
    earlier.push_back(found->second);
    if (earlier.size() > kMaxKeptVersions) earlier.erase(earlier.begin());
  }
  documents_[key] = {current + 1, next_offset_, publish.document};
  return absl::OkStatus();
}

absl::Status FleetState::CheckReferences(const Document& document) const {
  if (const auto* service = std::get_if<ServiceSpec>(&document)) {
    if (Find<PoolSpec>(service->pool) == nullptr) {
      return absl::FailedPreconditionError(
          Concat("service.pool: pool ", service->pool, " is not published"));
    }
    if (Find<ServiceProfile>(service->profile) == nullptr) {
      return absl::FailedPreconditionError(
          Concat("service.profile: profile ", service->profile, " is not published"));
    }
    return CheckFloors(service->pool, document);
  }
  if (const auto* pool = std::get_if<PoolSpec>(&document)) return CheckFloors(pool->name, document);
  if (const auto* profile = std::get_if<ServiceProfile>(&document)) {
    for (const auto& [key, published] : documents_) {
      const auto* service = std::get_if<ServiceSpec>(&published.document);
      if (service == nullptr || service->profile != profile->name) continue;
      if (absl::Status status = CheckFloors(service->pool, document); !status.ok()) return status;
    }
  }
  if (const auto* plan = std::get_if<MaintenancePlan>(&document)) {
    for (const std::string& pool : plan->pools) {
      if (Find<PoolSpec>(pool) == nullptr) {
        return absl::FailedPreconditionError(
            Concat("plan.pools: pool ", pool, " is not published"));
      }
    }
  }
  return absl::OkStatus();
}

absl::Status FleetState::CheckFloors(const std::string& pool, const Document& changed) const {
  const auto* changed_pool = std::get_if<PoolSpec>(&changed);
  const auto* changed_profile = std::get_if<ServiceProfile>(&changed);
  const auto* changed_service = std::get_if<ServiceSpec>(&changed);
  const PoolSpec* spec = changed_pool != nullptr ? changed_pool : Find<PoolSpec>(pool);
  const auto floor_of = [&](const std::string& name) -> std::uint64_t {
    if (changed_profile != nullptr && changed_profile->name == name) {
      return changed_profile->floor_slots;
    }
    const auto* profile = Find<ServiceProfile>(name);
    return profile == nullptr ? 0 : profile->floor_slots;
  };
  std::uint64_t floors = changed_service == nullptr ? 0 : floor_of(changed_service->profile);
  for (const auto& [key, published] : documents_) {
    const auto* service = std::get_if<ServiceSpec>(&published.document);
    if (service == nullptr || service->pool != pool) continue;
    if (changed_service != nullptr && changed_service->name == service->name) continue;
    floors += floor_of(service->profile);
  }
  const std::uint64_t guaranteed_slots = std::uint64_t{spec->min_serving} * spec->runner_slots;
  if (floors <= guaranteed_slots) return absl::OkStatus();
  return absl::FailedPreconditionError(Concat(
      KindOf(changed), ": floors of ", floors, " slots on pool ", pool, " exceed the ",
      guaranteed_slots, " slots that its availability budget keeps (min_serving x runner_slots)"));
}

absl::Status FleetState::ApplyTo(const AddInstance& add) {
  if (instances_.contains(add.name)) {
    return absl::AlreadyExistsError(Concat("instance ", add.name, " is known"));
  }
  if (Find<PoolSpec>(add.pool) == nullptr) {
    return absl::FailedPreconditionError(Concat("pool ", add.pool, " is not published"));
  }
  Instance instance;
  instance.name = add.name;
  instance.pool = add.pool;
  instance.rack = add.rack;
  instance.data_centre = add.data_centre;
  instance.runner = add.runner;
  StoreInstance(std::move(instance));
  return absl::OkStatus();
}

absl::StatusOr<Instance> FleetState::FindInstance(const std::string& name,
                                                  std::uint64_t generation) const {
  const auto found = instances_.find(name);
  if (found == instances_.end()) {
    return absl::NotFoundError(Concat("instance ", name, " is not known"));
  }
  if (found->second.generation != generation) {
    return ConflictError(Concat("instance ", name, " generation"), generation,
                         found->second.generation);
  }
  return found->second;
}

absl::Status FleetState::ApplyTo(const DrainInstance& drain) {
  absl::StatusOr<Instance> instance = FindInstance(drain.name, drain.generation);
  if (!instance.ok()) return instance.status();
  if (instance->lifecycle != Lifecycle::kServing) {
    return absl::FailedPreconditionError(
        Concat("instance ", drain.name, " is ", ToString(instance->lifecycle)));
  }
  const auto* pool = Find<PoolSpec>(instance->pool);
  if (absl::Status status = CheckPlannedStop(*pool, usage_.at(pool->name), instance->rack);
      !status.ok()) {
    return status;
  }
  instance->lifecycle = Lifecycle::kDraining;
  instance->planned_out = true;
  if (!drain.plan.empty()) instance->maintained = drain.plan;
  StoreInstance(*std::move(instance));
  return absl::OkStatus();
}

absl::Status FleetState::ApplyTo(const MoveInstance& move) {
  absl::StatusOr<Instance> instance = FindInstance(move.name, move.generation);
  if (!instance.ok()) return instance.status();
  if (instance->lifecycle != Lifecycle::kServing) {
    return absl::FailedPreconditionError(
        Concat("instance ", move.name, " is ", ToString(instance->lifecycle)));
  }
  if (instance->pool == move.to_pool || Find<PoolSpec>(move.to_pool) == nullptr) {
    return absl::FailedPreconditionError(
        Concat("pool ", move.to_pool, " is not another published pool"));
  }
  const auto* pool = Find<PoolSpec>(instance->pool);
  if (absl::Status status = CheckDeparture(*pool, usage_.at(pool->name)); !status.ok()) {
    return status;
  }
  instance->pool = move.to_pool;
  instance->lifecycle = Lifecycle::kDraining;
  StoreInstance(*std::move(instance));
  return absl::OkStatus();
}

absl::Status FleetState::ApplyTo(const AdvanceInstance& advance) {
  absl::StatusOr<Instance> instance = FindInstance(advance.name, advance.generation);
  if (!instance.ok()) return instance.status();
  const auto lease = planners_.find(instance->pool);
  const std::uint64_t epoch = lease == planners_.end() ? 0 : lease->second.epoch;
  if (advance.epoch != epoch) {
    return ConflictError(Concat("planner epoch of pool ", instance->pool), advance.epoch, epoch);
  }
  if (!IsLifecycleStep(instance->lifecycle, advance.to)) {
    return absl::FailedPreconditionError(Concat("instance ", advance.name, " cannot go from ",
                                                ToString(instance->lifecycle), " to ",
                                                ToString(advance.to)));
  }
  instance->lifecycle = advance.to;
  if (advance.to == Lifecycle::kRebooting) instance->boots = advance.boots;
  if (advance.to == Lifecycle::kServing || advance.to == Lifecycle::kDown) {
    instance->planned_out = false;
  }
  StoreInstance(*std::move(instance));
  return absl::OkStatus();
}

absl::Status FleetState::ApplyTo(const ClaimPlanner& claim) {
  if (Find<PoolSpec>(claim.pool) == nullptr) {
    return absl::FailedPreconditionError(Concat("pool ", claim.pool, " is not published"));
  }
  PlannerLease& lease = planners_[claim.pool];
  const bool renews = claim.epoch == lease.epoch && claim.holder == lease.holder;
  if (!renews && claim.epoch != lease.epoch + 1) {
    return ConflictError(Concat("planner epoch of pool ", claim.pool), claim.epoch, lease.epoch);
  }
  lease = {claim.holder, claim.epoch, next_offset_};
  return absl::OkStatus();
}

absl::Status FleetState::ApplyTo(const OrderBatch& batch) {
  if (claims_.Apply(batch, latest_stamp_)) return absl::OkStatus();
  return absl::AbortedError(
      Concat("batch ", batch.sequence, " of ", batch.author, " came late or twice"));
}

absl::Status FleetState::ApplyTo(const SnapshotChunk& chunk) {
  // The chunk's content is the reader's business; the fold only learns how far snapshots reach.
  if (chunk.index + 1 == chunk.count) snapshot_covers_ = std::max(snapshot_covers_, chunk.covers);
  return absl::OkStatus();
}

void FleetState::StoreInstance(Instance changed) {
  const auto found = instances_.find(changed.name);
  changed.changed = next_offset_;
  if (found != instances_.end()) {
    usage_[found->second.pool].Exclude(found->second);
    changed.generation = found->second.generation + 1;
  }
  usage_[changed.pool].Include(changed);
  instances_[changed.name] = std::move(changed);
}

std::optional<RecordOutcome> FleetState::OutcomeOf(const std::string& record_id) const {
  const auto found = outcomes_.find(record_id);
  if (found == outcomes_.end()) return std::nullopt;
  return found->second;
}

void FleetState::StoreOutcome(const std::string& record_id, const absl::Status& outcome) {
  outcomes_[record_id] = {record_id, next_offset_, outcome.ok(), MessageOf(outcome)};
  outcome_ids_by_age_.push_back(record_id);
  if (outcome_ids_by_age_.size() <= kMaxKeptOutcomes) return;
  outcomes_.erase(outcome_ids_by_age_.front());
  outcome_ids_by_age_.pop_front();
}

std::vector<RecordOutcome> FleetState::OutcomesByAge() const {
  std::vector<RecordOutcome> outcomes;
  outcomes.reserve(outcome_ids_by_age_.size());
  for (const std::string& id : outcome_ids_by_age_) outcomes.push_back(outcomes_.at(id));
  return outcomes;
}

void FleetState::RestoreDerived(std::vector<RecordOutcome> outcomes) {
  outcomes_.clear();
  outcome_ids_by_age_.clear();
  for (RecordOutcome& outcome : outcomes) {
    outcome_ids_by_age_.push_back(outcome.record_id);
    outcomes_[outcome.record_id] = std::move(outcome);
  }
  usage_.clear();
  for (const auto& [name, instance] : instances_) usage_[instance.pool].Include(instance);
  snapshot_covers_ = next_offset_;
}

}  // namespace wigeonlane
