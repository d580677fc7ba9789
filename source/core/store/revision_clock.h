// Tells when a change of the store may have happened, from its revision.
//
// One counter numbers all changes of the store, so a change is later than any
// write with a lower revision. A host that knows when some writes were sent
// bounds the age of news that way, however long these were on their way.
#pragma once

#include <cstdint>
#include <deque>
#include <utility>

#include "common/boot_clock.h"

namespace mimosadeal {

class RevisionClock {
 public:
  // The write with that revision was sent at `sent_at` or later.
  void Note(uint64_t revision, MonotonicTime sent_at);
  // Returns a time before the change with that revision; kNever if none is
  // known.
  MonotonicTime Before(uint64_t revision) const;

 private:
  // By rising revision, the oldest first.
  std::deque<std::pair<uint64_t, MonotonicTime>> writes_;
};

}  // namespace mimosadeal
