#include "core/metrics.h"

#include <algorithm>
#include <array>
#include <boost/histogram.hpp>
#include <functional>
#include <thread>
#include <vector>

#include "core/text.h"

namespace wigeonlane {
namespace {

namespace bh = boost::histogram;

constexpr std::size_t kShards = 8;
constexpr unsigned kBuckets = 160;
constexpr double kLowestMicros = 10;
constexpr double kHighestMicros = 60'000'000;

using Axis = bh::axis::regular<double, bh::axis::transform::log>;
using Storage = decltype(bh::make_histogram_with(std::vector<std::uint64_t>(),
                                                 Axis(kBuckets, kLowestMicros, kHighestMicros)));

Storage MakeStorage() {
  return bh::make_histogram_with(std::vector<std::uint64_t>(),
                                 Axis(kBuckets, kLowestMicros, kHighestMicros));
}

std::string Series(const std::string& name, const std::string& labels) {
  return labels.empty() ? name : Concat(name, "{", labels, "}");
}

}  // namespace

struct LatencyHistogram::Shards {
  struct Shard {
    std::mutex mutex;
    Storage storage = MakeStorage();
    double sum_micros = 0;
    double max_micros = 0;
  };

  std::array<Shard, kShards> shards;

  /// Returns the bucket counts of all shards added up, including underflow and overflow buckets.
  /// Adds the sums of the shards to `sum_micros` and raises `max_micros` to their maximum.
  Storage Merged(double* sum_micros, double* max_micros) {
    Storage merged = MakeStorage();
    for (Shard& shard : shards) {
      const std::lock_guard lock(shard.mutex);
      merged += shard.storage;
      *sum_micros += shard.sum_micros;
      *max_micros = std::max(*max_micros, shard.max_micros);
    }
    return merged;
  }
};

LatencyHistogram::LatencyHistogram() : shards_(std::make_unique<Shards>()) {}
LatencyHistogram::~LatencyHistogram() = default;

void LatencyHistogram::Record(std::chrono::nanoseconds latency) {
  const double micros = std::max(0.001, static_cast<double>(latency.count()) / 1e3);
  const std::size_t index = std::hash<std::thread::id>()(std::this_thread::get_id()) % kShards;
  Shards::Shard& shard = shards_->shards[index];
  const std::lock_guard lock(shard.mutex);
  shard.storage(micros);
  shard.sum_micros += micros;
  shard.max_micros = std::max(shard.max_micros, micros);
}

LatencySummary LatencyHistogram::Summary() const {
  double sum_micros = 0;
  double max_micros = 0;
  const Storage merged = shards_->Merged(&sum_micros, &max_micros);
  LatencySummary summary;
  for (auto&& bucket : bh::indexed(merged, bh::coverage::all)) summary.count += *bucket;
  const auto quantile = [&](double fraction) {
    const double target_count = fraction * static_cast<double>(summary.count);
    std::uint64_t cumulative_count = 0;
    for (auto&& bucket : bh::indexed(merged, bh::coverage::all)) {
      cumulative_count += *bucket;
      if (static_cast<double>(cumulative_count) >= target_count) {
        const double edge = std::min(bucket.bin().upper(), max_micros);
        return std::chrono::microseconds(static_cast<std::int64_t>(edge));
      }
    }
    return std::chrono::microseconds(static_cast<std::int64_t>(max_micros));
  };
  if (summary.count == 0) return summary;
  summary.p50 = quantile(0.50);
  summary.p99 = quantile(0.99);
  summary.p999 = quantile(0.999);
  summary.max = std::chrono::microseconds(static_cast<std::int64_t>(max_micros));
  return summary;
}

void LatencyHistogram::AppendText(const std::string& name, const std::string& labels,
                                  std::string* out) const {
  double sum_micros = 0;
  double max_micros = 0;
  const Storage merged = shards_->Merged(&sum_micros, &max_micros);
  const std::string prefix = labels.empty() ? "" : labels + ",";
  std::uint64_t cumulative_count = 0;
  for (auto&& bucket : bh::indexed(merged, bh::coverage::all)) {
    if (*bucket == 0) continue;
    cumulative_count += *bucket;
    if (bucket.bin().upper() > kHighestMicros) break;
    AppendTo(out, name, "_bucket{", prefix, "le=\"", bucket.bin().upper() / 1e6, "\"} ",
             cumulative_count, "\n");
  }
  AppendTo(out, name, "_bucket{", prefix, "le=\"+Inf\"} ", cumulative_count, "\n");
  AppendTo(out, Series(name + "_sum", labels), " ", sum_micros / 1e6, "\n");
  AppendTo(out, Series(name + "_count", labels), " ", cumulative_count, "\n");
}

std::atomic<std::uint64_t>& MetricsRegistry::Counter(const std::string& name,
                                                     const std::string& labels) {
  const std::lock_guard lock(mutex_);
  auto& slot = counters_[{name, labels}];
  if (slot == nullptr) slot = std::make_unique<std::atomic<std::uint64_t>>(0);
  return *slot;
}

LatencyHistogram& MetricsRegistry::Histogram(const std::string& name, const std::string& labels) {
  const std::lock_guard lock(mutex_);
  auto& slot = histograms_[{name, labels}];
  if (slot == nullptr) slot = std::make_unique<LatencyHistogram>();
  return *slot;
}

void MetricsRegistry::SetGauge(const std::string& name, const std::string& labels, double value) {
  const std::lock_guard lock(mutex_);
  gauges_[{name, labels}] = value;
}

std::string MetricsRegistry::Text() const {
  const std::lock_guard lock(mutex_);
  std::string text;
  std::string family;
  const auto start_family = [&](const std::string& name, std::string_view type) {
    if (family == name) return;
    family = name;
    AppendTo(&text, "# TYPE ", name, " ", type, "\n");
  };
  for (const auto& [key, counter] : counters_) {
    start_family(key.first, "counter");
    AppendTo(&text, Series(key.first, key.second), " ", counter->load(), "\n");
  }
  for (const auto& [key, value] : gauges_) {
    start_family(key.first, "gauge");
    AppendTo(&text, Series(key.first, key.second), " ", value, "\n");
  }
  for (const auto& [key, histogram] : histograms_) {
    start_family(key.first, "histogram");
    histogram->AppendText(key.first, key.second, &text);
  }
  return text;
}

}  // namespace wigeonlane
