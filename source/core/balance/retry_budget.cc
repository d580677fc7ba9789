#include "balance/retry_budget.h"

#include <algorithm>

namespace mimosadeal {
namespace {

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

}  // namespace mimosadeal
