#include "net/signal_descriptor.h"

#include <sys/signalfd.h>

#include <csignal>
#include <cstdlib>

namespace mimosadeal {

int OpenSignalDescriptor(std::initializer_list<int> signals) {
  sigset_t set;
  sigemptyset(&set);
  for (const int signal : signals) sigaddset(&set, signal);
  sigprocmask(SIG_BLOCK, &set, nullptr);
  const int fd = signalfd(-1, &set, SFD_NONBLOCK | SFD_CLOEXEC);
  if (fd < 0) std::abort();
  return fd;
}

}  // namespace mimosadeal
