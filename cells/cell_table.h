/// The tenures that run on this instance, and the role that goes with one of the cells.
#ifndef WIGEONLANE_CELLS_CELL_TABLE_H_
#define WIGEONLANE_CELLS_CELL_TABLE_H_

#include <asio/io_context.hpp>
#include <asio/post.hpp>
#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <utility>

#include "cells/cell_types.h"
#include "core/logging.h"
#include "core/text.h"

namespace wigeonlane {

/// Work that only the owner of one cell does, under the token of its tenure.
struct CellRole {
  CellNumber cell = 0;
  std::function<void(TermToken)> begin;
  /// Nothing is done under the token after this. Returns how long a successor must leave alone what
  /// was done last. May be called when the role is not held.
  std::function<std::chrono::milliseconds()> end;
};

/// Holds one `Host` for each cell that is owned here. A host that has ended is destroyed outside
/// of its own callbacks.
template <typename Host>
class CellTable {
 public:
  using MakeHost = std::function<std::unique_ptr<Host>(CellNumber, TermToken)>;
  /// Called when a tenure ended although the group still deals the cell to us.
  using Deposed = std::function<void(CellNumber, TermToken)>;

  CellTable(asio::io_context* io, MakeHost make_host, Deposed deposed, CellRole role)
      : io_(io),
        make_host_(std::move(make_host)),
        deposed_(std::move(deposed)),
        role_(std::move(role)) {}

  void Gain(CellNumber cell, TermToken token) {
    LogDecision("cell_gained", {{"cell", Concat(cell)}, {"token", Concat(token)}});
    Host* host = (hosts_[cell] = make_host_(cell, token)).get();
    if (cell == role_.cell) role_.begin(token);
    host->Start([this, cell, token] {
      LogWarning("cell_deposed", {{"cell", Concat(cell)}, {"token", Concat(token)}});
      if (cell == role_.cell) role_.end();
      asio::post(*io_, [this, cell, token] {
        Erase(cell, token);
        deposed_(cell, token);
      });
    });
  }

  /// `released` is called once the host has stored what it decided, or at once when there is none.
  void Lose(CellNumber cell, std::function<void()> released) {
    const auto role_wait = cell == role_.cell ? role_.end() : std::chrono::milliseconds(0);
    const auto found = hosts_.find(cell);
    if (found == hosts_.end()) return asio::post(*io_, std::move(released));
    const TermToken token = found->second->token();
    LogDecision("cell_lost", {{"cell", Concat(cell)}, {"token", Concat(token)}});
    found->second->Release(role_wait, [this, cell, token, released = std::move(released)] {
      asio::post(*io_, [this, cell, token, released] {
        Erase(cell, token);
        released();
      });
    });
  }

  /// Ends all tenures; `done` is called once the last host has stored what it decided.
  void ReleaseAll(const std::function<void()>& done) {
    const auto role_wait = role_.end();
    if (hosts_.empty()) return asio::post(*io_, done);
    auto left = std::make_shared<std::size_t>(hosts_.size());
    for (auto& [cell, host] : hosts_) {
      host->Release(role_wait, [this, left, done] {
        if (--*left == 0) asio::post(*io_, done);
      });
    }
  }

  /// Hosts answer their open calls as they are destroyed, which may come back here.
  void Clear() { const auto ending = std::exchange(hosts_, {}); }

  Host* Find(CellNumber cell) const {
    const auto found = hosts_.find(cell);
    return found == hosts_.end() ? nullptr : found->second.get();
  }

  const std::map<CellNumber, std::unique_ptr<Host>>& hosts() const { return hosts_; }

 private:
  /// A later tenure of the cell may have begun meanwhile.
  void Erase(CellNumber cell, TermToken token) {
    const auto found = hosts_.find(cell);
    if (found != hosts_.end() && found->second->token() == token) hosts_.erase(found);
  }

  asio::io_context* io_;
  const MakeHost make_host_;
  const Deposed deposed_;
  const CellRole role_;
  std::map<CellNumber, std::unique_ptr<Host>> hosts_;
};

}  // namespace wigeonlane

#endif  // WIGEONLANE_CELLS_CELL_TABLE_H_
