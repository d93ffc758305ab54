#include "cli/load_command.h"

#include <unistd.h>

#include <fstream>
#include <functional>
#include <iostream>
#include <sstream>

#include "cli/exit_codes.h"
#include "load/load_plan.h"
#include "load/load_report.h"
#include "load/load_runner.h"

namespace wigeonlane {
namespace {

constexpr double kPercent = 100.0;

void ShowProgress(double share) {
  std::cerr << "\rload: " << static_cast<int>(share * kPercent) << "%" << std::flush;
}

bool IsBroken(const OrderAuditResult& orders) {
  return orders.duplicated + orders.lost + orders.executed_despite_not_run +
             orders.wrong_responses >
         0;
}

}  // namespace

int RunLoadCommand(const std::vector<std::string>& words, bool json, const std::string& svg_file) {
  if (words.size() != 3 || words[1] != "run") {
    std::cerr << "wigeonlane: load run FILE; see wigeonlane --help\n";
    return kExitUsage;
  }
  std::ifstream stream(words[2]);
  std::stringstream text;
  text << stream.rdbuf();
  if (!stream) {
    std::cerr << "wigeonlane: cannot read '" << words[2] << "'\n";
    return kExitUsage;
  }
  const auto plan = ParseLoadPlan(text.str());
  if (!plan.ok()) {
    std::cerr << "wigeonlane: " << plan.status().message() << "\n";
    return kExitUsage;
  }
  const bool terminal = isatty(STDERR_FILENO) != 0;
  const LoadReport report =
      RunLoad(*plan, terminal ? std::function<void(double)>(ShowProgress) : nullptr);
  if (terminal) std::cerr << "\r";
  std::cout << (json ? ToJson(report) + "\n" : ToTable(report));
  if (!svg_file.empty()) std::ofstream(svg_file) << ToSvg(report);
  return IsBroken(report.orders) ? kExitRejected : kExitAccepted;
}

}  // namespace wigeonlane
