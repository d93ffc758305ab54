/// Requests of callers and the responses to them, independent of the transport.
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

/// A complete request as read from a caller.
struct CallerRequest {
  std::string request_id;  ///< Unique across all entry instances.
  std::string method;
  std::string service;
  std::string path;  ///< Path and query below the service, with a leading slash.
  std::vector<Header> headers;
  std::string body;
  std::string idempotency_key;
  std::string urgency;      ///< Value of the urgency header; empty if absent.
  std::string deadline_ms;  ///< Value of the deadline header; empty if absent.
  Instant received;
};

/// A complete response to a caller.
struct CallerResponse {
  int code = 0;
  Execution execution = Execution::kNotRun;
  std::vector<Header> headers;
  std::string body;
};

using Responder = std::function<void(CallerResponse)>;

/// Returns whether a request with this method may be sent again although it may have run.
bool IsIdempotentMethod(std::string_view method);

/// Returns whether the request is an order, that is, its method is not idempotent.
inline bool IsOrder(const CallerRequest& request) { return !IsIdempotentMethod(request.method); }

/// Returns the digest of service and idempotency key that identifies an order on all entry
/// instances.
Digest OrderKeyDigest(const CallerRequest& request);

/// Returns the digest of the order's method, path and body. An order that repeats a key with
/// another content digest is rejected as a mismatch.
std::uint64_t OrderContentDigest(const CallerRequest& request);

/// Makes the response to a request for which no backend server gave a complete response.
CallerResponse MakeResponse(const Verdict& verdict, const std::string& request_id);

/// Urgency and deadline of a request.
struct RequestOptions {
  Urgency urgency = Urgency::kNormal;
  Instant deadline;
};
/// Parses the urgency and deadline headers. An absent deadline is the profile's default, and a
/// longer one than the profile allows is shortened. Errors: InvalidArgument.
absl::StatusOr<RequestOptions> ParseRequestOptions(const CallerRequest& request,
                                                   const ServiceProfile& profile);

}  // namespace wigeonlane

#endif  // WIGEONLANE_ENTRY_CALLER_REQUEST_H_
