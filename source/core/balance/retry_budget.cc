#include "balance/retry_budget.h"

#include <algorithm>

namespace mimosadeal {
namespace {

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
