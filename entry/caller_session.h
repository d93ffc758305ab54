/// One caller's connection over HTTP/1.1, and what all connections share.
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

namespace wigeonlane {

/// Limits of the callers' side.
struct FrontEndOptions {
  Endpoint listen;
  std::string request_id_prefix;                   ///< Unique to this incarnation.
  std::size_t max_connections = 4096;              ///< Further connections are told to come back.
  std::chrono::milliseconds read_timeout{10'000};  ///< For one whole request.
  std::chrono::milliseconds idle_timeout{60'000};  ///< Between requests.
};

/// How the front end reaches the rest of the process.
struct FrontEndHandlers {
  std::function<void(CallerRequest, Responder)> serve;
  /// Largest body of a service; none when it is not known.
  std::function<std::optional<std::uint32_t>(const std::string& service)> body_limit;
  std::function<bool()> ready;
};

/// Shared by the acceptor and all sessions, which keep it alive.
struct FrontEndState {
  FrontEndState(FrontEndOptions front_end_options, FrontEndHandlers front_end_handlers,
                MetricsRegistry* metrics)
      : options(std::move(front_end_options)),
        handlers(std::move(front_end_handlers)),
        malformed(metrics->Counter("wigeonlane_malformed_requests_total")),
        rejected(metrics->Counter("wigeonlane_connections_rejected_total")) {}

  std::string NewRequestId() { return Concat(options.request_id_prefix, "-", ++last_request); }

  const FrontEndOptions options;
  const FrontEndHandlers handlers;
  std::atomic<std::uint64_t>& malformed;
  std::atomic<std::uint64_t>& rejected;
  std::atomic<std::size_t> connections{0};
  std::atomic<bool> stopping{false};
  std::atomic<std::uint64_t> last_request{0};
};

/// Serves a connection until either side ends it: reads a request, waits for its answer, writes it,
/// and again. The socket's executor must be a strand of its own.
void StartCallerSession(asio::ip::tcp::socket socket, std::shared_ptr<FrontEndState> front_end);

/// The bytes of an answer. `head` leaves the body out, as the answer to a HEAD request.
std::string FormatCallerResponse(const CallerResponse& response, const std::string& request_id,
                                 bool head, bool keep_alive);

/// An answer to a request that never left the front end.
CallerResponse MakeNotRunResponse(int code, std::string_view reason);

}  // namespace wigeonlane

#endif  // WIGEONLANE_ENTRY_CALLER_SESSION_H_
