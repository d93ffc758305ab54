/// Small HTTP client for control traffic: the platform, admin ports and stand-ins.
#ifndef WIGEONLANE_CORE_HTTP_CLIENT_H_
#define WIGEONLANE_CORE_HTTP_CLIENT_H_

#include <chrono>
#include <memory>
#include <mutex>
#include <string>

#include "absl/status/statusor.h"
#include "core/settings.h"
#include "core/verdict.h"

namespace wigeonlane {

/// A whole HTTP answer.
struct HttpAnswer {
  int code = 0;
  std::string body;
};

/// Outcome of one exchange: an answer, or an error with whether the request may have arrived.
struct HttpExchange {
  absl::StatusOr<HttpAnswer> answer = absl::UnknownError("not sent");
  Execution execution = Execution::kNotRun;
};

/// One keep-alive connection. Safe for several threads, which take turns.
class HttpClient {
 public:
  HttpClient(Endpoint server, std::chrono::milliseconds timeout);
  ~HttpClient();
  HttpClient(const HttpClient&) = delete;
  HttpClient& operator=(const HttpClient&) = delete;

  HttpExchange Fetch(const std::string& path);
  HttpExchange Post(const std::string& path, const std::string& json);

  /// Ends an exchange under way in another thread; it then fails.
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
