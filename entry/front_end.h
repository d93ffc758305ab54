/// HTTP/1.1 server for callers, which reads requests without a thread for each connection.
#ifndef WIGEONLANE_ENTRY_FRONT_END_H_
#define WIGEONLANE_ENTRY_FRONT_END_H_

#include <asio/io_context.hpp>
#include <cstdint>
#include <memory>

#include "absl/status/status.h"
#include "core/metrics.h"
#include "core/settings.h"
#include "entry/caller_session.h"

namespace wigeonlane {

/// Accepts callers' connections and passes complete requests on. Slow callers occupy memory up to
/// their service's body limit, but never a thread. Malformed or oversized requests get a response
/// with the verdict not-run, and the connection is closed.
class FrontEnd {
 public:
  using Options = FrontEndOptions;
  using Handlers = FrontEndHandlers;

  FrontEnd(Options options, Handlers handlers, asio::io_context* context, MetricsRegistry* metrics);
  ~FrontEnd();
  FrontEnd(const FrontEnd&) = delete;
  FrontEnd& operator=(const FrontEnd&) = delete;

  /// Starts accepting connections. Errors: Unavailable if it cannot listen on the address.
  absl::Status Start();

  /// Stops accepting connections and closes each open one after its current response.
  void StopAccepting();

  /// Returns the port that is listened on: the configured one, or one chosen by the system if 0 is
  /// configured.
  std::uint16_t port() const;

 private:
  class Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace wigeonlane

#endif  // WIGEONLANE_ENTRY_FRONT_END_H_
