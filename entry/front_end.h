/// Callers' side over HTTP/1.1: reads whole requests without a thread for each connection.
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

/// Accepts callers' connections and hands over whole requests. Slow senders and readers hold
/// memory up to their service's body limit, but never a thread. Answers to malformed or oversized
/// input are final and carry the verdict not-run.
class FrontEnd {
 public:
  using Options = FrontEndOptions;
  using Handlers = FrontEndHandlers;

  FrontEnd(Options options, Handlers handlers, asio::io_context* context, MetricsRegistry* metrics);
  ~FrontEnd();
  FrontEnd(const FrontEnd&) = delete;
  FrontEnd& operator=(const FrontEnd&) = delete;

  /// Starts accepting. Errors: Unavailable when the address cannot be had.
  absl::Status Start();

  /// Refuses new connections and closes kept ones after their present answer.
  void StopAccepting();

  /// Port in use; the one of the settings unless that was 0.
  std::uint16_t port() const;

 private:
  class Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace wigeonlane

#endif  // WIGEONLANE_ENTRY_FRONT_END_H_
