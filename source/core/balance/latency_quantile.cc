#include "balance/latency_quantile.h"

#include <algorithm>
#include <cmath>

namespace mimosadeal {
namespace {

constexpr double kFirstBucketSeconds = 0.004;
constexpr double kBucketGrowth = 1.1;
// Half-life of a sample's weight. Upstreams' speeds change within some tens of
// seconds, and small hosts get a few requests of a route per second.
constexpr double kHalfLifeSeconds = 15;
constexpr Duration kAgingInterval = std::chrono::seconds(1);
// Samples, by weight, that must lie beyond a quantile for it to be known.
constexpr double kMinWeightBeyond = 1.5;

size_t BucketOf(Duration latency) {
  const double ratio = ToSeconds(latency) / kFirstBucketSeconds;
  if (ratio <= 1) return 0;
  const double index = std::ceil(std::log(ratio) / std::log(kBucketGrowth));
  return std::min(kLatencyBuckets - 1, static_cast<size_t>(index));
}

Duration UpperBoundOf(size_t bucket) {
  const double seconds = kFirstBucketSeconds *
                         std::pow(kBucketGrowth, static_cast<double>(bucket));
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(seconds));
}

void Age(LatencyQuantile& latencies, MonotonicTime now) {
  if (latencies.aged_at == kNever) latencies.aged_at = now;
  const Duration elapsed = now - latencies.aged_at;
  if (elapsed < kAgingInterval) return;
  const double factor = std::exp2(-ToSeconds(elapsed) / kHalfLifeSeconds);
  latencies.total = 0;
  for (float& weight : latencies.weights) {
    weight = static_cast<float>(weight * factor);
    latencies.total += weight;
  }
  latencies.aged_at = now;
}

}  // namespace

void ObserveLatency(LatencyQuantile& latencies, Duration latency,
                    MonotonicTime now) {
  Age(latencies, now);
  latencies.weights[BucketOf(latency)] += 1;
  latencies.total += 1;
}

std::optional<Duration> LatencyAt(const LatencyQuantile& latencies,
                                  double quantile) {
  const double beyond = latencies.total * (1 - quantile);
  if (beyond < kMinWeightBeyond) return std::nullopt;
  double above = 0;
  for (size_t bucket = kLatencyBuckets; bucket-- > 0;) {
    above += latencies.weights[bucket];
    if (above > beyond) return UpperBoundOf(bucket);
  }
  return UpperBoundOf(0);
}

}  // namespace mimosadeal
