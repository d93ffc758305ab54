/// Asynchronous HTTP/1.1 client for one server with a small pool of keep-alive connections.
#ifndef WIGEONLANE_NET_ASYNC_HTTP_CLIENT_H_
#define WIGEONLANE_NET_ASYNC_HTTP_CLIENT_H_

#include <asio/io_context.hpp>
#include <chrono>
#include <cstddef>
#include <deque>
#include <memory>
#include <string>
#include <vector>

#include "core/clock.h"
#include "core/settings.h"
#include "net/http_message.h"

namespace wigeonlane {

/// Sends requests over at most `max_connections` connections, one request at a time on each.
/// Not thread-safe; callbacks run on the io_context, never inside `Send`. Destroying the client
/// abandons all exchanges without calling their callbacks.
class AsyncHttpClient {
 public:
  AsyncHttpClient(asio::io_context* io, Endpoint server, std::size_t max_connections);
  ~AsyncHttpClient();
  AsyncHttpClient(const AsyncHttpClient&) = delete;
  AsyncHttpClient& operator=(const AsyncHttpClient&) = delete;

  /// Sends `request` and calls `callback` with the response, or with an error when no response
  /// arrives within `timeout`. A request waits for a connection for at most half of `timeout`:
  /// requests that are sent with little time left would time out after being sent and close their
  /// connections, so that the queue would never get shorter. `HttpExchange::execution` is kNotRun
  /// only when no byte of the request was written. No byte is written after `timeout` has expired,
  /// also when the process was suspended in between.
  void Send(const HttpRequest& request, std::chrono::milliseconds timeout, HttpCallback callback);

  /// Whether a connection is open on which a response has been received.
  bool connected() const;

  const Endpoint& server() const { return server_; }

 private:
  struct Exchange;
  class Connection;

  void Dispatch();
  /// Returns the first queued request whose queue time has not expired. Schedules the failure of
  /// the requests before it.
  std::deque<std::shared_ptr<Exchange>>::iterator FirstUnexpired();
  void ExpireAfter(Duration time, const std::shared_ptr<Exchange>& exchange);
  void Expire(const std::shared_ptr<Exchange>& exchange);
  void Drop(const Connection* connection);

  asio::io_context* io_;
  const Endpoint server_;
  const std::size_t max_connections_;
  std::vector<std::shared_ptr<Connection>> connections_;
  std::deque<std::shared_ptr<Exchange>> queue_;
};

}  // namespace wigeonlane

#endif  // WIGEONLANE_NET_ASYNC_HTTP_CLIENT_H_
