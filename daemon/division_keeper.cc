#include "daemon/division_keeper.h"

#include <utility>

#include "core/codec.h"
#include "core/logging.h"
#include "core/text.h"

namespace wigeonlane {
namespace {

constexpr std::string_view kTopic = "keyed.division";
constexpr std::string_view kKey = "division";
/// The record changes hardly ever; an older one lacks only racks that came since.
constexpr std::chrono::milliseconds kReadWait{5'000};
/// Runners write every 1.5 s (HeartbeatMs), and the list lags by 0.8 s.
constexpr std::chrono::milliseconds kListSettles{1'600};

}  // namespace

DivisionKeeper::DivisionKeeper(asio::io_context* io, StoreClient* store, std::uint32_t cells,
                               std::function<void()> changed)
    : store_(store),
      cells_(cells),
      changed_(std::move(changed)),
      watch_(io, store, {std::string(kTopic), kReadWait, std::chrono::milliseconds(0)},
             [this](const std::set<std::string>&) { TakeRecord(); }) {}

void DivisionKeeper::TakeRecord() {
  const auto found = watch_.values().find(std::string(kKey));
  if (found == watch_.values().end()) return;
  auto division = DecodeDivision(found->second, cells_);
  readable_ = division.ok();
  if (!division.ok()) {
    return LogError("unreadable_division", {{"why", MessageOf(division.status())}});
  }
  if (*division == division_) return;
  division_ = *std::move(division);
  std::string text;
  for (const auto& [name, service] : division_.services) {
    AppendTo(&text, " ", name, ":", service.cells.size());
  }
  LogDecision("division", {{"offset", Concat(watch_.offset())}, {"cells_of_services", text}});
  changed_();
}

bool DivisionKeeper::ListStands(std::size_t runners) {
  if (runners != listed_) {
    listed_ = runners;
    listed_since_ = clock_.Now();
  }
  return runners > 0 && clock_.Now() - listed_since_ >= kListSettles;
}

void DivisionKeeper::Extend(const std::vector<std::string>& services,
                            const std::vector<RunnerListing>& runners) {
  const bool stands = ListStands(runners.size());
  if (writing_ || !readable_ || !watch_.reachable() || (!known() && !stands)) return;
  const auto extended = ExtendDivision(division_, services, runners, cells_);
  if (!extended) return;
  writing_ = true;
  LogDecision("extend_division", {{"offset", Concat(watch_.offset())},
                                  {"services", Concat(extended->services.size())},
                                  {"runners", Concat(runners.size())}});
  store_->PutIfEndIs(
      {std::string(kTopic), 0}, {{std::string(kKey), Encode(*extended)}}, watch_.offset(),
      [this](AppendResult result) {
        writing_ = false;
        if (result == AppendResult::kStored) return;
        LogWarning("division_not_stored", {{"result", Concat(static_cast<int>(result))}});
      });
}

}  // namespace wigeonlane
