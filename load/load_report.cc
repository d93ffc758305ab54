#include "load/load_report.h"

#include <algorithm>
#include <nlohmann/json.hpp>

#include "core/text.h"

namespace wigeonlane {
namespace {

using std::chrono::microseconds;

constexpr int kPlotWidth = 900;
constexpr int kPlotHeight = 120;
constexpr int kPlotMargin = 40;

microseconds Quantile(std::vector<microseconds>* sorted, double share) {
  if (sorted->empty()) return microseconds(0);
  const auto index = static_cast<std::size_t>(share * static_cast<double>(sorted->size()));
  return (*sorted)[std::min(index, sorted->size() - 1)];
}

std::string Millis(microseconds time) {
  return Concat(time.count() / 1000, ".", (time.count() % 1000) / 100);
}

void CountOutcome(const LoadSample& sample, StreamReport* report) {
  ++report->sent;
  const auto second = static_cast<std::size_t>(sample.scheduled / std::chrono::seconds(1));
  if (sample.success) {
    ++report->good;
    ++report->good_by_second[second];
  }
  switch (sample.outcome) {
    case LoadOutcome::kRan:
      ++report->ran;
      return;
    case LoadOutcome::kNotRun:
      ++report->not_run;
      ++report->refused_by_second[second];
      return;
    case LoadOutcome::kMayHaveRun:
      ++report->may_have_run;
      return;
    case LoadOutcome::kError:
      ++report->errors;
      return;
  }
}

std::string Pad(const std::string& text, std::size_t width) {
  return text.size() >= width ? text + " " : text + std::string(width - text.size(), ' ');
}

std::string Polyline(const std::vector<std::uint64_t>& values, std::uint64_t most, int top,
                     std::string_view colour) {
  std::string points;
  const double step = static_cast<double>(kPlotWidth) /
                      static_cast<double>(std::max<std::size_t>(1, values.size()));
  for (std::size_t i = 0; i < values.size(); ++i) {
    const double height =
        most == 0 ? 0 : static_cast<double>(values[i]) / static_cast<double>(most) * kPlotHeight;
    AppendTo(&points, kPlotMargin + static_cast<int>(step * static_cast<double>(i)), ",",
             top + kPlotHeight - static_cast<int>(height), " ");
  }
  return Concat("<polyline fill=\"none\" stroke-width=\"2\" stroke=\"", colour, "\" points=\"",
                points, "\"/>\n");
}

}  // namespace

std::vector<StreamReport> Summarize(const LoadPlan& plan, const std::vector<LoadSample>& samples) {
  std::vector<StreamReport> reports(plan.streams.size());
  std::vector<std::vector<microseconds>> ran(plan.streams.size());
  std::vector<std::vector<microseconds>> refused(plan.streams.size());
  const auto seconds =
      static_cast<std::size_t>(std::chrono::ceil<std::chrono::seconds>(plan.duration).count()) + 1;
  for (std::size_t i = 0; i < reports.size(); ++i) {
    reports[i].service = plan.streams[i].service;
    reports[i].good_by_second.resize(seconds, 0);
    reports[i].refused_by_second.resize(seconds, 0);
  }
  for (const LoadSample& sample : samples) {
    CountOutcome(sample, &reports[sample.stream]);
    if (sample.outcome == LoadOutcome::kRan) ran[sample.stream].push_back(sample.latency);
    if (sample.outcome == LoadOutcome::kNotRun) refused[sample.stream].push_back(sample.latency);
  }
  for (std::size_t i = 0; i < reports.size(); ++i) {
    std::sort(ran[i].begin(), ran[i].end());
    std::sort(refused[i].begin(), refused[i].end());
    reports[i].p50 = Quantile(&ran[i], 0.50);
    reports[i].p99 = Quantile(&ran[i], 0.99);
    reports[i].worst = ran[i].empty() ? microseconds(0) : ran[i].back();
    reports[i].refusal_p50 = Quantile(&refused[i], 0.50);
  }
  return reports;
}

std::string ToTable(const LoadReport& report) {
  std::string text = Concat(Pad("service", 18), Pad("sent", 9), Pad("ran", 9), Pad("not-run", 9),
                            Pad("may-have", 9), Pad("errors", 8), Pad("good", 9), Pad("p50 ms", 9),
                            Pad("p99 ms", 9), Pad("worst ms", 10), "refusal p50 ms\n");
  for (const StreamReport& stream : report.streams) {
    AppendTo(&text, Pad(stream.service, 18), Pad(std::to_string(stream.sent), 9),
             Pad(std::to_string(stream.ran), 9), Pad(std::to_string(stream.not_run), 9),
             Pad(std::to_string(stream.may_have_run), 9), Pad(std::to_string(stream.errors), 8),
             Pad(std::to_string(stream.good), 9), Pad(Millis(stream.p50), 9),
             Pad(Millis(stream.p99), 9), Pad(Millis(stream.worst), 10), Millis(stream.refusal_p50),
             "\n");
  }
  const OrderAuditResult& orders = report.orders;
  AppendTo(&text, "orders ", orders.orders, ", executed ", orders.executed, ", doubled ",
           orders.duplicated, ", lost ", orders.lost, ", ran but told not-run ",
           orders.executed_despite_not_run, ", wrong answers ", orders.wrong_responses,
           orders.audited ? "" : " (no ledger was read)", "\n");
  return text;
}

std::string ToJson(const LoadReport& report) {
  nlohmann::ordered_json json;
  json["streams"] = nlohmann::ordered_json::array();
  for (const StreamReport& stream : report.streams) {
    json["streams"].push_back({{"service", stream.service},
                               {"sent", stream.sent},
                               {"ran", stream.ran},
                               {"not_run", stream.not_run},
                               {"may_have_run", stream.may_have_run},
                               {"errors", stream.errors},
                               {"good", stream.good},
                               {"p50_us", stream.p50.count()},
                               {"p99_us", stream.p99.count()},
                               {"worst_us", stream.worst.count()},
                               {"refusal_p50_us", stream.refusal_p50.count()},
                               {"good_by_second", stream.good_by_second},
                               {"refused_by_second", stream.refused_by_second}});
  }
  const OrderAuditResult& orders = report.orders;
  json["orders"] = {{"audited", orders.audited},
                    {"orders", orders.orders},
                    {"executed", orders.executed},
                    {"doubled", orders.duplicated},
                    {"lost", orders.lost},
                    {"ran_but_told_not_run", orders.executed_despite_not_run},
                    {"wrong_answers", orders.wrong_responses},
                    {"cut_off", orders.cut_off},
                    {"most_running_on_one_runner", orders.max_running}};
  return json.dump(2);
}

std::string ToSvg(const LoadReport& report) {
  const int row = kPlotHeight + 2 * kPlotMargin;
  const int height = row * static_cast<int>(report.streams.size());
  std::string svg =
      Concat("<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"", kPlotWidth + 2 * kPlotMargin,
             "\" height=\"", height, "\" font-family=\"sans-serif\" font-size=\"12\">\n");
  for (std::size_t i = 0; i < report.streams.size(); ++i) {
    const StreamReport& stream = report.streams[i];
    const int top = row * static_cast<int>(i) + kPlotMargin;
    std::uint64_t most = 0;
    for (const auto value : stream.good_by_second) most = std::max(most, value);
    for (const auto value : stream.refused_by_second) most = std::max(most, value);
    AppendTo(&svg, "<text x=\"", kPlotMargin, "\" y=\"", top - 8, "\">", stream.service,
             ": good (green) and refused (red) a second, at most ", most, "</text>\n", "<rect x=\"",
             kPlotMargin, "\" y=\"", top, "\" width=\"", kPlotWidth, "\" height=\"", kPlotHeight,
             "\" fill=\"none\" stroke=\"#bbb\"/>\n",
             Polyline(stream.good_by_second, most, top, "#1a7f37"),
             Polyline(stream.refused_by_second, most, top, "#cf222e"));
  }
  return svg + "</svg>\n";
}

}  // namespace wigeonlane
