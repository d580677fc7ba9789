#include "ranges/key_load.h"

#include <algorithm>
#include <array>
#include <cmath>

namespace mimosadeal {
namespace {

// Standard deviations by which a count must differ to be no chance, over as
// many keys as there are.
constexpr double kSignificant = 3.5;
// Lengths of the stretches that are looked at, each a part of the one before:
// about an owner's keys, and down to one.
constexpr std::array<size_t, 4> kStretches = {256, 64, 16, 1};
// Weight of an interval in the mean cost of a request: about the last five
// count.
constexpr double kCostWeight = 0.2;

// The weight that the time since `began` has in a mean over `memory`.
double Weight(Duration since, Duration memory) {
  const double seconds = ToSeconds(memory);
  return std::max(1e-3, seconds * (1 - std::exp(-ToSeconds(since) / seconds)));
}

}  // namespace

void KeyLoad::Add(size_t cell, double busy_seconds) {
  if (cell >= fast_.size()) return;
  fast_[cell] += static_cast<float>(busy_seconds);
  slow_[cell] += static_cast<float>(busy_seconds);
  if (busy_seconds > 0 && (least_added_ == 0 || busy_seconds < least_added_))
    least_added_ = busy_seconds;
}

void KeyLoad::Decay(MonotonicTime now) {
  if (began_at_ == kNever) {
    began_at_ = now - memory_.interval;
  } else {
    const double passed = ToSeconds(now - decayed_at_);
    const auto fast =
        static_cast<float>(std::exp(-passed / ToSeconds(memory_.fast)));
    const auto slow =
        static_cast<float>(std::exp(-passed / ToSeconds(memory_.slow)));
    for (float& sum : fast_) sum *= fast;
    for (float& sum : slow_) sum *= slow;
  }
  decayed_at_ = now;
  if (least_added_ > 0) {
    request_seconds_ =
        request_seconds_ == 0
            ? least_added_
            : request_seconds_ +
                  kCostWeight * (least_added_ - request_seconds_);
    least_added_ = 0;
  }
}

CellLoads KeyLoad::Rates(MonotonicTime now) {
  Decay(now);
  fast_weight_ = Weight(now - began_at_, memory_.fast);
  slow_weight_ = Weight(now - began_at_, memory_.slow);
  noise_ = request_seconds_ / slow_weight_;
  CellLoads rates(fast_.size());
  for (size_t first = 0; first < rates.size(); first += kStretches.front())
    Estimate(first, 0, rates);
  return rates;
}

void KeyLoad::Estimate(size_t first, size_t depth, CellLoads& rates) const {
  const size_t end = std::min(rates.size(), first + kStretches.at(depth));
  double fast = 0;
  double slow = 0;
  for (size_t i = first; i < end; ++i) {
    fast += fast_[i];
    slow += slow_[i];
  }
  const double cost = request_seconds_ > 0 ? request_seconds_ : 1;
  const double expected = slow / slow_weight_ * fast_weight_ / cost;
  const bool changed =
      std::abs(fast / cost - expected) > kSignificant * std::sqrt(expected + 1);
  const bool empty = fast == 0 && slow == 0;
  if (!changed && !empty && depth + 1 < kStretches.size()) {
    for (size_t i = first; i < end; i += kStretches.at(depth + 1))
      Estimate(i, depth + 1, rates);
    return;
  }
  const std::vector<float>& sums = changed ? fast_ : slow_;
  const auto weight = static_cast<float>(changed ? fast_weight_ : slow_weight_);
  for (size_t i = first; i < end; ++i) rates[i] = sums[i] / weight;
}

}  // namespace mimosadeal
