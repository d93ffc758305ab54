#include "cli/admin_client.h"

#include "core/http_client.h"
#include "core/text.h"

namespace wigeonlane {
namespace {

absl::StatusOr<AdminResponse> ParseResponse(const HttpExchange& exchange) {
  if (!exchange.answer.ok()) return exchange.answer.status();
  AdminResponse answer{exchange.answer->code,
                       nlohmann::ordered_json::parse(exchange.answer->body, nullptr, false)};
  if (answer.body.is_discarded()) {
    return absl::UnavailableError(Concat("HTTP ", answer.code, " without a JSON answer"));
  }
  return answer;
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
    auto answer = FetchFrom(admin, path);
    if (answer.ok()) return answer;
    status = answer.status();
  }
  return status;
}

absl::StatusOr<AdminResponse> AdminClient::Post(const std::string& path, const std::string& body,
                                                Execution* execution) const {
  absl::Status status = absl::UnavailableError("no admin address given");
  for (const Endpoint& admin : admins_) {
    HttpClient client(admin, timeout_);
    const HttpExchange exchange = client.Post(path, body);
    auto answer = ParseResponse(exchange);
    *execution = std::max(*execution, exchange.execution);
    if (answer.ok()) return answer;
    status = answer.status();
    // The path carries the record id, so another instance may be asked the same without harm.
  }
  return status;
}

}  // namespace wigeonlane
