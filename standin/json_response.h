/// Builds HTTP responses with a JSON body.
#ifndef WIGEONLANE_STANDIN_JSON_RESPONSE_H_
#define WIGEONLANE_STANDIN_JSON_RESPONSE_H_

#include <nlohmann/json.hpp>

#include "net/http_message.h"

namespace wigeonlane {

/// Returns a response with the status code `code` and `body` as text.
inline HttpResponse JsonResponse(int code, const nlohmann::json& body) {
  HttpResponse response = BareResponse(code);
  response.body = body.dump();
  return response;
}

}  // namespace wigeonlane

#endif  // WIGEONLANE_STANDIN_JSON_RESPONSE_H_
