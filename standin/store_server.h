/// The HTTP face of the stand-in store, with faults in between.
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

/// Not safe for several threads. Faults: `down` refuses all, `silent` answers nothing and does
/// nothing, `lose_append_answers` stores that many appends without an answer, `delay_ms`.
class StoreServer {
 public:
  StoreServer(asio::io_context* io, std::uint32_t parts);

  absl::Status Listen(const Endpoint& at) { return server_.Listen(at); }

  /// Answers reads that have waited long enough or for which a record has come.
  void Advance(Instant now);

  void Rebalance();
  StoreTopics& topics() { return topics_; }
  FaultSwitches& faults() { return faults_; }

 private:
  struct OpenRead {
    PartitionName name;
    std::uint64_t from = 0;
    Instant until{};
    HttpReply reply;
  };

  void Serve(const HttpRequest& request, const HttpReply& reply);
  void Handle(const HttpRequest& request, const HttpReply& reply);
  void Append(const RequestQuery& query, const std::string& body, const HttpReply& reply);
  void Read(const RequestQuery& query, const HttpReply& reply);
  HttpResponse Join(const std::string& body);
  HttpResponse Leave(const std::string& body);
  HttpResponse Owners(const std::string& group);

  asio::io_context* io_;
  const std::uint32_t parts_;
  SteadyClock clock_;
  StoreTopics topics_;
  std::map<std::string, StoreGroup> groups_;
  std::map<std::string, std::string> group_topics_;
  std::vector<OpenRead> reads_;
  FaultSwitches faults_;
  AsyncHttpServer server_;
};

}  // namespace wigeonlane

#endif  // WIGEONLANE_STANDIN_STORE_SERVER_H_
