#include "cli/job_command.h"

#include <fstream>
#include <iostream>
#include <sstream>
#include <string_view>
#include <thread>

#include "cli/exit_codes.h"
#include "core/clock.h"
#include "core/text.h"
#include "jobs/job_document.h"
#include "platform/job_client.h"

namespace wigeonlane {
namespace {

constexpr std::chrono::milliseconds kWaitPoll{100};

int Usage(std::string_view why) {
  std::cerr << "wigeonlane: " << why << "; see wigeonlane --help\n";
  return kExitUsage;
}

int ExitOf(const absl::Status& status) {
  if (status.ok()) return kExitAccepted;
  std::cerr << "wigeonlane: " << MessageOf(status) << "\n";
  switch (status.code()) {
    case absl::StatusCode::kInvalidArgument:
      return kExitUsage;
    case absl::StatusCode::kUnknown:
      return kExitUnknown;
    default:
      return kExitRejected;
  }
}

bool IsFinalName(std::string_view state) { return state != "queued" && state != "running"; }

absl::StatusOr<JobSpec> ReadJob(const std::string& path) {
  std::ifstream file(path);
  if (!file) return absl::InvalidArgumentError(Concat("cannot read '", path, "'"));
  std::ostringstream text;
  text << file.rdbuf();
  return ParseJobDocument(text.str());
}

int Show(JobClient* client, const JobId& job) {
  const auto state = client->Show(job);
  if (!state.ok()) return ExitOf(state.status());
  std::cout << *state << "\n";
  return kExitAccepted;
}

/// Prints each new state until the job has finished. A state that cannot be read is asked for
/// again until the time is over.
int Follow(JobClient* client, const JobId& job, std::chrono::milliseconds limit) {
  const SteadyClock clock;
  const Instant end = clock.Now() + limit;
  std::string shown;
  while (true) {
    const auto state = client->Show(job);
    if (state.ok() && *state != shown) std::cout << *state << std::endl;
    if (state.ok()) shown = *state;
    if (state.ok() && IsFinalName(shown)) {
      return shown == "completed" ? kExitAccepted : kExitRejected;
    }
    if (clock.Now() >= end) {
      return ExitOf(absl::UnknownError(Concat("not finished after ", limit.count(), " ms")));
    }
    std::this_thread::sleep_for(kWaitPoll);
  }
}

int Submit(const JobCommandContext& context, JobClient* client, const JobId& job,
           const std::string& path) {
  const auto spec = ReadJob(path);
  if (!spec.ok()) return ExitOf(spec.status());
  if (const absl::Status status = client->Submit(job, *spec); !status.ok()) return ExitOf(status);
  std::cout << "accepted\n";
  return context.wait ? Follow(client, job, context.wait_limit) : kExitAccepted;
}

int CountPending(JobClient* client) {
  const auto pending = client->CountPending();
  if (!pending.ok()) return ExitOf(pending.status());
  std::cout << *pending << "\n";
  return kExitAccepted;
}

}  // namespace

int RunJobCommand(const JobCommandContext& context, const std::vector<std::string>& words) {
  const std::string verb = words.size() > 1 ? words[1] : "";
  const bool pending = verb == "pending";
  const std::size_t expected = pending ? 3 : verb == "submit" ? 5 : 4;
  if (!pending && verb != "submit" && verb != "show" && verb != "cancel") {
    return Usage("job: allowed: submit, show, cancel, pending");
  }
  if (words.size() != expected) return Usage(Concat("job ", verb, ": wrong number of words"));
  const std::string& prefix = words[2];
  if (prefix.size() < 2 || !prefix.starts_with('/') || !prefix.ends_with('/')) {
    return Usage(Concat("'", prefix, "' is not a queue's path; allowed: /NAME/"));
  }
  JobClient client({context.callers, context.host, prefix}, context.timeout);
  if (pending) return CountPending(&client);
  const auto job = JobId::Parse(words[3]);
  if (!job) return Usage(Concat("'", words[3], "' is not a job's id (16 hexadecimal digits)"));
  if (verb == "submit") return Submit(context, &client, *job, words[4]);
  if (verb == "cancel") return ExitOf(client.Cancel(*job));
  return context.wait ? Follow(&client, *job, context.wait_limit) : Show(&client, *job);
}

}  // namespace wigeonlane
