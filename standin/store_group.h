/// Consumer group of the stand-in store: its members share the partitions of one topic evenly.
#ifndef WIGEONLANE_STANDIN_STORE_GROUP_H_
#define WIGEONLANE_STANDIN_STORE_GROUP_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "core/clock.h"

namespace wigeonlane {

/// Assigns partitions to members. A partition moves to another member once its holder has joined
/// with the new generation, has left, or has not joined again within its time to live
/// (PROTOCOL.md). Not safe for several threads.
class StoreGroup {
 public:
  explicit StoreGroup(std::uint32_t partition_count) : partition_count_(partition_count) {}

  /// Adds the member or renews its membership; returns the partitions that it holds now.
  std::vector<std::uint32_t> Join(const std::string& member, std::chrono::milliseconds ttl,
                                  std::uint64_t generation, Instant now);

  /// Removes the member and releases its partitions.
  void Leave(const std::string& member, Instant now);

  /// Assigns each partition to the next member in order, so that every partition moves if there are
  /// several members.
  void Rebalance();

  std::uint64_t generation() const { return generation_; }

  /// Returns the holder of each partition that is held.
  const std::map<std::uint32_t, std::string>& holders() const { return holders_by_partition_; }

 private:
  void Expire(Instant now);
  void AssignPartitions();
  void ReleasePartitions(const std::string& member);

  const std::uint32_t partition_count_;
  std::uint64_t generation_ = 0;
  std::uint32_t rotation_ = 0;              ///< Offset of the assignment, advanced by `Rebalance`.
  std::map<std::string, Instant> members_;  ///< Expiry of each membership.
  std::map<std::uint32_t, std::string> assigned_;  ///< Member that should hold each partition.
  /// Member that still holds each partition.
  std::map<std::uint32_t, std::string> holders_by_partition_;
};

}  // namespace wigeonlane

#endif  // WIGEONLANE_STANDIN_STORE_GROUP_H_
