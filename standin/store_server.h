/// HTTP server of the stand-in store, with fault injection.
#ifndef WIGEONLANE_STANDIN_STORE_SERVER_H_
#define WIGEONLANE_STANDIN_STORE_SERVER_H_

#include <asio/io_context.hpp>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "absl/status/status.h"
#include "core/clock.h"
#include "net/async_http_server.h"
#include "standin/fault_switches.h"
#include "standin/request_query.h"
#include "standin/store_group.h"
#include "standin/store_topics.h"

namespace wigeonlane {

/// Serves the store. Not safe for several threads. Faults: `down` refuses all requests; `silent`
/// ignores all requests without a response; `lose_append_answers` stores the next N appends without
/// a response; `delay_ms` delays each request.
class StoreServer {
 public:
  StoreServer(asio::io_context* io, std::uint32_t partition_count);

  absl::Status Listen(const Endpoint& endpoint) { return server_.Listen(endpoint); }

  /// Responds to reads that have records to return or reached their deadline.
  void Advance(Instant now);

  /// Moves the partitions of every group to other members.
  void Rebalance();
  StoreTopics& topics() { return topics_; }
  FaultSwitches& faults() { return faults_; }

 private:
  struct OpenRead {
    PartitionName partition;
    std::uint64_t from = 0;
    Instant deadline{};
    HttpReply reply;
  };

  void Serve(const HttpRequest& request, const HttpReply& reply);
  void HandleRequest(const HttpRequest& request, const HttpReply& reply);
  void Append(const RequestQuery& query, const std::string& body, const HttpReply& reply);
  void Read(const RequestQuery& query, const HttpReply& reply);
  HttpResponse Join(const std::string& body);
  HttpResponse Leave(const std::string& body);
  HttpResponse Owners(const std::string& name);

  asio::io_context* io_;
  const std::uint32_t partition_count_;
  SteadyClock clock_;
  StoreTopics topics_;
  std::map<std::string, StoreGroup> groups_;
  std::map<std::string, std::string> group_topics_;
  std::vector<OpenRead> open_reads_;
  FaultSwitches faults_;
  AsyncHttpServer server_;
};

}  // namespace wigeonlane

#endif  // WIGEONLANE_STANDIN_STORE_SERVER_H_
