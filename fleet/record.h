/// Typed records on the platform's log. Shared state changes only by these records.
#ifndef WIGEONLANE_FLEET_RECORD_H_
#define WIGEONLANE_FLEET_RECORD_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "absl/status/statusor.h"
#include "core/digest.h"
#include "fleet/document.h"
#include "fleet/types.h"

namespace wigeonlane {

/// Maximum size of an encoded record, in bytes.
inline constexpr std::size_t kMaxRecordBytes = 512 * 1024;

/// One entry of the platform's log.
struct LogEntry {
  Offset offset = 0;
  LogTime stamp{0};
  std::string record_id;  ///< Chosen by the author; a retry uses the same id.
  std::string payload;    ///< Encoded `Record`.

  template <class Archive>
  void serialize(Archive& archive) {
    archive(offset, stamp, record_id, payload);
  }
};

/// Publishes a document that replaces the version `replaces`; 0 means that no version exists yet.
struct PublishDocument {
  std::uint64_t replaces = 0;
  Document document;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(replaces, document);
  }
};

/// Adds an instance that the platform lists. Its first lifecycle stage is `kJoining`.
struct AddInstance {
  std::string name;
  std::string pool;
  std::string rack;
  std::string data_centre;
  Endpoint runner;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(name, pool, rack, data_centre, runner);
  }
};

/// Takes a serving instance out of service on purpose, within the availability budget.
struct DrainInstance {
  std::string name;
  std::uint64_t generation = 0;
  std::string plan;  ///< Plan and version that requested it, such as "spring@2", or empty.

  template <class Archive>
  void serialize(Archive& archive) {
    archive(name, generation, plan);
  }
};

/// Moves a serving instance to another pool, within the availability budget of its current pool.
struct MoveInstance {
  std::string name;
  std::uint64_t generation = 0;
  std::string to_pool;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(name, generation, to_pool);
  }
};

/// Changes the lifecycle stage of an instance. Only the planner of its pool may write this record.
struct AdvanceInstance {
  std::string name;
  std::uint64_t generation = 0;
  Lifecycle to = Lifecycle::kServing;
  std::uint64_t epoch = 0;  ///< Epoch of the planner lease on the instance's pool.
  std::uint64_t boots = 0;  ///< Boots that the platform lists, used when `to` is `kRebooting`.

  template <class Archive>
  void serialize(Archive& archive) {
    archive(name, generation, to, epoch, boots);
  }
};

/// Claims or renews the planner lease of a pool. A new holder must use the next epoch.
struct ClaimPlanner {
  std::string pool;
  std::string holder;
  std::uint64_t epoch = 0;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(pool, holder, epoch);
  }
};

/// Claim of one order. The first claim in log order wins, and only its author may send the order.
struct OrderClaim {
  Digest key;              ///< Digest of service and Idempotency-Key.
  std::uint64_t body = 0;  ///< Digest of method, path and body.

  template <class Archive>
  void serialize(Archive& archive) {
    archive(key, body);
  }
};

/// Claims and releases of one entry instance that are applied together, releases first.
struct OrderBatch {
  std::string author;
  /// Strictly increasing per author; late or repeated batches are rejected.
  std::uint64_t sequence = 0;
  std::vector<OrderClaim> claims;
  std::vector<Digest> releases;  ///< Own claims of orders that provably did not run.

  template <class Archive>
  void serialize(Archive& archive) {
    archive(author, sequence, claims, releases);
  }
};

/// Part of a snapshot of the state after all records below the offset `covers`.
struct SnapshotChunk {
  Offset covers = 0;
  Digest digest;  ///< Digest of the whole encoded state.
  std::uint32_t index = 0;
  std::uint32_t count = 0;
  std::string bytes;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(covers, digest, index, count, bytes);
  }
};

using Record = std::variant<PublishDocument, AddInstance, DrainInstance, MoveInstance,
                            AdvanceInstance, ClaimPlanner, OrderBatch, SnapshotChunk>;

/// Returns the lower-case name of the record's type for logs.
std::string_view TypeOf(const Record& record);

std::string EncodeRecord(const Record& record);

/// Decodes and validates an untrusted payload. Errors: InvalidArgument.
absl::StatusOr<Record> DecodeRecord(std::string_view payload);

}  // namespace wigeonlane

#endif  // WIGEONLANE_FLEET_RECORD_H_
