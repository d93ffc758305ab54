#include "core/digest.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

#include "absl/strings/str_format.h"

namespace wigeonlane {

std::string Digest::ToHex() const { return absl::StrFormat("%016x%016x", high, low); }

Digest DigestOf(std::string_view bytes) {
  const XXH128_hash_t hash = XXH3_128bits(bytes.data(), bytes.size());
  return {hash.high64, hash.low64};
}

std::uint64_t ShortDigestOf(std::string_view bytes) {
  return XXH3_64bits(bytes.data(), bytes.size());
}

}  // namespace wigeonlane
