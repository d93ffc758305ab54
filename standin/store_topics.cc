#include "standin/store_topics.h"

#include <nlohmann/json.hpp>

#include "absl/strings/escaping.h"
#include "core/big_endian.h"
#include "core/http_status.h"
#include "standin/json_response.h"

namespace wigeonlane {
namespace {

constexpr std::size_t kLengthBytes = 4;
constexpr std::size_t kOffsetBytes = 8;
/// Bounds of PROTOCOL.md: bytes of a read, records of a page, answers kept for repeats.
constexpr std::size_t kReadBytes = 1024 * 1024;
constexpr std::size_t kPageRecords = 500;
constexpr std::size_t kRepeats = 5;

}  // namespace

HttpResponse StoreTopics::Append(const PartitionName& to,
                                 const std::optional<AppendProducer>& producer,
                                 const std::string& body) {
  Partition& partition = partitions_[to];
  if (!producer) return Store(&partition, body);
  ProducerState& known = partition.producers[producer->name];
  if (producer->epoch < known.epoch) {
    return JsonResponse(http_status::kConflict, {{"Reason", "fenced"}});
  }
  if (producer->epoch > known.epoch) known = {producer->epoch, {}, {}};
  if (!producer->sequence) return Store(&partition, body);
  for (const auto& [sequence, response] : known.recent) {
    if (sequence == *producer->sequence) return response;
  }
  if (known.last && *producer->sequence != *known.last + 1) {
    return JsonResponse(http_status::kConflict, {{"Reason", "seq"}, {"Seq", *known.last + 1}});
  }
  known.last = producer->sequence;
  HttpResponse response = Store(&partition, body);
  known.recent.emplace_back(*producer->sequence, response);
  if (known.recent.size() > kRepeats) known.recent.pop_front();
  return response;
}

HttpResponse StoreTopics::Store(Partition* partition, std::string_view body) {
  const std::uint64_t offset = partition->end();
  while (body.size() >= kLengthBytes) {
    const std::uint64_t size = BigEndian(body.substr(0, kLengthBytes));
    body.remove_prefix(kLengthBytes);
    StoreOne(partition, body.substr(0, size));
    body.remove_prefix(std::min<std::size_t>(size, body.size()));
  }
  return JsonResponse(http_status::kOk, {{"Offset", offset}, {"EndOffset", partition->end()}});
}

void StoreTopics::StoreOne(Partition* partition, std::string_view content) {
  const std::uint64_t offset = partition->end();
  partition->records.emplace_back(content);
  if (content.empty()) return;
  const std::size_t key_size = static_cast<unsigned char>(content.front());
  const std::string key(content.substr(1, key_size));
  const std::string_view value = content.substr(std::min(1 + key_size, content.size()));
  if (value.empty()) {
    partition->newest.erase(key);
  } else {
    partition->newest[key] = {std::string(value), offset};
  }
}

HttpResponse StoreTopics::Read(const PartitionName& name, std::uint64_t from) const {
  HttpResponse response;
  const auto found = partitions_.find(name);
  const Partition none;
  const Partition& partition = found == partitions_.end() ? none : found->second;
  if (from < partition.first) {
    return JsonResponse(http_status::kGone, {{"FirstOffset", partition.first}});
  }
  response.code = http_status::kOk;
  response.content_type = "application/octet-stream";
  AppendBigEndian(&response.body, partition.end(), kOffsetBytes);
  AppendBigEndian(&response.body, partition.first, kOffsetBytes);
  for (std::uint64_t at = from; at < partition.end() && response.body.size() < kReadBytes; ++at) {
    const std::string& record = partition.records[at - partition.first];
    AppendBigEndian(&response.body, record.size(), kLengthBytes);
    response.body += record;
  }
  return response;
}

bool StoreTopics::HasNews(const PartitionName& name, std::uint64_t from) const {
  const auto found = partitions_.find(name);
  return found != partitions_.end() && (from < found->second.end() || from < found->second.first);
}

HttpResponse StoreTopics::Newest(const PartitionName& name, const std::string& after) const {
  nlohmann::json items = nlohmann::json::array();
  const auto found = partitions_.find(name);
  if (found == partitions_.end()) {
    return JsonResponse(http_status::kOk, {{"items", items}, {"HasMore", false}, {"EndOffset", 0}});
  }
  const Partition& partition = found->second;
  auto it = after.empty() ? partition.newest.begin() : partition.newest.upper_bound(after);
  for (; it != partition.newest.end() && items.size() < kPageRecords; ++it) {
    items.push_back({{"Key", it->first},
                     {"Value", absl::Base64Escape(it->second.value)},
                     {"Offset", it->second.offset}});
  }
  return JsonResponse(http_status::kOk, {{"items", items},
                                         {"HasMore", it != partition.newest.end()},
                                         {"EndOffset", partition.end()}});
}

void StoreTopics::Put(const PartitionName& to, const std::string& key, const std::string& value) {
  std::string content(1, static_cast<char>(key.size()));
  StoreOne(&partitions_[to], content + key + value);
}

void StoreTopics::Compact(const PartitionName& name) {
  Partition& partition = partitions_[name];
  partition.first = partition.end();
  partition.records.clear();
}

}  // namespace wigeonlane
