/// Serves one caller's HTTP/1.1 connection, and holds the state that all connections share.
#ifndef WIGEONLANE_ENTRY_CALLER_SESSION_H_
#define WIGEONLANE_ENTRY_CALLER_SESSION_H_

#include <asio/ip/tcp.hpp>
#include <atomic>
#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "core/metrics.h"
#include "core/settings.h"
#include "core/text.h"
#include "entry/caller_request.h"
#include "net/byte_budget.h"

namespace wigeonlane {

/// Address and limits of the callers' interface.
struct FrontEndOptions {
  Endpoint listen;
  std::string request_id_prefix;                   ///< Unique to this incarnation of the process.
  std::size_t max_connections = 4096;              ///< Further connections get a 503.
  std::chrono::milliseconds read_timeout{10'000};  ///< To read one complete request.
  std::chrono::milliseconds idle_timeout{60'000};  ///< Between two requests.
  /// Bytes that unfinished requests and unread responses of all connections may hold together.
  std::size_t max_buffered_bytes = 64 << 20;
};

/// Callbacks from the front end into the rest of the process.
struct FrontEndHandlers {
  std::function<void(CallerRequest, Responder)> serve;
  /// Returns the service's maximum body size in bytes, or nothing if the service is unknown.
  std::function<std::optional<std::uint32_t>(const std::string& service)> body_limit;
  std::function<bool()> ready;
};

/// State that the acceptor and all sessions share and keep alive.
struct FrontEndState {
  FrontEndState(FrontEndOptions front_end_options, FrontEndHandlers front_end_handlers,
                MetricsRegistry* metrics)
      : options(std::move(front_end_options)),
        handlers(std::move(front_end_handlers)),
        budget(std::make_shared<ByteBudget>(options.max_buffered_bytes)),
        malformed(metrics->Counter("wigeonlane_malformed_requests_total")),
        rejected(metrics->Counter("wigeonlane_connections_rejected_total")) {}

  std::string NewRequestId() { return Concat(options.request_id_prefix, "-", ++last_request); }

  const FrontEndOptions options;
  const FrontEndHandlers handlers;
  const std::shared_ptr<ByteBudget> budget;
  std::atomic<std::uint64_t>& malformed;
  std::atomic<std::uint64_t>& rejected;
  std::atomic<std::size_t> connections{0};
  std::atomic<bool> stopping{false};
  std::atomic<std::uint64_t> last_request{0};
};

/// Serves requests one after the other until either side closes the connection. The socket's
/// executor must be a strand that nothing else uses.
void StartCallerSession(asio::ip::tcp::socket socket, std::shared_ptr<FrontEndState> front_end);

/// Serializes a response. `head` leaves the body out, as HTTP requires for HEAD requests.
std::string FormatCallerResponse(const CallerResponse& response, const std::string& request_id,
                                 bool head, bool keep_alive);

/// Makes the response to a request that the front end rejects without passing it on.
CallerResponse MakeNotRunResponse(int code, std::string_view reason);

}  // namespace wigeonlane

#endif  // WIGEONLANE_ENTRY_CALLER_SESSION_H_
