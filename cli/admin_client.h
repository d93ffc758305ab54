/// HTTP client for the admin ports of the entry instances.
#ifndef WIGEONLANE_CLI_ADMIN_CLIENT_H_
#define WIGEONLANE_CLI_ADMIN_CLIENT_H_

#include <chrono>
#include <nlohmann/json.hpp>
#include <string>
#include <utility>
#include <vector>

#include "absl/status/statusor.h"
#include "core/settings.h"
#include "core/verdict.h"

namespace wigeonlane {

/// HTTP status code and JSON body of a response from an admin port.
struct AdminResponse {
  int code = 0;
  nlohmann::ordered_json body;
};

/// Sends each request to the listed entry instances in turn until one of them responds.
class AdminClient {
 public:
  AdminClient(std::vector<Endpoint> admins, std::chrono::milliseconds timeout)
      : admins_(std::move(admins)), timeout_(timeout) {}

  /// Returns the first JSON response. Errors: Unavailable when no instance responds with JSON.
  absl::StatusOr<AdminResponse> Fetch(const std::string& path) const;

  /// Posts to the instances in turn until one responds. `path` must carry a record id, which makes
  /// a repeat at another instance harmless. Raises `execution` to the strongest result of all
  /// tries, so that it shows whether the request may have had an effect. Errors: Unavailable.
  absl::StatusOr<AdminResponse> Post(const std::string& path, const std::string& body,
                                     Execution* execution) const;

  /// Fetches `path` from one instance only. Errors: Unavailable.
  absl::StatusOr<AdminResponse> FetchFrom(const Endpoint& admin, const std::string& path) const;

  const std::vector<Endpoint>& admins() const { return admins_; }

 private:
  const std::vector<Endpoint> admins_;
  const std::chrono::milliseconds timeout_;
};

}  // namespace wigeonlane

#endif  // WIGEONLANE_CLI_ADMIN_CLIENT_H_
