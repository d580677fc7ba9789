#include "ranges/table_write_timing.h"

#include <algorithm>

namespace mimosadeal {

MonotonicTime NextTableWrite(const TableWriteState& state, size_t unreleased,
                             const TableWriteTiming& timing) {
  const Duration gather = unreleased == 0 ? Duration::zero() : timing.gather;
  const MonotonicTime gathered = state.released_since + gather;
  if (state.last_sent_at == kNever) return gathered;
  return std::max(gathered, state.last_sent_at + timing.interval);
}

}  // namespace mimosadeal
