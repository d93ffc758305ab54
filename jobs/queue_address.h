/// The address of a queue, which identifies it: callers know a queue by nothing else.
#ifndef WIGEONLANE_JOBS_QUEUE_ADDRESS_H_
#define WIGEONLANE_JOBS_QUEUE_ADDRESS_H_

#include <compare>
#include <string>
#include <string_view>

namespace wigeonlane {

/// Returns the form in which host names are compared: lower case, without port and trailing dot.
std::string CanonicalHost(std::string_view host);

/// Host and path under which callers reach a queue. Its name, policy and service may change.
struct QueueAddress {
  std::string host;  ///< As `CanonicalHost` returns it.
  /// What precedes a job's id in a path. Empty if the address is unknown.
  std::string path_prefix;

  auto operator<=>(const QueueAddress&) const = default;

  /// Whether the address is known. Earlier versions stored jobs without it.
  bool known() const { return !path_prefix.empty(); }

  /// Whether this and `other` may be the address of the same queue.
  bool MayBe(const QueueAddress& other) const {
    return !known() || !other.known() || *this == other;
  }

  std::string ToString() const { return host + path_prefix; }

  template <class Archive>
  void serialize(Archive& archive) {
    archive(host, path_prefix);
  }
};

}  // namespace wigeonlane

#endif  // WIGEONLANE_JOBS_QUEUE_ADDRESS_H_
