/// Answers with a JSON body, which most calls of the stand-ins get.
#ifndef WIGEONLANE_STANDIN_JSON_RESPONSE_H_
#define WIGEONLANE_STANDIN_JSON_RESPONSE_H_

#include <nlohmann/json.hpp>

#include "net/http_message.h"

namespace wigeonlane {

inline HttpResponse JsonResponse(int code, const nlohmann::json& body) {
  HttpResponse response = BareResponse(code);
  response.body = body.dump();
  return response;
}

}  // namespace wigeonlane

#endif  // WIGEONLANE_STANDIN_JSON_RESPONSE_H_
