#include "core/logging.h"

#include <spdlog/async.h>
#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

#include <atomic>
#include <memory>
#include <nlohmann/json.hpp>

#include "core/text.h"

namespace wigeonlane {
namespace {

constexpr std::size_t kMaxBufferedLines = 8192;
constexpr std::size_t kWriterThreads = 1;

std::shared_ptr<spdlog::logger> g_logger;
std::atomic<bool> g_decisions{false};
std::atomic<bool> g_json{false};

bool NeedsQuotes(std::string_view value) {
  return value.empty() || value.find_first_of(" =\"\n\r\t\\") != std::string_view::npos;
}

std::string KeyValueLine(std::string_view event, std::initializer_list<LogField> fields) {
  std::string line = Concat("event=", event);
  for (const LogField& field : fields) {
    AppendTo(&line, " ", field.name, "=");
    if (NeedsQuotes(field.value)) {
      line +=
          nlohmann::json(field.value).dump(-1, ' ', true, nlohmann::json::error_handler_t::replace);
    } else {
      line += field.value;
    }
  }
  return line;
}

std::string JsonLine(std::string_view event, std::initializer_list<LogField> fields) {
  nlohmann::ordered_json line;
  line["event"] = event;
  for (const LogField& field : fields) line[std::string(field.name)] = field.value;
  return line.dump(-1, ' ', true, nlohmann::json::error_handler_t::replace);
}

void WriteLine(spdlog::level::level_enum level, std::string_view event,
               std::initializer_list<LogField> fields) {
  if (g_logger == nullptr || !g_logger->should_log(level)) return;
  g_logger->log(level, "{}", g_json ? JsonLine(event, fields) : KeyValueLine(event, fields));
}

}  // namespace

absl::Status StartLogging(const LogOptions& options) {
  const auto level = spdlog::level::from_str(options.level);
  if (level == spdlog::level::off && options.level != "off") {
    return absl::InvalidArgumentError(Concat("unknown log level '", options.level, "'"));
  }
  spdlog::init_thread_pool(kMaxBufferedLines, kWriterThreads);
  spdlog::sink_ptr sink;
  if (options.to_standard_output) {
    sink = std::make_shared<spdlog::sinks::stdout_sink_mt>();
  } else {
    sink = std::make_shared<spdlog::sinks::stderr_sink_mt>();
  }
  g_logger =
      std::make_shared<spdlog::async_logger>("wigeonlane", std::move(sink), spdlog::thread_pool(),
                                             spdlog::async_overflow_policy::overrun_oldest);
  g_logger->set_level(level);
  const bool json = options.format == LogFormat::kJson;
  g_logger->set_pattern(json ? "%v" : "time=%Y-%m-%dT%H:%M:%S.%e level=%l %v");
  g_json = json;
  g_decisions = options.decisions && level <= spdlog::level::info;
  return absl::OkStatus();
}

void StopLogging() {
  g_decisions = false;
  g_logger.reset();
  spdlog::shutdown();
}

std::uint64_t DroppedLogLines() {
  const auto pool = spdlog::thread_pool();
  return pool == nullptr ? 0 : pool->overrun_counter();
}

bool DecisionLogEnabled() { return g_decisions; }

void LogDecision(std::string_view kind, std::initializer_list<LogField> fields) {
  if (!g_decisions) return;
  WriteLine(spdlog::level::info, kind, fields);
}

void LogInfo(std::string_view event, std::initializer_list<LogField> fields) {
  WriteLine(spdlog::level::info, event, fields);
}

void LogWarning(std::string_view event, std::initializer_list<LogField> fields) {
  WriteLine(spdlog::level::warn, event, fields);
}

void LogError(std::string_view event, std::initializer_list<LogField> fields) {
  WriteLine(spdlog::level::err, event, fields);
}

}  // namespace wigeonlane
