#include "balance/retry_budget.h"

#include <algorithm>

#include "forwarding/deployment_bounds.h"

namespace mimosadeal {
namespace {

// Each host uses half of the ratio for its own requests, and a constant rate
// that keeps the sum of some hundred hosts below the fixed allowance: a larger
// allowance belongs to a deployment of more hosts.
constexpr double kRetryRatioShare = 0.5;
constexpr double kExpectedHosts = 40;
constexpr double kLargestUsedAllowance = 100;
// Limits how many retries all hosts together can send at once.
constexpr double kMaxRetryTokens = 3;
// Fraction of the bucket that second tries of requests that have not failed
// leave for retries.
constexpr double kReserveForRetries = 1.0 / 3;

void Refill(RetryBudget& budget, const RetryBudgetPolicy& policy,
            MonotonicTime now) {
  if (budget.updated_at == kNever) {
    budget.tokens = policy.max_tokens;
  } else {
    budget.tokens =
        std::min(policy.max_tokens,
                 budget.tokens + policy.earned_per_second *
                                     ToSeconds(now - budget.updated_at));
  }
  budget.updated_at = now;
}

}  // namespace

RetryBudgetPolicy MakeRetryBudgetPolicy(const DeploymentBounds& bounds) {
  RetryBudgetPolicy policy;
  policy.earned_per_request = bounds.retry_ratio * kRetryRatioShare;
  policy.earned_per_second =
      std::min(bounds.retry_allowance, kLargestUsedAllowance) / kExpectedHosts /
      ToSeconds(bounds.retry_window) / 2;
  policy.max_tokens = kMaxRetryTokens;
  return policy;
}

void EarnForRequest(RetryBudget& budget, const RetryBudgetPolicy& policy,
                    MonotonicTime now) {
  Refill(budget, policy, now);
  budget.tokens =
      std::min(policy.max_tokens, budget.tokens + policy.earned_per_request);
}

bool SpendOnRetry(RetryBudget& budget, const RetryBudgetPolicy& policy,
                  MonotonicTime now) {
  Refill(budget, policy, now);
  if (budget.tokens < 1) return false;
  budget.tokens -= 1;
  return true;
}

bool HasTokenForHedge(RetryBudget& budget, const RetryBudgetPolicy& policy,
                      MonotonicTime now) {
  Refill(budget, policy, now);
  return budget.tokens - 1 >= kReserveForRetries * policy.max_tokens;
}

}  // namespace mimosadeal
