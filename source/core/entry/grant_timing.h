// For how long a grant may be on its way to an upstream; see HoldTiming.
#pragma once

#include "common/boot_clock.h"

namespace mimosadeal {

// After it a grant without a response is given up.
inline constexpr Duration kGrantTimeout = std::chrono::milliseconds(700);
// For which the kernel goes on sending a grant that is not acknowledged. A
// shorter time would end connections that kGrantTimeout does not.
inline constexpr Duration kGrantDelivery = kGrantTimeout;

}  // namespace mimosadeal
