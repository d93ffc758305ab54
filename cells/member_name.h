/// Name of a member of the store's group. It carries what the others must know of the instance, so
/// that the list of owners is the routing table as well.
#ifndef WIGEONLANE_CELLS_MEMBER_NAME_H_
#define WIGEONLANE_CELLS_MEMBER_NAME_H_

#include <charconv>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "core/settings.h"
#include "core/text.h"

namespace wigeonlane {

/// Processor share of an instance, in thousandths of a core.
using MilliCores = std::uint32_t;

struct MemberName {
  std::string instance;
  Endpoint peers;           ///< Where it serves the others.
  MilliCores capacity = 0;  ///< 0 when it does not say.

  /// "INSTANCE|ADDRESS:PORT|MILLICORES".
  std::string ToString() const {
    return Concat(instance, kSeparator, peers.ToString(), kSeparator, capacity);
  }

  /// Nothing when `text` is not of that form; the capacity may be missing.
  static std::optional<MemberName> Parse(std::string_view text) {
    const std::size_t first = text.find(kSeparator);
    if (first == std::string_view::npos) return {};
    const std::size_t second = text.find(kSeparator, first + 1);
    const auto endpoint = ParseEndpoint(std::string(text.substr(first + 1, second - first - 1)));
    if (!endpoint.ok()) return {};
    MemberName name{std::string(text.substr(0, first)), *endpoint, 0};
    if (second == std::string_view::npos) return name;
    const std::string_view figure = text.substr(second + 1);
    const auto [end, error] =
        std::from_chars(figure.data(), figure.data() + figure.size(), name.capacity);
    if (error != std::errc() || end != figure.data() + figure.size()) return {};
    return name;
  }

 private:
  static constexpr std::string_view kSeparator = "|";
};

}  // namespace wigeonlane

#endif  // WIGEONLANE_CELLS_MEMBER_NAME_H_
