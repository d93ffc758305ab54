/// Commands that submit, show and cancel jobs.
#ifndef WIGEONLANE_CLI_JOB_COMMAND_H_
#define WIGEONLANE_CLI_JOB_COMMAND_H_

#include <chrono>
#include <string>
#include <vector>

#include "core/settings.h"

namespace wigeonlane {

/// Addresses and options that the job commands share.
struct JobCommandContext {
  Endpoint callers;                         ///< Address of an instance's interface for callers.
  std::string host;                         ///< Host name of the queue's route.
  std::chrono::milliseconds timeout{0};     ///< Maximum time of one request.
  bool wait = false;                        ///< Wait until the job has finished.
  std::chrono::milliseconds wait_limit{0};  ///< Maximum time of that wait.
};

/// Runs `job submit|show|cancel|pending`. Returns an exit code of `exit_codes.h`.
int RunJobCommand(const JobCommandContext& context, const std::vector<std::string>& words);

}  // namespace wigeonlane

#endif  // WIGEONLANE_CLI_JOB_COMMAND_H_
