/// Counters and latency histograms, exposed as Prometheus text.
#ifndef WIGEONLANE_CORE_METRICS_H_
#define WIGEONLANE_CORE_METRICS_H_

#include <atomic>
#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>

namespace wigeonlane {

/// Latency quantiles of one histogram, upper bucket edges.
struct LatencySummary {
  std::uint64_t count = 0;
  std::chrono::microseconds p50{0};
  std::chrono::microseconds p99{0};
  std::chrono::microseconds p999{0};
  std::chrono::microseconds max{0};
};

/// Histogram of durations on a logarithmic Boost.Histogram axis. Safe for several threads: the
/// buckets are divided over shards by thread, each under its own lock.
class LatencyHistogram {
 public:
  LatencyHistogram();
  ~LatencyHistogram();
  LatencyHistogram(const LatencyHistogram&) = delete;
  LatencyHistogram& operator=(const LatencyHistogram&) = delete;

  void Record(std::chrono::nanoseconds latency);

  LatencySummary Summary() const;

  /// Appends the Prometheus text of this histogram under `name` and `labels` to `out`.
  void AppendText(const std::string& name, const std::string& labels, std::string* out) const;

 private:
  struct Shards;
  std::unique_ptr<Shards> shards_;
};

/// All metrics of one process, by name and label text such as `service="quotes"`.
class MetricsRegistry {
 public:
  /// The counter of that name and labels; it lives as long as the registry.
  std::atomic<std::uint64_t>& Counter(const std::string& name, const std::string& labels = "");

  /// The histogram of that name and labels; it lives as long as the registry.
  LatencyHistogram& Histogram(const std::string& name, const std::string& labels = "");

  /// Sets a gauge to `value`.
  void SetGauge(const std::string& name, const std::string& labels, double value);

  /// Prometheus text of everything registered.
  std::string Text() const;

 private:
  using Key = std::pair<std::string, std::string>;

  mutable std::mutex mutex_;
  std::map<Key, std::unique_ptr<std::atomic<std::uint64_t>>> counters_;
  std::map<Key, std::unique_ptr<LatencyHistogram>> histograms_;
  std::map<Key, double> gauges_;
};

}  // namespace wigeonlane

#endif  // WIGEONLANE_CORE_METRICS_H_
