/// Routes callers' calls to the owner of the cell, on this instance or another.
#ifndef WIGEONLANE_CELLS_CALL_ROUTER_H_
#define WIGEONLANE_CELLS_CALL_ROUTER_H_

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <utility>

#include "cells/cell_messages.h"
#include "core/codec.h"
#include "core/logging.h"
#include "net/frame_link.h"

namespace wigeonlane {

/// Callbacks into the rest of the instance.
struct RouterHooks {
  /// Returns the address of the cell's owner; nothing when the owner is unknown.
  std::function<std::optional<Endpoint>(CellNumber)> owner;
  /// Serves a call on a cell that this instance owns.
  std::function<void(CellCall, std::function<void(CallResponse)>)> serve;
  /// The listed owner turned out not to own the cell.
  std::function<void()> on_owners_stale;
  /// Nothing listens at the address of an owner, so its process has ended.
  std::function<void(const Endpoint&)> on_owner_down;
};

/// Retries a call while its cell changes owners, for as long as the call allows.
class CallRouter {
 public:
  using ResponseCallback = std::function<void(CallResponse)>;

  CallRouter(asio::io_context* io, Endpoint self, RouterHooks hooks)
      : io_(io), self_(std::move(self)), hooks_(std::move(hooks)) {}

  /// Sends `call` to the owner of its cell. `max_owner_wait` limits the wait for an owner that
  /// accepts the call; `timeout` limits one attempt. The verdict is kNotOwner when no owner
  /// accepted the call, and kUnknown when an owner may have accepted it.
  void Call(CellCall call, std::chrono::milliseconds max_owner_wait,
            std::chrono::milliseconds timeout, ResponseCallback on_response) {
    auto attempt =
        std::make_shared<Attempt>(Attempt{std::move(call), max_owner_wait, timeout,
                                          std::move(on_response), asio::steady_timer(*io_), ""});
    Try(attempt);
  }

  /// Notifies another instance, without waiting for a response.
  void Notify(const Endpoint& to, CellVerb verb) {
    CellCall call;
    call.verb = verb;
    ClientFor(to)->Call(Encode(call), kNotifyTimeout, [to](const FrameOutcome& outcome) {
      if (!outcome.response.ok()) {
        LogInfo("notify_failed",
                {{"peer", to.ToString()}, {"why", MessageOf(outcome.response.status())}});
      }
    });
  }

  /// Serves a frame from another instance.
  void ServeFrame(const std::string& bytes, std::function<void(std::string)> reply) {
    auto call = Decode<CellCall>(bytes);
    if (!call.ok()) {
      LogWarning("unreadable_call", {{"why", MessageOf(call.status())}});
      return reply(Encode(CallResponse{CallVerdict::kNotOwner}));
    }
    hooks_.serve(*std::move(call), [reply = std::move(reply)](const CallResponse& response) {
      reply(Encode(response));
    });
  }

 private:
  static constexpr std::chrono::milliseconds kNotifyTimeout{500};
  /// Delay before the owner is looked up again.
  static constexpr std::chrono::milliseconds kRetryDelay{25};

  struct Attempt {
    CellCall call;
    std::chrono::milliseconds owner_wait_left;
    std::chrono::milliseconds timeout;
    ResponseCallback on_response;
    asio::steady_timer timer;
    std::string last_failure;  ///< A failure is logged only when it differs from this.
  };

  void Try(const std::shared_ptr<Attempt>& attempt) {
    const auto owner = hooks_.owner(attempt->call.cell);
    if (!owner) return Retry(attempt, CallVerdict::kNotOwner);
    if (*owner == self_) {
      return hooks_.serve(attempt->call, [this, attempt](CallResponse response) {
        response.decided_by = self_;
        HandleResponse(attempt, response);
      });
    }
    ClientFor(*owner)->Call(Encode(attempt->call), attempt->timeout,
                            [this, attempt, owner = *owner](const FrameOutcome& outcome) {
                              if (outcome.connection_refused) hooks_.on_owner_down(owner);
                              HandleResponse(attempt, ParseResponse(outcome, attempt.get(), owner));
                            });
  }

  static CallResponse ParseResponse(const FrameOutcome& outcome, Attempt* attempt,
                                    const Endpoint& owner) {
    if (outcome.response.ok()) {
      auto response = Decode<CallResponse>(*outcome.response);
      if (response.ok()) {
        response->decided_by = owner;
        return *std::move(response);
      }
    }
    const std::string reason =
        outcome.response.ok() ? "unreadable response" : MessageOf(outcome.response.status());
    if (std::exchange(attempt->last_failure, reason) != reason) {
      LogDecision("owner_call_failed", {{"job", std::string(attempt->call.job.text())},
                                        {"cell", Concat(attempt->call.cell)},
                                        {"owner", owner.ToString()},
                                        {"why", reason}});
    }
    return {outcome.execution == Execution::kNotRun ? CallVerdict::kNotOwner
                                                    : CallVerdict::kUnknown};
  }

  void HandleResponse(const std::shared_ptr<Attempt>& attempt, const CallResponse& response) {
    if (response.verdict != CallVerdict::kNotOwner) return attempt->on_response(response);
    hooks_.on_owners_stale();
    Retry(attempt, CallVerdict::kNotOwner);
  }

  void Retry(const std::shared_ptr<Attempt>& attempt, CallVerdict final_verdict) {
    if (attempt->owner_wait_left.count() <= 0) return attempt->on_response({final_verdict});
    attempt->owner_wait_left -= kRetryDelay;
    attempt->timer.expires_after(kRetryDelay);
    attempt->timer.async_wait([this, attempt](asio::error_code error) {
      if (!error) Try(attempt);
    });
  }

  FrameClient* ClientFor(const Endpoint& to) {
    auto& client = clients_[to.ToString()];
    if (client == nullptr) client = std::make_unique<FrameClient>(io_, to);
    return client.get();
  }

  asio::io_context* io_;
  const Endpoint self_;
  const RouterHooks hooks_;
  std::unordered_map<std::string, std::unique_ptr<FrameClient>> clients_;
};

}  // namespace wigeonlane

#endif  // WIGEONLANE_CELLS_CALL_ROUTER_H_
