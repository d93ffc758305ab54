/// Messages between entry instances: heartbeats over UDP, requests and responses over TCP.
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

/// First byte of every datagram and frame. Messages with another first byte are dropped.
inline constexpr std::uint8_t kPeerProtocolVersion = 1;

/// Largest datagram that is not fragmented on common networks.
inline constexpr std::size_t kMaxDatagramBytes = 1200;

/// Largest TCP frame; bounds a state transfer.
inline constexpr std::size_t kMaxFrameBytes = 64 * 1024 * 1024;

/// State of an entry instance, sent to all others several times a second. A heartbeat that is too
/// large for a datagram is sent in parts, each with some of the demand.
struct Heartbeat {
  std::string incarnation;
  std::string name;
  std::string data_centre;
  Endpoint peer;
  std::uint64_t sequence = 0;
  std::uint16_t part = 0;
  std::uint16_t parts = 1;
  std::chrono::milliseconds interval{0};  ///< Time until the next heartbeat.
  Offset next_offset = 0;  ///< Log entries below it apply to new requests of the sender.
  bool has_state = false;
  bool leaving = false;
  std::map<std::string, std::uint32_t> demand;     ///< Hundredths of a slot by service.
  std::map<std::string, std::uint32_t> in_flight;  ///< Requests by draining instance.
  std::vector<Endpoint> known;  ///< Some other members, so that receivers discover them.

  template <class Archive>
  void serialize(Archive& archive) {
    archive(incarnation, name, data_centre, peer, sequence, part, parts, interval, next_offset,
            has_state, leaving, demand, in_flight, known);
  }
};

/// Requests the log entries from `from` on.
struct SuffixRequest {
  Offset from = 0;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(from);
  }
};

/// Requests the whole state that the log entries produce.
struct StateRequest {
  std::uint8_t reserved = 0;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(reserved);
  }
};

/// Requests the outcome of an order from the author of its claim.
struct OutcomeRequest {
  Digest key;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(key);
  }
};

using PeerRequest = std::variant<SuffixRequest, StateRequest, OutcomeRequest>;

/// Log entries in offset order; empty if the sender no longer keeps them.
struct SuffixResponse {
  std::vector<LogEntry> entries;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(entries);
  }
};

/// The encoded state and its digest.
struct StateResponse {
  Digest digest;
  std::string bytes;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(digest, bytes);
  }
};

enum class OutcomeKnowledge : std::uint8_t { kUnknown, kInFlight, kKnown };

/// The cached response to the caller of an order, set if `knowledge` is kKnown.
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

/// Encodes a heartbeat as datagrams, each within `kMaxDatagramBytes` unless one service's entry
/// alone exceeds it.
std::vector<std::string> EncodeHeartbeat(const Heartbeat& heartbeat);

/// Decodes a datagram from an untrusted source. Errors: InvalidArgument.
absl::StatusOr<Heartbeat> DecodeHeartbeat(std::string_view datagram);

std::string EncodeRequest(const PeerRequest& request);
absl::StatusOr<PeerRequest> DecodeRequest(std::string_view bytes);
std::string EncodeResponse(const PeerResponse& response);
absl::StatusOr<PeerResponse> DecodeResponse(std::string_view bytes);

}  // namespace wigeonlane

#endif  // WIGEONLANE_PEER_MESSAGES_H_
