/// `wigeonlane explain ID FILE...`: prints the timeline of a job from the logs of all instances.
#ifndef WIGEONLANE_CLI_EXPLAIN_COMMAND_H_
#define WIGEONLANE_CLI_EXPLAIN_COMMAND_H_

#include <string>
#include <vector>

namespace wigeonlane {

/// Runs the command; `words` are "explain", the id of the job or of a request on it, and the log
/// files. Returns kExitRejected when a file cannot be read or no log has an event of the job.
int RunExplainCommand(const std::vector<std::string>& words);

}  // namespace wigeonlane

#endif  // WIGEONLANE_CLI_EXPLAIN_COMMAND_H_
