/// Takes callers' calls to the owner of the cell, on this instance or another.
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

/// How the router reaches the rest of the instance.
struct RouterHooks {
  /// The address of the cell's owner; nothing when it is not known.
  std::function<std::optional<Endpoint>(CellNumber)> owner;
  /// Serves a call on a cell of this instance.
  std::function<void(CellCall, std::function<void(CallResponse)>)> serve;
  /// The owner that was listed does not own the cell.
  std::function<void()> on_owners_stale;
  /// Nobody listens at the address of an owner: its process has ended.
  std::function<void(const Endpoint&)> on_owner_down;
};

/// Asks again while a cell changes hands, for as long as the call allows.
class CallRouter {
 public:
  using Answered = std::function<void(CallResponse)>;

  CallRouter(asio::io_context* io, Endpoint self, RouterHooks hooks)
      : io_(io), self_(std::move(self)), hooks_(std::move(hooks)) {}

  /// Carries `call` to the owner of its cell. `handover` bounds the wait for an owner that takes
  /// the call; `timeout` bounds one exchange. The verdict is kNotOwner when no owner took it, and
  /// kUnknown when an owner may have.
  void Call(CellCall call, std::chrono::milliseconds handover, std::chrono::milliseconds timeout,
            Answered answered) {
    auto attempt = std::make_shared<Attempt>(Attempt{
        std::move(call), handover, timeout, std::move(answered), asio::steady_timer(*io_), ""});
    Try(attempt);
  }

  /// Tells another instance something that needs no answer.
  void Notify(const Endpoint& to, CellVerb verb) {
    CellCall call;
    call.verb = verb;
    LinkTo(to)->Call(Encode(call), kNotifyTimeout, [to](const FrameOutcome& outcome) {
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
    hooks_.serve(*std::move(call),
                 [reply = std::move(reply)](const CallResponse& answer) { reply(Encode(answer)); });
  }

 private:
  static constexpr std::chrono::milliseconds kNotifyTimeout{500};
  /// Pause before the owner is looked up again.
  static constexpr std::chrono::milliseconds kRetryDelay{25};

  struct Attempt {
    CellCall call;
    std::chrono::milliseconds owner_wait_left;
    std::chrono::milliseconds timeout;
    Answered answered;
    asio::steady_timer timer;
    std::string last_failure;  ///< Logged once for each reason, not for each try.
  };

  void Try(const std::shared_ptr<Attempt>& attempt) {
    const auto owner = hooks_.owner(attempt->call.cell);
    if (!owner) return Retry(attempt, CallVerdict::kNotOwner);
    if (*owner == self_) {
      return hooks_.serve(attempt->call, [this, attempt](const CallResponse& answer) {
        TakeAnswer(attempt, answer);
      });
    }
    LinkTo(*owner)->Call(Encode(attempt->call), attempt->timeout,
                         [this, attempt, owner = *owner](const FrameOutcome& outcome) {
                           if (outcome.connection_refused) hooks_.on_owner_down(owner);
                           TakeAnswer(attempt, Read(outcome, attempt.get(), owner));
                         });
  }

  static CallResponse Read(const FrameOutcome& outcome, Attempt* attempt, const Endpoint& owner) {
    if (outcome.response.ok()) {
      const auto answer = Decode<CallResponse>(*outcome.response);
      if (answer.ok()) return *answer;
    }
    const std::string why =
        outcome.response.ok() ? "unreadable answer" : MessageOf(outcome.response.status());
    if (std::exchange(attempt->last_failure, why) != why) {
      LogDecision("owner_call_failed", {{"job", std::string(attempt->call.job.text())},
                                        {"cell", Concat(attempt->call.cell)},
                                        {"owner", owner.ToString()},
                                        {"why", why}});
    }
    return {outcome.execution == Execution::kNotRun ? CallVerdict::kNotOwner
                                                    : CallVerdict::kUnknown};
  }

  void TakeAnswer(const std::shared_ptr<Attempt>& attempt, const CallResponse& answer) {
    if (answer.verdict != CallVerdict::kNotOwner) return attempt->answered(answer);
    hooks_.on_owners_stale();
    Retry(attempt, CallVerdict::kNotOwner);
  }

  void Retry(const std::shared_ptr<Attempt>& attempt, CallVerdict otherwise) {
    if (attempt->owner_wait_left.count() <= 0) return attempt->answered({otherwise});
    attempt->owner_wait_left -= kRetryDelay;
    attempt->timer.expires_after(kRetryDelay);
    attempt->timer.async_wait([this, attempt](asio::error_code error) {
      if (!error) Try(attempt);
    });
  }

  FrameClient* LinkTo(const Endpoint& to) {
    auto& link = links_[to.ToString()];
    if (link == nullptr) link = std::make_unique<FrameClient>(io_, to);
    return link.get();
  }

  asio::io_context* io_;
  const Endpoint self_;
  const RouterHooks hooks_;
  std::unordered_map<std::string, std::unique_ptr<FrameClient>> links_;
};

}  // namespace wigeonlane

#endif  // WIGEONLANE_CELLS_CALL_ROUTER_H_
