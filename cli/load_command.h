/// The command `load run FILE`.
#ifndef WIGEONLANE_CLI_LOAD_COMMAND_H_
#define WIGEONLANE_CLI_LOAD_COMMAND_H_

#include <string>
#include <vector>

namespace wigeonlane {

/// Runs the plan of a file and prints the report as a table or JSON; `svg_file` gets a plot unless
/// it is empty. Exits with 1 when the audit of orders found a broken promise.
int RunLoadCommand(const std::vector<std::string>& words, bool json, const std::string& svg_file);

}  // namespace wigeonlane

#endif  // WIGEONLANE_CLI_LOAD_COMMAND_H_
