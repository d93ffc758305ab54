#include "daemon/admin_api.h"

#include <httplib.h>

#include <asio/io_context.hpp>
#include <asio/post.hpp>
#include <asio/thread_pool.hpp>
#include <nlohmann/json.hpp>
#include <optional>
#include <random>
#include <regex>
#include <thread>
#include <vector>

#include "core/digest.h"
#include "core/document.h"
#include "core/http_status.h"
#include "core/logging.h"
#include "core/text.h"
#include "entry/caller_request.h"
#include "fleet/document.h"
#include "net/async_http_server.h"

namespace wigeonlane {
namespace {

constexpr std::size_t kServerThreads = 16;
constexpr std::chrono::milliseconds kMaxSubmitWait{5'000};
/// To send a request, between requests, and to read a response.
constexpr std::chrono::seconds kIdleTimeout{5};
constexpr std::size_t kMaxConnections = 100;
/// Matching a path takes stack for each character.
constexpr std::size_t kMaxTargetBytes = 8 * 1024;
constexpr int kTargetTooLong = 414;
constexpr int kInternalError = 500;
/// Of all unfinished requests and unread responses.
constexpr std::size_t kMaxBufferedBytes = 16 << 20;

using Json = nlohmann::ordered_json;

void Reply(httplib::Response* response, int code, const Json& body) {
  response->status = code;
  response->set_content(body.dump(-1, ' ', true, Json::error_handler_t::replace) + "\n",
                        "application/json");
}

void ReplyError(httplib::Response* response, int code, std::string_view reason) {
  Reply(response, code, {{"fate", "not-run"}, {"reason", reason}});
}

void ReplyRecordOutcome(httplib::Response* response, const std::string& record_id,
                        const SubmitResult& answer) {
  constexpr int kCodes[] = {200, 409, 202, 503};
  Json body{{"fate", ToString(answer.outcome)}, {"record_id", record_id}};
  const bool is_final =
      answer.outcome == SubmitOutcome::kAccepted || answer.outcome == SubmitOutcome::kRejected;
  if (is_final) body["offset"] = answer.offset;
  if (!answer.reason.empty()) body["reason"] = answer.reason;
  Reply(response, kCodes[static_cast<std::size_t>(answer.outcome)], body);
}

std::string NewRecordId() {
  std::random_device random;
  return Concat("op-", absl::Hex(random(), absl::kZeroPad8), absl::Hex(random(), absl::kZeroPad8));
}

Json InstanceJson(const Instance& instance) {
  return {{"name", instance.name},
          {"pool", instance.pool},
          {"rack", instance.rack},
          {"data_centre", instance.data_centre},
          {"runner", instance.runner.ToString()},
          {"lifecycle", ToString(instance.lifecycle)},
          {"generation", instance.generation},
          {"planned_out", instance.planned_out},
          {"maintained", instance.maintained}};
}

Json DocumentJson(const VersionedDocument& published) {
  return {{"kind", KindOf(published.document)},
          {"name", NameOf(published.document)},
          {"version", published.version},
          {"offset", published.offset},
          {"document", Json::parse(ToJson(published.document))}};
}

Json PoolJson(const PoolSpec& pool, const PoolUsage& usage) {
  return {{"name", pool.name},        {"min_serving", pool.min_serving},
          {"members", usage.members}, {"serving", usage.serving},
          {"down", usage.down},       {"planned_out", usage.planned_out_total()},
          {"spare", pool.spare}};
}

}  // namespace

class AdminApi::Impl {
 public:
  Impl(Endpoint listen, Sources sources)
      : listen_(std::move(listen)), sources_(std::move(sources)) {
    RegisterRoutes();
  }

  absl::Status Start() {
    if (absl::Status status = server_.Listen(listen_); !status.ok()) return status;
    thread_ = std::thread([this] { io_.run(); });
    return absl::OkStatus();
  }

  void Stop() {
    if (!thread_.joinable()) return;
    workers_.join();
    asio::post(io_, [this] { io_.stop(); });  // After the replies that the workers have posted.
    thread_.join();
  }

 private:
  using Handler = void (Impl::*)(const httplib::Request&, httplib::Response*);

  struct Route {
    std::string method;
    std::regex path;
    Handler handler;
  };

  static HttpServerLimits Limits() {
    HttpServerLimits limits;
    limits.body_bytes = kMaxDocumentBytes;
    limits.header_timeout = limits.idle_timeout = kIdleTimeout;
    limits.max_connections = kMaxConnections;
    return limits;
  }

  /// Serves a request on a worker thread, since a record may wait for the log.
  void Serve(HttpRequest request, HttpReply reply) {
    asio::post(workers_, [this, request = std::move(request), reply = std::move(reply)] {
      asio::post(io_, [reply, response = Respond(request)] { reply(response); });
    });
  }

