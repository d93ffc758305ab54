/// Chooses a free loopback address for tests.
#ifndef WIGEONLANE_TESTS_SUPPORT_FREE_ENDPOINT_H_
#define WIGEONLANE_TESTS_SUPPORT_FREE_ENDPOINT_H_

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>

#include "core/settings.h"

namespace wigeonlane {

/// Returns a loopback address with a port on which no process listens at the time of the call.
inline Endpoint FreeEndpoint() {
  using asio::ip::tcp;
  asio::io_context io;
  const tcp::acceptor acceptor(io, tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0));
  return {"127.0.0.1", acceptor.local_endpoint().port()};
}

}  // namespace wigeonlane

#endif  // WIGEONLANE_TESTS_SUPPORT_FREE_ENDPOINT_H_
