// Tests of what a host knows of moves of key ranges, and of its decisions about
// requests for them, with the load pattern that they cover.
#include "ranges/move_notices.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <vector>

#include "common/ids.h"
#include "ranges/range_planner.h"

namespace mimosadeal {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr size_t kMaxWaiting = 128;
// A third of the target latency of a tank lookup.
constexpr Duration kMayWait = milliseconds(267);

TEST_GROUP(MoveNotices) {
  MonotonicTime now{seconds(1000)};
  RangeTable table;
  MoveNotices notices;

  void setup() override {
    std::vector<OwnerCandidate> owners;
    for (const char* id : {"a", "b", "c", "d"})
      owners.push_back({id, 1, "north", 6});
    table = MakeFirstTable("yard", owners);
    for (KeyRange& range : table.ranges)
      range.generation = ++table.last_generation;
  }

  const KeyRange& RangeOf(int key) const { return *FindRange(table, key); }

  // Keys of the first range, in the middle of which a part moves.
  MovingKeys Part(int first = 100, int last = 199) const {
    return {first, last, RangeOf(first).owner, RangeOf(first).generation};
  }

  NoticeEffect Note(const MovingKeys& keys) {
    return NoteMove(notices, &table, keys, kMoveNoticeLifetime, now);
  }

  bool Moves(int key) const {
    return FindMove(notices, RangeOf(key), key, now) != nullptr;
  }

  // The table names the new owner of the keys.
  void Move(const MovingKeys& keys, const std::string& to) {
    KeyRange part = RangeOf(keys.first);
    part.first = keys.first;
    part.last = keys.last;
    part.owner = to;
    part.generation = ++table.last_generation;
    AssignPart(table, part);
    ApplyTableToMoves(notices, table, now);
  }
};

TEST(MoveNotices, ANoticeCountsForItsKeysUntilItLapses) {
  CHECK(Note(Part()) == NoticeEffect::kNew);
  CHECK(Moves(100));
  CHECK(Moves(199));
  CHECK_FALSE(Moves(99));
  CHECK_FALSE(Moves(200));
  now += kMoveNoticeLifetime;
  CHECK_FALSE(Moves(100));
}

// The lease holder may die halfway, or its notices be lost.
TEST(MoveNotices, WithoutRepetitionTheOldOwnerIsUsedAgain) {
  Note(Part());
  now += kMoveNoticeLifetime + milliseconds(1);
  CHECK_FALSE(Moves(150));
  // A later move of the same keys counts anew.
  CHECK(Note(Part()) == NoticeEffect::kNew);
  CHECK(Moves(150));
}

TEST(MoveNotices, ARepeatedNoticeExtendsTheMoveAndKeepsItsBegin) {
  Note(Part());
  const MonotonicTime begun = now;
  for (int i = 0; i < 5; ++i) {
    now += kMoveNoticeInterval;
    CHECK(Note(Part()) == NoticeEffect::kRepeated);
  }
  CHECK(Moves(150));
  CHECK(FindMove(notices, RangeOf(150), 150, now)->begun_at == begun);
}

// Two in a row are lost.
TEST(MoveNotices, ALostRepetitionDoesNotEndTheMove) {
  Note(Part());
  now += kMoveNoticeInterval * 2 + milliseconds(100);
  CHECK(Moves(150));
}

TEST(MoveNotices, TheTableEndsTheMove) {
  const MovingKeys keys = Part();
  Note(keys);
  now += milliseconds(300);
  Move(keys, "c");
  CHECK_FALSE(Moves(150));
  CHECK(notices.moves.empty());
  CHECK(TypicalMoveTime(notices) == milliseconds(300));
}

TEST(MoveNotices, ALateNoticeOfAFormerGenerationChangesNothing) {
  const MovingKeys keys = Part();
  Note(keys);
  Move(keys, "c");
  CHECK(Note(keys) == NoticeEffect::kOutdated);
  CHECK_FALSE(Moves(150));
}

// The table step of an earlier move of the keys is still on its way.
TEST(MoveNotices, ANoticeOfALaterGenerationCounts) {
  MovingKeys keys = Part();
  keys.owner = "d";
  keys.generation = table.last_generation + 1;
  CHECK(Note(keys) == NoticeEffect::kNew);
  CHECK(Moves(150));
}

TEST(MoveNotices, AMoveThatIsGivenUpLeavesTheKeysWithTheirOwner) {
  Note(Part());
  CHECK(NoteMoveWithdrawn(notices, Part(), now));
  CHECK_FALSE(Moves(150));
  // Datagrams may overtake each other.
  CHECK(Note(Part()) == NoticeEffect::kOutdated);
  CHECK_FALSE(Moves(150));
  CHECK_FALSE(NoteMoveWithdrawn(notices, Part(), now));
}

TEST(MoveNotices, AWithdrawalOfAFormerMoveDoesNotEndALaterOne) {
  const MovingKeys former = Part();
  Move(former, "c");
  Note(Part());
  CHECK_FALSE(NoteMoveWithdrawn(notices, former, now));
  CHECK(Moves(150));
}

TEST(MoveNotices, AClaimOfTheTableEndsWhatTheFormerHolderAnnounced) {
  Note(Part());
  for (KeyRange& range : table.ranges)
    range.generation = ++table.last_generation;
  CHECK_FALSE(Moves(150));
  ApplyTableToMoves(notices, table, now);
  CHECK(notices.moves.empty());
  // It did not end by a new owner, so it says nothing of how long moves take.
  CHECK(notices.durations.empty());
}

TEST(MoveNotices, KeysThatDoNotExistAndLongLifetimesAreNotTaken) {
  CHECK(Note({-1, 5, "a", 1}) == NoticeEffect::kInvalid);
  CHECK(Note({5, 70000, "a", 1}) == NoticeEffect::kInvalid);
  CHECK(Note({9, 5, "a", 1}) == NoticeEffect::kInvalid);
  CHECK_FALSE(NoteMoveWithdrawn(notices, {9, 5, "a", 1}, now));
  NoteMove(notices, &table, Part(), std::chrono::hours(1), now);
  now += seconds(3);
  CHECK_FALSE(Moves(150));
}

TEST(MoveNotices, ALaterMoveReplacesOnesThatShareItsKeys) {
  Note(Part(100, 199));
  Note(Part(300, 399));
  MovingKeys wide = Part(150, 350);
  ++wide.generation;
  table.ranges.front().generation = wide.generation;
  CHECK(Note(wide) == NoticeEffect::kNew);
  LONGS_EQUAL(1, notices.moves.size());
  CHECK_FALSE(Moves(120));
  CHECK(Moves(320));
}

TEST(MoveNotices, ARequestWaitsForAMoveThatEndsInTime) {
  const NoticedMove move{Part(), now - milliseconds(400), kForever, false};
  const auto decide = [&](Duration typical, size_t waiting) {
    return DecideMoveWait(move, typical, now + kMayWait, waiting, kMaxWaiting,
                          now);
  };
  CHECK(decide(milliseconds(600), 0).wait == MoveWait::kWait);
  CHECK(decide(milliseconds(600), kMaxWaiting).wait == MoveWait::kTooMany);
  const MoveWaitDecision late = decide(milliseconds(900), 0);
  CHECK(late.wait == MoveWait::kTooLate);
  CHECK(late.expected == milliseconds(500));
  // It has taken longer than others do.
  const MoveWaitDecision overdue = decide(milliseconds(300), 0);
  CHECK(overdue.wait == MoveWait::kTooLate);
  CHECK(overdue.expected == milliseconds(400));
}

TEST(MoveNotices, TheTypicalTimeIsTheMedianOfTheLastMoves) {
  CHECK(TypicalMoveTime(notices) > Duration::zero());
  for (int i = 0; i < 100; ++i) {
    const MovingKeys keys = Part();
    now += seconds(3);
    Note(keys);
    // One in five takes 2.9 s, with repeated notices.
    if (i % 5 == 0) {
      for (int ms = 0; ms < 2900; ms += 290) {
        now += milliseconds(290);
        Note(keys);
      }
    } else {
      now += milliseconds(600);
    }
    Move(keys, i % 2 == 0 ? "c" : "d");
  }
  CHECK(TypicalMoveTime(notices) == milliseconds(600));
  CHECK(notices.durations.size() < 40);
}

// Load pattern: a fifth of the 435 ranges of 145 owners begin to move within a
// second. Of 122 hosts with 11 requests a second each, some get no notices at
// all, some lose a third of them, some get each twice and late by up to 0.3 s.
// A host without a notice sends to the table's owner, as ever; a request that
// waits ends in its time, and none waits for a move that is over.
TEST(MoveNotices, AFifthOfTheRangesMovesWithinASecond) {
  constexpr int kOwners = 145;
  constexpr int kHosts = 122;
  constexpr int kRequestsPerSecond = 11;
  constexpr Duration kStep = milliseconds(5);
  struct Moving {
    MovingKeys keys;
    MonotonicTime begin = kNever;
    MonotonicTime end = kNever;
  };
  struct Delivery {
    MonotonicTime at = kNever;
    MovingKeys keys;
  };
  struct HostState {
    MoveNotices notices;
    std::vector<Delivery> deliveries;
    std::vector<MonotonicTime> waits_end;
  };
  Random random(11);
  std::vector<OwnerCandidate> owners;
  for (int i = 0; i < kOwners; ++i)
    owners.push_back({"o" + std::to_string(i), 1, "north", 6});
  table = MakeFirstTable("yard", owners);
  for (KeyRange& range : table.ranges)
    range.generation = ++table.last_generation;
  const MonotonicTime start = now;
  std::vector<Moving> moving;
  for (size_t i = 0; i < table.ranges.size(); ++i) {
    if (i % 5 != 0) continue;
    const KeyRange& range = table.ranges[i];
    Moving move;
    move.keys = {range.first, range.last, range.owner, range.generation};
    move.begin =
        start + milliseconds(static_cast<int64_t>(random.Below(200)) * 5);
    move.end =
        move.begin + milliseconds(static_cast<int64_t>(random.Below(240)) * 5);
    moving.push_back(move);
  }
  std::vector<HostState> hosts(kHosts);
  int sent_to_old_owner = 0;
  int sent_uninformed = 0;
  int waited = 0;
  int refused = 0;
  for (; now < start + seconds(4); now += kStep) {
    bool changed = false;
    for (Moving& move : moving) {
      const Duration since = now - move.begin;
      if (now == move.end) {
        KeyRange part = *FindRange(table, move.keys.first);
        part.owner = "new";
        part.generation = ++table.last_generation;
        AssignPart(table, part);
        changed = true;
      }
      if (since < Duration::zero() || now >= move.end ||
          since % kMoveNoticeInterval != Duration::zero()) {
        continue;
      }
      for (size_t h = 0; h < hosts.size(); ++h) {
        const size_t kind = h % 4;
        if (kind == 0) continue;                          // Cut off.
        if (kind == 1 && random.Below(3) == 0) continue;  // Lossy.
        hosts[h].deliveries.push_back({now, move.keys});
        if (kind == 2) {  // Repeated, and late.
          hosts[h].deliveries.push_back(
              {now + milliseconds(static_cast<int64_t>(random.Below(60)) * 5),
               move.keys});
        }
      }
    }
    for (size_t h = 0; h < hosts.size(); ++h) {
      HostState& host = hosts[h];
      if (changed) ApplyTableToMoves(host.notices, table, now);
      std::erase_if(host.deliveries, [&](const Delivery& delivery) {
        if (delivery.at > now) return false;
        NoteMove(host.notices, &table, delivery.keys, kMoveNoticeLifetime, now);
        return true;
      });
      std::erase_if(host.waits_end,
                    [&](MonotonicTime at) { return at <= now; });
      const bool arrives =
          random.Below(1000 / 5) < static_cast<uint64_t>(kRequestsPerSecond);
      if (!arrives) continue;
      const int key = static_cast<int>(random.Below(65536));
      const KeyRange& range = *FindRange(table, key);
      const NoticedMove* move = FindMove(host.notices, range, key, now);
      const auto is_moving = [&](const Moving& entry) {
        return entry.keys.first <= key && entry.keys.last >= key &&
               entry.begin <= now && now < entry.end;
      };
      const bool moves = std::any_of(moving.begin(), moving.end(), is_moving);
      if (move == nullptr) {
        if (!moves) continue;
        ++(h % 4 >= 2 ? sent_to_old_owner : sent_uninformed);
        continue;
      }
      CHECK(moves);  // No request waits for a move that is over.
      const MoveWaitDecision decision =
          DecideMoveWait(*move, TypicalMoveTime(host.notices), now + kMayWait,
                         host.waits_end.size(), kMaxWaiting, now);
      if (decision.wait == MoveWait::kWait) {
        ++waited;
        CHECK(now + decision.expected <= now + kMayWait);
        host.waits_end.push_back(now + kMayWait);
      } else {
        ++refused;
        CHECK(decision.expected > Duration::zero());
      }
    }
  }
  // Hosts that get the notices send nothing to old owners.
  LONGS_EQUAL(0, sent_to_old_owner);
  CHECK(sent_uninformed > 0);
  CHECK(waited > 0);
  CHECK(refused > 0);
}

}  // namespace
}  // namespace mimosadeal
