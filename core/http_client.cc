#include "core/http_client.h"

#include <httplib.h>

#include "core/head_limited_client.h"
#include "core/text.h"

namespace wigeonlane {

struct HttpClient::Connection {
  Connection(const Endpoint& server, std::chrono::milliseconds timeout)
      : client(server.host, server.port) {
    const auto micros = std::chrono::duration_cast<std::chrono::microseconds>(timeout);
    const auto seconds = std::chrono::duration_cast<std::chrono::seconds>(timeout);
    client.set_connection_timeout(seconds.count(), (micros - seconds).count());
    client.set_read_timeout(timeout);
    client.set_write_timeout(timeout);
    client.set_keep_alive(true);
    client.set_tcp_nodelay(true);
  }

  HeadLimitedClient client;
};

HttpClient::HttpClient(Endpoint server, std::chrono::milliseconds timeout)
    : server_(std::move(server)), connection_(std::make_unique<Connection>(server_, timeout)) {}

HttpClient::~HttpClient() = default;

template <typename Call>
HttpExchange HttpClient::Exchange(Call call) {
  const std::lock_guard lock(mutex_);
  httplib::Result result = call(connection_->client);
  if (result) return {HttpAnswer{result->status, std::move(result->body)}, Execution::kRan};
  const bool connected = result.error() != httplib::Error::Connection &&
                         result.error() != httplib::Error::ConnectionTimeout;
  return {
      absl::UnavailableError(Concat(server_.ToString(), ": ", httplib::to_string(result.error()))),
      connected ? Execution::kMayHaveRun : Execution::kNotRun};
}

HttpExchange HttpClient::Fetch(const std::string& path) {
  return Exchange([&](HeadLimitedClient& client) { return client.Get(path); });
}

HttpExchange HttpClient::Post(const std::string& path, const std::string& json) {
  return Exchange(
      [&](HeadLimitedClient& client) { return client.Post(path, json, "application/json"); });
}

void HttpClient::Cancel() { connection_->client.stop(); }

}  // namespace wigeonlane
