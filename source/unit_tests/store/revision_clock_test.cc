// Tests of bounding the time of a change by its revision.
#include "store/revision_clock.h"

#include <CppUTest/TestHarness.h>

namespace mimosadeal {
namespace {

using std::chrono::seconds;

TEST_GROUP(RevisionClock) {
  RevisionClock clock;
  MonotonicTime now{seconds(100)};
};

TEST(RevisionClock, AChangeIsLaterThanEveryWriteWithALowerRevision) {
  clock.Note(10, now);
  clock.Note(20, now + seconds(1));
  CHECK(clock.Before(15) == now);
  CHECK(clock.Before(20) == now);
  CHECK(clock.Before(21) == now + seconds(1));
}

TEST(RevisionClock, TheTimeOfAChangeBeforeTheFirstWriteIsUnknown) {
  CHECK(clock.Before(5) == kNever);
  clock.Note(10, now);
  CHECK(clock.Before(10) == kNever);
}

// Reports about writes can be repeated with an older time by another host, or
// arrive out of order. Neither may lower a known bound.
TEST(RevisionClock, LateReportsOfWritesDoNotLowerTheBound) {
  clock.Note(20, now + seconds(1));
  clock.Note(20, now);
  clock.Note(10, now);
  CHECK(clock.Before(21) == now + seconds(1));
  clock.Note(30, now);
  CHECK(clock.Before(31) == now + seconds(1));
}

TEST(RevisionClock, OnlyTheLatestWritesAreKept) {
  for (int i = 0; i < 1000; ++i)
    clock.Note(static_cast<uint64_t>(10 + i), now + seconds(i));
  CHECK(clock.Before(11) == kNever);
  CHECK(clock.Before(1009) == now + seconds(998));
}

}  // namespace
}  // namespace mimosadeal
