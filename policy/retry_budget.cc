#include "policy/retry_budget.h"

#include <algorithm>

namespace wigeonlane {

void RetryBudget::OnSuccess(std::uint32_t percent) {
  tokens_ = std::min(kMaxTokens, tokens_ + static_cast<double>(percent) / 100.0);
}

bool RetryBudget::TryTake() {
  if (tokens_ < 1.0) return false;
  tokens_ -= 1.0;
  return true;
}

}  // namespace wigeonlane
