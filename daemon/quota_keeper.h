/// Keeps the stored division of the teams' caps up to date for the cells of this instance.
#ifndef WIGEONLANE_DAEMON_QUOTA_KEEPER_H_
#define WIGEONLANE_DAEMON_QUOTA_KEEPER_H_

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <cstddef>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "cells/cell.h"
#include "cells/quota_ledger.h"
#include "cells/quota_view.h"
#include "core/boot_clock.h"
#include "jobs/team_directory.h"
#include "platform/keyed_watch.h"
#include "platform/store_client.h"

namespace wigeonlane {

/// Callbacks into the rest of the instance.
struct QuotaHooks {
  /// Returns the active cells of this instance with what their teams use.
  std::function<std::vector<OwnedCell>()> owned;
  /// Called when the limits may have changed.
  std::function<void()> on_changed;
  /// Whether the caps are known to be recent enough to raise an amount.
  std::function<bool()> may_raise;
};

/// Without a team that has a cap it reads and writes nothing. Everything runs on one io_context.
class QuotaKeeper {
 public:
  QuotaKeeper(asio::io_context* io, StoreClient* store, QuotaHooks hooks);

  /// Replaces the teams of the configuration. `total_cells` is the number of cells that may run
  /// tasks.
  void SetTeams(const TeamDirectory& teams, std::size_t total_cells);

  /// Returns what a cell under this token goes by.
  std::map<std::string, TeamTerms> TermsFor(CellNumber cell, TermToken token) const;

  /// A cell was gained, or a task waits for the cap of its team.
  void Update();

  const QuotaRecord& record() const { return view_.record(); }

 private:
  void Start();
  void ApplyRecord();
  void ScheduleUpdate();
  void Send(const QuotaRecord& record);
  void HandleResult(AppendResult result);

  StoreClient* store_;
  const QuotaHooks hooks_;
  BootClock clock_;
  asio::steady_timer timer_;
  Instant written_at_{};  ///< When a write was planned last.
  KeyedWatch watch_;
  std::map<std::string, TeamTerms> terms_;  ///< Without limits.
  std::map<std::string, Resources> caps_;   ///< Of the teams that have one.
  std::size_t total_cells_ = 1;
  bool started_ = false;
  bool readable_ = false;  ///< The record was read; one that cannot be decoded is not overwritten.
  QuotaView view_;
  bool writing_ = false;
};

}  // namespace wigeonlane

#endif  // WIGEONLANE_DAEMON_QUOTA_KEEPER_H_
