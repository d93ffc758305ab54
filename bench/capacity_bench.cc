/// Slopes for docs/CAPACITY.md: time, bytes and memory of each part at three sizes or more.
#include <benchmark/benchmark.h>
#include <malloc.h>

#include <memory>
#include <string>
#include <vector>

#include "bench/exchange_model.h"
#include "core/codec.h"
#include "fleet/route_view.h"
#include "fleet/snapshot.h"
#include "fleet/state.h"
#include "peer/messages.h"
#include "policy/admission.h"
#include "policy/allotment.h"
#include "policy/fleet_planner.h"

namespace wigeonlane {
namespace {

constexpr std::int64_t kWorkersPerPool = 25;

/// Bytes that the program holds on the heap, large blocks included.
std::size_t HeapBytes() {
  const auto info = mallinfo2();
  return info.uordblks + info.hblkhd;
}

std::string PoolName(std::int64_t pool) { return "pool-" + std::to_string(pool); }
std::string WorkerName(std::int64_t worker) { return "worker-" + std::to_string(worker); }

/// A fleet of `workers` serving workers, 25 to a pool, each pool with a service and a profile.
class BenchFleet {
 public:
  explicit BenchFleet(std::int64_t workers) : workers_(workers) {
    const std::int64_t pools = (workers + kWorkersPerPool - 1) / kWorkersPerPool;
    for (std::int64_t pool = 0; pool < pools; ++pool) AddPool(PoolName(pool));
    for (std::int64_t worker = 0; worker < workers; ++worker) AddWorker(worker);
  }

