/// A cell's host without runners: keeps ids of jobs, and shares what it has stored with later
/// hosts.
#ifndef WIGEONLANE_TESTS_CELLS_FAKE_CELL_HOST_H_
#define WIGEONLANE_TESTS_CELLS_FAKE_CELL_HOST_H_

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "cells/cell_messages.h"
#include "cells/cell_types.h"

namespace wigeonlane {

/// The partition of one cell in the store.
struct FakePartition {
  std::map<JobId, QueueService> jobs;
  std::map<JobId, QueueService> cancelled_ids;  ///< Cancelled before they were submitted.
  TermToken epoch = 0;  ///< Token of the newest host; appends of others are fenced.
};

/// Satisfies what `CellTable` and `CellDispatcher` need of a host.
class FakeCellHost {
 public:
  using Respond = std::function<void(CallResponse)>;

  struct Cell {
    std::map<JobId, QueueService> jobs;  ///< As read at the takeover, and accepted since.
    std::map<JobId, QueueService> cancelled_ids;

    bool Holds(const JobId& id, const QueueAddress& queue) const {
      const auto job = jobs.find(id);
      return job != jobs.end() && job->second.queue.MayBe(queue);
    }
    std::vector<QueueService> HeldQueues() const {
      std::set<QueueService> queues;
      for (const auto& [id, queue] : jobs) queues.insert(queue);
      for (const auto& [id, queue] : cancelled_ids) queues.insert(queue);
      return {queues.begin(), queues.end()};
    }
  };

  FakeCellHost(FakePartition* partition, TermToken token) : partition_(partition), token_(token) {
    partition_->epoch = token;
    cell_.jobs = partition->jobs;
    cell_.cancelled_ids = partition->cancelled_ids;
  }

  void Start(const std::function<void()>&) {}
  void Release(std::chrono::milliseconds, const std::function<void()>& done) { done(); }
  bool active() const { return true; }
  TermToken token() const { return token_; }
  const Cell* cell() const { return &cell_; }

  void SetRoutesAtTakeover(std::uint64_t version) { routes_at_takeover_ = version; }
  std::optional<std::uint64_t> routes_at_takeover() const { return routes_at_takeover_; }

  void Submit(const JobId& id, JobRecord&& record, const Respond& respond) {
    if (cell_.Holds(id, record.queue) || cell_.cancelled_ids.contains(id)) {
      return respond({CallVerdict::kAccepted});
    }
    if (cell_.jobs.contains(id)) return respond({CallVerdict::kIdInUse});
    if (partition_->epoch != token_) return respond({CallVerdict::kUnknown});
    cell_.jobs[id] = partition_->jobs[id] = {record.queue, record.policy.service};
    respond({CallVerdict::kAccepted});
  }

  void Cancel(const JobId& id, const QueueAddress& queue,
              const std::optional<QueueService>& present, const Respond& respond) {
    if (cell_.Holds(id, queue)) return respond({CallVerdict::kCancelled});
    if (cell_.jobs.contains(id)) return respond({CallVerdict::kNotFound});
    if (partition_->epoch != token_) return respond({CallVerdict::kUnknown});
    if (present) cell_.cancelled_ids[id] = partition_->cancelled_ids[id] = *present;
    respond({CallVerdict::kNotFound});
  }

  CallResponse Show(const JobId& id, const QueueAddress& queue) const {
    if (cell_.Holds(id, queue)) return {CallVerdict::kShown};
    // A cell that has been assigned to another instance knows that its membership may have ended.
    if (partition_->epoch != token_) return {CallVerdict::kNotOwner};
    const bool cancelled = cell_.cancelled_ids.contains(id);
    return {cancelled ? CallVerdict::kCancelledBeforeSubmit : CallVerdict::kNotFound};
  }

  CallResponse CountPending(const QueueAddress& queue, const std::string&) const {
    CallResponse response{CallVerdict::kCounted};
    for (const auto& [id, held] : cell_.jobs) response.pending += held.queue.MayBe(queue) ? 1 : 0;
    return response;
  }

  CallResponse ReserveRunner(const std::string&) { return {}; }
  CallResponse ReserveForMove(const std::string&) { return {}; }
  CallResponse ReportLoads(const std::vector<TeamArrivals>&) const { return {}; }
  CallResponse HandleMachineDown(const std::string&) { return {}; }

 private:
  FakePartition* partition_;
  TermToken token_;
  Cell cell_;
  std::optional<std::uint64_t> routes_at_takeover_;
};

}  // namespace wigeonlane

#endif  // WIGEONLANE_TESTS_CELLS_FAKE_CELL_HOST_H_
