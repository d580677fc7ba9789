// Receives signals through a descriptor in the event loop.
#pragma once

#include <initializer_list>

namespace mimosadeal {

// Blocks the signals and returns a signalfd(2) that becomes readable when one
// arrives. Aborts the process if that fails, because it could not shut down
// gracefully without the descriptor.
int OpenSignalDescriptor(std::initializer_list<int> signals);

}  // namespace mimosadeal
