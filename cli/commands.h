/// Commands of the operators' tool that use the admin ports; jobs, logs and load are elsewhere.
#ifndef WIGEONLANE_CLI_COMMANDS_H_
#define WIGEONLANE_CLI_COMMANDS_H_

#include <chrono>
#include <string>
#include <string_view>
#include <vector>

#include "cli/admin_client.h"

namespace wigeonlane {

/// Client and options that these commands share.
struct CommandContext {
  AdminClient client;
  bool json = false;                        ///< Print JSON in place of tables.
  std::string record_id;                    ///< Record id of `--id`; empty for a generated one.
  std::string replaces;                     ///< Version to replace; empty for the current one.
  bool wait = false;                        ///< Wait until the record is in force everywhere.
  std::chrono::milliseconds wait_limit{0};  ///< Maximum time of that wait.
};

/// Returns the part of the `--help` text that lists the commands and exit codes.
std::string CommandHelp();

/// Runs the command given by `words`, the command line without its options. Returns an exit code of
/// `exit_codes.h`.
int RunCommand(const CommandContext& context, const std::vector<std::string>& words);

}  // namespace wigeonlane

#endif  // WIGEONLANE_CLI_COMMANDS_H_
