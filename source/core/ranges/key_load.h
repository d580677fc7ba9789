// Estimates the load of one service by cell (see range_planner.h) from the
// requests of the last seconds.
//
// Load pattern: an owner receives a handful of requests a second, and the busy
// keys change from one second to the next. A moving average over a short time
// follows such a change, but for all other keys half of it is noise, and keys
// would move because of it. So the estimate is the average over a longer time,
// except for spans of keys where the short average differs from it
// significantly.
#pragma once

#include <cstdint>
#include <vector>

#include "common/boot_clock.h"
#include "ranges/range_planner.h"

namespace mimosadeal {

struct KeyLoadTiming {
  Duration fast{};  // Time constants of the two exponential averages.
  Duration slow{};
  Duration interval{};  // Between calls of Rates().
};

class KeyLoad {
 public:
  explicit KeyLoad(KeyLoadTiming timing)
      : timing_(timing), fast_(kCells, 0), slow_(kCells, 0) {}

  void Add(size_t cell, double busy_seconds);
  // Returns the busy seconds per second of each cell, as of `now`.
  CellLoads Rates(MonotonicTime now);
  // Returns the variance of a sum of rates, as a multiple of the sum: the cost
  // of one request divided by the length of the slow average.
  double noise() const { return noise_; }
  // Returns the cost of one request in busy seconds, 0 if unknown. An estimate
  // that is low rather than high.
  double request_seconds() const { return request_seconds_; }

 private:
  void Decay(MonotonicTime now);
  // Sets the rates of the span of cells that starts at `first` and has the
  // length of level `depth`.
  void Estimate(size_t first, size_t depth, CellLoads& rates) const;

  KeyLoadTiming timing_;
  // Busy seconds by cell, weighted by age.
  std::vector<float> fast_;
  std::vector<float> slow_;
  MonotonicTime began_at_ = kNever;
  MonotonicTime decayed_at_ = kNever;
  double fast_weight_ = 1;  // Seconds that the weighted sums cover.
  double slow_weight_ = 1;
  // Cost of one request in busy seconds: the average over the intervals of the
  // smallest addition, as most additions are of one request.
  double request_seconds_ = 0;
  // Smallest addition since the latest decay; 0 if there was none.
  double min_added_ = 0;
  double noise_ = 0;
};

}  // namespace mimosadeal
