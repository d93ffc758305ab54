#include "peer/messages.h"

#include "core/codec.h"
#include "core/text.h"

namespace wigeonlane {
namespace {

constexpr std::size_t kDemandEntryOverhead = 2 * sizeof(std::uint32_t);
constexpr std::uint16_t kMaxHeartbeatParts = 1024;

template <typename T>
std::string EncodeVersioned(const T& value) {
  std::string bytes(1, static_cast<char>(kPeerProtocolVersion));
  bytes += Encode(value);
  return bytes;
}

template <typename T>
absl::StatusOr<T> DecodeVersioned(std::string_view bytes, std::size_t max_bytes) {
  if (bytes.size() > max_bytes) return absl::InvalidArgumentError("message is too large");
  if (bytes.empty() || static_cast<std::uint8_t>(bytes.front()) != kPeerProtocolVersion) {
    return absl::InvalidArgumentError("unknown protocol version");
  }
  return Decode<T>(bytes.substr(1));
}

}  // namespace

std::vector<std::string> EncodeHeartbeat(const Heartbeat& heartbeat) {
  Heartbeat part = heartbeat;
  part.demand.clear();
  const std::size_t fixed = EncodeVersioned(part).size();
  std::vector<Heartbeat> parts = {part};
  std::size_t size = fixed;
  for (const auto& [service, demand] : heartbeat.demand) {
    const std::size_t entry = service.size() + kDemandEntryOverhead;
    if (size + entry > kMaxDatagramBytes && !parts.back().demand.empty()) {
      parts.push_back(part);
      size = fixed;
    }
    parts.back().demand[service] = demand;
    size += entry;
  }
  std::vector<std::string> datagrams;
  for (std::size_t i = 0; i < parts.size(); ++i) {
    parts[i].part = static_cast<std::uint16_t>(i);
    parts[i].parts = static_cast<std::uint16_t>(parts.size());
    datagrams.push_back(EncodeVersioned(parts[i]));
  }
  return datagrams;
}

absl::StatusOr<Heartbeat> DecodeHeartbeat(std::string_view datagram) {
  auto heartbeat = DecodeVersioned<Heartbeat>(datagram, 64 * 1024);
  if (!heartbeat.ok()) return heartbeat;
  const bool valid = !heartbeat->incarnation.empty() && heartbeat->part < heartbeat->parts &&
                     heartbeat->parts <= kMaxHeartbeatParts &&
                     heartbeat->interval >= std::chrono::milliseconds(0) &&
                     heartbeat->interval <= std::chrono::minutes(1);
  if (!valid) return absl::InvalidArgumentError("heartbeat with impossible fields");
  return heartbeat;
}

std::string EncodeRequest(const PeerRequest& request) { return EncodeVersioned(request); }

absl::StatusOr<PeerRequest> DecodeRequest(std::string_view bytes) {
  return DecodeVersioned<PeerRequest>(bytes, kMaxFrameBytes);
}

std::string EncodeResponse(const PeerResponse& response) { return EncodeVersioned(response); }

absl::StatusOr<PeerResponse> DecodeResponse(std::string_view bytes) {
  return DecodeVersioned<PeerResponse>(bytes, kMaxFrameBytes);
}

}  // namespace wigeonlane
