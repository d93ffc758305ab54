/// Messages between entry instances: heartbeats by UDP, questions and answers by TCP.
#ifndef WIGEONLANE_PEER_MESSAGES_H_
#define WIGEONLANE_PEER_MESSAGES_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

#include "absl/status/statusor.h"
#include "core/digest.h"
#include "core/settings.h"
#include "fleet/record.h"
#include "fleet/types.h"

namespace wigeonlane {

/// First byte of every datagram and frame. Others are dropped.
inline constexpr std::uint8_t kPeerProtocolVersion = 1;

/// Largest datagram, so that none is fragmented on common networks.
inline constexpr std::size_t kMaxDatagramBytes = 1200;

/// Largest TCP frame; bounds a state transfer.
inline constexpr std::size_t kMaxFrameBytes = 64 * 1024 * 1024;

/// What an entry instance tells all others several times a second. One that is too large for a
/// datagram is sent in parts, each with its own slice of the demand.
struct Heartbeat {
  std::string incarnation;
  std::string name;
  std::string data_centre;
  Endpoint peer;
  std::uint64_t sequence = 0;
  std::uint16_t part = 0;
  std::uint16_t parts = 1;
  std::chrono::milliseconds interval{0};  ///< Until the next one.
  Offset next_offset = 0;  ///< Everything below it is in force for new requests there.
  bool has_state = false;
  bool leaving = false;
  std::map<std::string, std::uint32_t> demand;     ///< By service, in hundredths of a slot.
  std::map<std::string, std::uint32_t> in_flight;  ///< By draining instance.
  std::vector<Endpoint> known;                     ///< Some other members, so that all meet.

  template <class Archive>
  void serialize(Archive& archive) {
    archive(incarnation, name, data_centre, peer, sequence, part, parts, interval, next_offset,
            has_state, leaving, demand, in_flight, known);
  }
};

/// Asks for log entries from `from` on.
struct SuffixRequest {
  Offset from = 0;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(from);
  }
};

/// Asks for the whole folded state.
struct StateRequest {
  std::uint8_t reserved = 0;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(reserved);
  }
};

/// Asks the author of an order claim for the outcome.
struct OutcomeRequest {
  Digest key;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(key);
  }
};

using PeerRequest = std::variant<SuffixRequest, StateRequest, OutcomeRequest>;

/// Entries in offset order; empty when they are not kept any more.
struct SuffixResponse {
  std::vector<LogEntry> entries;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(entries);
  }
};

/// The encoded state with its digest.
struct StateResponse {
  Digest digest;
  std::string bytes;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(digest, bytes);
  }
};

enum class OutcomeKnowledge : std::uint8_t { kUnknown, kInFlight, kKnown };

/// The kept answer to a caller, while it is known.
struct OutcomeResponse {
  OutcomeKnowledge knowledge = OutcomeKnowledge::kUnknown;
  std::int32_t code = 0;
  std::uint8_t execution = 0;
  std::vector<std::pair<std::string, std::string>> headers;
  std::string body;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(knowledge, code, execution, headers, body);
  }
};

using PeerResponse = std::variant<SuffixResponse, StateResponse, OutcomeResponse>;

/// The datagrams of one heartbeat, none larger than `kMaxDatagramBytes` unless a single name is.
std::vector<std::string> EncodeHeartbeat(const Heartbeat& heartbeat);

/// Decodes a datagram of unknown origin. Errors: InvalidArgument.
absl::StatusOr<Heartbeat> DecodeHeartbeat(std::string_view datagram);

std::string EncodeRequest(const PeerRequest& request);
absl::StatusOr<PeerRequest> DecodeRequest(std::string_view bytes);
std::string EncodeResponse(const PeerResponse& response);
absl::StatusOr<PeerResponse> DecodeResponse(std::string_view bytes);

}  // namespace wigeonlane

#endif  // WIGEONLANE_PEER_MESSAGES_H_
