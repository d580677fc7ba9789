#include "balance/service_time.h"

#include <algorithm>

namespace mimosadeal {
namespace {

// Added to the expected and the measured time of each upstream, so that a few
// responses have little effect on its speed.
constexpr double kSpeedPriorMs = 400;
// Limits of a measured speed, relative to the mean.
constexpr double kMinSpeed = 0.1;
constexpr double kMaxSpeed = 2.5;

}  // namespace

double SlotSeconds(Duration taken, int waiting_ahead, int slots) {
  const double rounds = 1 + std::max(0.0, static_cast<double>(waiting_ahead)) /
                                std::max(1, slots);
  return ToSeconds(taken) / rounds;
}

double UsualSeconds(double slot_seconds, double work_time_factor) {
  return work_time_factor > 0 ? slot_seconds / work_time_factor : slot_seconds;
}

double SpeedFromTimes(double expected_ms, double measured_ms) {
  return std::clamp(
      (expected_ms + kSpeedPriorMs) / (measured_ms + kSpeedPriorMs), kMinSpeed,
      kMaxSpeed);
}

}  // namespace mimosadeal
