/// Retry budget: retries as a share of successes, so that they never multiply a flood.
#ifndef WIGEONLANE_POLICY_RETRY_BUDGET_H_
#define WIGEONLANE_POLICY_RETRY_BUDGET_H_

#include <cstdint>

namespace wigeonlane {

/// A bounded store of retry tokens. Not safe for several threads.
class RetryBudget {
 public:
  /// Tokens held at the start and at most, so that a quiet service may still retry a little.
  static constexpr double kMaxTokens = 10.0;

  /// Earns `percent` hundredths of a token for one success.
  void OnSuccess(std::uint32_t percent);

  /// Takes one token; false when none is left and the retry must not be made.
  bool TryTake();

  double tokens() const { return tokens_; }

 private:
  double tokens_ = kMaxTokens;
};

}  // namespace wigeonlane

#endif  // WIGEONLANE_POLICY_RETRY_BUDGET_H_
