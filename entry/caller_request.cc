#include "entry/caller_request.h"

#include <algorithm>
#include <array>
#include <nlohmann/json.hpp>

#include "absl/strings/numbers.h"
#include "core/text.h"

namespace wigeonlane {
namespace {

int HttpStatusFor(const absl::Status& status) {
  switch (status.code()) {
    case absl::StatusCode::kInvalidArgument:
      return 400;
    case absl::StatusCode::kNotFound:
      return 404;
    case absl::StatusCode::kAlreadyExists:
      return 422;
    case absl::StatusCode::kResourceExhausted:
      return 503;
    case absl::StatusCode::kDeadlineExceeded:
      return 504;
    case absl::StatusCode::kOutOfRange:
      return 413;
    case absl::StatusCode::kUnknown:
      return 502;
    default:
      return 503;
  }
}

}  // namespace

bool IsIdempotentMethod(std::string_view method) {
  constexpr std::array<std::string_view, 5> kIdempotent = {"GET", "HEAD", "OPTIONS", "PUT",
                                                           "DELETE"};
  return std::find(kIdempotent.begin(), kIdempotent.end(), method) != kIdempotent.end();
}

Digest OrderKeyDigest(const CallerRequest& request) {
  return DigestOf(Concat(request.service.size(), ":", request.service, request.idempotency_key));
}

std::uint64_t OrderContentDigest(const CallerRequest& request) {
  return ShortDigestOf(
      Concat(request.method, " ", request.path.size(), ":", request.path, request.body));
}

CallerResponse MakeResponse(const Verdict& verdict, const std::string& request_id) {
  CallerResponse response;
  response.code = HttpStatusFor(verdict.status());
  response.execution = verdict.execution();
  const std::string reason(verdict.status().message());
  nlohmann::ordered_json body{{"verdict", ToString(verdict.execution())}, {"reason", reason}};
  if (verdict.retry_after().has_value()) {
    const auto wait = *verdict.retry_after();
    const auto seconds = std::chrono::ceil<std::chrono::seconds>(wait);
    response.headers.emplace_back(header::kRetryAfter, std::to_string(seconds.count()));
    response.headers.emplace_back(header::kRetryAfterMs, std::to_string(wait.count()));
    body["retry_after_ms"] = wait.count();
  }
  response.headers.emplace_back("Content-Type", "application/json");
  body["request_id"] = request_id;
  response.body = body.dump(-1, ' ', true, nlohmann::json::error_handler_t::replace) + "\n";
  return response;
}

absl::StatusOr<RequestOptions> ParseRequestOptions(const CallerRequest& request,
                                                   const ServiceProfile& profile) {
  RequestOptions options;
  if (!request.urgency.empty()) {
    const auto urgency = ParseUrgency(request.urgency);
    if (!urgency.has_value()) {
      return absl::InvalidArgumentError(
          Concat(header::kUrgency, ": allowed: urgent, normal, bulk"));
    }
    options.urgency = *urgency;
  }
  std::chrono::milliseconds deadline = profile.default_deadline;
  if (!request.deadline_ms.empty()) {
    std::int64_t millis = 0;
    if (!absl::SimpleAtoi(request.deadline_ms, &millis) || millis < 1) {
      return absl::InvalidArgumentError(
          Concat(header::kDeadline, ": allowed: milliseconds, a whole number from 1"));
    }
    deadline = std::min(std::chrono::milliseconds(millis), profile.longest_deadline);
  }
  options.deadline = request.received + deadline;
  return options;
}

}  // namespace wigeonlane
