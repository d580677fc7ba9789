// Token bucket that limits the retries that this host sends to another
// upstream. All hosts together must stay within one retry budget without
// communicating. Each host earns tokens for a part of the allowed ratio of its
// own requests, plus a small constant rate. The rates of all hosts add up to
// less than the budget's fixed allowance.
#pragma once

#include "common/boot_clock.h"

namespace mimosadeal {

struct DeploymentBounds;

struct RetryBudgetPolicy {
  double earned_per_request = 0;
  double earned_per_second = 0;
  double max_tokens = 0;  // Capacity of the bucket.
};

// Returns the policy by which all hosts together stay within the retries that
// the deployment allows.
RetryBudgetPolicy MakeRetryBudgetPolicy(const DeploymentBounds& bounds);

struct RetryBudget {
  double tokens = 0;  // Invariant: between 0 and the policy's max_tokens.
  MonotonicTime updated_at = kNever;
};

void EarnForRequest(RetryBudget& budget, const RetryBudgetPolicy& policy,
                    MonotonicTime now);
// Takes one token. Returns false if there is none.
bool SpendOnRetry(RetryBudget& budget, const RetryBudgetPolicy& policy,
                  MonotonicTime now);
// Whether a token is left for a second try of a request that has not failed.
// Part of the bucket is kept for requests that failed.
bool HasTokenForHedge(RetryBudget& budget, const RetryBudgetPolicy& policy,
                      MonotonicTime now);

}  // namespace mimosadeal
