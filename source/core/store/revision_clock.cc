#include "store/revision_clock.h"

#include <algorithm>

namespace mimosadeal {
namespace {

// A lease is renewed about once a second; older writes are not needed.
constexpr size_t kMaxWrites = 16;

}  // namespace

void RevisionClock::Note(uint64_t revision, MonotonicTime sent_at) {
  if (!writes_.empty() && revision <= writes_.back().first) return;
  writes_.emplace_back(revision, sent_at);
  if (writes_.size() > kMaxWrites) writes_.pop_front();
}

MonotonicTime RevisionClock::Before(uint64_t revision) const {
  MonotonicTime before = kNever;
  for (const auto& [written, sent_at] : writes_) {
    if (written < revision) before = std::max(before, sent_at);
  }
  return before;
}

}  // namespace mimosadeal
