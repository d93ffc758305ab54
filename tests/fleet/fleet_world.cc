#include "tests/fleet/fleet_world.h"

#include <algorithm>
#include <set>

namespace wigeonlane {
namespace {

std::string PoolName(std::size_t pool) {
  return "pool" + std::to_string(pool % FleetWorld::kPools);
}

std::string WorkerName(std::size_t worker) {
  return "worker" + std::to_string(worker % FleetWorld::kWorkers);
}

std::uint64_t StepsBack(std::uint64_t present, std::uint64_t steps) {
  return present - std::min(present, steps);
}

/// Serving instances and racks out on purpose of one pool, counted from scratch.
struct PoolCount {
  std::uint32_t serving = 0;
  std::set<std::string> racks_out;
};

PoolCount CountPool(const FleetState& state, const std::string& pool) {
  PoolCount count;
  for (const auto& [name, instance] : state.instances()) {
    if (instance.pool != pool) continue;
    if (instance.lifecycle == Lifecycle::kServing) ++count.serving;
    if (instance.planned_out) count.racks_out.insert(instance.rack);
  }
  return count;
}

}  // namespace

FleetWorld::FleetWorld() : folds_(kFolds) {
  digests_[0] = reference_.StateDigest();
  for (std::size_t pool = 0; pool < kPools; ++pool) {
    Publish(pool, 0, 1);
    Claim(pool, pool, 0);
  }
  for (std::size_t worker = 0; worker < kWorkers; ++worker) {
    Add(worker, worker);
    Advance(worker, static_cast<std::size_t>(Lifecycle::kServing), 0);
  }
}

void FleetWorld::Publish(std::size_t pool, std::uint64_t replaces_back, std::uint32_t min_serving) {
  const auto found = reference_.documents().find({"pool", PoolName(pool)});
  const std::uint64_t version = found == reference_.documents().end() ? 0 : found->second.version;
  Write(PublishDocument{StepsBack(version, replaces_back), PoolSpec{.name = PoolName(pool),
                                                                    .min_serving = min_serving % 4,
                                                                    .runner_slots = 8,
                                                                    .runner_connections = 64}});
}

void FleetWorld::Add(std::size_t worker, std::size_t pool) {
  const std::string rack = "rack" + std::to_string(worker % 4);
  Write(AddInstance{WorkerName(worker), PoolName(pool), rack, "dc", {"127.0.0.1", 1}});
}

void FleetWorld::Drain(std::size_t worker, std::uint64_t generations_back) {
  const auto found = reference_.instances().find(WorkerName(worker));
  if (found == reference_.instances().end()) return;
  Write(
      DrainInstance{found->first, StepsBack(found->second.generation, generations_back), "plan@1"});
}

void FleetWorld::Move(std::size_t worker, std::size_t pool, std::uint64_t generations_back) {
  const auto found = reference_.instances().find(WorkerName(worker));
  if (found == reference_.instances().end()) return;
  Write(MoveInstance{found->first, StepsBack(found->second.generation, generations_back),
                     PoolName(pool)});
}

void FleetWorld::Advance(std::size_t worker, std::size_t stage, std::uint64_t epochs_back) {
  const auto found = reference_.instances().find(WorkerName(worker));
  if (found == reference_.instances().end()) return;
  const auto lease = reference_.planners().find(found->second.pool);
  const std::uint64_t epoch = lease == reference_.planners().end() ? 0 : lease->second.epoch;
  Write(AdvanceInstance{found->first, found->second.generation, static_cast<Lifecycle>(stage % 5),
                        StepsBack(epoch, epochs_back), 1});
}

void FleetWorld::Claim(std::size_t pool, std::size_t holder, std::uint64_t epochs_back) {
  const auto lease = reference_.planners().find(PoolName(pool));
  const std::uint64_t epoch = lease == reference_.planners().end() ? 0 : lease->second.epoch;
  Write(ClaimPlanner{PoolName(pool), "holder" + std::to_string(holder % 3),
                     StepsBack(epoch + 1, epochs_back)});
}

void FleetWorld::Order(std::size_t author, std::uint64_t sequence, std::uint64_t key) {
  Write(OrderBatch{"author" + std::to_string(author % 2), sequence, {{Digest{key % 4, 0}, 1}}, {}});
}

void FleetWorld::FailRack(std::size_t rack) {
  const std::string name = "rack" + std::to_string(rack % 4);
  for (std::size_t worker = 0; worker < kWorkers; ++worker) {
    const auto found = reference_.instances().find(WorkerName(worker));
    if (found != reference_.instances().end() && found->second.rack == name) {
      Advance(worker, static_cast<std::size_t>(Lifecycle::kDown), 0);
    }
  }
}

void FleetWorld::Redeliver(std::size_t record, bool same_id) {
  if (log_.empty()) return;
  const LogEntry redelivered = log_[record % log_.size()];
  Append(same_id ? redelivered.record_id : "again" + std::to_string(++last_id_),
         redelivered.payload);
}

void FleetWorld::Write(const Record& record) {
  Append("id" + std::to_string(++last_id_), EncodeRecord(record));
}

void FleetWorld::Append(const std::string& id, const std::string& payload) {
  log_.push_back({log_.size(), LogTime(static_cast<std::int64_t>(log_.size())), id, payload});
  const FleetState before = reference_;
  const absl::Status outcome = reference_.Apply(log_.back());
  digests_[reference_.next_offset()] = reference_.StateDigest();
  const auto record = DecodeRecord(payload);
  if (before.OutcomeOf(id).has_value()) {
    CheckRepeatedRecord(before);
  } else {
    CheckTransition(before, *record, outcome);
  }
  CheckUsage();
}

void FleetWorld::CheckTransition(const FleetState& before, const Record& record,
                                 const absl::Status& outcome) {
  for (const auto& [key, published] : before.documents()) {
    if (reference_.documents().at(key).version < published.version)
      RecordViolation("a version fell");
  }
  for (const auto& [name, instance] : before.instances()) {
    const auto after = reference_.instances().find(name);
    if (after == reference_.instances().end()) return RecordViolation("an instance vanished");
    if (after->second.generation < instance.generation) RecordViolation("a generation fell");
    if (!outcome.ok() && after->second != instance)
      RecordViolation("a rejected record changed something");
  }
  if (!outcome.ok()) return;
  if (const auto* drain = std::get_if<DrainInstance>(&record)) {
    const std::string& pool = reference_.instances().at(drain->name).pool;
    const PoolCount count = CountPool(reference_, pool);
    if (count.serving < reference_.Find<PoolSpec>(pool)->min_serving) {
      RecordViolation("a planned stop broke the availability budget");
    }
    if (count.racks_out.size() > 1) RecordViolation("two racks of a pool are out on purpose");
  }
  if (const auto* move = std::get_if<MoveInstance>(&record)) {
    const std::string& from = before.instances().at(move->name).pool;
    if (CountPool(reference_, from).serving < reference_.Find<PoolSpec>(from)->min_serving) {
      RecordViolation("a move broke the availability budget");
    }
  }
  if (const auto* advance = std::get_if<AdvanceInstance>(&record)) {
    const auto lease = before.planners().find(before.instances().at(advance->name).pool);
    if (lease == before.planners().end() || lease->second.epoch != advance->epoch) {
      RecordViolation("a planner of another epoch changed something");
    }
  }
}

void FleetWorld::CheckRepeatedRecord(const FleetState& before) {
  bool same = before.instances() == reference_.instances();
  for (const auto& [key, published] : reference_.documents()) {
    const auto found = before.documents().find(key);
    same = same && found != before.documents().end() && found->second.version == published.version;
  }
  if (!same) RecordViolation("a record that came again changed something");
}

void FleetWorld::CheckUsage() {
  std::uint32_t members = 0;
  for (const auto& [pool, usage] : reference_.usage()) {
    const PoolCount count = CountPool(reference_, pool);
    if (usage.serving != count.serving || usage.planned_out.size() != count.racks_out.size()) {
      RecordViolation("the kept usage of a pool differs from a recount");
    }
    members += usage.members;
  }
  if (members != reference_.instances().size())
    RecordViolation("an instance is not in exactly one pool");
}

void FleetWorld::Fold(std::size_t fold, std::size_t entries) {
  FleetState& at = At(fold);
  for (std::size_t i = 0; i <= entries % 16 && at.next_offset() < log_.size(); ++i) ApplyNext(&at);
}

void FleetWorld::ApplyNext(FleetState* fold) {
  if (fold->next_offset() < first_retained_) return;
  fold->Apply(log_[fold->next_offset()]).IgnoreError();
  CheckDigest(*fold);
}

void FleetWorld::FoldShuffled(std::size_t fold, std::size_t from) {
  FleetState& at = At(fold);
  for (std::size_t i = 0; i < 6; ++i) {
    const std::size_t offset = (from * 7 + i * 5) % log_.size();
    if (offset < first_retained_) continue;
    const Offset before = at.next_offset();
    at.Apply(log_[offset]).IgnoreError();
    if (at.next_offset() != before && offset != before)
      RecordViolation("an entry was taken out of order");
    CheckDigest(at);
  }
}

void FleetWorld::Snapshot(std::size_t fold) {
  for (const SnapshotChunk& chunk : MakeSnapshotChunks(At(fold))) Write(chunk);
}

void FleetWorld::Trim(std::size_t retained_entries) {
  const Offset first = log_.size() - std::min<std::size_t>(log_.size(), retained_entries);
  first_retained_ = std::max(first_retained_, first);
}

void FleetWorld::Restart(std::size_t fold, std::size_t peer) {
  FleetState fresh;
  SnapshotAssembler assembler;
  for (Offset offset = first_retained_; offset < log_.size(); ++offset) {
    const auto record = DecodeRecord(log_[offset].payload);
    const auto* chunk = std::get_if<SnapshotChunk>(&*record);
    if (chunk == nullptr || chunk->covers < first_retained_) continue;
    if (auto state = assembler.AddChunk(*chunk)) fresh = *std::move(state);
  }
  const FleetState& from = At(peer);
  if (fresh.next_offset() < first_retained_) {
    const auto copied = Decode<FleetState>(Encode(from));
    if (!copied.ok()) return RecordViolation("a peer's state cannot be read");
    fresh = *copied;
  }
  At(fold) = std::move(fresh);
  CheckDigest(At(fold));
}

void FleetWorld::Settle() {
  for (FleetState& fold : folds_) {
    while (fold.next_offset() >= first_retained_ && fold.next_offset() < log_.size())
      ApplyNext(&fold);
  }
}

void FleetWorld::CheckDigest(const FleetState& fold) {
  if (digests_.at(fold.next_offset()) != fold.StateDigest()) {
    RecordViolation("two folds differ at one offset");
  }
}

void FleetWorld::RecordViolation(const std::string& what) {
  if (broken_.empty()) broken_ = what;
}

}  // namespace wigeonlane
