// Tests of the grants to owners that do not respond.
#include "ranges/silent_owner.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>

namespace mimosadeal {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr SilentOwnerTiming kTiming = {seconds(4), milliseconds(1100),
                                       milliseconds(250), seconds(1)};
// Of the decisions, as a host's ticks.
constexpr Duration kTick = milliseconds(200);
// After which a connection that is not established is given up.
constexpr Duration kConnectTimeout = milliseconds(400);
// Silence after which keys move.
constexpr Duration kOwnerTimeout = milliseconds(1500);

TEST_GROUP(SilentOwner) {
  HoldTracker holds{{0.025, milliseconds(200), milliseconds(700)}};
  const UpstreamIncarnation owner{"u1", 1};
  const MonotonicTime start{seconds(50)};
  MonotonicTime asked_at = kNever;

  Duration HoldAt(MonotonicTime now) {
    return HoldForSilentOwner(holds, owner, asked_at, now, kTiming);
  }
};

// Guards against owners that lose their keys though they can be reached again:
// after a grant that had not left they were asked every 1.6 s.
TEST(SilentOwner, AnOwnerThatCannotBeReachedIsAskedBeforeItsKeysMove) {
  Duration longest{};
  MonotonicTime given_up_at = kNever;
  SentGrantId sent = 0;
  for (MonotonicTime now = start; now < start + seconds(20); now += kTick) {
    if (sent != 0 && now >= given_up_at) {
      holds.OnUnsent(owner, sent);
      sent = 0;
    }
    if (HoldAt(now) == Duration::zero()) continue;
    sent = holds.OnSent(owner, {{0, 9}, kTiming.probe_hold});
    if (asked_at != kNever) longest = std::max(longest, now - asked_at);
    asked_at = now;
    given_up_at = now + kConnectTimeout;
  }
  CHECK(longest >= kTiming.probe_interval);
  CHECK(longest + kConnectTimeout <= kOwnerTimeout);
}

TEST(SilentOwner, NoGrantExtendsWhatAnOwnerMayHold) {
  const SentGrantId sent = holds.OnSent(owner, {{0, 9}, seconds(4)});
  holds.OnAnswered(owner, sent, start);
  const MonotonicTime held_until = holds.FreeAt(owner);
  for (MonotonicTime now = start; now < held_until; now += kTick) {
    const Duration hold = HoldAt(now);
    if (hold == Duration::zero()) continue;
    HoldTracker after = holds;
    const SentGrantId next = after.OnSent(owner, {{0, 9}, hold});
    after.OnClosed(owner, next, now + milliseconds(700));
    CHECK(after.FreeAt(owner) <= held_until);
  }
  CHECK(HoldAt(start) > seconds(2));
}

TEST(SilentOwner, AnOwnerIsNotAskedWhileAGrantIsOnItsWay) {
  const SentGrantId sent = holds.OnSent(owner, {{0, 9}, milliseconds(250)});
  CHECK(HoldAt(start) == Duration::zero());
  holds.OnUnsent(owner, sent);
  CHECK(HoldAt(start) == kTiming.probe_hold);
}

}  // namespace
}  // namespace mimosadeal
