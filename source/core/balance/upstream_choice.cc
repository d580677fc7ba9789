#include "balance/upstream_choice.h"

#include <algorithm>

namespace mimosadeal {
namespace {

// A cold upstream takes about this much longer.
constexpr double kColdFactor = 2;
// Until a service time of any upstream was seen.
constexpr double kAssumedServiceSeconds = 0.1;
// Answers that differ by less than this share of a service time count as equal.
constexpr double kEqualShare = 0.1;

// Of the candidates whose service time is known: what is taken for that of the
// others, so that one that has just joined is tried like any other.
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
  const double cold =
      candidate.warmup_left > Duration::zero() ? kColdFactor : 1;
  const double backlog = ExpectedBacklog(candidate.load, now);
  const double slots = std::max(1, candidate.load.slots);
  const double away = candidate.same_zone ? 0 : zone_preference * service;
  // Counts a partly used upstream as longer too: what others send is unknown.
  return service * cold * (1 + backlog / slots) + away;
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
    if (best < 0 || seconds < best_seconds * (1 - kEqualShare)) {
      best = static_cast<int>(index);
      best_seconds = seconds;
    }
  }
  return best;
}

}  // namespace mimosadeal