  HttpResponse Respond(const HttpRequest& from) {
    if (from.target.size() > kMaxTargetBytes) return BareResponse(kTargetTooLong);
    const std::size_t query = std::min(from.target.find('?'), from.target.size());
    httplib::Request request;
    request.method = from.method;
    request.path = httplib::detail::decode_url(from.target.substr(0, query), false);
    if (query < from.target.size()) {
      httplib::detail::parse_query_text(from.target.substr(query + 1), request.params);
    }
    request.body = from.body;
    const bool is_head = from.method == "HEAD";
    for (const Route& route : routes_) {
      if (route.method != (is_head ? "GET" : from.method)) continue;
      if (!std::regex_match(request.path, request.matches, route.path)) continue;
      httplib::Response answer;
      answer.status = http_status::kOk;
      try {
        (this->*route.handler)(request, &answer);
      } catch (const std::exception& error) {  // Of the JSON library.
        LogError("admin_request_failed", {{"why", error.what()}});
        return BareResponse(kInternalError);
      }
      HttpResponse response;
      response.code = answer.status;
      response.content_type = answer.get_header_value("Content-Type");
      if (!is_head) response.body = std::move(answer.body);
      return response;
    }
    return BareResponse(http_status::kNotFound);
  }

  void AddRoute(std::string_view method, const std::string& path, Handler handler) {
    routes_.push_back({std::string(method), std::regex(path), handler});
  }

  void RegisterRoutes() {
    AddRoute("GET", "/healthz", &Impl::Health);
    AddRoute("GET", "/readyz", &Impl::Ready);
    AddRoute("GET", "/metrics", &Impl::Metrics);
    AddRoute("GET", "/v1/admin/status", &Impl::Status);
    AddRoute("GET", "/v1/admin/digest", &Impl::StateDigest);
    AddRoute("GET", "/v1/admin/instances", &Impl::Instances);
    AddRoute("GET", "/v1/admin/pools", &Impl::Pools);
    AddRoute("GET", "/v1/admin/outcome", &Impl::Outcome);
    AddRoute("GET", "/v1/admin/order", &Impl::Order);
    AddRoute("GET", R"(/v1/admin/documents/([a-z]+))", &Impl::Documents);
    AddRoute("GET", R"(/v1/admin/documents/([a-z]+)/([A-Za-z0-9._-]+)/history)", &Impl::History);
    AddRoute("POST", R"(/v1/admin/documents/([a-z]+))", &Impl::Publish);
    AddRoute("POST", R"(/v1/admin/instances/([A-Za-z0-9._-]+)/drain)", &Impl::Drain);
    AddRoute("POST", R"(/v1/admin/instances/([A-Za-z0-9._-]+)/move)", &Impl::Move);
  }

  void Health(const httplib::Request& /*request*/, httplib::Response* response) {
    response->set_content("ok\n", "text/plain");
  }

  void Ready(const httplib::Request& /*request*/, httplib::Response* response) {
    const bool ready = sources_.ready();
    response->status = ready ? 200 : 503;
    response->set_content(ready ? "ready\n" : "not ready\n", "text/plain");
  }

  void Metrics(const httplib::Request& /*request*/, httplib::Response* response) {
    sources_.refresh_metrics();
    response->set_content(sources_.metrics->Text(), "text/plain; version=0.0.4");
  }

  void Status(const httplib::Request& /*request*/, httplib::Response* response) {
    response->set_content(sources_.status_json() + "\n", "application/json");
  }

  void StateDigest(const httplib::Request& /*request*/, httplib::Response* response) {
    Reply(response, 200, sources_.follower->WithState([](const FleetState& state) {
      return Json{{"next_offset", state.next_offset()}, {"digest", state.StateDigest().ToHex()}};
    }));
  }

  void Instances(const httplib::Request& /*request*/, httplib::Response* response) {
    Reply(response, 200, sources_.follower->WithState([](const FleetState& state) {
      Json rows = Json::array();
      for (const auto& [name, instance] : state.instances()) rows.push_back(InstanceJson(instance));
      return Json{{"instances", rows}};
    }));
  }

  void Pools(const httplib::Request& /*request*/, httplib::Response* response) {
    Reply(response, 200, sources_.follower->WithState([](const FleetState& state) {
      Json rows = Json::array();
      for (const auto& [key, published] : state.documents()) {
        const auto* pool = std::get_if<PoolSpec>(&published.document);
        if (pool == nullptr) continue;
        const auto usage = state.usage().find(pool->name);
        rows.push_back(PoolJson(*pool, usage == state.usage().end() ? PoolUsage() : usage->second));
      }
      return Json{{"pools", rows}};
    }));
  }

  void Documents(const httplib::Request& request, httplib::Response* response) {
    const std::string kind = request.matches[1];
    Reply(response, 200, sources_.follower->WithState([&](const FleetState& state) {
      Json rows = Json::array();
      for (const auto& [key, published] : state.documents()) {
        if (key.first == kind) rows.push_back(DocumentJson(published));
      }
      return Json{{"documents", rows}};
    }));
  }

