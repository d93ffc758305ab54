/// A group of the stand-in store: members that share the partitions of one topic evenly.
#ifndef WIGEONLANE_STANDIN_STORE_GROUP_H_
#define WIGEONLANE_STANDIN_STORE_GROUP_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "core/clock.h"

namespace wigeonlane {

/// A partition goes to another member once its former one has joined with the new generation, has
/// left, or was silent for its time to live (PROTOCOL.md). Not safe for several threads.
class StoreGroup {
 public:
  explicit StoreGroup(std::uint32_t parts) : parts_(parts) {}

  /// The member joins or stays; returns the partitions that it holds now.
  std::vector<std::uint32_t> Join(const std::string& member, std::chrono::milliseconds ttl,
                                  std::uint64_t generation, Instant now);
  void Leave(const std::string& member, Instant now);

  /// Deals all partitions out anew, to other members where there are any.
  void Rebalance();

  std::uint64_t generation() const { return generation_; }

  /// Who holds each partition that anybody holds.
  const std::map<std::uint32_t, std::string>& holders() const { return holders_; }

 private:
  void Expire(Instant now);
  void DealOut();
  void Release(const std::string& member);

  const std::uint32_t parts_;
  std::uint64_t generation_ = 0;
  std::uint32_t shift_ = 0;                        ///< Turned by `Rebalance`.
  std::map<std::string, Instant> members_;         ///< Until when each is one.
  std::map<std::uint32_t, std::string> intended_;  ///< Whose a partition is to be ...
  std::map<std::uint32_t, std::string> holders_;   ///< ... and whose it still is.
};

}  // namespace wigeonlane

#endif  // WIGEONLANE_STANDIN_STORE_GROUP_H_
