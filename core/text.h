/// Text helpers that take `std::string_view`, which Debian's build of Abseil does not.
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
decltype(auto) Piece(const T& part) {
  if constexpr (std::is_same_v<T, std::string_view>) {
    return AbslView(part);
  } else {
    return (part);
  }
}

}  // namespace internal

/// All parts in one string; parts are texts and numbers.
template <typename... Parts>
std::string Concat(const Parts&... parts) {
  return absl::StrCat(internal::Piece(parts)...);
}

/// Appends all parts to `out`.
template <typename... Parts>
void AppendTo(std::string* out, const Parts&... parts) {
  absl::StrAppend(out, internal::Piece(parts)...);
}

/// The message of a status.
template <typename StatusType>
std::string MessageOf(const StatusType& status) {
  return {status.message().data(), status.message().size()};
}

}  // namespace wigeonlane

#endif  // WIGEONLANE_CORE_TEXT_H_
