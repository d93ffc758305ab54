/// Typed records on the platform's log. They are the only way in which shared state changes.
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

/// Largest encoded record, in bytes.
inline constexpr std::size_t kMaxRecordBytes = 512 * 1024;

/// One entry of the platform's log.
struct LogEntry {
  Offset offset = 0;
  LogTime stamp{0};
  std::string record_id;  ///< Chosen by the author; a record sent again keeps it.
  std::string payload;    ///< Encoded `Record`.

  template <class Archive>
  void serialize(Archive& archive) {
    archive(offset, stamp, record_id, payload);
  }
};

/// Publishes a document in place of the version it names; 0 means that none exists.
struct PublishDocument {
  std::uint64_t replaces = 0;
  Document document;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(replaces, document);
  }
};

/// Makes an instance known that the platform lists. It starts joining.
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

/// Takes a serving instance out on purpose, inside the availability budget.
struct DrainInstance {
  std::string name;
  std::uint64_t generation = 0;
  std::string plan;  ///< Plan and version that asked, such as "spring@2", or empty.

  template <class Archive>
  void serialize(Archive& archive) {
    archive(name, generation, plan);
  }
};

/// Moves a serving instance to another pool, inside the availability budget of the one it leaves.
struct MoveInstance {
  std::string name;
  std::uint64_t generation = 0;
  std::string to_pool;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(name, generation, to_pool);
  }
};

/// Advances the lifecycle of an instance; only the planner of its pool may.
struct AdvanceInstance {
  std::string name;
  std::uint64_t generation = 0;
  Lifecycle to = Lifecycle::kServing;
  std::uint64_t epoch = 0;  ///< Epoch of the planner lease on the instance's pool.
  std::uint64_t boots = 0;  ///< Boots that the platform lists, when going to reboot.

  template <class Archive>
  void serialize(Archive& archive) {
    archive(name, generation, to, epoch, boots);
  }
};

/// Claims or renews the planner lease of a pool. A new holder names the next epoch.
struct ClaimPlanner {
  std::string pool;
  std::string holder;
  std::uint64_t epoch = 0;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(pool, holder, epoch);
  }
};

/// One order's claim: the first in log order wins, and only its author may send the order.
struct OrderClaim {
  Digest key;              ///< Digest of service and Idempotency-Key.
  std::uint64_t body = 0;  ///< Digest of method, path and body.

  template <class Archive>
  void serialize(Archive& archive) {
    archive(key, body);
  }
};

/// Claims and releases of one entry instance, committed together. Releases are applied first.
struct OrderBatch {
  std::string author;
  std::uint64_t sequence = 0;  ///< Strictly growing by author; late or doubled ones are rejected.
  std::vector<OrderClaim> claims;
  std::vector<Digest> releases;  ///< Own claims whose order is proven not to have run.

  template <class Archive>
  void serialize(Archive& archive) {
    archive(author, sequence, claims, releases);
  }
};

/// Part of a snapshot of the state that follows from all records below `covers`.
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

/// Short lower-case name of the record's type, for logs.
std::string_view TypeOf(const Record& record);

std::string EncodeRecord(const Record& record);

/// Decodes a payload of unknown origin. Errors: InvalidArgument.
absl::StatusOr<Record> DecodeRecord(std::string_view payload);

}  // namespace wigeonlane

#endif  // WIGEONLANE_FLEET_RECORD_H_
