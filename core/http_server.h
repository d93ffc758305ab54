/// cpp-httplib server with a listen backlog that is large enough for a burst of connections.
#ifndef WIGEONLANE_CORE_HTTP_SERVER_H_
#define WIGEONLANE_CORE_HTTP_SERVER_H_

#include <httplib.h>
#include <sys/socket.h>

#include "core/settings.h"

namespace wigeonlane {

/// The library listens with a backlog of 5. When more clients connect at once, the kernel drops the
/// last packet of some handshakes. Those clients see an open connection and wait for seconds.
class HttpServer : public httplib::Server {
 public:
  /// Binds and listens with a backlog of `kBacklog`. Returns false when the address is taken.
  bool Bind(const Endpoint& at) {
    if (!bind_to_port(at.host, at.port)) return false;
    return listen(svr_sock_, kBacklog) == 0;
  }

 private:
  static constexpr int kBacklog = 1024;

  static int listen(socket_t socket, int backlog) { return ::listen(socket, backlog); }
};

}  // namespace wigeonlane

#endif  // WIGEONLANE_CORE_HTTP_SERVER_H_
