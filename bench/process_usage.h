// Resource usage of a process, from proc(5).
#pragma once

#include <sys/types.h>

#include <cstdint>

namespace mimosadeal {

// Returns the user and system CPU time in seconds, or 0 if it cannot be read.
double ProcessorSeconds(pid_t pid);

// Returns the resident memory in kilobytes, or 0 if it cannot be read.
int64_t ResidentKilobytes(pid_t pid);

}  // namespace mimosadeal