  absl::Status Write(const Record& record) {
    return state.Apply({state.next_offset(), LogTime(1'000),
                        "op-" + std::to_string(state.next_offset()), EncodeRecord(record)});
  }

  std::vector<ListedInstance> List() const {
    std::vector<ListedInstance> listed;
    for (const auto& [name, instance] : state.instances()) {
      ListedInstance row;
      row.name = name;
      row.pool = instance.pool;
      row.rack = instance.rack;
      row.address = instance.runner;
      row.boots = 1;
      listed.push_back(row);
    }
    return listed;
  }

  std::int64_t pools() const { return (workers_ + kWorkersPerPool - 1) / kWorkersPerPool; }

  FleetState state;

 private:
  void AddPool(const std::string& name) {
    Write(PublishDocument{0, PoolSpec{name, 18, 8, 64, false}}).IgnoreError();
    ServiceProfile profile;
    profile.name = name;
    profile.floor_slots = 48;
    profile.queue_places = 400;
    Write(PublishDocument{0, profile}).IgnoreError();
    Write(PublishDocument{0, ServiceSpec{name, name, name}}).IgnoreError();
    Write(ClaimPlanner{name, "entry-1", 1}).IgnoreError();
  }

  void AddWorker(std::int64_t worker) {
    const std::string name = WorkerName(worker);
    const std::string rack = "rack-" + std::to_string(worker / 4);
    Write(AddInstance{name, PoolName(worker / kWorkersPerPool), rack, "dc-1", {"10.0.0.1", 7800}})
        .IgnoreError();
    Write(AdvanceInstance{name, 1, Lifecycle::kServing, 1, 1}).IgnoreError();
  }

  const std::int64_t workers_;
};

std::vector<MemberDemand> Members(std::int64_t count, std::int64_t services) {
  std::vector<MemberDemand> members;
  for (std::int64_t i = 0; i < count; ++i) {
    MemberDemand member{"entry-" + std::to_string(i), {}};
    for (std::int64_t s = 0; s < services; ++s) {
      member.by_service[PoolName(s)] = static_cast<std::uint32_t>((i * 7 + s * 3) % 40) * 100;
    }
    members.push_back(std::move(member));
  }
  return members;
}

void FoldConfigRecord(benchmark::State& bench) {
  BenchFleet fleet(bench.range(0));
  std::uint64_t version = 1;
  for (auto _ : bench) {
    fleet.Write(PublishDocument{version++, PoolSpec{PoolName(0), 18, 8, 64, false}}).IgnoreError();
  }
}
BENCHMARK(FoldConfigRecord)->Arg(50)->Arg(500)->Arg(5200);

void StateSize(benchmark::State& bench) {
  const std::size_t before = HeapBytes();
  const auto fleet = std::make_unique<BenchFleet>(bench.range(0));
  const auto held = static_cast<double>(HeapBytes() - before);
  std::string bytes;
  for (auto _ : bench) bytes = Encode(fleet->state);
  bench.counters["heap_bytes"] = held;
  bench.counters["encoded_bytes"] = static_cast<double>(bytes.size());
}
BENCHMARK(StateSize)->Arg(50)->Arg(500)->Arg(5200)->Unit(benchmark::kMicrosecond);

void SnapshotRead(benchmark::State& bench) {
  const BenchFleet fleet(bench.range(0));
  const auto chunks = MakeSnapshotChunks(fleet.state);
  for (auto _ : bench) {
    SnapshotAssembler assembler;
    for (const auto& chunk : chunks) benchmark::DoNotOptimize(assembler.AddChunk(chunk));
  }
  bench.counters["chunks"] = static_cast<double>(chunks.size());
}
BENCHMARK(SnapshotRead)->Arg(50)->Arg(500)->Arg(5200)->Unit(benchmark::kMicrosecond);

void RouteViewBuild(benchmark::State& bench) {
  const BenchFleet fleet(bench.range(0));
  for (auto _ : bench) benchmark::DoNotOptimize(MakeRouteView(fleet.state));
}
BENCHMARK(RouteViewBuild)->Arg(50)->Arg(500)->Arg(5200)->Unit(benchmark::kMicrosecond);

void PlannerRound(benchmark::State& bench) {
  const BenchFleet fleet(bench.range(0));
  const auto listed = fleet.List();
  FleetPlanner planner("entry-1");
  const std::vector<MemberProgress> members = {{"entry-1", fleet.state.next_offset(), {}}};
  for (auto _ : bench) {
    benchmark::DoNotOptimize(planner.Plan(fleet.state, listed, members, Instant{}));
  }
}
BENCHMARK(PlannerRound)->Arg(50)->Arg(500)->Arg(5200)->Unit(benchmark::kMicrosecond);

void Allotments(benchmark::State& bench) {
  const BenchFleet fleet(bench.range(0));
  const auto view = MakeRouteView(fleet.state);
  const auto members = Members(bench.range(1), fleet.pools());
  for (auto _ : bench) {
    benchmark::DoNotOptimize(ComputeAllotments(*view, members, "entry-0"));
  }
}
BENCHMARK(Allotments)
    ->Args({50, 8})
    ->Args({500, 8})
    ->Args({5200, 8})
    ->Args({5200, 24})
    ->Args({5200, 96})
    ->Unit(benchmark::kMicrosecond);

void HeartbeatBytes(benchmark::State& bench) {
  Heartbeat heartbeat;
  heartbeat.incarnation = "entry1-0123456789abcdef";
  heartbeat.name = "entry1";
  heartbeat.data_centre = "dc-1";
  heartbeat.peer = {"10.0.0.1", 7702};
  heartbeat.known.resize(3, heartbeat.peer);
  for (std::int64_t s = 0; s < bench.range(0); ++s) heartbeat.demand[PoolName(s)] = 1;
  std::size_t bytes = 0;
  for (auto _ : bench) {
    bytes = 0;
    for (const auto& datagram : EncodeHeartbeat(heartbeat)) bytes += datagram.size();
  }
  bench.counters["bytes"] = static_cast<double>(bytes);
}
BENCHMARK(HeartbeatBytes)->Arg(0)->Arg(5)->Arg(50)->Arg(206)->Unit(benchmark::kMicrosecond);

void ClaimBatch(benchmark::State& bench) {
  const std::int64_t claims = bench.range(0);
  FleetState state;
  std::uint64_t sequence = 0;
  std::uint64_t key = 0;
  std::size_t bytes = 0;
  const std::size_t before = HeapBytes();
  for (auto _ : bench) {
    OrderBatch batch{"entry1-0123456789abcdef", ++sequence, {}, {}};
    for (std::int64_t i = 0; i < claims; ++i) batch.claims.push_back({Digest{1, ++key}, key});
    const std::string payload = EncodeRecord(Record(std::move(batch)));
    bytes = payload.size();
    state.Apply({state.next_offset(), LogTime(1'000), "id", payload}).IgnoreError();
  }
  bench.SetItemsProcessed(static_cast<std::int64_t>(key));
  bench.counters["record_bytes"] = static_cast<double>(bytes);
  bench.counters["heap_per_claim"] =
      static_cast<double>(HeapBytes() - before) / static_cast<double>(key);
}
BENCHMARK(ClaimBatch)->Arg(1)->Arg(10)->Arg(100)->Iterations(20'000)->Unit(benchmark::kMicrosecond);

void AdmissionPass(benchmark::State& bench) {
  ManualClock clock;
  Admission<ManualClock> admission(clock);
  const auto waiting = static_cast<std::uint32_t>(bench.range(0));
  admission.SetLimits({8, waiting + 10, Urgency::kNormal});
  std::uint64_t id = 0;
  const Instant deadline = clock.Now() + std::chrono::hours(1);
  for (std::uint32_t i = 0; i < 8 + waiting; ++i) {
    admission.Offer({++id, Urgency::kNormal, deadline});
  }
  for (auto _ : bench) {
    admission.Offer({++id, Urgency::kNormal, deadline});
    benchmark::DoNotOptimize(admission.Finish(std::chrono::milliseconds(2)));
  }
}
BENCHMARK(AdmissionPass)->Arg(0)->Arg(100)->Arg(1000);

void LogExchange(benchmark::State& bench) {
  const auto choice = static_cast<PeerChoice>(bench.range(0));
  ExchangeCost cost;
  for (auto _ : bench) {
    cost = RunExchange(choice, static_cast<std::size_t>(bench.range(1)), 1000, 200, 7);
  }
  bench.counters["rounds"] = cost.rounds;
  bench.counters["worst"] = cost.worst_rounds;
  bench.counters["questions"] = cost.requests;
  bench.counters["entries"] = cost.entries;
}
BENCHMARK(LogExchange)
    ->ArgNames({"random", "members"})
    ->ArgsProduct({{0, 1}, {8, 24, 96}})
    ->Iterations(1);

}  // namespace
}  // namespace wigeonlane
