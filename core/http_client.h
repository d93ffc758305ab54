/// Blocking HTTP client for control traffic with the platform, admin ports and stand-ins.
#ifndef WIGEONLANE_CORE_HTTP_CLIENT_H_
#define WIGEONLANE_CORE_HTTP_CLIENT_H_

#include <chrono>
#include <cstdint>
#include <memory>
#include <mutex>
#include <string>

#include "absl/status/statusor.h"
#include "core/settings.h"
#include "core/verdict.h"

namespace wigeonlane {

/// A complete HTTP response.
struct HttpAnswer {
  int code = 0;
  std::string body;
};

/// Outcome of one exchange: a response, or an error and whether the server may have run the
/// request.
struct HttpExchange {
  absl::StatusOr<HttpAnswer> answer = absl::UnknownError("not sent");
  Execution execution = Execution::kNotRun;
  /// Identifies the connection among those of an `AsyncHttpClient`; 0 if no response arrived.
  std::uint64_t connection = 0;
};

/// One keep-alive connection. Thread-safe: concurrent requests wait for each other.
class HttpClient {
 public:
  HttpClient(Endpoint server, std::chrono::milliseconds timeout);
  ~HttpClient();
  HttpClient(const HttpClient&) = delete;
  HttpClient& operator=(const HttpClient&) = delete;

  /// Sends a GET request.
  HttpExchange Fetch(const std::string& path);
  HttpExchange Post(const std::string& path, const std::string& json);

  /// Aborts an exchange that is in progress in another thread. That exchange returns an error.
  void Cancel();

 private:
  struct Connection;

  template <typename Call>
  HttpExchange Exchange(Call call);

  Endpoint server_;
  std::mutex mutex_;
  std::unique_ptr<Connection> connection_;
};

}  // namespace wigeonlane

#endif  // WIGEONLANE_CORE_HTTP_CLIENT_H_
