#include "cli/admin_client.h"

#include "core/http_client.h"
#include "core/text.h"

namespace wigeonlane {
namespace {

absl::StatusOr<AdminResponse> ParseResponse(const HttpExchange& exchange) {
  if (!exchange.answer.ok()) return exchange.answer.status();
  AdminResponse response{exchange.answer->code,
                         nlohmann::ordered_json::parse(exchange.answer->body, nullptr, false)};
  if (response.body.is_discarded()) {
    return absl::UnavailableError(Concat("HTTP ", response.code, " without a JSON answer"));
  }
  return response;
}

}  // namespace

absl::StatusOr<AdminResponse> AdminClient::FetchFrom(const Endpoint& admin,
                                                     const std::string& path) const {
  HttpClient client(admin, timeout_);
  return ParseResponse(client.Fetch(path));
}

absl::StatusOr<AdminResponse> AdminClient::Fetch(const std::string& path) const {
  absl::Status status = absl::UnavailableError("no admin address given");
  for (const Endpoint& admin : admins_) {
    auto response = FetchFrom(admin, path);
    if (response.ok()) return response;
    status = response.status();
  }
  return status;
}

absl::StatusOr<AdminResponse> AdminClient::Post(const std::string& path, const std::string& body,
                                                Execution* execution) const {
  absl::Status status = absl::UnavailableError("no admin address given");
  for (const Endpoint& admin : admins_) {
    HttpClient client(admin, timeout_);
    const HttpExchange exchange = client.Post(path, body);
    auto response = ParseResponse(exchange);
    *execution = std::max(*execution, exchange.execution);
    if (response.ok()) return response;
    status = response.status();
    // The path carries the record id, so repeating the request at another instance is harmless.
  }
  return status;
}

}  // namespace wigeonlane
