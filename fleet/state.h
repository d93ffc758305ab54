/// Shared state, folded from the log. Every process has the same state at the same offset.
#ifndef WIGEONLANE_FLEET_STATE_H_
#define WIGEONLANE_FLEET_STATE_H_

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "absl/status/status.h"
#include "absl/status/statusor.h"
#include "core/codec.h"
#include "core/digest.h"
#include "fleet/budget.h"
#include "fleet/claim_table.h"
#include "fleet/document.h"
#include "fleet/record.h"
#include "fleet/types.h"

namespace wigeonlane {

/// A published document with its version; versions start at 1.
struct VersionedDocument {
  std::uint64_t version = 0;
  Offset offset = 0;  ///< Offset of the record that published it.
  Document document;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(version, offset, document);
  }
};

/// Planner lease of a pool. An instance claims the lease if its holder is not live; only records
/// with the current epoch are accepted.
struct PlannerLease {
  std::string holder;
  std::uint64_t epoch = 0;
  Offset renewed_offset = 0;  ///< Offset of the latest claim or renewal.

  template <class Archive>
  void serialize(Archive& archive) {
    archive(holder, epoch, renewed_offset);
  }
};

/// Outcome of a record that an operator or planner wrote, stored for later queries.
struct RecordOutcome {
  std::string record_id;
  Offset offset = 0;
  bool accepted = false;
  std::string reason;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(record_id, offset, accepted, reason);
  }
};

/// Whether an `AdvanceInstance` record may change the lifecycle stage from `from` to `to`.
bool IsLifecycleStep(Lifecycle from, Lifecycle to);

/// Shared state. `Apply` is its only mutator. Its result depends only on the state and the entry,
/// never on a clock, randomness or the network, so that every process applies the same rules to
/// each record, whoever wrote the record and however late.
class FleetState {
 public:
  /// Kind and name of a document, for example {"pool", "quotes"}.
  using DocumentKey = std::pair<std::string, std::string>;

  /// Maximum number of earlier versions kept of each document, for history and rollback.
  static constexpr std::size_t kMaxKeptVersions = 8;

  /// Maximum number of record outcomes kept for later queries.
  static constexpr std::size_t kMaxKeptOutcomes = 4096;

  /// Applies the entry, whose offset must be `next_offset()`. Returns OK if its record was
  /// accepted, or the reason for the rejection; `next_offset()` increases in both cases. If the
  /// outcome of its record id is stored, returns that outcome and applies nothing. Errors that
  /// leave `next_offset()` unchanged: OutOfRange if earlier entries are missing, AlreadyExists if
  /// the offset was applied before.
  absl::Status Apply(const LogEntry& entry);

  /// Offset of the next entry to apply.
  Offset next_offset() const { return next_offset_; }

  /// Largest log time of the applied entries; never decreases.
  LogTime latest_stamp() const { return latest_stamp_; }

  /// Digest of the whole state. Processes at equal offsets have equal digests.
  Digest StateDigest() const { return DigestOf(Encode(*this)); }

  const std::map<DocumentKey, VersionedDocument>& documents() const { return documents_; }
  /// Earlier versions of each document, oldest first, without the current version.
  const std::map<DocumentKey, std::vector<VersionedDocument>>& history() const { return history_; }

  const std::map<std::string, Instance>& instances() const { return instances_; }
  const std::map<std::string, PlannerLease>& planners() const { return planners_; }
  const std::map<std::string, PoolUsage>& usage() const { return usage_; }
  const ClaimTable& claims() const { return claims_; }

  /// Offset of the latest accepted record other than order batches and snapshot chunks.
  Offset config_offset() const { return config_offset_; }

  /// Largest offset covered by a complete snapshot on the log.
  Offset snapshot_covers() const { return snapshot_covers_; }

  /// Returns the published document of type T with this name, or null.
  template <typename T>
  const T* Find(const std::string& name) const;

  /// Returns the first outcome of a record id, as long as it is kept.
  std::optional<RecordOutcome> OutcomeOf(const std::string& record_id) const;

  template <class Archive>
  void save(Archive& archive) const {
    archive(next_offset_, latest_stamp_, config_offset_, documents_, history_, instances_,
            planners_, OutcomesByAge(), claims_);
  }

  template <class Archive>
  void load(Archive& archive) {
    std::vector<RecordOutcome> outcomes;
    archive(next_offset_, latest_stamp_, config_offset_, documents_, history_, instances_,
            planners_, outcomes, claims_);
    RestoreDerived(std::move(outcomes));
  }

 private:
  absl::Status ApplyRecord(const Record& record);
  absl::Status ApplyTo(const PublishDocument& publish);
  absl::Status ApplyTo(const AddInstance& add);
  absl::Status ApplyTo(const DrainInstance& drain);
  absl::Status ApplyTo(const MoveInstance& move);
  absl::Status ApplyTo(const AdvanceInstance& advance);
  absl::Status ApplyTo(const ClaimPlanner& claim);
  absl::Status ApplyTo(const OrderBatch& batch);
  absl::Status ApplyTo(const SnapshotChunk& chunk);

  absl::Status CheckReferences(const Document& document) const;
  absl::Status CheckFloors(const std::string& pool, const Document& changed) const;
  absl::StatusOr<Instance> FindInstance(const std::string& name, std::uint64_t generation) const;
  void StoreInstance(Instance changed);
  void StoreOutcome(const std::string& record_id, const absl::Status& outcome);
  std::vector<RecordOutcome> OutcomesByAge() const;
  void RestoreDerived(std::vector<RecordOutcome> outcomes);

  Offset next_offset_ = 0;
  LogTime latest_stamp_{0};
  Offset config_offset_ = 0;
  Offset snapshot_covers_ = 0;
  std::map<DocumentKey, VersionedDocument> documents_;
  std::map<DocumentKey, std::vector<VersionedDocument>> history_;
  std::map<std::string, Instance> instances_;
  std::map<std::string, PoolUsage> usage_;
  std::map<std::string, PlannerLease> planners_;
  std::map<std::string, RecordOutcome> outcomes_;
  std::deque<std::string> outcome_ids_by_age_;
  ClaimTable claims_;
};

template <typename T>
const T* FleetState::Find(const std::string& name) const {
  const auto found = documents_.find({std::string(KindOf(Document(T{}))), name});
  return found == documents_.end() ? nullptr : std::get_if<T>(&found->second.document);
}

}  // namespace wigeonlane

#endif  // WIGEONLANE_FLEET_STATE_H_
