/// Binary encoding of typed values with cereal archives. The reader reads directly from a byte view
/// and rejects lengths that exceed the remaining bytes, so that untrusted input cannot cause
/// unbounded allocations. Integers are little-endian and have a fixed width.
#ifndef WIGEONLANE_CORE_CODEC_H_
#define WIGEONLANE_CORE_CODEC_H_

#include <bit>
#include <cereal/cereal.hpp>
#include <cereal/types/map.hpp>
#include <cereal/types/optional.hpp>
#include <cereal/types/set.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/utility.hpp>
#include <cereal/types/variant.hpp>
#include <cereal/types/vector.hpp>
#include <chrono>
#include <cstring>
#include <exception>
#include <string>
#include <string_view>
#include <type_traits>
#include <utility>

#include "absl/status/statusor.h"
#include "core/text.h"

namespace wigeonlane {

static_assert(std::endian::native == std::endian::little, "the wire format is little-endian");

/// cereal output archive that appends to a string.
class WireWriter : public cereal::OutputArchive<WireWriter, cereal::AllowEmptyClassElision> {
 public:
  explicit WireWriter(std::string* out) : OutputArchive(this), out_(out) {}

  void Write(const void* data, std::size_t size) {
    out_->append(static_cast<const char*>(data), size);
  }

 private:
  std::string* out_;
};

/// cereal input archive over a byte view. Throws cereal::Exception at the first invalid value.
class WireReader : public cereal::InputArchive<WireReader, cereal::AllowEmptyClassElision> {
 public:
  explicit WireReader(std::string_view bytes) : InputArchive(this), remaining_(bytes) {}

  void Read(void* data, std::size_t size) {
    if (size > remaining_.size()) throw cereal::Exception("value ends early");
    std::memcpy(data, remaining_.data(), size);
    remaining_.remove_prefix(size);
  }

  std::size_t remaining() const { return remaining_.size(); }

 private:
  std::string_view remaining_;
};

template <typename T>
requires std::is_arithmetic_v<T>
void CEREAL_SAVE_FUNCTION_NAME(WireWriter& writer, const T& value) {
  writer.Write(&value, sizeof(value));
}

template <typename T>
requires std::is_arithmetic_v<T>
void CEREAL_LOAD_FUNCTION_NAME(WireReader& reader, T& value) {
  if constexpr (std::is_same_v<T, bool>) {
    unsigned char byte = 0;
    reader.Read(&byte, 1);
    if (byte > 1) throw cereal::Exception("not a boolean");
    value = byte == 1;
  } else {
    reader.Read(&value, sizeof(value));
  }
}

template <typename T>
void CEREAL_SAVE_FUNCTION_NAME(WireWriter& writer, const cereal::BinaryData<T>& data) {
  writer.Write(data.data, data.size);
}

template <typename T>
void CEREAL_LOAD_FUNCTION_NAME(WireReader& reader, cereal::BinaryData<T>& data) {
  reader.Read(data.data, data.size);
}

template <class Archive, typename T>
requires std::is_same_v<Archive, WireWriter> || std::is_same_v<Archive, WireReader>
void CEREAL_SERIALIZE_FUNCTION_NAME(Archive& archive, cereal::NameValuePair<T>& pair) {
  archive(pair.value);
}

template <typename T>
void CEREAL_SAVE_FUNCTION_NAME(WireWriter& writer, const cereal::SizeTag<T>& tag) {
  const auto size = static_cast<std::uint32_t>(tag.size);
  writer.Write(&size, sizeof(size));
}

template <typename T>
void CEREAL_LOAD_FUNCTION_NAME(WireReader& reader, cereal::SizeTag<T>& tag) {
  std::uint32_t size = 0;
  reader.Read(&size, sizeof(size));
  if (size > reader.remaining()) throw cereal::Exception("length exceeds the bytes present");
  tag.size = size;
}

/// Encodes `value` to bytes that `Decode` can read in every build.
template <typename T>
std::string Encode(const T& value) {
  std::string bytes;
  WireWriter writer(&bytes);
  writer(value);
  return bytes;
}

/// Decodes untrusted bytes. Errors: InvalidArgument unless `bytes` are exactly one complete value.
/// Callers must bound the size of `bytes` before the call.
template <typename T>
absl::StatusOr<T> Decode(std::string_view bytes) {
  try {
    T value{};
    WireReader reader(bytes);
    reader(value);
    if (reader.remaining() != 0) {
      return absl::InvalidArgumentError("trailing bytes after the value");
    }
    return value;
  } catch (const std::exception& error) {
    return absl::InvalidArgumentError(Concat("malformed bytes: ", error.what()));
  }
}

}  // namespace wigeonlane

/// Durations are encoded as a signed count of milliseconds.
namespace cereal {
inline void CEREAL_SAVE_FUNCTION_NAME(wigeonlane::WireWriter& writer,
                                      const std::chrono::milliseconds& value) {
  writer(static_cast<std::int64_t>(value.count()));
}

inline void CEREAL_LOAD_FUNCTION_NAME(wigeonlane::WireReader& reader,
                                      std::chrono::milliseconds& value) {
  std::int64_t count = 0;
  reader(count);
  value = std::chrono::milliseconds(count);
}
}  // namespace cereal

CEREAL_REGISTER_ARCHIVE(wigeonlane::WireWriter)
CEREAL_REGISTER_ARCHIVE(wigeonlane::WireReader)
CEREAL_SETUP_ARCHIVE_TRAITS(wigeonlane::WireReader, wigeonlane::WireWriter)

#endif  // WIGEONLANE_CORE_CODEC_H_
