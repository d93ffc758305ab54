#include "cells/queue_locator.h"

#include <utility>

#include "core/boot_clock.h"
#include "core/logging.h"
#include "core/text.h"

namespace wigeonlane {
namespace {

/// Longest wait of a survey for a cell without an owner. Callers repeat the survey while they can
/// wait.
constexpr std::chrono::milliseconds kMaxOwnerWait{0};
constexpr std::chrono::milliseconds kResponseTimeout{500};
/// Time between the end of a survey that is not complete and the next one.
constexpr std::chrono::milliseconds kRetryDelay{25};
/// Age at which a survey that found jobs at other services is repeated.
constexpr std::chrono::seconds kMaxAgeWithMovedJobs{10};

}  // namespace

QueueLocator::QueueLocator(asio::io_context* io, CallRouter* router, const RouteTable* routes,
                           std::uint32_t cells)
    : router_(router), routes_(routes), cells_(cells), timer_(*io) {}

std::optional<std::vector<std::string>> QueueLocator::OtherServices(
    const QueueService& present) const {
  return survey_ ? survey_->OtherServices(present) : std::nullopt;
}

RoutingClaim QueueLocator::ClaimFor(const QueueService& present) const {
  return {present, routes_->version(), survey_version()};
}

void QueueLocator::Refresh(std::function<void()> done) {
  waiting_.push_back(std::move(done));
  if (!running_survey_) Start();
}

void QueueLocator::ForgetExpired(Instant now) {
  if (!running_survey_ && now - surveyed_at_ >= kMaxAgeWithMovedJobs) Start();
}

void QueueLocator::Start() {
  running_survey_.emplace(cells_);
  missing_cells_.clear();
  responses_left_ = cells_;
  for (CellNumber cell = 0; cell < cells_; ++cell) {
    CellCall call;
    call.verb = CellVerb::kListQueues;
    call.cell = cell;
    call.routing = RoutingClaim{{}, routes_->version(), 0};
    router_->Call(std::move(call), kMaxOwnerWait, kResponseTimeout,
                  [this, cell](const CallResponse& response) { HandleResponse(cell, response); });
  }
}

void QueueLocator::HandleResponse(CellNumber cell, const CallResponse& response) {
  if (response.verdict == CallVerdict::kQueues) {
    running_survey_->Add(response.queues);
  } else {
    AppendTo(&missing_cells_, missing_cells_.empty() ? "" : " ", cell);
  }
  if (--responses_left_ == 0) Finish();
}

void QueueLocator::Finish() {
  const bool complete = running_survey_->complete();
  LogDecision("queue_survey", {{"config", Concat(routes_->version())},
                               {"version", Concat(complete ? running_survey_->version() : 0)},
                               {"missing_cells", missing_cells_}});
  if (complete) {
    survey_ = std::move(running_survey_);
    surveyed_at_ = BootClock().Now();
  }
  // The delay keeps requests that need another survey from starting it at once.
  timer_.expires_after(complete ? std::chrono::milliseconds(0) : kRetryDelay);
  timer_.async_wait([this](asio::error_code error) {
    if (error) return;
    running_survey_.reset();
    for (const auto& done : std::exchange(waiting_, {})) done();
  });
}

}  // namespace wigeonlane
