/// What the owners of cells need of the platform's store.
#ifndef WIGEONLANE_CELLS_JOB_STORE_H_
#define WIGEONLANE_CELLS_JOB_STORE_H_

#include <chrono>
#include <concepts>
#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "absl/status/statusor.h"
#include "cells/cell_types.h"

namespace wigeonlane {

/// Outcome of an append.
enum class AppendResult : std::uint8_t {
  kStored,   ///< Now, or by an earlier attempt with the same sequence number.
  kFenced,   ///< A higher epoch has been set on the partition.
  kRefused,  ///< Nothing was done; the same append may be tried again.
  kInvalid,  ///< Nothing was done and a repeat will not help, such as a gap in the sequence.
  kUnknown,  ///< No answer: it may have been done, now or later.
};

/// A member of a group and what it wants a share of.
struct GroupMember {
  std::string group;
  std::string member;  ///< Unique; carries the member's address.
  std::string topic;
  std::chrono::milliseconds ttl{0};
};

/// A member's share after a join.
struct GroupView {
  std::uint64_t generation = 0;
  std::vector<std::uint32_t> parts;
};

/// Who holds a partition.
struct PartitionOwner {
  std::uint32_t part = 0;
  std::string member;
};

/// One keyed record as a partition holds it now; no value when it was removed.
using KeyedRecord = StoreRecord;

/// The newest records of a keyed partition, read to the end.
struct KeyedSnapshot {
  std::vector<KeyedRecord> records;
  std::uint64_t end = 0;  ///< Offset from which later changes are read.
};

/// Where a partition's appends and keyed reads go.
struct TopicPartition {
  std::string topic;
  std::uint32_t part = 0;
};

/// Keyed partitions whose writers are fenced by epochs.
template <typename T>
concept JobStore = requires(T& store, const TopicPartition& part, const std::string& producer,
                            const std::vector<StoreRecord>& records) {
  store.Append(part, producer, std::uint64_t{}, std::uint64_t{}, records,
               std::function<void(AppendResult)>());
  store.Snapshot(part, std::function<void(absl::StatusOr<KeyedSnapshot>)>());
};

/// Orders to runners.
template <typename T>
concept RunnerPort = requires(T& runners, const RunnerListing& runner, const StartCommand& start,
                              const StopCommand& stop, const PaceCommand& pace,
                              const PollRequest& look, const AdviceRequest& question,
                              std::chrono::milliseconds timeout) {
  runners.Start(runner, FenceToken{}, start, timeout, std::function<void(CommandOutcome)>());
  runners.Stop(runner, FenceToken{}, stop, timeout, std::function<void(CommandOutcome)>());
  runners.Pace(runner, FenceToken{}, pace, timeout, std::function<void(CommandOutcome)>());
  runners.Poll(runner, FenceToken{}, look, timeout,
               std::function<void(CommandStatus, std::optional<RunnerReport>)>());
  runners.Advise(question, std::function<void(absl::StatusOr<Advice>)>());
};

/// Membership of a group with partitions dealt out among its members.
template <typename T>
concept GroupService = requires(T& service, const GroupMember& member, const std::string& text) {
  service.Join(member, std::uint64_t{}, std::function<void(absl::StatusOr<GroupView>)>());
  service.Leave(text, text, std::function<void(absl::Status)>());
  service.Owners(text, std::function<void(absl::StatusOr<std::vector<PartitionOwner>>)>());
};

}  // namespace wigeonlane

#endif  // WIGEONLANE_CELLS_JOB_STORE_H_
