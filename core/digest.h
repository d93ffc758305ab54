/// Digests of byte strings that are the same in every process and run.
#ifndef WIGEONLANE_CORE_DIGEST_H_
#define WIGEONLANE_CORE_DIGEST_H_

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>
#include <utility>

namespace wigeonlane {

/// 128-bit digest (XXH3). Collisions are treated as impossible. The digest is not cryptographic and
/// does not protect against callers who forge keys.
struct Digest {
  std::uint64_t high = 0;
  std::uint64_t low = 0;

  auto operator<=>(const Digest&) const = default;

  /// Returns 32 lower-case hexadecimal digits.
  std::string ToHex() const;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(high, low);
  }

  template <typename H>
  friend H AbslHashValue(H state, const Digest& digest) {
    return H::combine(std::move(state), digest.high, digest.low);
  }
};

/// Returns the 128-bit digest of `bytes`.
Digest DigestOf(std::string_view bytes);

/// Returns the 64-bit digest of `bytes`.
std::uint64_t ShortDigestOf(std::string_view bytes);

}  // namespace wigeonlane

#endif  // WIGEONLANE_CORE_DIGEST_H_
