#include "core/logging.h"

#include <spdlog/async.h>
#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <iterator>
#include <memory>
#include <nlohmann/json.hpp>

#include "core/text.h"

namespace wigeonlane {
namespace {

constexpr std::size_t kMaxBufferedLines = 8192;
/// Part of the buffer that lines on runs leave to all others.
constexpr std::size_t kReservedLines = 2048;
constexpr std::size_t kWriterThreads = 1;
/// Decisions on runs of tasks, of which one request of a caller leads to many.
constexpr std::string_view kRunDecisions[] = {"start", "run_end", "free"};
/// Interval between checks for dropped lines. More lines than this are in the buffer when a line is
/// dropped, so a check always follows.
constexpr std::uint64_t kLinesPerDropCheck = 256;
static_assert(kLinesPerDropCheck < kMaxBufferedLines - kReservedLines);

using WriterPool = spdlog::details::thread_pool;

std::shared_ptr<WriterPool> g_pool;
std::shared_ptr<spdlog::logger> g_logger;
std::atomic<bool> g_decisions{false};
std::atomic<bool> g_json{false};
std::atomic<std::uint64_t> g_dropped_run_decisions{0};

bool IsRunDecision(std::string_view kind) {
  return std::find(std::begin(kRunDecisions), std::end(kRunDecisions), kind) !=
         std::end(kRunDecisions);
}

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

std::string FormatLine(std::string_view event, std::initializer_list<LogField> fields) {
  return g_json ? JsonLine(event, fields) : KeyValueLine(event, fields);
}

/// Writes the lines to another sink, and a report before the next line when lines were dropped.
/// Only the writer thread calls it. The report takes no place in the buffer.
class DropReporter final : public spdlog::sinks::sink {
 public:
  DropReporter(spdlog::sink_ptr target, WriterPool* pool)
      : target_(std::move(target)), pool_(pool), checked_at_(spdlog::log_clock::now()) {}

  void log(const spdlog::details::log_msg& line) override {
    if (++lines_ % kLinesPerDropCheck == 0) CheckDrops(line);
    target_->log(line);
  }

  void flush() override { target_->flush(); }
  void set_pattern(const std::string& pattern) override { target_->set_pattern(pattern); }
  void set_formatter(std::unique_ptr<spdlog::formatter> formatter) override {
    target_->set_formatter(std::move(formatter));
  }

 private:
  void CheckDrops(const spdlog::details::log_msg& line) {
    const std::uint64_t of_runs = g_dropped_run_decisions;
    const std::uint64_t dropped = pool_->overrun_counter() + of_runs;
    if (dropped > reported_) {
      const auto now = spdlog::log_clock::now();
      const auto period = std::chrono::ceil<std::chrono::milliseconds>(now - checked_at_);
      const std::string report =
          FormatLine("log_lines_dropped", {{"count", Concat(dropped - reported_)},
                                           {"of_runs", Concat(of_runs - reported_of_runs_)},
                                           {"period_ms", Concat(period.count())}});
      target_->log({now, {}, line.logger_name, spdlog::level::warn, report});
      reported_ = dropped;
      reported_of_runs_ = of_runs;
    }
    checked_at_ = line.time;
  }

  spdlog::sink_ptr target_;
  WriterPool* pool_;
  std::uint64_t lines_ = 0;
  std::uint64_t reported_ = 0;
  std::uint64_t reported_of_runs_ = 0;
  /// Time of the line before which drops were last checked. Lines dropped since then are not older.
  spdlog::log_clock::time_point checked_at_;
};

void WriteLine(spdlog::level::level_enum level, std::string_view event,
               std::initializer_list<LogField> fields) {
  if (g_logger == nullptr || !g_logger->should_log(level)) return;
  g_logger->log(level, "{}", FormatLine(event, fields));
}

}  // namespace

absl::Status StartLogging(const LogOptions& options) {
  const auto level = spdlog::level::from_str(options.level);
  if (level == spdlog::level::off && options.level != "off") {
    return absl::InvalidArgumentError(Concat("unknown log level '", options.level, "'"));
  }
  g_dropped_run_decisions = 0;
  g_pool = std::make_shared<WriterPool>(kMaxBufferedLines, kWriterThreads);
  spdlog::sink_ptr sink;
  if (options.to_standard_output) {
    sink = std::make_shared<spdlog::sinks::stdout_sink_mt>();
  } else {
    sink = std::make_shared<spdlog::sinks::stderr_sink_mt>();
  }
  g_logger = std::make_shared<spdlog::async_logger>(
      "wigeonlane", std::make_shared<DropReporter>(std::move(sink), g_pool.get()), g_pool,
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
  g_pool.reset();  // Waits until all buffered lines are written.
  spdlog::shutdown();
}

std::uint64_t DroppedLogLines() {
  return g_pool == nullptr ? 0 : g_pool->overrun_counter() + g_dropped_run_decisions;
}

bool DecisionLogEnabled() { return g_decisions; }

void LogDecision(std::string_view kind, std::initializer_list<LogField> fields) {
  if (!g_decisions) return;
  if (IsRunDecision(kind) && g_pool->queue_size() >= kMaxBufferedLines - kReservedLines) {
    ++g_dropped_run_decisions;
    return;
  }
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
