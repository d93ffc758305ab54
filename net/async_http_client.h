/// Asynchronous HTTP/1.1 client of one server: a small pool of keep-alive connections.
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
/// Not safe for several threads; callbacks run on the io_context. A callback never runs inside
/// `Send`. Destroying the client ends all exchanges without calling back.
class AsyncHttpClient {
 public:
  AsyncHttpClient(asio::io_context* io, Endpoint server, std::size_t max_connections);
  ~AsyncHttpClient();
  AsyncHttpClient(const AsyncHttpClient&) = delete;
  AsyncHttpClient& operator=(const AsyncHttpClient&) = delete;

  /// Sends `request` and calls back with the answer, or with an error when there is none within
  /// `timeout`. At most half of it is spent in line for a connection: requests that are sent with
  /// little time left time out on their way and close their connections, and the line never gets
  /// shorter. `HttpExchange::execution` is kNotRun only when no byte of the request was written.
  /// None is written once `timeout` is over, also when the process stood still meanwhile.
  void Send(const HttpRequest& request, std::chrono::milliseconds timeout, HttpCallback callback);

  /// Whether a connection is open on which an answer has come before.
  bool connected() const;

  const Endpoint& server() const { return server_; }

 private:
  struct Exchange;
  class Connection;

  void Dispatch();
  /// The next request to send; those before it waited too long and end soon.
  std::deque<std::shared_ptr<Exchange>>::iterator FirstInTime();
  void ExpireAfter(Duration time, const std::shared_ptr<Exchange>& exchange);
  void Expire(const std::shared_ptr<Exchange>& exchange);
  void Drop(const Connection* connection);

  asio::io_context* io_;
  const Endpoint server_;
  const std::size_t max_connections_;
  std::vector<std::shared_ptr<Connection>> connections_;
  std::deque<std::shared_ptr<Exchange>> waiting_;
};

}  // namespace wigeonlane

#endif  // WIGEONLANE_NET_ASYNC_HTTP_CLIENT_H_
