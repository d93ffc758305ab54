/// Integers in network byte order, as stored in the platform's records.
#ifndef WIGEONLANE_CORE_BIG_ENDIAN_H_
#define WIGEONLANE_CORE_BIG_ENDIAN_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace wigeonlane {

/// Appends the `bytes` least significant bytes of `value`, most significant byte first.
inline void AppendBigEndian(std::string* out, std::uint64_t value, std::size_t bytes) {
  constexpr unsigned kBitsPerByte = 8;
  for (std::size_t i = bytes; i-- > 0;) {
    out->push_back(static_cast<char>(value >> (i * kBitsPerByte) & 0xFFU));
  }
}

/// Decodes an unsigned integer of at most eight bytes.
inline std::uint64_t BigEndian(std::string_view bytes) {
  constexpr unsigned kBitsPerByte = 8;
  std::uint64_t value = 0;
  for (const char byte : bytes) value = value << kBitsPerByte | static_cast<unsigned char>(byte);
  return value;
}

}  // namespace wigeonlane

#endif  // WIGEONLANE_CORE_BIG_ENDIAN_H_
