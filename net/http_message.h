/// HTTP messages and callbacks of the asynchronous client and server.
#ifndef WIGEONLANE_NET_HTTP_MESSAGE_H_
#define WIGEONLANE_NET_HTTP_MESSAGE_H_

#include <functional>
#include <string>
#include <utility>
#include <vector>

#include "core/http_client.h"

namespace wigeonlane {

using HttpHeaders = std::vector<std::pair<std::string, std::string>>;

/// A request with its complete body.
struct HttpRequest {
  std::string method;
  std::string target;
  std::string host;
  HttpHeaders headers;
  std::string body;
};

/// A response with its complete body.
struct HttpResponse {
  int code = 0;
  std::string body;
  HttpHeaders headers;
  std::string content_type = "application/json";
};

/// A response without a body.
inline HttpResponse BareResponse(int code) {
  HttpResponse response;
  response.code = code;
  return response;
}

/// Receives the outcome of one exchange of the asynchronous client, exactly once.
using HttpCallback = std::function<void(HttpExchange)>;

/// Sends the response to one request of the asynchronous server. Only the first call has an effect.
using HttpReply = std::function<void(HttpResponse)>;

}  // namespace wigeonlane

#endif  // WIGEONLANE_NET_HTTP_MESSAGE_H_
