/// The fold of the log: the one shared state, equal in every process at equal offsets.
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

/// A published document with its version, counted from 1.
struct VersionedDocument {
  std::uint64_t version = 0;
  Offset offset = 0;  ///< Offset of the record that published it.
  Document document;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(version, offset, document);
  }
};

/// Planner lease of a pool. Time decides who tries to take it, the epoch who may act.
struct PlannerLease {
  std::string holder;
  std::uint64_t epoch = 0;
  Offset renewed_offset = 0;  ///< Offset of the last claim or renewal.

  template <class Archive>
  void serialize(Archive& archive) {
    archive(holder, epoch, renewed_offset);
  }
};

/// Outcome of a record that an operator or planner wrote, kept to be asked again.
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

/// Whether moving an instance between these lifecycle stages is one of the allowed steps.
bool IsLifecycleStep(Lifecycle from, Lifecycle to);

/// Shared state. `Apply` is its only mutator: a pure function of state and entry which reads no
/// clock, randomness or network, so that every rule holds whoever wrote a record, however late.
class FleetState {
 public:
  /// Kind and name of a document, for example {"pool", "quotes"}.
  using DocumentKey = std::pair<std::string, std::string>;

  /// Earlier versions kept of each document, for history and rollback.
  static constexpr std::size_t kMaxKeptVersions = 8;

  /// Outcomes of operators' records kept for later questions.
  static constexpr std::size_t kMaxKeptOutcomes = 4096;

  /// Applies the entry at exactly `next_offset()`. Returns OK when its record was accepted and
  /// the reason when it was rejected; either way the offset is consumed. A record id applied
  /// before returns its first outcome and changes nothing. Errors that consume nothing:
  /// OutOfRange when entries are missing before it, AlreadyExists when it was applied.
  absl::Status Apply(const LogEntry& entry);

  /// Offset of the next entry to apply.
  Offset next_offset() const { return next_offset_; }

  /// Stamp of the latest entry; never falls.
  LogTime latest_stamp() const { return latest_stamp_; }

  /// Digest of the whole state. Equal offsets have equal digests.
  Digest StateDigest() const { return DigestOf(Encode(*this)); }

  const std::map<DocumentKey, VersionedDocument>& documents() const { return documents_; }
  /// Earlier versions of each document, oldest first, without the present one.
  const std::map<DocumentKey, std::vector<VersionedDocument>>& history() const { return history_; }

  const std::map<std::string, Instance>& instances() const { return instances_; }
  const std::map<std::string, PlannerLease>& planners() const { return planners_; }
  const std::map<std::string, PoolUsage>& usage() const { return usage_; }
  const ClaimTable& claims() const { return claims_; }

  /// Offset of the latest record that was not an order batch or snapshot.
  Offset config_offset() const { return config_offset_; }

  /// Offset that the latest whole snapshot on the log covers.
  Offset snapshot_covers() const { return snapshot_covers_; }

  /// The published document of type T and that name, or null.
  template <typename T>
  const T* Find(const std::string& name) const;

  /// First outcome of a record id, while it is kept.
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
