#include "core/metrics.h"

#include <catch2/catch.hpp>

namespace wigeonlane {
namespace {

class MetricsTest {
 protected:
  MetricsRegistry registry_;
};

TEST_CASE_METHOD(MetricsTest, "Histogram_Quantiles_AreWithinOneBucket") {
  LatencyHistogram& histogram = registry_.Histogram("latency");
  for (int i = 1; i <= 1000; ++i) histogram.Record(std::chrono::milliseconds(i));
  const LatencySummary summary = histogram.Summary();
  CHECK(summary.count == 1000);
  CHECK(summary.p50 >= std::chrono::milliseconds(500));
  CHECK(summary.p50 <= std::chrono::milliseconds(560));
  CHECK(summary.p99 >= std::chrono::milliseconds(990));
  CHECK(summary.max == std::chrono::milliseconds(1000));
}

TEST_CASE_METHOD(MetricsTest, "Text_OfRegistry_IsPrometheusText") {
  registry_.Counter("requests_total", "service=\"a\"") += 3;
  registry_.SetGauge("offset", "", 7);
  registry_.Histogram("latency").Record(std::chrono::milliseconds(5));
  const std::string text = registry_.Text();
  CHECK(text.find("# TYPE requests_total counter\nrequests_total{service=\"a\"} 3\n") !=
        std::string::npos);
  CHECK(text.find("offset 7\n") != std::string::npos);
  CHECK(text.find("latency_bucket{le=\"+Inf\"} 1\n") != std::string::npos);
  CHECK(text.find("latency_count 1\n") != std::string::npos);
}

}  // namespace
}  // namespace wigeonlane
