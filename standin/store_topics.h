/// The platform's store for tests: topics of partitions, with newest values by key and producers.
#ifndef WIGEONLANE_STANDIN_STORE_TOPICS_H_
#define WIGEONLANE_STANDIN_STORE_TOPICS_H_

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

#include "net/http_message.h"

namespace wigeonlane {

/// One partition of a topic.
struct PartitionName {
  std::string topic;
  std::uint32_t part = 0;

  auto operator<=>(const PartitionName&) const = default;
};

/// Who appends, for an append that must not be done twice.
struct AppendProducer {
  std::string name;
  std::uint64_t epoch = 0;
  std::optional<std::uint64_t> sequence;  ///< Left out when the body is empty.
};

/// Answers as PROTOCOL.md says; keeps everything in memory. Not safe for several threads.
class StoreTopics {
 public:
  HttpResponse Append(const PartitionName& to, const std::optional<AppendProducer>& producer,
                      const std::string& body);

  /// What stands from offset `from` on; 410 when that was deleted.
  HttpResponse Read(const PartitionName& name, std::uint64_t from) const;

  bool HasNews(const PartitionName& name, std::uint64_t from) const;

  /// A page of the newest records after the key `after`.
  HttpResponse Newest(const PartitionName& name, const std::string& after) const;

  /// Appends one record of the platform's own; no value deletes the key.
  void Put(const PartitionName& to, const std::string& key, const std::string& value);

  /// Deletes all records; the newest of each key can still be had from `Newest`.
  void Compact(const PartitionName& name);

 private:
  struct NewestRecord {
    std::string value;
    std::uint64_t offset = 0;
  };

  struct ProducerState {
    std::uint64_t epoch = 0;
    std::optional<std::uint64_t> last;
    std::deque<std::pair<std::uint64_t, HttpResponse>> recent;  ///< First answers, by sequence.
  };

  struct Partition {
    std::uint64_t first = 0;  ///< Offset of the oldest record that is left.
    std::deque<std::string> records;
    std::map<std::string, NewestRecord> newest;
    std::map<std::string, ProducerState> producers;

    std::uint64_t end() const { return first + records.size(); }
  };

  static HttpResponse Store(Partition* partition, std::string_view body);
  static void StoreOne(Partition* partition, std::string_view content);

  std::map<PartitionName, Partition> partitions_;
};

}  // namespace wigeonlane

#endif  // WIGEONLANE_STANDIN_STORE_TOPICS_H_
