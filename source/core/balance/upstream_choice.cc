#include "balance/upstream_choice.h"

#include <algorithm>

namespace mimosadeal {
namespace {

// An upstream that is warming up takes about this many times as long.
constexpr double kWarmupFactor = 2;
// Used until the service time of any upstream is known.
constexpr double kAssumedServiceSeconds = 0.1;
// Expected response times that differ by a smaller share count as equal.
constexpr double kEqualityTolerance = 0.1;

// Returns the mean over the candidates with a known service time. It is used
// for the others, so that an upstream that has just joined gets requests like
// any other.
double MeanServiceSeconds(const std::vector<ChoiceCandidate>& candidates) {
  double sum = 0;
  int known = 0;
  for (const ChoiceCandidate& candidate : candidates) {
    if (candidate.load.service_seconds <= 0) continue;
    sum += candidate.load.service_seconds;
    ++known;
  }
  return known == 0 ? kAssumedServiceSeconds : sum / known;
}

double ExpectedSeconds(const ChoiceCandidate& candidate, double mean_service,
                       double zone_preference, MonotonicTime now) {
  const double service = candidate.load.service_seconds > 0
                             ? candidate.load.service_seconds
                             : mean_service;
  const double warmup_factor =
      candidate.warmup_left > Duration::zero() ? kWarmupFactor : 1;
  const double backlog = ExpectedBacklog(candidate.load, now);
  const double slots = std::max(1, candidate.load.slots);
  const double cross_zone_penalty =
      candidate.same_zone ? 0 : zone_preference * service;
  // Increases with the backlog even while slots are free, because the requests
  // that other hosts are sending are unknown.
  return service * warmup_factor * (1 + backlog / slots) + cross_zone_penalty;
}

}  // namespace

int ChooseUpstream(const std::vector<ChoiceCandidate>& candidates,
                   double zone_preference, uint64_t tie_break,
                   MonotonicTime now) {
  int best = -1;
  double best_seconds = 0;
  const double mean_service = MeanServiceSeconds(candidates);
  const size_t count = candidates.size();
  for (size_t i = 0; i < count; ++i) {
    const size_t index = (i + tie_break) % count;
    const ChoiceCandidate& candidate = candidates[index];
    const double seconds =
        ExpectedSeconds(candidate, mean_service, zone_preference, now);
    if (best < 0 || seconds < best_seconds * (1 - kEqualityTolerance)) {
      best = static_cast<int>(index);
      best_seconds = seconds;
    }
  }
  return best;
}

}  // namespace mimosadeal
