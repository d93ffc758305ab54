/// Exit codes of the operators' tool.
#ifndef WIGEONLANE_CLI_EXIT_CODES_H_
#define WIGEONLANE_CLI_EXIT_CODES_H_

namespace wigeonlane {

inline constexpr int kExitAccepted = 0;  ///< The command succeeded, or the record was accepted.
inline constexpr int kExitRejected = 1;  ///< Rejected or not run; the reason was printed.
inline constexpr int kExitUsage = 2;     ///< The command line or a document is invalid.
inline constexpr int kExitUnknown = 3;   ///< Outcome unknown; ask again with the record id.

}  // namespace wigeonlane

#endif  // WIGEONLANE_CLI_EXIT_CODES_H_
