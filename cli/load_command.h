/// The command `load run FILE`.
#ifndef WIGEONLANE_CLI_LOAD_COMMAND_H_
#define WIGEONLANE_CLI_LOAD_COMMAND_H_

#include <string>
#include <vector>

namespace wigeonlane {

/// Runs the load plan in the file `words[2]` and prints the report as a table or JSON. Writes a
/// plot to `svg_file` unless that is empty. Returns 1 when the audit of orders found a violation.
int RunLoadCommand(const std::vector<std::string>& words, bool json, const std::string& svg_file);

}  // namespace wigeonlane

#endif  // WIGEONLANE_CLI_LOAD_COMMAND_H_
