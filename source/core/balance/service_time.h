// What a response tells of the time that work takes at its upstream.
#pragma once

#include "common/boot_clock.h"

namespace mimosadeal {

// Returns the seconds for which a request occupied a slot. `taken`: from
// sending it to its response. `waiting_ahead`: the requests that were expected
// to wait for a slot before it.
double SlotSeconds(Duration taken, int waiting_ahead, int slots);

// Returns the seconds that the same work takes when the upstream's machine is
// as fast as usual. `work_time_factor`: see UpstreamLoadReport.
double UsualSeconds(double slot_seconds, double work_time_factor);

// Returns the speed of an upstream relative to the mean, from the sums of the
// expected and the measured times of its responses in milliseconds.
double SpeedFromTimes(double expected_ms, double measured_ms);

}  // namespace mimosadeal
