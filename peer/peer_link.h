/// Sockets between entry instances: heartbeats over UDP, requests and responses over TCP.
#ifndef WIGEONLANE_PEER_PEER_LINK_H_
#define WIGEONLANE_PEER_PEER_LINK_H_

#include <asio/io_context.hpp>
#include <atomic>
#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "absl/status/status.h"
#include "absl/status/statusor.h"
#include "core/metrics.h"
#include "core/settings.h"
#include "peer/messages.h"

namespace wigeonlane {

/// Owns the peer port. Input comes from untrusted sources: its size is limited, and malformed
/// messages are counted and dropped.
class PeerLink {
 public:
  struct Handlers {
    std::function<void(Heartbeat)> on_heartbeat;
    std::function<PeerResponse(const PeerRequest&)> serve;
  };

  using Callback = std::function<void(absl::StatusOr<PeerResponse>)>;

  PeerLink(Endpoint listen, Handlers handlers, asio::io_context* context, MetricsRegistry* metrics);
  ~PeerLink();
  PeerLink(const PeerLink&) = delete;
  PeerLink& operator=(const PeerLink&) = delete;

  /// Opens the port. Errors: Unavailable if that fails.
  absl::Status Start();

  void Stop();

  /// Sends one datagram, which may be lost. Thread-safe.
  void SendDatagram(const Endpoint& to, std::string bytes);

  /// Sends a request to a peer. Calls `callback` once, with Unavailable if there is no response
  /// within `timeout`.
  void SendRequest(const Endpoint& peer, const PeerRequest& request,
                   std::chrono::milliseconds timeout, Callback callback);

 private:
  class Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace wigeonlane

#endif  // WIGEONLANE_PEER_PEER_LINK_H_
