#include "standin/store_topics.h"

#include <algorithm>
#include <nlohmann/json.hpp>

#include "absl/strings/escaping.h"
#include "core/big_endian.h"
#include "core/http_status.h"
#include "standin/json_response.h"

namespace wigeonlane {
namespace {

constexpr std::size_t kLengthBytes = 4;
constexpr std::size_t kOffsetBytes = 8;
// Limits that PROTOCOL.md sets.
constexpr std::size_t kMaxReadBytes = 1024 * 1024;
constexpr std::size_t kMaxPageRecords = 500;
// `RecordBytes` and `CallBytes` of the example settings in DEPLOY.md.
constexpr std::size_t kMaxRecordBytes = 262'144;
constexpr std::size_t kMaxCallBytes = 2'097'152;
/// Responses kept for each producer, to answer a repeated append with the first response
/// (PROTOCOL.md).
constexpr std::size_t kMaxRetainedResponses = 5;

bool FitsLimits(std::string_view body) {
  if (body.size() > kMaxCallBytes) return false;
  while (body.size() >= kLengthBytes) {
    const std::uint64_t size = BigEndian(body.substr(0, kLengthBytes));
    if (size > kMaxRecordBytes) return false;
    body.remove_prefix(std::min<std::size_t>(kLengthBytes + size, body.size()));
  }
  return true;
}

}  // namespace

HttpResponse StoreTopics::Append(const PartitionName& to,
                                 const std::optional<AppendProducer>& producer,
                                 const std::string& body) {
  Partition& partition = partitions_[to];
  if (!FitsLimits(body)) return JsonResponse(http_status::kBadRequest, {{"Reason", "size"}});
  if (!producer) return StoreRecords(&partition, body);
  ProducerState& state = partition.producers[producer->name];
  if (producer->epoch < state.epoch) {
    return JsonResponse(http_status::kConflict, {{"Reason", "fenced"}});
  }
  if (producer->epoch > state.epoch) state = {producer->epoch, {}, {}};
  if (!producer->sequence) return StoreRecords(&partition, body);
  for (const auto& [sequence, response] : state.recent_responses) {
    if (sequence == *producer->sequence) return response;
  }
  if (state.last_sequence && *producer->sequence != *state.last_sequence + 1) {
    return JsonResponse(http_status::kConflict,
                        {{"Reason", "seq"}, {"Seq", *state.last_sequence + 1}});
  }
  state.last_sequence = producer->sequence;
  HttpResponse response = StoreRecords(&partition, body);
  state.recent_responses.emplace_back(*producer->sequence, response);
  if (state.recent_responses.size() > kMaxRetainedResponses) state.recent_responses.pop_front();
  return response;
}

HttpResponse StoreTopics::StoreRecords(Partition* partition, std::string_view body) {
  const std::uint64_t offset = partition->end();
  while (body.size() >= kLengthBytes) {
    const std::uint64_t size = BigEndian(body.substr(0, kLengthBytes));
    body.remove_prefix(kLengthBytes);
    StoreRecord(partition, body.substr(0, size));
    body.remove_prefix(std::min<std::size_t>(size, body.size()));
  }
  return JsonResponse(http_status::kOk, {{"Offset", offset}, {"EndOffset", partition->end()}});
}

void StoreTopics::StoreRecord(Partition* partition, std::string_view content) {
  const std::uint64_t offset = partition->end();
  partition->records.emplace_back(content);
  if (content.empty()) return;
  const std::size_t key_size = static_cast<unsigned char>(content.front());
  const std::string key(content.substr(1, key_size));
  const std::string_view value = content.substr(std::min(1 + key_size, content.size()));
  if (value.empty()) {
    partition->newest_by_key.erase(key);
  } else {
    partition->newest_by_key[key] = {std::string(value), offset};
  }
}

HttpResponse StoreTopics::Read(const PartitionName& name, std::uint64_t from) const {
  HttpResponse response;
  const auto found = partitions_.find(name);
  const Partition empty_partition;
  const Partition& partition = found == partitions_.end() ? empty_partition : found->second;
  if (from < partition.first_offset) {
    return JsonResponse(http_status::kGone, {{"FirstOffset", partition.first_offset}});
  }
  response.code = http_status::kOk;
  response.content_type = "application/octet-stream";
  AppendBigEndian(&response.body, partition.end(), kOffsetBytes);
  AppendBigEndian(&response.body, partition.first_offset, kOffsetBytes);
  for (std::uint64_t offset = from;
       offset < partition.end() && response.body.size() < kMaxReadBytes; ++offset) {
    const std::string& record = partition.records[offset - partition.first_offset];
    AppendBigEndian(&response.body, record.size(), kLengthBytes);
    response.body += record;
  }
  return response;
}

bool StoreTopics::IsReadReady(const PartitionName& name, std::uint64_t from) const {
  const auto found = partitions_.find(name);
  return found != partitions_.end() &&
         (from < found->second.end() || from < found->second.first_offset);
}

HttpResponse StoreTopics::ReadNewest(const PartitionName& name, const std::string& after) const {
  nlohmann::json items = nlohmann::json::array();
  const auto found = partitions_.find(name);
  if (found == partitions_.end()) {
    return JsonResponse(http_status::kOk, {{"items", items}, {"HasMore", false}, {"EndOffset", 0}});
  }
  const Partition& partition = found->second;
  auto it =
      after.empty() ? partition.newest_by_key.begin() : partition.newest_by_key.upper_bound(after);
  for (; it != partition.newest_by_key.end() && items.size() < kMaxPageRecords; ++it) {
    items.push_back({{"Key", it->first},
                     {"Value", absl::Base64Escape(it->second.value)},
                     {"Offset", it->second.offset}});
  }
  return JsonResponse(http_status::kOk, {{"items", items},
                                         {"HasMore", it != partition.newest_by_key.end()},
                                         {"EndOffset", partition.end()}});
}

void StoreTopics::Put(const PartitionName& to, const std::string& key, const std::string& value) {
  std::string content(1, static_cast<char>(key.size()));
  StoreRecord(&partitions_[to], content + key + value);
}

void StoreTopics::Compact(const PartitionName& name) {
  Partition& partition = partitions_[name];
  partition.first_offset = partition.end();
  partition.records.clear();
}

}  // namespace wigeonlane
