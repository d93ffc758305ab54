#include "cli/commands.h"

#include <algorithm>
#include <fstream>
#include <iostream>
#include <iterator>
#include <optional>
#include <random>
#include <sstream>
#include <thread>

#include "cli/exit_codes.h"
#include "cli/table.h"
#include "core/clock.h"
#include "core/text.h"

namespace wigeonlane {
namespace {

using Json = nlohmann::ordered_json;
using Words = std::vector<std::string>;

constexpr std::chrono::milliseconds kPollInterval{20};
constexpr std::string_view kDocumentKinds[] = {"profile", "service", "pool", "plan"};

int PrintUsageError(std::string_view message) {
  std::cerr << "wigeonlane: " << message << "; see wigeonlane --help\n";
  return kExitUsage;
}

int PrintUnreachable(const absl::Status& status) {
  std::cerr << "wigeonlane: " << status.message() << "\n";
  return kExitRejected;
}

bool IsDocumentKind(const std::string& word) {
  return std::find(std::begin(kDocumentKinds), std::end(kDocumentKinds), word) !=
         std::end(kDocumentKinds);
}

std::string GenerateRecordId() {
  std::random_device random;
  return Concat("op-", absl::Hex(random(), absl::kZeroPad8), absl::Hex(random(), absl::kZeroPad8));
}

/// Returns a string without its quotes, any other value as JSON.
std::string ValueText(const Json& value) {
  return value.is_string() ? value.get<std::string>() : value.dump();
}

std::string PercentEncode(std::string_view text) {
  std::string encoded;
  for (const char c : text) {
    const auto byte = static_cast<unsigned char>(c);
    if (std::isalnum(byte) != 0 || c == '-' || c == '.' || c == '_') {
      encoded.push_back(c);
    } else {
      AppendTo(&encoded, "%", absl::Hex(byte, absl::kZeroPad2));
    }
  }
  return encoded;
}

/// Prints JSON objects as the rows of a table with `fields` as its columns.
void PrintRows(const Json& rows, const Words& fields) {
  Table table(fields);
  for (const Json& row : rows) {
    Words values;
    for (const std::string& field : fields) {
      values.push_back(row.contains(field) ? ValueText(row[field]) : "-");
    }
    table.AddRow(std::move(values));
  }
  std::cout << table.ToText();
}

int PrintList(const CommandContext& context, const std::string& path, const std::string& list_field,
              const Words& fields) {
  const auto response = context.client.Fetch(path);
  if (!response.ok()) return PrintUnreachable(response.status());
  if (context.json) {
    std::cout << response->body.dump(2) << "\n";
  } else {
    PrintRows(response->body.value(list_field, Json::array()), fields);
  }
  return kExitAccepted;
}

/// Returns the admin address of each instance that has not applied `offset`, with the reason.
Words InstancesBehind(const CommandContext& context, std::uint64_t offset) {
  Words behind;
  for (const Endpoint& admin : context.client.admins()) {
    const auto status = context.client.FetchFrom(admin, "/v1/admin/status");
    if (!status.ok()) {
      behind.push_back(Concat(admin.ToString(), " (no answer)"));
    } else if (status->body.value("in_force_offset", std::uint64_t{0}) <= offset) {
      behind.push_back(Concat(admin.ToString(), " (", status->body.value("name", std::string("?")),
                              " is behind)"));
    }
  }
  return behind;
}

int WaitInForce(const CommandContext& context, std::uint64_t offset) {
  const SteadyClock clock;
  const Instant start = clock.Now();
  while (true) {
    const Words behind = InstancesBehind(context, offset);
    const auto elapsed = std::chrono::duration_cast<std::chrono::milliseconds>(clock.Now() - start);
    if (behind.empty()) {
      std::cout << "in force on " << context.client.admins().size() << " entry instances after "
                << elapsed.count() << " ms\n";
      return kExitAccepted;
    }
    if (elapsed >= context.wait_limit) {
      for (const std::string& name : behind) std::cout << "not in force on " << name << "\n";
      return kExitUnknown;
    }
    std::this_thread::sleep_for(kPollInterval);
  }
}

int ReportOutcome(const CommandContext& context, const Json& body) {
  const std::string outcome = body.value("fate", std::string("unknown"));
  if (context.json) {
    std::cout << body.dump(2) << "\n";
  } else {
    std::cout << outcome;
    if (body.contains("record_id")) std::cout << " " << ValueText(body["record_id"]);
    if (body.contains("offset")) std::cout << " at offset " << body["offset"];
    if (body.contains("reason")) std::cout << ": " << ValueText(body["reason"]);
    std::cout << "\n";
  }
  if (outcome == "unknown") {
    std::cout << "ask again with: wigeonlane outcome "
              << ValueText(body.value("record_id", Json(""))) << "\n";
    return kExitUnknown;
  }
  if (outcome != "accepted") return kExitRejected;
  if (context.wait) return WaitInForce(context, body.value("offset", std::uint64_t{0}));
  return kExitAccepted;
}

/// Posts an operator's record under one record id to the first instance that accepts it, and prints
/// its outcome.
int PostRecord(const CommandContext& context, const std::string& path, const Words& parameters,
               const std::string& body) {
  const std::string id = context.record_id.empty() ? GenerateRecordId() : context.record_id;
  std::string target = Concat(path, "?id=", PercentEncode(id));
  for (const std::string& parameter : parameters) AppendTo(&target, "&", parameter);
  Execution execution = Execution::kNotRun;
  const auto response = context.client.Post(target, body, &execution);
  if (response.ok()) return ReportOutcome(context, response->body);
  const bool unknown = execution != Execution::kNotRun;
  return ReportOutcome(context, {{"fate", unknown ? "unknown" : "not-run"},
                                 {"record_id", id},
                                 {"reason", MessageOf(response.status())}});
}

int PublishDocumentText(const CommandContext& context, const std::string& kind,
                        const std::string& text) {
  Words parameters;
  if (!context.replaces.empty()) parameters.push_back(Concat("replaces=", context.replaces));
  return PostRecord(context, Concat("/v1/admin/documents/", kind), parameters, text);
}

int PublishFiles(const CommandContext& context, const std::string& kind, const Words& files) {
  for (const std::string& file : files) {
    std::ifstream stream(file);
    if (!stream) return PrintUsageError(Concat("cannot read '", file, "'"));
    std::stringstream text;
    text << stream.rdbuf();
    const int code = PublishDocumentText(context, kind, text.str());
    if (code != kExitAccepted) return code;
  }
  return kExitAccepted;
}

/// Returns the kept versions of a document, oldest first, or prints why they are unavailable.
std::optional<Json> FetchVersions(const CommandContext& context, const std::string& kind,
                                  const std::string& name) {
  const auto response =
      context.client.Fetch(Concat("/v1/admin/documents/", kind, "/", name, "/history"));
  if (!response.ok() || !response->body.contains("versions")) {
    std::cerr << "wigeonlane: "
              << (response.ok() ? ValueText(response->body.value("reason", Json("no answer")))
                                : MessageOf(response.status()))
              << "\n";
    return std::nullopt;
  }
  return response->body["versions"];
}

std::optional<Json> FetchVersion(const CommandContext& context, const std::string& kind,
                                 const std::string& name, const std::string& version) {
  const auto versions = FetchVersions(context, kind, name);
  if (!versions.has_value()) return std::nullopt;
  for (const Json& row : *versions) {
    if (row["version"].dump() == version) return row["document"];
  }
  std::cerr << "wigeonlane: version " << version << " of " << kind << " " << name
            << " is not kept\n";
  return std::nullopt;
}

int ShowDocument(const CommandContext& context, const std::string& kind, const std::string& name) {
  const auto versions = FetchVersions(context, kind, name);
  if (!versions.has_value()) return kExitRejected;
  std::cout << versions->back().dump(2) << "\n";
  return kExitAccepted;
}

int ShowHistory(const CommandContext& context, const std::string& kind, const std::string& name) {
  const auto versions = FetchVersions(context, kind, name);
  if (!versions.has_value()) return kExitRejected;
  if (context.json) {
    std::cout << versions->dump(2) << "\n";
  } else {
    PrintRows(*versions, {"version", "offset", "document"});
  }
  return kExitAccepted;
}

int ShowDiff(const CommandContext& context, const Words& words) {
  const auto old_document = FetchVersion(context, words[0], words[2], words[3]);
  const auto new_document = FetchVersion(context, words[0], words[2], words[4]);
  if (!old_document.has_value() || !new_document.has_value()) return kExitRejected;
  for (const auto& [field, value] : new_document->items()) {
    const Json old_value = old_document->value(field, Json());
    if (old_value != value) {
      std::cout << field << ": " << old_value.dump() << " -> " << value.dump() << "\n";
    }
  }
  return kExitAccepted;
}

int RollBack(const CommandContext& context, const Words& words) {
  const auto document = FetchVersion(context, words[0], words[2], words[3]);
  if (!document.has_value()) return kExitRejected;
  return PublishDocumentText(context, words[0], document->dump());
}

int DocumentCommand(const CommandContext& context, const Words& words) {
  const std::string& kind = words[0];
  const std::string verb = words.size() > 1 ? words[1] : "";
  if (verb == "publish" && words.size() > 2) {
    return PublishFiles(context, kind, Words(words.begin() + 2, words.end()));
  }
  if (verb == "list" && words.size() == 2) {
    return PrintList(context, Concat("/v1/admin/documents/", kind), "documents",
                     {"name", "version", "offset", "document"});
  }
  if (verb == "show" && words.size() == 3) return ShowDocument(context, kind, words[2]);
  if (verb == "history" && words.size() == 3) return ShowHistory(context, kind, words[2]);
  if (verb == "diff" && words.size() == 5) return ShowDiff(context, words);
  if (verb == "rollback" && words.size() == 4) return RollBack(context, words);
  if (kind == "pool" && verb == "status" && words.size() == 2) {
    return PrintList(context, "/v1/admin/pools", "pools",
                     {"name", "members", "serving", "min_serving", "planned_out", "down", "spare"});
  }
  return PrintUsageError(Concat("unknown ", kind, " command '", verb, "'"));
}

int InstanceCommand(const CommandContext& context, const Words& words) {
  const std::string verb = words.size() > 1 ? words[1] : "";
  if (verb == "list" && words.size() == 2) {
    return PrintList(context, "/v1/admin/instances", "instances",
                     {"name", "pool", "rack", "data_centre", "lifecycle", "generation", "runner"});
  }
  if (verb == "drain" && words.size() == 3) {
    return PostRecord(context, Concat("/v1/admin/instances/", words[2], "/drain"), {}, "{}");
  }
  if (verb == "move" && words.size() == 4) {
    return PostRecord(context, Concat("/v1/admin/instances/", words[2], "/move"),
                      {Concat("to=", words[3])}, "{}");
  }
  return PrintUsageError(Concat("unknown instance command '", verb, "'"));
}

int OrderCommand(const CommandContext& context, const Words& words) {
  if (words.size() != 4 || words[1] != "show") return PrintUsageError("order show SERVICE KEY");
  const auto response = context.client.Fetch(Concat(
      "/v1/admin/order?service=", PercentEncode(words[2]), "&key=", PercentEncode(words[3])));
  if (!response.ok()) return PrintUnreachable(response.status());
  if (context.json) {
    std::cout << response->body.dump(2) << "\n";
  } else {
    for (const auto& [field, value] : response->body.items()) {
      std::cout << field << ": " << ValueText(value) << "\n";
    }
  }
  return kExitAccepted;
}

int OutcomeCommand(const CommandContext& context, const Words& words) {
  if (words.size() != 2) return PrintUsageError("outcome RECORD-ID");
  const auto response =
      context.client.Fetch(Concat("/v1/admin/outcome?id=", PercentEncode(words[1])));
  if (!response.ok()) return PrintUnreachable(response.status());
  return ReportOutcome(context, response->body);
}

int StatusCommand(const CommandContext& context) {
  Json rows = Json::array();
  for (const Endpoint& admin : context.client.admins()) {
    const auto status = context.client.FetchFrom(admin, "/v1/admin/status");
    Json row = status.ok() ? status->body : Json{{"name", "-"}, {"ready", "no answer"}};
    row["admin"] = admin.ToString();
    rows.push_back(std::move(row));
  }
  if (context.json) {
    std::cout << rows.dump(2) << "\n";
  } else {
    PrintRows(rows, {"admin", "name", "data_centre", "ready", "next_offset", "log_end",
                     "log_silent_ms", "open_requests", "members"});
  }
  return kExitAccepted;
}

}  // namespace

std::string CommandHelp() {
  return R"(Commands:
  profile|service|pool|plan publish FILE...      publish documents (JSON)
  profile|service|pool|plan list                 present versions
  profile|service|pool|plan show NAME
  profile|service|pool|plan history NAME
  profile|service|pool|plan diff NAME V1 V2
  profile|service|pool|plan rollback NAME V      publish an old version's content anew
  pool status                                    members and availability budgets
  instance list
  instance drain NAME                            take out for a reboot, inside the budget
  instance move NAME POOL                        move to another pool, inside the budget
  order show SERVICE KEY                         what the log says of an order's key
  outcome RECORD-ID                              what became of a record written earlier
  status                                         all entry instances
  job submit PATH ID FILE                        hand a job in (JSON); PATH is the queue's, /NAME/
  job show|cancel PATH ID
  job pending PATH                               accepted jobs of which no task has begun
  explain ID LOG...                              a job's story from the logs of all instances;
                                                 ID is the job's or that of a request on it
  load run FILE                                  make load and report; see docs/LOAD.md

Exit codes: 0 accepted or done, 1 rejected or not run, 2 usage, 3 unknown: ask again with the id.
)";
}

int RunCommand(const CommandContext& context, const Words& words) {
  if (words.empty()) return PrintUsageError("no command");
  if (IsDocumentKind(words[0])) return DocumentCommand(context, words);
  if (words[0] == "instance") return InstanceCommand(context, words);
  if (words[0] == "order") return OrderCommand(context, words);
  if (words[0] == "outcome") return OutcomeCommand(context, words);
  if (words[0] == "status" && words.size() == 1) return StatusCommand(context);
  return PrintUsageError(Concat("unknown command '", words[0], "'"));
}

}  // namespace wigeonlane
