/// Client of the admin ports of the entry instances.
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

/// A JSON answer of an admin port.
struct AdminResponse {
  int code = 0;
  nlohmann::ordered_json body;
};

/// Asks the listed entry instances in turn until one answers.
class AdminClient {
 public:
  AdminClient(std::vector<Endpoint> admins, std::chrono::milliseconds timeout)
      : admins_(std::move(admins)), timeout_(timeout) {}

  /// Errors: Unavailable when none answers.
  absl::StatusOr<AdminResponse> Fetch(const std::string& path) const;

  /// Posts to one instance after another while it is sure that nothing happened. Sets
  /// `execution` to whether the request may have had an effect. Errors: Unavailable.
  absl::StatusOr<AdminResponse> Post(const std::string& path, const std::string& body,
                                     Execution* execution) const;

  /// Fetches from one instance only.
  absl::StatusOr<AdminResponse> FetchFrom(const Endpoint& admin, const std::string& path) const;

  const std::vector<Endpoint>& admins() const { return admins_; }

 private:
  const std::vector<Endpoint> admins_;
  const std::chrono::milliseconds timeout_;
};

}  // namespace wigeonlane

#endif  // WIGEONLANE_CLI_ADMIN_CLIENT_H_
