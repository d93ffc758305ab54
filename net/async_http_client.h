/// Asynchronous HTTP/1.1 client for one server with a small pool of keep-alive connections.
#ifndef WIGEONLANE_NET_ASYNC_HTTP_CLIENT_H_
#define WIGEONLANE_NET_ASYNC_HTTP_CLIENT_H_

#include <asio/io_context.hpp>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "core/clock.h"
#include "core/settings.h"
#include "net/byte_budget.h"
#include "net/http_message.h"

namespace wigeonlane {

/// What the user of a client knows of the peer of one connection.
using ConnectionLabel = std::int64_t;

/// Sends requests over at most `max_connections` connections, one request at a time on each.
/// Not thread-safe; callbacks run on the io_context, never inside `Send`. Destroying the client
/// abandons all exchanges without calling their callbacks.
class AsyncHttpClient {
 public:
  /// `budget` limits the bytes that responses hold until they are complete, together with the
  /// budget's other holders; an exchange that exceeds it fails as if the connection had broken.
  AsyncHttpClient(asio::io_context* io, Endpoint server, std::size_t max_connections,
                  std::shared_ptr<ByteBudget> budget = nullptr);
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

  /// The same, but only over a connection with this label. Fails with kNotRun if there is none,
  /// also when the last one breaks before the request is written.
  void SendOver(ConnectionLabel label, const HttpRequest& request,
                std::chrono::milliseconds timeout, HttpCallback callback);

  /// Labels the connection that carried an exchange, by `HttpExchange::connection`; has no effect
  /// once it is closed. A label replaces an earlier one.
  void Label(std::uint64_t connection, ConnectionLabel label);

  /// Whether a connection with this label is open.
  bool HasLabelled(ConnectionLabel label) const;

  /// Whether `SendOver` writes the request at once, or can only wait because no further connection
  /// may be opened.
  bool IsReadyFor(ConnectionLabel label) const;

  const Endpoint& server() const { return server_; }

 private:
  struct Exchange;
  class Connection;

  /// Sends over any connection, or only over those with the label.
  void Enqueue(std::optional<ConnectionLabel> label, const HttpRequest& request,
               std::chrono::milliseconds timeout, HttpCallback callback);
  void Dispatch();
  /// Returns the first queued request that can be written now. Schedules the failure of those whose
  /// queue time has expired or whose connection is gone.
  std::deque<std::shared_ptr<Exchange>>::iterator FirstWritable();
  /// Whether the request may only go over connections that are all closed.
  bool IsPeerGone(const Exchange& exchange) const;
  /// Returns an idle connection that may carry the request, or null.
  std::shared_ptr<Connection> FindIdle(std::optional<ConnectionLabel> label) const;
  void ExpireAfter(Duration time, const std::shared_ptr<Exchange>& exchange);
  void Expire(const std::shared_ptr<Exchange>& exchange);
  void Drop(const Connection* connection);

  asio::io_context* io_;
  const Endpoint server_;
  const std::size_t max_connections_;
  const std::shared_ptr<ByteBudget> budget_;
  std::vector<std::shared_ptr<Connection>> connections_;
  std::uint64_t last_connection_ = 0;  ///< Number of the connection opened last.
  std::deque<std::shared_ptr<Exchange>> queue_;
};

}  // namespace wigeonlane

#endif  // WIGEONLANE_NET_ASYNC_HTTP_CLIENT_H_
