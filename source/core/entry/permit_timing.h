// Times of the questions between askers and givers of permits, for the parts of
// PermitBroker.
#pragma once

#include <cstdint>

#include "common/boot_clock.h"

namespace mimosadeal {

// A datagram and its reply take 4 ms to any zone; a lost one is sent again.
inline constexpr Duration kPermitResendInterval =
    std::chrono::milliseconds(100);
// For the reply to a request that waited for a permit as long as it may.
inline constexpr Duration kPermitReplyTime = std::chrono::milliseconds(100);
// When it is worth asking again if no host gives permits. A zone gets a new
// lease holder within 3.5 s.
inline constexpr Duration kRetryWithoutGiver = std::chrono::milliseconds(1000);
// From an asker by its lease holder to the upstream's, and one more while a
// lease changes hands.
inline constexpr uint32_t kMaxPermitHops = 3;

}  // namespace mimosadeal
