// The load of one service by cell of its keys, estimated from the requests of
// the last seconds.
//
// Load pattern: an owner gets a handful of requests a second, until the busy
// keys change from one second to the next. A mean over a short time follows
// that, but is half noise for all others, and keys would move for it. So a mean
// over a longer time counts, but for the stretches of keys where the short one
// differs from it by more than chance.
#pragma once

#include <cstdint>
#include <vector>

#include "common/boot_clock.h"
#include "ranges/range_planner.h"

namespace mimosadeal {

struct KeyLoadTiming {
  Duration fast{};  // Time constants of the two means.
  Duration slow{};
  Duration interval{};  // Between calls of Rates.
};

class KeyLoad {
 public:
  explicit KeyLoad(KeyLoadTiming memory)
      : memory_(memory), fast_(kCells, 0), slow_(kCells, 0) {}

  void Add(size_t cell, double busy_seconds);
  // Returns busy seconds a second by cell, as of `now`.
  CellLoads Rates(MonotonicTime now);
  // The variance of a sum of rates, as a multiple of the sum: what one request
  // costs, by the time that is looked back on.
  double noise() const { return noise_; }

 private:
  void Decay(MonotonicTime now);
  // Sets the rates of the cells from `first` on, as many as the stretch of this
  // depth has.
  void Estimate(size_t first, size_t depth, CellLoads& rates) const;

  KeyLoadTiming memory_;
  // Busy seconds, each weighted by its age.
  std::vector<float> fast_;
  std::vector<float> slow_;
  MonotonicTime began_at_ = kNever;
  MonotonicTime decayed_at_ = kNever;
  double fast_weight_ = 1;  // Seconds that the sums stand for.
  double slow_weight_ = 1;
  // What one request costs: the mean of what was least in each interval, as
  // most additions are of one request.
  double request_seconds_ = 0;
  double least_added_ = 0;  // Since the latest decay; 0 if nothing was.
  double noise_ = 0;
};

}  // namespace mimosadeal
