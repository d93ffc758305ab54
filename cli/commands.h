/// Commands of the operators' tool, except those that make load.
#ifndef WIGEONLANE_CLI_COMMANDS_H_
#define WIGEONLANE_CLI_COMMANDS_H_

#include <chrono>
#include <string>
#include <string_view>
#include <vector>

#include "cli/admin_client.h"

namespace wigeonlane {

/// What all commands share.
struct CommandContext {
  AdminClient client;
  bool json = false;                        ///< Print JSON in place of tables.
  std::string record_id;                    ///< Given by the operator, or empty.
  std::string replaces;                     ///< Version to replace, or empty for the present one.
  bool wait = false;                        ///< Wait until it is in force everywhere.
  std::chrono::milliseconds wait_limit{0};  ///< Longest wait for that.
};

/// Text of the commands for `--help`.
std::string CommandHelp();

/// Runs the command that `words` spell. Returns an exit code of `exit_codes.h`.
int RunCommand(const CommandContext& context, const std::vector<std::string>& words);

}  // namespace wigeonlane

#endif  // WIGEONLANE_CLI_COMMANDS_H_
