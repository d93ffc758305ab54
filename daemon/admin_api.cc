#include "daemon/admin_api.h"

#include <nlohmann/json.hpp>
#include <optional>
#include <random>
#include <thread>

#include "core/digest.h"
#include "core/document.h"
#include "core/http_server.h"
#include "core/text.h"
#include "entry/caller_request.h"
#include "fleet/document.h"

namespace wigeonlane {
namespace {

constexpr std::size_t kServerThreads = 16;
constexpr std::chrono::milliseconds kMaxSubmitWait{5'000};
constexpr std::chrono::seconds kIdleTimeout{5};

using Json = nlohmann::ordered_json;

void Reply(httplib::Response* response, int code, const Json& body) {
  response->status = code;
  response->set_content(body.dump(-1, ' ', true, Json::error_handler_t::replace) + "\n",
                        "application/json");
}

void ReplyError(httplib::Response* response, int code, std::string_view why) {
  Reply(response, code, {{"fate", "not-run"}, {"reason", why}});
}

void ReplyRecordOutcome(httplib::Response* response, const std::string& record_id,
                        const SubmitResult& answer) {
  constexpr int kCodes[] = {200, 409, 202, 503};
  Json body{{"fate", ToString(answer.outcome)}, {"record_id", record_id}};
  const bool settled =
      answer.outcome == SubmitOutcome::kAccepted || answer.outcome == SubmitOutcome::kRejected;
  if (settled) body["offset"] = answer.offset;
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
    Route();
  }

  absl::Status Start() {
    if (!server_.Bind(listen_)) {
      return absl::UnavailableError(Concat("cannot listen on ", listen_.ToString()));
    }
    thread_ = std::thread([this] { server_.listen_after_bind(); });
    return absl::OkStatus();
  }

  void Stop() {
    server_.stop();
    if (thread_.joinable()) thread_.join();
  }

 private:
  using Handler = void (Impl::*)(const httplib::Request&, httplib::Response*);

  httplib::Server::Handler Bind(Handler handler) {
    return [this, handler](const httplib::Request& request, httplib::Response& response) {
      (this->*handler)(request, &response);
    };
  }

  void Route() {
    server_.new_task_queue = [] { return new httplib::ThreadPool(kServerThreads); };
    server_.set_payload_max_length(kMaxDocumentBytes);
    server_.set_read_timeout(kIdleTimeout);
    server_.set_keep_alive_timeout(kIdleTimeout.count());
    server_.set_tcp_nodelay(true);
    server_.Get("/healthz", Bind(&Impl::Health));
    server_.Get("/readyz", Bind(&Impl::Ready));
    server_.Get("/metrics", Bind(&Impl::Metrics));
    server_.Get("/v1/admin/status", Bind(&Impl::Status));
    server_.Get("/v1/admin/digest", Bind(&Impl::StateDigest));
    server_.Get("/v1/admin/instances", Bind(&Impl::Instances));
    server_.Get("/v1/admin/pools", Bind(&Impl::Pools));
    server_.Get("/v1/admin/outcome", Bind(&Impl::Outcome));
    server_.Get("/v1/admin/order", Bind(&Impl::Order));
    server_.Get(R"(/v1/admin/documents/([a-z]+))", Bind(&Impl::Documents));
    server_.Get(R"(/v1/admin/documents/([a-z]+)/([A-Za-z0-9._-]+)/history)", Bind(&Impl::History));
    server_.Post(R"(/v1/admin/documents/([a-z]+))", Bind(&Impl::Publish));
    server_.Post(R"(/v1/admin/instances/([A-Za-z0-9._-]+)/drain)", Bind(&Impl::Drain));
    server_.Post(R"(/v1/admin/instances/([A-Za-z0-9._-]+)/move)", Bind(&Impl::Move));
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
      if (const auto earlier = state.history().find(key); earlier != state.history().end()) {
        for (const auto& version : earlier->second) versions.push_back(DocumentJson(version));
      }
      const auto present = state.documents().find(key);
      if (present != state.documents().end()) versions.push_back(DocumentJson(present->second));
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
      const auto found = state.documents().find(key);
      return found == state.documents().end() ? std::uint64_t{0} : found->second.version;
    });
  }

  std::optional<std::uint64_t> GenerationOf(const httplib::Request& request) {
    std::uint64_t given = 0;
    if (absl::SimpleAtoi(request.get_param_value("generation"), &given)) return given;
    return sources_.follower->WithState(
        [&](const FleetState& state) -> std::optional<std::uint64_t> {
          const auto found = state.instances().find(request.matches[1]);
          if (found == state.instances().end()) return std::nullopt;
          return found->second.generation;
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
  HttpServer server_;
  std::thread thread_;
};

AdminApi::AdminApi(Endpoint listen, Sources sources)
    : impl_(std::make_unique<Impl>(std::move(listen), std::move(sources))) {}

AdminApi::~AdminApi() { Stop(); }

absl::Status AdminApi::Start() { return impl_->Start(); }

void AdminApi::Stop() { impl_->Stop(); }

}  // namespace wigeonlane
