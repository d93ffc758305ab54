/// In-memory store of the stand-in platform: topics of partitions, with the newest value of each
/// key and the state of each producer.
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

/// Identifies one partition of a topic.
struct PartitionName {
  std::string topic;
  std::uint32_t partition = 0;

  auto operator<=>(const PartitionName&) const = default;
};

/// The producer of an append, by which the store refuses outdated epochs and detects repeats.
struct AppendProducer {
  std::string name;
  std::uint64_t epoch = 0;
  std::optional<std::uint64_t> sequence;  ///< Missing when the body is empty.
};

/// Responds as PROTOCOL.md specifies and keeps all records in memory. Not safe for several threads.
class StoreTopics {
 public:
  /// Appends the length-prefixed records of `body`. Responds 409 to an outdated producer epoch or a
  /// gap in the sequence; a repeated sequence number gets the first response again.
  HttpResponse Append(const PartitionName& to, const std::optional<AppendProducer>& producer,
                      const std::string& body);

  /// Returns the records from offset `from` on, or 410 when the record at `from` was deleted.
  HttpResponse Read(const PartitionName& name, std::uint64_t from) const;

  /// True when a read from `from` on can be answered at once: with records, or with 410.
  bool IsReadReady(const PartitionName& name, std::uint64_t from) const;

  /// Returns a page of the newest record of each key, in key order, after the key `after`.
  HttpResponse ReadNewest(const PartitionName& name, const std::string& after) const;

  /// Appends one record of the platform itself. An empty value deletes the key.
  void Put(const PartitionName& to, const std::string& key, const std::string& value);

  /// Deletes all records; `ReadNewest` still returns the newest record of each key.
  void Compact(const PartitionName& name);

 private:
  struct NewestRecord {
    std::string value;
    std::uint64_t offset = 0;
  };

  struct ProducerState {
    std::uint64_t epoch = 0;
    std::optional<std::uint64_t> last_sequence;
    /// First response to each recent sequence number.
    std::deque<std::pair<std::uint64_t, HttpResponse>> recent_responses;
  };

  struct Partition {
    std::uint64_t first_offset = 0;  ///< Offset of the oldest retained record.
    std::deque<std::string> records;
    std::map<std::string, NewestRecord> newest_by_key;
    std::map<std::string, ProducerState> producers;

    std::uint64_t end() const { return first_offset + records.size(); }
  };

  static HttpResponse StoreRecords(Partition* partition, std::string_view body);
  static void StoreRecord(Partition* partition, std::string_view content);

  std::map<PartitionName, Partition> partitions_;
};

}  // namespace wigeonlane

#endif  // WIGEONLANE_STANDIN_STORE_TOPICS_H_
