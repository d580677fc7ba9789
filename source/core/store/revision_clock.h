// Bounds the time of a change in the store by its revision.
//
// The store numbers all changes with one counter, so a change happened after
// every write with a lower revision. A host that knows when some writes were
// sent can therefore bound the age of a change, even if it learns of it late.
#pragma once

#include <cstdint>
#include <deque>
#include <utility>

#include "common/boot_clock.h"

namespace mimosadeal {

class RevisionClock {
 public:
  // Notes that the write with that revision was sent at `sent_at` or later.
  void Note(uint64_t revision, MonotonicTime sent_at);
  // Returns the latest known time before the change with that revision; kNever
  // if none is known.
  MonotonicTime Before(uint64_t revision) const;

 private:
  // Revisions and times of sending, by ascending revision.
  std::deque<std::pair<uint64_t, MonotonicTime>> writes_;
};

}  // namespace mimosadeal
