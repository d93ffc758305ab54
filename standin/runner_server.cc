#include "standin/runner_server.h"

#include <asio/steady_timer.hpp>
#include <chrono>
#include <memory>
#include <nlohmann/json.hpp>
#include <utility>

#include "core/http_status.h"

namespace wigeonlane {
namespace {

/// A command without a response may still be executed seconds later (PROTOCOL.md).
constexpr std::chrono::milliseconds kLateStartDelay{1'500};
constexpr std::chrono::milliseconds kMaxWait{2'000};
const nlohmann::json kCapacity = {{"Cpu", 8'000}, {"MemMb", 8'192}, {"Gpus", 0}};

std::string HeaderValue(const HttpRequest& request, std::string_view header) {
  for (const auto& [name, value] : request.headers) {
    if (name == header) return value;
  }
  return {};
}

std::chrono::milliseconds RequestedWait(const HttpRequest& request) {
  if (request.target != "/hold") return std::chrono::milliseconds(0);
  const auto body = nlohmann::json::parse(request.body, nullptr, false);
  const std::int64_t wait = body.is_object() ? body.value("WaitMs", std::int64_t{0}) : 0;
  return std::min(std::chrono::milliseconds(wait), kMaxWait);
}

}  // namespace

RunnerServer::RunnerServer(asio::io_context* io, RunnerEntry entry, StoreTopics* store,
                           TaskLedger* ledger)
    : io_(io),
      entry_(std::move(entry)),
      store_(store),
      runner_(ledger, entry_.id),
      faults_(
          {{"silent", 0}, {"refuse", 0}, {"lose_answers", 0}, {"late_starts", 0}, {"unlisted", 0}}),
      server_(
          io, [this](const HttpRequest& request, const HttpReply& reply) { Serve(request, reply); },
          [] { return HttpServerLimits(); }) {}

void RunnerServer::StartIncarnation() {
  const auto started_at =
      std::chrono::time_point_cast<std::chrono::milliseconds>(std::chrono::system_clock::now());
  runner_.StartIncarnation(clock_.Now(), started_at.time_since_epoch());
  open_polls_.clear();
  crashed_ = false;
  listed_ = false;
  ListIncarnation();
}

void RunnerServer::Crash() {
  crashed_ = true;
  open_polls_.clear();
  runner_.LoseRuns();
}

void RunnerServer::ListIncarnation() {
  if (listed_ || faults_.IsOn("unlisted")) return;
  listed_ = true;
  PublishState("ready");
}

void RunnerServer::Drain() { PublishState("draining"); }

void RunnerServer::PublishState(const std::string& state) {
  const nlohmann::json entry = {{"Service", entry_.service},
                                {"Address", entry_.published.ToString()},
                                {"Zone", "dc0"},
                                {"Version", "1"},
                                {"State", state},
                                {"Seq", ++last_sequence_},
                                {"Capacity", kCapacity},
                                {"Labels", {"kind-a", entry_.rack}},
                                {"born", runner_.started_at().count()}};
  store_->Put({"keyed.servers", 0}, entry_.id, entry.dump());
}

void RunnerServer::Serve(const HttpRequest& request, const HttpReply& reply) {
  if (crashed_ || faults_.IsOn("silent")) return;
  if (HeaderValue(request, "X-Wigeonlane-Target-Instance") != entry_.id) {
    return reply(BareResponse(http_status::kMisdirectedRequest));
  }
  if (faults_.Consume("refuse")) return reply(BareResponse(http_status::kUnavailable));
  if (request.target == "/run-start" && faults_.Consume("late_starts")) {
    return StartAfterDelay(request);
  }
  HttpResponse response = runner_.Serve(request.target, request.body, clock_.Now());
  if (faults_.Consume("lose_answers")) return;
  const std::chrono::milliseconds wait = RequestedWait(request);
  if (wait.count() == 0 || runner_.has_results()) return reply(std::move(response));
  open_polls_.push_back({request.body, clock_.Now() + wait, reply});
}

void RunnerServer::StartAfterDelay(const HttpRequest& request) {
  const auto timer = std::make_shared<asio::steady_timer>(*io_, kLateStartDelay);
  timer->async_wait([this, timer, request](asio::error_code error) {
    if (!error && !crashed_) runner_.Serve(request.target, request.body, clock_.Now());
  });
}

void RunnerServer::Advance(Instant now) {
  ListIncarnation();
  runner_.Advance(now);
  std::erase_if(open_polls_, [&](const OpenPoll& poll) {
    if (now < poll.deadline && !runner_.has_results()) return false;
    if (!faults_.IsOn("silent")) poll.reply(runner_.Serve("/hold", poll.body, now));
    return true;
  });
}

}  // namespace wigeonlane
