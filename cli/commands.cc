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

constexpr std::chrono::milliseconds kWaitPoll{20};
constexpr std::string_view kKinds[] = {"profile", "service", "pool", "plan"};

int Usage(std::string_view why) {
  std::cerr << "wigeonlane: " << why << "; see wigeonlane --help\n";
  return kExitUsage;
}

int Unreachable(const absl::Status& status) {
  std::cerr << "wigeonlane: " << status.message() << "\n";
  return kExitRejected;
}

bool IsKind(const std::string& word) {
  return std::find(std::begin(kKinds), std::end(kKinds), word) != std::end(kKinds);
}

std::string NewRecordId() {
  std::random_device random;
  return Concat("op-", absl::Hex(random(), absl::kZeroPad8), absl::Hex(random(), absl::kZeroPad8));
}

std::string CellText(const Json& value) {
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

/// Prints rows of JSON objects as a table of these fields.
void PrintRows(const Json& rows, const Words& fields) {
  Table table(fields);
  for (const Json& row : rows) {
    Words cells;
    for (const std::string& field : fields) {
      cells.push_back(row.contains(field) ? CellText(row[field]) : "-");
    }
    table.Add(std::move(cells));
  }
  std::cout << table.ToText();
}

int List(const CommandContext& context, const std::string& path, const std::string& member,
         const Words& fields) {
  const auto answer = context.client.Fetch(path);
  if (!answer.ok()) return Unreachable(answer.status());
  if (context.json) {
    std::cout << answer->body.dump(2) << "\n";
  } else {
    PrintRows(answer->body.value(member, Json::array()), fields);
  }
  return kExitAccepted;
}

/// Admin addresses that have not applied `offset`, with the reason.
Words NotInForce(const CommandContext& context, std::uint64_t offset) {
  Words missing;
  for (const Endpoint& admin : context.client.admins()) {
    const auto status = context.client.FetchFrom(admin, "/v1/admin/status");
    if (!status.ok()) {
      missing.push_back(Concat(admin.ToString(), " (no answer)"));
    } else if (status->body.value("in_force_offset", std::uint64_t{0}) <= offset) {
      missing.push_back(Concat(admin.ToString(), " (", status->body.value("name", std::string("?")),
                               " is behind)"));
    }
  }
  return missing;
}

int WaitInForce(const CommandContext& context, std::uint64_t offset) {
  const SteadyClock clock;
  const Instant start = clock.Now();
  while (true) {
    const Words missing = NotInForce(context, offset);
    const auto elapsed = std::chrono::duration_cast<std::chrono::milliseconds>(clock.Now() - start);
    if (missing.empty()) {
      std::cout << "in force on " << context.client.admins().size() << " entry instances after "
                << elapsed.count() << " ms\n";
      return kExitAccepted;
    }
    if (elapsed >= context.wait_limit) {
      for (const std::string& name : missing) std::cout << "not in force on " << name << "\n";
      return kExitUnknown;
    }
    std::this_thread::sleep_for(kWaitPoll);
  }
}

int ReportOutcome(const CommandContext& context, const Json& body) {
  const std::string fate = body.value("fate", std::string("unknown"));
  if (context.json) {
    std::cout << body.dump(2) << "\n";
  } else {
    std::cout << fate;
    if (body.contains("record_id")) std::cout << " " << CellText(body["record_id"]);
    if (body.contains("offset")) std::cout << " at offset " << body["offset"];
    if (body.contains("reason")) std::cout << ": " << CellText(body["reason"]);
    std::cout << "\n";
  }
  if (fate == "unknown") {
    std::cout << "ask again with: wigeonlane outcome "
              << CellText(body.value("record_id", Json(""))) << "\n";
    return kExitUnknown;
  }
  if (fate != "accepted") return kExitRejected;
  if (context.wait) return WaitInForce(context, body.value("offset", std::uint64_t{0}));
  return kExitAccepted;
}

/// Posts an operator's record under one id, whichever instance takes it.
int Write(const CommandContext& context, const std::string& path, const Words& parameters,
          const std::string& body) {
  const std::string id = context.record_id.empty() ? NewRecordId() : context.record_id;
  std::string target = Concat(path, "?id=", PercentEncode(id));
  for (const std::string& parameter : parameters) AppendTo(&target, "&", parameter);
  Execution execution = Execution::kNotRun;
  const auto answer = context.client.Post(target, body, &execution);
  if (answer.ok()) return ReportOutcome(context, answer->body);
  const bool unknown = execution != Execution::kNotRun;
  return ReportOutcome(context, {{"fate", unknown ? "unknown" : "not-run"},
                                 {"record_id", id},
                                 {"reason", MessageOf(answer.status())}});
}

int PublishText(const CommandContext& context, const std::string& kind, const std::string& text) {
  Words parameters;
  if (!context.replaces.empty()) parameters.push_back(Concat("replaces=", context.replaces));
  return Write(context, Concat("/v1/admin/documents/", kind), parameters, text);
}

int Publish(const CommandContext& context, const std::string& kind, const Words& files) {
  for (const std::string& file : files) {
    std::ifstream stream(file);
    if (!stream) return Usage(Concat("cannot read '", file, "'"));
    std::stringstream text;
    text << stream.rdbuf();
    const int code = PublishText(context, kind, text.str());
    if (code != kExitAccepted) return code;
  }
  return kExitAccepted;
}

std::optional<Json> FetchVersions(const CommandContext& context, const std::string& kind,
                                  const std::string& name) {
  const auto answer =
      context.client.Fetch(Concat("/v1/admin/documents/", kind, "/", name, "/history"));
  if (!answer.ok() || !answer->body.contains("versions")) {
    std::cerr << "wigeonlane: "
              << (answer.ok() ? CellText(answer->body.value("reason", Json("no answer")))
                              : MessageOf(answer.status()))
              << "\n";
    return std::nullopt;
  }
  return answer->body["versions"];
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

int Show(const CommandContext& context, const std::string& kind, const std::string& name) {
  const auto versions = FetchVersions(context, kind, name);
  if (!versions.has_value()) return kExitRejected;
  std::cout << versions->back().dump(2) << "\n";
  return kExitAccepted;
}

int History(const CommandContext& context, const std::string& kind, const std::string& name) {
  const auto versions = FetchVersions(context, kind, name);
  if (!versions.has_value()) return kExitRejected;
  if (context.json) {
    std::cout << versions->dump(2) << "\n";
  } else {
    PrintRows(*versions, {"version", "offset", "document"});
  }
  return kExitAccepted;
}

int Diff(const CommandContext& context, const Words& words) {
  const auto before = FetchVersion(context, words[0], words[2], words[3]);
  const auto after = FetchVersion(context, words[0], words[2], words[4]);
  if (!before.has_value() || !after.has_value()) return kExitRejected;
  for (const auto& [field, value] : after->items()) {
    const Json old = before->value(field, Json());
    if (old != value) std::cout << field << ": " << old.dump() << " -> " << value.dump() << "\n";
  }
  return kExitAccepted;
}

int Rollback(const CommandContext& context, const Words& words) {
  const auto document = FetchVersion(context, words[0], words[2], words[3]);
  if (!document.has_value()) return kExitRejected;
  return PublishText(context, words[0], document->dump());
}

int DocumentCommand(const CommandContext& context, const Words& words) {
  const std::string& kind = words[0];
  const std::string verb = words.size() > 1 ? words[1] : "";
  if (verb == "publish" && words.size() > 2) {
    return Publish(context, kind, Words(words.begin() + 2, words.end()));
  }
  if (verb == "list" && words.size() == 2) {
    return List(context, Concat("/v1/admin/documents/", kind), "documents",
                {"name", "version", "offset", "document"});
  }
  if (verb == "show" && words.size() == 3) return Show(context, kind, words[2]);
  if (verb == "history" && words.size() == 3) return History(context, kind, words[2]);
  if (verb == "diff" && words.size() == 5) return Diff(context, words);
  if (verb == "rollback" && words.size() == 4) return Rollback(context, words);
  if (kind == "pool" && verb == "status" && words.size() == 2) {
    return List(context, "/v1/admin/pools", "pools",
                {"name", "members", "serving", "min_serving", "planned_out", "down", "spare"});
  }
  return Usage(Concat("unknown ", kind, " command '", verb, "'"));
}

int InstanceCommand(const CommandContext& context, const Words& words) {
  const std::string verb = words.size() > 1 ? words[1] : "";
  if (verb == "list" && words.size() == 2) {
    return List(context, "/v1/admin/instances", "instances",
                {"name", "pool", "rack", "data_centre", "lifecycle", "generation", "runner"});
  }
  if (verb == "drain" && words.size() == 3) {
    return Write(context, Concat("/v1/admin/instances/", words[2], "/drain"), {}, "{}");
  }
  if (verb == "move" && words.size() == 4) {
    return Write(context, Concat("/v1/admin/instances/", words[2], "/move"),
                 {Concat("to=", words[3])}, "{}");
  }
  return Usage(Concat("unknown instance command '", verb, "'"));
}

int OrderCommand(const CommandContext& context, const Words& words) {
  if (words.size() != 4 || words[1] != "show") return Usage("order show SERVICE KEY");
  const auto answer = context.client.Fetch(Concat(
      "/v1/admin/order?service=", PercentEncode(words[2]), "&key=", PercentEncode(words[3])));
  if (!answer.ok()) return Unreachable(answer.status());
  if (context.json) {
    std::cout << answer->body.dump(2) << "\n";
  } else {
    for (const auto& [field, value] : answer->body.items()) {
      std::cout << field << ": " << CellText(value) << "\n";
    }
  }
  return kExitAccepted;
}

int OutcomeCommand(const CommandContext& context, const Words& words) {
  if (words.size() != 2) return Usage("outcome RECORD-ID");
  const auto answer =
      context.client.Fetch(Concat("/v1/admin/outcome?id=", PercentEncode(words[1])));
  if (!answer.ok()) return Unreachable(answer.status());
  return ReportOutcome(context, answer->body);
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
  explain ID LOG...                              a job's story from the logs of all instances
  load run FILE                                  make load and report; see docs/LOAD.md

Exit codes: 0 accepted or done, 1 rejected or not run, 2 usage, 3 unknown: ask again with the id.
)";
}

int RunCommand(const CommandContext& context, const Words& words) {
  if (words.empty()) return Usage("no command");
  if (IsKind(words[0])) return DocumentCommand(context, words);
  if (words[0] == "instance") return InstanceCommand(context, words);
  if (words[0] == "order") return OrderCommand(context, words);
  if (words[0] == "outcome") return OutcomeCommand(context, words);
  if (words[0] == "status" && words.size() == 1) return StatusCommand(context);
  return Usage(Concat("unknown command '", words[0], "'"));
}

}  // namespace wigeonlane
