// The size of a configuration that hosts show and the operators' check reads.
#pragma once

#include <cstddef>

namespace mimosadeal {

// Longest text of a configuration: that of the platform's largest value.
inline constexpr size_t kMaxConfigurationBytes = 1024 * 1024;

}  // namespace mimosadeal
