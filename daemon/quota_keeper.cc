#include "daemon/quota_keeper.h"

#include <set>
#include <utility>

#include "core/codec.h"
#include "core/logging.h"
#include "core/text.h"

namespace wigeonlane {
namespace {

constexpr std::string_view kTopic = "keyed.quota";
constexpr std::string_view kKey = "shares";
constexpr std::chrono::milliseconds kMaxReadWait{5'000};
/// Delay between two reads of the division. Each write wakes all owners.
constexpr std::chrono::milliseconds kReadDelay{10};
/// Interval at which the use of the cells is compared with their amounts.
constexpr std::chrono::milliseconds kUpdateInterval{100};

/// Interval between writes for which no task waits.
constexpr std::chrono::milliseconds kMinWriteInterval{500};

}  // namespace

QuotaKeeper::QuotaKeeper(asio::io_context* io, StoreClient* store, QuotaHooks hooks)
    : store_(store),
      hooks_(std::move(hooks)),
      timer_(*io),
      watch_(io, store, {std::string(kTopic), kMaxReadWait, kReadDelay},
             [this](const std::set<std::string>&) { ApplyRecord(); }) {}

void QuotaKeeper::SetTeams(const TeamDirectory& teams, std::size_t total_cells) {
  total_cells_ = total_cells;
  terms_.clear();
  caps_.clear();
  for (const Team& team : teams.teams()) {
    terms_[team.name] = {team.weight, team.cap, {kUnlimited, kUnlimited, kUnlimited}};
    if (team.HasCap()) caps_[team.name] = team.cap;
  }
  if (!caps_.empty() && !started_) Start();
  hooks_.on_changed();
}

void QuotaKeeper::Start() {
  started_ = true;
  watch_.SetCurrentHook([this](Instant) {
    const bool has_record = watch_.values().contains(std::string(kKey));
    if (!has_record) {
      view_.ApplyRecord({}, watch_.offset());
      readable_ = true;
    }
  });
  watch_.Start();
  ScheduleUpdate();
}

void QuotaKeeper::ScheduleUpdate() {
  timer_.expires_after(kUpdateInterval);
  timer_.async_wait([this](asio::error_code error) {
    if (error) return;
    Update();
    ScheduleUpdate();
  });
}

std::map<std::string, TeamTerms> QuotaKeeper::TermsFor(CellNumber cell, TermToken token) const {
  std::map<std::string, TeamTerms> terms = terms_;
  for (const auto& [team, cap] : caps_) {
    terms.at(team).limit = view_.Limit(cell, token, team, cap);
  }
  return terms;
}

void QuotaKeeper::ApplyRecord() {
  const auto stored = watch_.values().find(std::string(kKey));
  if (stored == watch_.values().end()) return;
  auto record = DecodeQuotaRecord(stored->second);
  readable_ = record.ok();
  if (!record.ok()) {
    return LogError("unreadable_quota", {{"why", MessageOf(record.status())}});
  }
  view_.ApplyRecord(*std::move(record), watch_.offset());
  hooks_.on_changed();
}

void QuotaKeeper::Update() {
  if (writing_ || !readable_) return;
  if (const QuotaRecord* repeated = view_.write_to_repeat()) return Send(*repeated);
  if (!view_.may_plan()) return;
  const std::vector<OwnedCell> owned = hooks_.owned();
  if (owned.empty()) return;
  const Instant now = clock_.Now();
  if (now - written_at_ < kMinWriteInterval && !IsUrgent(view_.record(), owned)) return;
  auto next = PlanQuota(view_.record(), owned, caps_, total_cells_, hooks_.may_raise());
  if (!next) return;
  written_at_ = now;
  view_.StartWrite(*next);
  hooks_.on_changed();
  Send(*next);
}

void QuotaKeeper::Send(const QuotaRecord& record) {
  writing_ = true;
  store_->PutIfEndIs({std::string(kTopic), 0}, {{std::string(kKey), Encode(record)}}, view_.end(),
                     [this](AppendResult result) { HandleResult(result); });
}

void QuotaKeeper::HandleResult(AppendResult result) {
  writing_ = false;
  LogDecision("quota_write",
              {{"end", Concat(view_.end())}, {"result", Concat(static_cast<int>(result))}});
  switch (result) {
    case AppendResult::kStored:
      view_.WriteStored();
      break;
    case AppendResult::kInvalid:
    case AppendResult::kFenced:
      view_.WriteConflicted();
      break;
    case AppendResult::kUnknown:
      view_.WriteUnanswered();
      break;
    case AppendResult::kRefused:
    case AppendResult::kRejected:
      view_.WriteRefused();
      break;
  }
  hooks_.on_changed();
}

}  // namespace wigeonlane
