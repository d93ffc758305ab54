#include "cli/explain_command.h"

#include <filesystem>
#include <fstream>
#include <iostream>
#include <utility>

#include "cli/exit_codes.h"
#include "jobs/job_id.h"
#include "logs/job_timeline.h"

namespace wigeonlane {
namespace {

constexpr std::size_t kFirstFile = 2;

}  // namespace

int RunExplainCommand(const std::vector<std::string>& words) {
  if (words.size() <= kFirstFile) {
    std::cerr << "wigeonlane: explain needs a job's id and log files; see wigeonlane --help\n";
    return kExitUsage;
  }
  const auto job = JobId::Parse(words[1]);
  if (!job) {
    std::cerr << "wigeonlane: '" << words[1] << "' is not a job's id (16 hexadecimal digits)\n";
    return kExitUsage;
  }
  std::vector<InstanceLog> logs;
  for (std::size_t i = kFirstFile; i < words.size(); ++i) {
    std::ifstream file(words[i]);
    if (!file) {
      std::cerr << "wigeonlane: cannot read " << words[i] << "\n";
      return kExitRejected;
    }
    InstanceLog log = ReadInstanceLog(&file, std::filesystem::path(words[i]).stem().string());
    if (log.unparsed_lines > 0) {
      std::cerr << words[i] << ": " << log.unparsed_lines << " lines are not of the log's form\n";
    }
    logs.push_back(std::move(log));
  }
  const JobTimeline timeline = BuildJobTimeline(logs, job->text());
  std::cout << FormatTimeline(timeline);
  return timeline.events.empty() ? kExitRejected : kExitAccepted;
}

}  // namespace wigeonlane
