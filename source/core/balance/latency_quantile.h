// Quantiles of the recent response times of one route: a histogram with
// geometric buckets whose samples lose weight with age.
#pragma once

#include <array>
#include <cstddef>
#include <optional>

#include "common/boot_clock.h"

namespace mimosadeal {

// With a growth of 10% per bucket, from 4 ms to 30 s.
inline constexpr size_t kLatencyBuckets = 95;

struct LatencyQuantile {
  std::array<float, kLatencyBuckets> weights{};
  // Invariant: the sum of `weights`.
  double total = 0;
  MonotonicTime aged_at = kNever;
};

// Records a response time, or the time after which a request without a response
// ended.
void ObserveLatency(LatencyQuantile& latencies, Duration latency,
                    MonotonicTime now);

// Returns the time within which a `quantile` (from 0 to 1) of the recent
// responses came, exact to one bucket; nullopt if too few are known beyond it.
std::optional<Duration> LatencyAt(const LatencyQuantile& latencies,
                                  double quantile);

}  // namespace mimosadeal
