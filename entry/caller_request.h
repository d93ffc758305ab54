/// A caller's request and its answer, independent of the transport.
#ifndef WIGEONLANE_ENTRY_CALLER_REQUEST_H_
#define WIGEONLANE_ENTRY_CALLER_REQUEST_H_

#include <chrono>
#include <functional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "core/clock.h"
#include "core/digest.h"
#include "core/verdict.h"
#include "fleet/document.h"
#include "fleet/types.h"

namespace wigeonlane {

namespace header {
inline constexpr std::string_view kIdempotencyKey = "Idempotency-Key";
inline constexpr std::string_view kUrgency = "Wigeonlane-Urgency";
inline constexpr std::string_view kDeadline = "Wigeonlane-Deadline-Ms";
inline constexpr std::string_view kVerdict = "Wigeonlane-Verdict";
inline constexpr std::string_view kReason = "Wigeonlane-Reason";
inline constexpr std::string_view kRequestId = "Wigeonlane-Request-Id";
inline constexpr std::string_view kRetryAfter = "Retry-After";
inline constexpr std::string_view kRetryAfterMs = "Wigeonlane-Retry-After-Ms";
inline constexpr std::string_view kRefused = "Wigeonlane-Refused";
}  // namespace header

using Header = std::pair<std::string, std::string>;

/// A whole request as read from a caller.
struct CallerRequest {
  std::string request_id;  ///< Unique over all entry instances.
  std::string method;
  std::string service;
  std::string path;  ///< Path and query below the service, with a leading slash.
  std::vector<Header> headers;
  std::string body;
  std::string idempotency_key;
  std::string urgency;      ///< Text of the header; empty when absent.
  std::string deadline_ms;  ///< Text of the header; empty when absent.
  Instant received;
};

/// A whole answer to a caller.
struct CallerResponse {
  int code = 0;
  Execution execution = Execution::kNotRun;
  std::vector<Header> headers;
  std::string body;
};

using Responder = std::function<void(CallerResponse)>;

/// Whether a request with this method may be sent again after it may have run.
bool IsIdempotentMethod(std::string_view method);

/// Whether the request is an order: not idempotent by method.
inline bool IsOrder(const CallerRequest& request) { return !IsIdempotentMethod(request.method); }

/// Digest that identifies an order over all entry instances.
Digest OrderKeyDigest(const CallerRequest& request);

/// Digest of what the order asks for; the same key with another one is a mismatch.
std::uint64_t OrderContentDigest(const CallerRequest& request);

/// The answer for a request that has no whole answer of a backend server.
CallerResponse MakeResponse(const Verdict& verdict, const std::string& request_id);

/// Parses the urgency and deadline headers against the profile. Errors: InvalidArgument.
struct RequestOptions {
  Urgency urgency = Urgency::kNormal;
  Instant deadline;
};
absl::StatusOr<RequestOptions> ParseRequestOptions(const CallerRequest& request,
                                                   const ServiceProfile& profile);

}  // namespace wigeonlane

#endif  // WIGEONLANE_ENTRY_CALLER_REQUEST_H_
