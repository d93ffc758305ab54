/// HTTP status codes that the programs send or handle (RFC 9110).
#ifndef WIGEONLANE_CORE_HTTP_STATUS_H_
#define WIGEONLANE_CORE_HTTP_STATUS_H_

namespace wigeonlane::http_status {

inline constexpr int kOk = 200;
inline constexpr int kBadRequest = 400;
inline constexpr int kUnauthorized = 401;
inline constexpr int kNotFound = 404;
inline constexpr int kMethodNotAllowed = 405;
inline constexpr int kRequestTimeout = 408;
inline constexpr int kConflict = 409;
inline constexpr int kGone = 410;
inline constexpr int kPreconditionFailed = 412;
inline constexpr int kPayloadTooLarge = 413;
inline constexpr int kMisdirectedRequest = 421;
inline constexpr int kTooManyRequests = 429;
inline constexpr int kHeadersTooLarge = 431;
inline constexpr int kUnavailable = 503;
inline constexpr int kGatewayTimeout = 504;

}  // namespace wigeonlane::http_status

#endif  // WIGEONLANE_CORE_HTTP_STATUS_H_
