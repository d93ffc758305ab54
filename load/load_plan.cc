#include "load/load_plan.h"

#include <nlohmann/json.hpp>

#include "core/document.h"
#include "core/text.h"

namespace wigeonlane {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kMaxRunDuration{24 * 3'600'000};
constexpr std::int64_t kMaxArrivalsPerSecond = 1'000'000;
constexpr std::int64_t kMaxThreads = 4096;

absl::StatusOr<std::vector<Endpoint>> ParseEndpointList(const nlohmann::json& json,
                                                        const char* field) {
  std::vector<Endpoint> endpoints;
  if (!json.contains(field)) return endpoints;
  for (const nlohmann::json& item : json.at(field)) {
    if (!item.is_string()) {
      return absl::InvalidArgumentError(Concat("load.", field, ": allowed: IPv4:PORT texts"));
    }
    const auto endpoint = ParseEndpoint(item.get<std::string>());
    if (!endpoint.ok()) {
      return absl::InvalidArgumentError(Concat("load.", field, ": ", MessageOf(endpoint.status())));
    }
    endpoints.push_back(*endpoint);
  }
  return endpoints;
}

absl::StatusOr<LoadStream> ParseStream(const nlohmann::json& json, const std::string& path) {
  DocumentReader reader(json, path);
  LoadStream stream;
  stream.service = reader.Name("service");
  stream.method = reader.Choice("method", {"GET", "POST", "PUT"}, "GET");
  stream.urgency = reader.Choice("urgency", {"bulk", "normal", "urgent"}, "normal");
  stream.per_second = static_cast<double>(reader.Integer("per_second", 0, kMaxArrivalsPerSecond));
  stream.work = reader.Period("work", milliseconds(0), milliseconds(60'000), milliseconds(2));
  stream.deadline =
      reader.Period("deadline", milliseconds(1), milliseconds(600'000), milliseconds(2'000));
  stream.keys = reader.Boolean("keys", false);
  stream.repeats = static_cast<std::uint32_t>(reader.Integer("repeats", 0, 1000, 0));
  stream.flood_at = reader.Period("flood_at", milliseconds(0), kMaxRunDuration, milliseconds(0));
  stream.flood_for = reader.Period("flood_for", milliseconds(0), kMaxRunDuration, milliseconds(0));
  stream.flood_times = static_cast<double>(reader.Integer("flood_times", 1, 1000, 1));
  if (absl::Status status = reader.Finish(); !status.ok()) return status;
  return stream;
}

absl::StatusOr<std::vector<double>> ParseWeights(const nlohmann::json& json, std::size_t targets) {
  std::vector<double> weights(targets, 1.0);
  if (!json.contains("weights")) return weights;
  const nlohmann::json& weights_json = json.at("weights");
  if (!weights_json.is_array() || weights_json.size() != targets) {
    return absl::InvalidArgumentError("load.weights: allowed: one number for each target");
  }
  for (std::size_t i = 0; i < targets; ++i) {
    if (!weights_json[i].is_number() || weights_json[i].get<double>() < 0) {
      return absl::InvalidArgumentError("load.weights: allowed: numbers from 0");
    }
    weights[i] = weights_json[i].get<double>();
  }
  return weights;
}

}  // namespace

absl::StatusOr<LoadPlan> ParseLoadPlan(std::string_view json_text) {
  const auto json = ParseJson(json_text);
  if (!json.ok()) return json.status();
  if (!json->is_object()) return absl::InvalidArgumentError("load: not a JSON object");
  nlohmann::json scalars = *json;
  for (const char* list : {"targets", "ledgers", "streams", "weights"}) scalars.erase(list);
  DocumentReader reader(scalars, "load");
  LoadPlan plan;
  plan.seed = static_cast<std::uint64_t>(reader.Integer("seed", 0, INT64_MAX, 1));
  plan.duration = reader.Period("duration", milliseconds(1), kMaxRunDuration, milliseconds(10'000));
  plan.threads = static_cast<std::size_t>(reader.Integer("threads", 1, kMaxThreads, 256));
  plan.closed_callers =
      static_cast<std::size_t>(reader.Integer("closed_callers", 0, kMaxThreads, 0));
  plan.direct = reader.Boolean("direct", false);
  if (absl::Status status = reader.Finish(); !status.ok()) return status;
  const auto targets = ParseEndpointList(*json, "targets");
  const auto ledgers = ParseEndpointList(*json, "ledgers");
  if (!targets.ok()) return targets.status();
  if (!ledgers.ok()) return ledgers.status();
  if (targets->empty()) return absl::InvalidArgumentError("load.targets: name at least one");
  plan.targets = *targets;
  plan.ledgers = *ledgers;
  const auto weights = ParseWeights(*json, plan.targets.size());
  if (!weights.ok()) return weights.status();
  plan.weights = *weights;
  const nlohmann::json streams = json->value("streams", nlohmann::json::array());
  if (!streams.is_array()) return absl::InvalidArgumentError("load.streams: not a list");
  for (std::size_t i = 0; i < streams.size(); ++i) {
    const auto stream = ParseStream(streams[i], Concat("load.streams[", i, "]"));
    if (!stream.ok()) return stream.status();
    plan.streams.push_back(*stream);
  }
  if (plan.streams.empty()) return absl::InvalidArgumentError("load.streams: name at least one");
  return plan;
}

}  // namespace wigeonlane
