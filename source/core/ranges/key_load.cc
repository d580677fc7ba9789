#include "ranges/key_load.h"

#include <algorithm>
#include <array>
#include <cmath>

namespace mimosadeal {
namespace {

// Number of standard deviations from which a difference counts as significant.
// It is high because it is tested for each of the many spans of keys.
constexpr double kSignificantDeviations = 3.5;
// Lengths of the spans in cells, each a part of the one before: from about the
// keys of one owner down to one key.
constexpr std::array<size_t, 4> kSpanLengths = {256, 64, 16, 1};
// Weight of the latest interval in the average cost of a request, so that about
// the last five intervals count.
constexpr double kRequestCostWeight = 0.2;

// Returns the seconds that the weights of an exponential average add up to,
// `elapsed` after it began.
double CoveredSeconds(Duration elapsed, Duration time_constant) {
  const double seconds = ToSeconds(time_constant);
  return std::max(1e-3,
                  seconds * (1 - std::exp(-ToSeconds(elapsed) / seconds)));
}

}  // namespace

void KeyLoad::Add(size_t cell, double busy_seconds) {
  if (cell >= fast_.size()) return;
  fast_[cell] += static_cast<float>(busy_seconds);
  slow_[cell] += static_cast<float>(busy_seconds);
  if (busy_seconds > 0 && (min_added_ == 0 || busy_seconds < min_added_))
    min_added_ = busy_seconds;
}

void KeyLoad::Decay(MonotonicTime now) {
  if (began_at_ == kNever) {
    began_at_ = now - timing_.interval;
  } else {
    const double passed = ToSeconds(now - decayed_at_);
    const auto fast =
        static_cast<float>(std::exp(-passed / ToSeconds(timing_.fast)));
    const auto slow =
        static_cast<float>(std::exp(-passed / ToSeconds(timing_.slow)));
    for (float& sum : fast_) sum *= fast;
    for (float& sum : slow_) sum *= slow;
  }
  decayed_at_ = now;
  if (min_added_ > 0) {
    request_seconds_ =
        request_seconds_ == 0
            ? min_added_
            : request_seconds_ +
                  kRequestCostWeight * (min_added_ - request_seconds_);
    min_added_ = 0;
  }
}

CellLoads KeyLoad::Rates(MonotonicTime now) {
  Decay(now);
  fast_weight_ = CoveredSeconds(now - began_at_, timing_.fast);
  slow_weight_ = CoveredSeconds(now - began_at_, timing_.slow);
  noise_ = request_seconds_ / slow_weight_;
  CellLoads rates(fast_.size());
  for (size_t first = 0; first < rates.size(); first += kSpanLengths.front())
    Estimate(first, 0, rates);
  return rates;
}

void KeyLoad::Estimate(size_t first, size_t depth, CellLoads& rates) const {
  const size_t end = std::min(rates.size(), first + kSpanLengths.at(depth));
  double fast = 0;
  double slow = 0;
  for (size_t i = first; i < end; ++i) {
    fast += fast_[i];
    slow += slow_[i];
  }
  const double cost = request_seconds_ > 0 ? request_seconds_ : 1;
  const double expected = slow / slow_weight_ * fast_weight_ / cost;
  const bool changed = std::abs(fast / cost - expected) >
                       kSignificantDeviations * std::sqrt(expected + 1);
  const bool empty = fast == 0 && slow == 0;
  if (!changed && !empty && depth + 1 < kSpanLengths.size()) {
    for (size_t i = first; i < end; i += kSpanLengths.at(depth + 1))
      Estimate(i, depth + 1, rates);
    return;
  }
  const std::vector<float>& sums = changed ? fast_ : slow_;
  const auto weight = static_cast<float>(changed ? fast_weight_ : slow_weight_);
  for (size_t i = first; i < end; ++i) rates[i] = sums[i] / weight;
}

}  // namespace mimosadeal
