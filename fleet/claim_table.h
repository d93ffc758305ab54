/// Order claims in log order: which entry instance may send which order.
#ifndef WIGEONLANE_FLEET_CLAIM_TABLE_H_
#define WIGEONLANE_FLEET_CLAIM_TABLE_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>

#include "absl/container/flat_hash_map.h"
#include "core/codec.h"
#include "core/digest.h"
#include "fleet/record.h"

namespace wigeonlane {

/// What the log says of one order key.
struct ClaimView {
  std::string author;
  std::uint64_t body = 0;
  bool released = false;
};

/// Claims of the last `kRetention` of log time. A key may be used anew after that.
class ClaimTable {
 public:
  static constexpr LogTime kRetention = std::chrono::hours(24);

  /// Applies one batch stamped at `stamp`. Returns false, and changes nothing, when the author's
  /// sequence does not grow.
  bool Apply(const OrderBatch& batch, LogTime stamp);

  std::optional<ClaimView> Find(const Digest& key) const;

  std::size_t size() const { return claims_.size(); }

  /// Bytes held for claims, for the capacity page.
  std::size_t MemoryBytes() const;

  template <class Archive>
  void save(Archive& archive) const {
    archive(next_author_, author_numbers_, authors_, SortedClaims());
  }

  template <class Archive>
  void load(Archive& archive) {
    std::map<Digest, Claim> sorted;
    archive(next_author_, author_numbers_, authors_, sorted);
    RestoreClaims(sorted);
  }

 private:
  using AuthorNumber = std::uint32_t;

  struct Claim {
    std::uint64_t body = 0;
    LogTime stamp{0};
    AuthorNumber author = 0;
    bool released = false;

    template <class Archive>
    void serialize(Archive& archive) {
      archive(body, stamp, author, released);
    }
  };

  struct Author {
    std::string name;
    std::uint64_t sequence = 0;
    LogTime stamp{0};

    template <class Archive>
    void serialize(Archive& archive) {
      archive(name, sequence, stamp);
    }
  };

  AuthorNumber FindOrAssignAuthorNumber(const std::string& name);
  void ApplyClaim(const OrderClaim& claim, AuthorNumber author, LogTime stamp);
  void ExpireClaimsAndAuthors(LogTime now);
  std::map<Digest, Claim> SortedClaims() const;
  void RestoreClaims(const std::map<Digest, Claim>& sorted);

  AuthorNumber next_author_ = 1;
  std::map<std::string, AuthorNumber> author_numbers_;
  std::map<AuthorNumber, Author> authors_;
  absl::flat_hash_map<Digest, Claim> claims_;
  std::deque<std::pair<LogTime, Digest>> claims_by_age_;
};

}  // namespace wigeonlane

#endif  // WIGEONLANE_FLEET_CLAIM_TABLE_H_