  void History(const httplib::Request& request, httplib::Response* response) {
    const FleetState::DocumentKey key{request.matches[1], request.matches[2]};
    const Json rows = sources_.follower->WithState([&](const FleetState& state) {
      Json versions = Json::array();
      if (const auto replaced_versions = state.history().find(key);
          replaced_versions != state.history().end()) {
        for (const auto& version : replaced_versions->second) {
          versions.push_back(DocumentJson(version));
        }
      }
      const auto current = state.documents().find(key);
      if (current != state.documents().end()) versions.push_back(DocumentJson(current->second));
      return versions;
    });
    if (rows.empty()) {
      return ReplyError(response, 404, Concat("no ", key.first, " ", key.second, " is published"));
    }
    Reply(response, 200, {{"versions", rows}});
  }

  void Outcome(const httplib::Request& request, httplib::Response* response) {
    const std::string id = request.get_param_value("id");
    ReplyRecordOutcome(response, id, sources_.control->QueryOutcome(id));
  }

  void Order(const httplib::Request& request, httplib::Response* response) {
    CallerRequest order;
    order.service = request.get_param_value("service");
    order.idempotency_key = request.get_param_value("key");
    const auto claim = sources_.follower->WithState(
        [&](const FleetState& state) { return state.claims().Find(OrderKeyDigest(order)); });
    if (!claim.has_value()) {
      return Reply(
          response, 404,
          {{"state", "never-claimed"}, {"meaning", "no entry instance may have sent this order"}});
    }
    Reply(response, 200,
          {{"state", claim->released ? "released" : "claimed"},
           {"author", claim->author},
           {"meaning", claim->released
                           ? "proven not to have run; the same key may be sent again"
                           : "its author alone may have sent it, at most once; ask the backend "
                             "server whether it ran before sending it under a new key"}});
  }

  std::string RecordIdOf(const httplib::Request& request) {
    const std::string id = request.get_param_value("id");
    return id.empty() ? NewRecordId() : id;
  }

  void Publish(const httplib::Request& request, httplib::Response* response) {
    const std::string kind = request.matches[1];
    const absl::StatusOr<Document> document = ParseDocument(kind, request.body);
    if (!document.ok()) return ReplyError(response, 400, MessageOf(document.status()));
    PublishDocument publish;
    publish.document = *document;
    if (request.has_param("replaces")) {
      if (!absl::SimpleAtoi(request.get_param_value("replaces"), &publish.replaces)) {
        return ReplyError(response, 400, "replaces: allowed: a whole number from 0");
      }
    } else {
      publish.replaces = CurrentVersion({kind, NameOf(*document)});
    }
    Submit(request, publish, response);
  }

  std::uint64_t CurrentVersion(const FleetState::DocumentKey& key) {
    return sources_.follower->WithState([&](const FleetState& state) {
      const auto entry = state.documents().find(key);
      return entry == state.documents().end() ? std::uint64_t{0} : entry->second.version;
    });
  }

  std::optional<std::uint64_t> GenerationOf(const httplib::Request& request) {
    std::uint64_t generation = 0;
    if (absl::SimpleAtoi(request.get_param_value("generation"), &generation)) return generation;
    return sources_.follower->WithState(
        [&](const FleetState& state) -> std::optional<std::uint64_t> {
          const auto entry = state.instances().find(request.matches[1]);
          if (entry == state.instances().end()) return std::nullopt;
          return entry->second.generation;
        });
  }

  void Drain(const httplib::Request& request, httplib::Response* response) {
    const auto generation = GenerationOf(request);
    if (!generation.has_value()) return ReplyError(response, 404, "the instance is not known");
    Submit(request, DrainInstance{request.matches[1], *generation, ""}, response);
  }

  void Move(const httplib::Request& request, httplib::Response* response) {
    const auto generation = GenerationOf(request);
    if (!generation.has_value()) return ReplyError(response, 404, "the instance is not known");
    Submit(request, MoveInstance{request.matches[1], *generation, request.get_param_value("to")},
           response);
  }

  void Submit(const httplib::Request& request, const Record& record, httplib::Response* response) {
    const std::string id = RecordIdOf(request);
    ReplyRecordOutcome(response, id, sources_.control->Submit(id, record, kMaxSubmitWait));
  }

  const Endpoint listen_;
  const Sources sources_;
  std::vector<Route> routes_;
  asio::io_context io_{1};
  AsyncHttpServer server_{
      &io_,
      [this](HttpRequest request, HttpReply reply) { Serve(std::move(request), std::move(reply)); },
      Limits, std::make_shared<ByteBudget>(kMaxBufferedBytes)};
  std::thread thread_;
  asio::thread_pool workers_{kServerThreads};
};

AdminApi::AdminApi(Endpoint listen, Sources sources)
    : impl_(std::make_unique<Impl>(std::move(listen), std::move(sources))) {}

AdminApi::~AdminApi() { Stop(); }

absl::Status AdminApi::Start() { return impl_->Start(); }

void AdminApi::Stop() { impl_->Stop(); }

}  // namespace wigeonlane
