#include "standin/store_server.h"

#include <asio/steady_timer.hpp>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <utility>

#include "core/http_status.h"
#include "standin/json_response.h"

namespace wigeonlane {
namespace {

PartitionName PartitionOf(const RequestQuery& query) {
  return {query.Text("Topic"), static_cast<std::uint32_t>(query.Number("part"))};
}

}  // namespace

StoreServer::StoreServer(asio::io_context* io, std::uint32_t partition_count)
    : io_(io),
      partition_count_(partition_count),
      faults_({{"down", 0}, {"silent", 0}, {"lose_append_answers", 0}, {"delay_ms", 0}}),
      server_(
          io, [this](const HttpRequest& request, const HttpReply& reply) { Serve(request, reply); },
          [] { return HttpServerLimits(); }) {}

void StoreServer::Serve(const HttpRequest& request, const HttpReply& reply) {
  if (faults_.IsOn("silent")) return;
  if (faults_.IsOn("down")) {
    return reply(JsonResponse(http_status::kUnavailable, nlohmann::json::object()));
  }
  const std::chrono::milliseconds delay(faults_.Value("delay_ms"));
  if (delay.count() == 0) return HandleRequest(request, reply);
  const auto timer = std::make_shared<asio::steady_timer>(*io_, delay);
  timer->async_wait([this, timer, request, reply](asio::error_code error) {
    if (!error) HandleRequest(request, reply);
  });
}

void StoreServer::HandleRequest(const HttpRequest& request, const HttpReply& reply) {
  const RequestQuery query(request.target);
  try {
    if (query.path() == "/log-append") return Append(query, request.body, reply);
    if (query.path() == "/log-read") return Read(query, reply);
    if (query.path() == "/log-newest") {
      return reply(topics_.ReadNewest(PartitionOf(query), query.Text("After")));
    }
    if (query.path() == "/log-join") return reply(Join(request.body));
    if (query.path() == "/log-leave") return reply(Leave(request.body));
    if (query.path() == "/log-owners") return reply(Owners(query.Text("group")));
    reply(JsonResponse(http_status::kNotFound, nlohmann::json::object()));
  } catch (const nlohmann::json::exception& error) {
    reply(JsonResponse(http_status::kBadRequest, {{"Reason", error.what()}}));
  }
}

void StoreServer::Append(const RequestQuery& query, const std::string& body,
                         const HttpReply& reply) {
  std::optional<AppendProducer> producer;
  if (query.Has("Producer")) {
    producer = AppendProducer{query.Text("Producer"), query.Number("epoch"), {}};
    if (query.Has("Seq")) producer->sequence = query.Number("Seq");
  }
  HttpResponse response = topics_.Append(PartitionOf(query), producer, body);
  if (faults_.Consume("lose_append_answers")) return;
  reply(std::move(response));
  Advance(clock_.Now());
}

void StoreServer::Read(const RequestQuery& query, const HttpReply& reply) {
  const std::chrono::milliseconds wait(query.Number("WaitMs"));
  open_reads_.push_back({PartitionOf(query), query.Number("From"), clock_.Now() + wait, reply});
  Advance(clock_.Now());
}

void StoreServer::Advance(Instant now) {
  const auto reply_if_ready = [&](const OpenRead& read) {
    if (now < read.deadline && !topics_.IsReadReady(read.partition, read.from)) return false;
    read.reply(topics_.Read(read.partition, read.from));
    return true;
  };
  std::erase_if(open_reads_, reply_if_ready);
}

HttpResponse StoreServer::Join(const std::string& body) {
  const nlohmann::json request = nlohmann::json::parse(body);
  const auto name = request.at("group").get<std::string>();
  StoreGroup& group = groups_.try_emplace(name, partition_count_).first->second;
  const auto topic = request.at("Topics").at(0).get<std::string>();
  group_topics_[name] = topic;
  const auto held = group.Join(request.at("Member"), std::chrono::milliseconds(request.at("TtlMs")),
                               request.at("Generation"), clock_.Now());
  nlohmann::json rows = nlohmann::json::array();
  for (const std::uint32_t partition : held) rows.push_back({topic, partition, 0});
  return JsonResponse(http_status::kOk, {{"Generation", group.generation()}, {"parts", rows}});
}

HttpResponse StoreServer::Leave(const std::string& body) {
  const nlohmann::json request = nlohmann::json::parse(body);
  const auto group = groups_.find(request.at("group").get<std::string>());
  if (group != groups_.end()) group->second.Leave(request.at("Member"), clock_.Now());
  return JsonResponse(http_status::kOk, nlohmann::json::object());
}

HttpResponse StoreServer::Owners(const std::string& name) {
  nlohmann::json rows = nlohmann::json::array();
  if (const auto group = groups_.find(name); group != groups_.end()) {
    for (const auto& [partition, member] : group->second.holders()) {
      rows.push_back({group_topics_[name], partition, member, 0});
    }
  }
  return JsonResponse(http_status::kOk, {{"parts", rows}});
}

void StoreServer::Rebalance() {
  for (auto& [name, group] : groups_) group.Rebalance();
}

}  // namespace wigeonlane
