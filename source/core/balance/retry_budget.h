// Bounds the requests that this host sends to a second upstream. All hosts
// together must keep to one budget without speaking to each other: each earns a
// part of the ratio from the requests that it saw, and a fixed trickle that
// sums up to less than the fixed allowance.
#pragma once

#include "common/boot_clock.h"

namespace mimosadeal {

struct RetryBudgetPolicy {
  double earned_per_request = 0;
  double earned_per_second = 0;
  double max_tokens = 0;  // Tokens held at once.
};

struct RetryBudget {
  double tokens = 0;  // Invariant: from 0 to the policy's `max_tokens`.
  MonotonicTime updated_at = kNever;
};

void EarnForRequest(RetryBudget& budget, const RetryBudgetPolicy& policy,
                    MonotonicTime now);
// Takes one token, or returns false.
bool SpendOnRetry(RetryBudget& budget, const RetryBudgetPolicy& policy,
                  MonotonicTime now);

}  // namespace mimosadeal
