/// Sockets between entry instances: datagrams out and in, questions and answers over TCP.
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

/// Owner of the peer port. Everything that comes in is of unknown origin: bounded, decoded, and
/// counted and dropped when malformed.
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

  /// Opens the port. Errors: Unavailable.
  absl::Status Start();

  void Stop();

  /// Sends one datagram; it may be lost. Safe for several threads.
  void SendDatagram(const Endpoint& to, std::string bytes);

  /// Asks a peer; the callback is called once, with Unavailable when there is no answer within
  /// `timeout`.
  void SendRequest(const Endpoint& peer, const PeerRequest& request,
                   std::chrono::milliseconds timeout, Callback callback);

 private:
  class Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace wigeonlane

#endif  // WIGEONLANE_PEER_PEER_LINK_H_
