// What a process has used so far, from proc(5).
#pragma once

#include <sys/types.h>

#include <cstdint>

namespace mimosadeal {

// Processor time, user and system, in seconds.
double ProcessorSeconds(pid_t pid);

// Memory in RAM at present, in kilobytes.
int64_t ResidentKilobytes(pid_t pid);

}  // namespace mimosadeal
