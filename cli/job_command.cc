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

constexpr std::chrono::milliseconds kPollInterval{100};

int PrintUsageError(std::string_view message) {
  std::cerr << "wigeonlane: " << message << "; see wigeonlane --help\n";
  return kExitUsage;
}

/// Prints the message of `status` unless it is OK. Returns the exit code for the status.
int ReportStatus(const absl::Status& status) {
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

/// `state` is the name of a job state as the server prints it.
bool IsFinalState(std::string_view state) { return state != "queued" && state != "running"; }

absl::StatusOr<JobSpec> ReadJobFile(const std::string& path) {
  std::ifstream file(path);
  if (!file) return absl::InvalidArgumentError(Concat("cannot read '", path, "'"));
  std::ostringstream text;
  text << file.rdbuf();
  return ParseJobDocument(text.str());
}

int PrintState(JobClient* client, const JobId& job) {
  const auto state = client->Show(job);
  if (!state.ok()) return ReportStatus(state.status());
  std::cout << *state << "\n";
  return kExitAccepted;
}

/// Polls the job and prints each change of its state until it has finished or `limit` has passed. A
/// failed poll is repeated.
int WaitUntilFinished(JobClient* client, const JobId& job, std::chrono::milliseconds limit) {
  const SteadyClock clock;
  const Instant deadline = clock.Now() + limit;
  std::string last_state;
  while (true) {
    const auto state = client->Show(job);
    if (state.ok() && *state != last_state) std::cout << *state << std::endl;
    if (state.ok()) last_state = *state;
    if (state.ok() && IsFinalState(last_state)) {
      return last_state == "completed" ? kExitAccepted : kExitRejected;
    }
    if (clock.Now() >= deadline) {
      return ReportStatus(absl::UnknownError(Concat("not finished after ", limit.count(), " ms")));
    }
    std::this_thread::sleep_for(kPollInterval);
  }
}

int Submit(const JobCommandContext& context, JobClient* client, const JobId& job,
           const std::string& path) {
  const auto spec = ReadJobFile(path);
  if (!spec.ok()) return ReportStatus(spec.status());
  if (const absl::Status status = client->Submit(job, *spec); !status.ok()) {
    return ReportStatus(status);
  }
  std::cout << "accepted\n";
  return context.wait ? WaitUntilFinished(client, job, context.wait_limit) : kExitAccepted;
}

int PrintPending(JobClient* client) {
  const auto pending = client->CountPending();
  if (!pending.ok()) return ReportStatus(pending.status());
  std::cout << *pending << "\n";
  return kExitAccepted;
}

}  // namespace

int RunJobCommand(const JobCommandContext& context, const std::vector<std::string>& words) {
  const std::string verb = words.size() > 1 ? words[1] : "";
  const bool pending = verb == "pending";
  const std::size_t expected = pending ? 3 : verb == "submit" ? 5 : 4;
  if (!pending && verb != "submit" && verb != "show" && verb != "cancel") {
    return PrintUsageError("job: allowed: submit, show, cancel, pending");
  }
  if (words.size() != expected) {
    return PrintUsageError(Concat("job ", verb, ": wrong number of words"));
  }
  const std::string& prefix = words[2];
  if (prefix.size() < 2 || !prefix.starts_with('/') || !prefix.ends_with('/')) {
    return PrintUsageError(Concat("'", prefix, "' is not a queue's path; allowed: /NAME/"));
  }
  JobClient client(context.callers, {context.host, prefix}, context.timeout);
  if (pending) return PrintPending(&client);
  const auto job = JobId::Parse(words[3]);
  if (!job) {
    return PrintUsageError(Concat("'", words[3], "' is not a job's id (16 hexadecimal digits)"));
  }
  if (verb == "submit") return Submit(context, &client, *job, words[4]);
  if (verb == "cancel") return ReportStatus(client.Cancel(*job));
  return context.wait ? WaitUntilFinished(&client, *job, context.wait_limit)
                      : PrintState(&client, *job);
}

}  // namespace wigeonlane
