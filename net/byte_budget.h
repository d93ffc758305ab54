/// Limits the bytes that the connections of one process hold together.
///
/// Load pattern: callers that nobody controls open many connections and leave each with an
/// unfinished request or an unread response, all within the limits of a single one. The connections
/// that hold most for longest are evicted, so that short calls of others are still read.
#ifndef WIGEONLANE_NET_BYTE_BUDGET_H_
#define WIGEONLANE_NET_BYTE_BUDGET_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>
#include <unordered_map>
#include <vector>

#include "core/clock.h"

namespace wigeonlane {

/// Thread-safe. Accounts keep the budget alive.
class ByteBudget : public std::enable_shared_from_this<ByteBudget> {
 public:
  /// Asks a holder to release its bytes soon. Called on the thread that reported bytes, possibly
  /// from within the holder's own report, so it must only schedule the release.
  using Evict = std::function<void()>;

  explicit ByteBudget(std::size_t limit) : limit_(limit) {}

  /// What one connection holds. Destroying it releases the bytes.
  class Account {
   public:
    Account(std::shared_ptr<ByteBudget> budget, Evict evict);
    ~Account();
    Account(const Account&) = delete;
    Account& operator=(const Account&) = delete;

    /// Reports the number of bytes held now. `may_evict` is false while they are needed to finish a
    /// request that has begun to run, which also ends an eviction that came too late.
    void Set(std::size_t bytes, bool may_evict, Instant now);

   private:
    const std::shared_ptr<ByteBudget> budget_;
    const std::uint64_t number_;
  };

  std::size_t held() const;
  std::uint64_t evictions() const;

 private:
  struct Holding {
    std::size_t bytes = 0;
    Instant since{};  ///< When the connection began to hold bytes.
    bool may_evict = true;
    bool evicted = false;
    std::shared_ptr<Evict> evict;
  };

  std::uint64_t Open(Evict evict);
  void Close(std::uint64_t number);
  void Set(std::uint64_t number, std::size_t bytes, bool may_evict, Instant now);
  /// Marks holdings as evicted until the others fit, and returns their callbacks.
  std::vector<std::shared_ptr<Evict>> ChooseEvictions(Instant now);

  const std::size_t limit_;
  mutable std::mutex mutex_;
  std::unordered_map<std::uint64_t, Holding> holdings_;
  std::uint64_t last_number_ = 0;
  std::uint64_t evictions_ = 0;
  std::size_t held_ = 0;      ///< By all holdings.
  std::size_t evicting_ = 0;  ///< Part of it that evicted holdings will release.
};

}  // namespace wigeonlane

#endif  // WIGEONLANE_NET_BYTE_BUDGET_H_
