/// Limits retries to a share of successful requests, so that retries do not amplify an overload.
#ifndef WIGEONLANE_POLICY_RETRY_BUDGET_H_
#define WIGEONLANE_POLICY_RETRY_BUDGET_H_

#include <cstdint>

namespace wigeonlane {

/// Token bucket for retries. Not thread-safe.
class RetryBudget {
 public:
  /// Initial and maximum number of tokens. Lets a service with few requests retry some of them.
  static constexpr double kMaxTokens = 10.0;

  /// Adds `percent` hundredths of a token for one successful request.
  void OnSuccess(std::uint32_t percent);

  /// Takes one token. Returns false when less than one is left, so that the retry must not be made.
  bool TryTake();

  double tokens() const { return tokens_; }

 private:
  double tokens_ = kMaxTokens;
};

}  // namespace wigeonlane

#endif  // WIGEONLANE_POLICY_RETRY_BUDGET_H_
