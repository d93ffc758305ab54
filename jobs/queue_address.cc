#include "jobs/queue_address.h"

#include <algorithm>
#include <cctype>

namespace wigeonlane {

std::string CanonicalHost(std::string_view host) {
  // The colons of an IPv6 address are within brackets.
  const std::size_t bracket = host.find(']');
  const std::size_t port = host.find(':', bracket == std::string_view::npos ? 0 : bracket);
  std::string name(host.substr(0, port));
  if (name.ends_with('.')) name.pop_back();
  std::transform(name.begin(), name.end(), name.begin(),
                 [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
  return name;
}

}  // namespace wigeonlane
