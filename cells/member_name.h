/// Name of a member of the store's group. It includes the address and capacity of the instance, so
/// that the list of owners also serves as the routing table.
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
  Endpoint peers;           ///< Address at which the instance serves its peers.
  MilliCores capacity = 0;  ///< 0 when unknown.

  /// Returns "INSTANCE|ADDRESS:PORT|MILLICORES".
  std::string ToString() const {
    return Concat(instance, kSeparator, peers.ToString(), kSeparator, capacity);
  }

  /// Returns nothing when `text` does not have the form of `ToString`; the capacity may be missing.
  static std::optional<MemberName> Parse(std::string_view text) {
    const std::size_t first = text.find(kSeparator);
    if (first == std::string_view::npos) return {};
    const std::size_t second = text.find(kSeparator, first + 1);
    const auto endpoint = ParseEndpoint(std::string(text.substr(first + 1, second - first - 1)));
    if (!endpoint.ok()) return {};
    MemberName name{std::string(text.substr(0, first)), *endpoint, 0};
    if (second == std::string_view::npos) return name;
    const std::string_view capacity_text = text.substr(second + 1);
    const auto [end, error] = std::from_chars(
        capacity_text.data(), capacity_text.data() + capacity_text.size(), name.capacity);
    if (error != std::errc() || end != capacity_text.data() + capacity_text.size()) return {};
    return name;
  }

 private:
  static constexpr std::string_view kSeparator = "|";
};

}  // namespace wigeonlane

#endif  // WIGEONLANE_CELLS_MEMBER_NAME_H_
