/// Interfaces that cell owners need: the platform's store, runners and group membership.
#ifndef WIGEONLANE_CELLS_JOB_STORE_H_
#define WIGEONLANE_CELLS_JOB_STORE_H_

#include <chrono>
#include <compare>
#include <concepts>
#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "absl/status/statusor.h"
#include "cells/cell_types.h"

namespace wigeonlane {

/// The outcome of an append.
enum class AppendResult : std::uint8_t {
  kStored,   ///< Stored now, or by an earlier attempt with the same sequence number.
  kFenced,   ///< A higher epoch has been set on the partition.
  kRefused,  ///< Nothing was stored; the same append may be tried again.
  kInvalid,  ///< Nothing was stored and a retry cannot succeed, e.g. after a gap in the sequence.
  /// Nothing was stored because of the records themselves, e.g. their size. The epoch still holds.
  kRejected,
  kUnknown,  ///< No response: the append may have been stored, or may be stored later.
};

/// A member of a group, and the topic whose partitions it shares with the other members.
struct GroupMember {
  std::string group;
  std::string member;  ///< Unique; carries the member's address.
  std::string topic;
  std::chrono::milliseconds ttl{0};
};

/// The group generation and the partitions that a member has after a join.
struct GroupView {
  std::uint64_t generation = 0;
  std::vector<std::uint32_t> parts;
};

/// The member that owns a partition.
struct PartitionOwner {
  std::uint32_t part = 0;
  std::string member;
};

/// The present record for one key of a partition; without a value when the key was removed.
using KeyedRecord = StoreRecord;

/// The newest records of a keyed partition, read to the end.
struct KeyedSnapshot {
  std::vector<KeyedRecord> records;
  std::uint64_t end = 0;  ///< Offset at which reading later changes starts.
};

/// Identifies the partition for appends and keyed reads.
struct TopicPartition {
  std::string topic;
  std::uint32_t part = 0;

  auto operator<=>(const TopicPartition&) const = default;
};

/// A store of keyed partitions whose writers are fenced by epochs.
template <typename T>
concept JobStore = requires(T& store, const TopicPartition& part, const std::string& producer,
                            const std::vector<StoreRecord>& records) {
  store.Append(part, producer, std::uint64_t{}, std::uint64_t{}, records,
               std::function<void(AppendResult)>());
  store.Snapshot(part, std::function<void(absl::StatusOr<KeyedSnapshot>)>());
};

/// Sends commands and polls to runners, and requests to the advisor.
template <typename T>
concept RunnerPort = requires(T& runners, const RunnerListing& runner, const StartCommand& start,
                              const StopCommand& stop, const PaceCommand& pace,
                              const PollRequest& poll, const AdviceRequest& advice_request,
                              std::chrono::milliseconds timeout) {
  runners.Start(runner, FenceToken{}, start, timeout, std::function<void(CommandOutcome)>());
  runners.Stop(runner, FenceToken{}, stop, timeout, std::function<void(CommandOutcome)>());
  runners.Pace(runner, FenceToken{}, pace, timeout, std::function<void(CommandOutcome)>());
  runners.Poll(runner, FenceToken{}, poll, timeout,
               std::function<void(CommandStatus, std::optional<RunnerReport>)>());
  runners.Advise(advice_request, std::function<void(absl::StatusOr<Advice>)>());
};

/// Membership in a group whose partitions are distributed among its members.
template <typename T>
concept GroupService = requires(T& service, const GroupMember& member, const std::string& text) {
  service.Join(member, std::uint64_t{}, std::function<void(absl::StatusOr<GroupView>)>());
  service.Leave(text, text, std::function<void(absl::Status)>());
  service.Owners(text, std::function<void(absl::StatusOr<std::vector<PartitionOwner>>)>());
};

}  // namespace wigeonlane

#endif  // WIGEONLANE_CELLS_JOB_STORE_H_
