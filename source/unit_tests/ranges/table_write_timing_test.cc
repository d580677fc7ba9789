// Tests of the timing of writes of a range table, with the load pattern that
// they cover: a zone is evacuated.
#include "ranges/table_write_timing.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <vector>

#include "common/ids.h"
#include "ranges/range_planner.h"

namespace mimosadeal {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int kOwners = 48;
constexpr size_t kRangesPerOwner = 3;
constexpr Duration kStoreCall = milliseconds(4);
// As in RangeManager.
constexpr TableWriteTiming kTiming = {milliseconds(15), milliseconds(100)};
constexpr Duration kTick = milliseconds(200);
// A table is unwritten for at most this long after a release.
constexpr Duration kMaxWait = milliseconds(110);
// Of the tables' watch, at each of three holders. As in DeploymentView.
constexpr int kHolders = 3;
constexpr Duration kWatchDelay = milliseconds(600);
// What the evacuation of 48 owners may cost beside everything else: half of the
// calls that 122 hosts make in its five seconds on a quiet day, 45 a second.
constexpr size_t kMaxCalls = size_t{45} * 5 / 2;

struct Replay {
  std::vector<MonotonicTime> writes;
  size_t watches = 0;
  Duration longest_wait{};
  size_t moved = 0;
  size_t calls() const { return writes.size() + watches; }
};

TEST_GROUP(TableWriteTiming) {
  const MonotonicTime start = MonotonicTime(seconds(1000));

  // When owners answer a release: half of them within 0.6 s and nine tenths
  // within 2.9 s, as measured in a day with hot keys.
  static Duration ReleaseTime(Random & random) {
    const double share = random.Unit();
    const double median = 600;
    const double ms = share < 0.5 ? median * share / 0.5
                                  : median + 2300 * (share - 0.5) / 0.4;
    return milliseconds(static_cast<int64_t>(std::min(ms, 4000.0)));
  }

  // Moves all ranges of the zone, some at a time, as RangeManager does.
  Replay Evacuate(const TableWriteTiming& timing, Duration watch_delay) const {
    Random random(7);
    Replay replay;
    TableWriteState state;
    size_t left = kOwners * kRangesPerOwner;
    std::vector<MonotonicTime> answers;   // Of releases that are under way.
    std::vector<MonotonicTime> released;  // Not written yet.
    MonotonicTime pending_until = kNever;
    for (MonotonicTime now = start; now < start + seconds(8);
         now += milliseconds(1)) {
      if ((now - start) % kTick == Duration::zero()) {
        const size_t quota = EvacuationQuota(
            left, answers.size() + released.size(), now - start);
        for (size_t i = 0; i < quota; ++i)
          answers.push_back(now + ReleaseTime(random));
        left -= quota;
      }
      std::erase_if(answers, [&](MonotonicTime at) {
        if (at > now) return false;
        released.push_back(now);
        return true;
      });
      if (released.empty()) continue;
      if (state.released_since == kNever) state.released_since = now;
      if (now < pending_until ||
          now < NextTableWrite(state, answers.size(), timing))
        continue;
      replay.writes.push_back(now);
      replay.moved += released.size();
      for (const MonotonicTime at : released)
        replay.longest_wait = std::max(replay.longest_wait, now - at);
      released.clear();
      state = {now, kNever};
      pending_until = now + kStoreCall;
    }
    replay.watches = kHolders * CountWatches(replay.writes, watch_delay);
    return replay;
  }

  // Calls of a watch that waits for `delay` after each response with changes.
  static size_t CountWatches(const std::vector<MonotonicTime>& writes,
                             Duration delay) {
    size_t count = 0;
    MonotonicTime asked_at = kNever;
    for (auto unseen = writes.begin(); unseen != writes.end();) {
      ++count;
      const MonotonicTime answered_at = std::max(asked_at, *unseen);
      unseen = std::upper_bound(unseen, writes.end(), answered_at);
      asked_at = answered_at + delay;
    }
    return count;
  }
};

TEST(TableWriteTiming, AnEvacuationOf48OwnersCostsFewCalls) {
  const Replay replay = Evacuate(kTiming, kWatchDelay);
  LONGS_EQUAL(kOwners * kRangesPerOwner, replay.moved);
  CHECK(replay.calls() <= kMaxCalls);
}

// The control: each release that comes by itself was a write, and the watches
// waited for 150 ms.
TEST(TableWriteTiming, AWriteForEachReleaseCostsMore) {
  const Replay replay = Evacuate({}, milliseconds(150));
  LONGS_EQUAL(kOwners * kRangesPerOwner, replay.moved);
  CHECK(replay.calls() > kMaxCalls * 2);
}

TEST(TableWriteTiming, ReleasedKeysWaitForABoundedTime) {
  CHECK(Evacuate(kTiming, kWatchDelay).longest_wait <= kMaxWait);
}

TEST(TableWriteTiming, AMoveByItselfIsWrittenAtOnce) {
  CHECK(NextTableWrite({kNever, start}, 0, kTiming) == start);
  CHECK(NextTableWrite({start - seconds(1), start}, 0, kTiming) == start);
}

TEST(TableWriteTiming, TheFirstOfSeveralMovesWaitsForTheOthers) {
  CHECK(NextTableWrite({kNever, start}, 3, kTiming) == start + kTiming.gather);
  CHECK(NextTableWrite({start - milliseconds(40), start}, 3, kTiming) ==
        start + milliseconds(60));
}

}  // namespace
}  // namespace mimosadeal
