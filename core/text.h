/// Text helpers that accept `std::string_view`, which Abseil as packaged by Debian does not.
#ifndef WIGEONLANE_CORE_TEXT_H_
#define WIGEONLANE_CORE_TEXT_H_

#include <string>
#include <string_view>
#include <type_traits>

#include "absl/strings/str_cat.h"
#include "absl/strings/string_view.h"

namespace wigeonlane {

inline absl::string_view AbslView(std::string_view text) { return {text.data(), text.size()}; }

namespace internal {

template <typename T>
decltype(auto) ToAbslPiece(const T& part) {
  if constexpr (std::is_same_v<T, std::string_view>) {
    return AbslView(part);
  } else {
    return (part);
  }
}

}  // namespace internal

/// Concatenates strings and numbers to one string.
template <typename... Parts>
std::string Concat(const Parts&... parts) {
  return absl::StrCat(internal::ToAbslPiece(parts)...);
}

/// Appends strings and numbers to `out`.
template <typename... Parts>
void AppendTo(std::string* out, const Parts&... parts) {
  absl::StrAppend(out, internal::ToAbslPiece(parts)...);
}

/// Returns the message of a status.
template <typename StatusType>
std::string MessageOf(const StatusType& status) {
  return {status.message().data(), status.message().size()};
}

}  // namespace wigeonlane

#endif  // WIGEONLANE_CORE_TEXT_H_
