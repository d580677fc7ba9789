// What a host knows of moves of key ranges that are under way: the lease holder
// that asks an owner to release keys tells all hosts, so that requests for them
// wait for the new owner instead of trying the old one.
//
// A notice is no promise. It lapses soon, is repeated while the move goes on,
// and never outranks the range table: once the table has a higher generation
// for the keys, the notice means nothing. A host without notice, or with one
// that was lost or lapsed, sends to the table's owner.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <string>

#include "common/boot_clock.h"
#include "ranges/range_table.h"

namespace mimosadeal {

// A notice is valid for this long after it was sent, and repeated at this
// interval while the move goes on: two may be lost.
inline constexpr Duration kMoveNoticeLifetime = std::chrono::milliseconds(1000);
inline constexpr Duration kMoveNoticeInterval = std::chrono::milliseconds(400);

struct MovingKeys {
  int first = kFirstKey;  // Inclusive, as is `last`.
  int last = kLastKey;
  std::string owner;        // The old owner's id.
  uint64_t generation = 0;  // Of the range in the table, when it was sent.
};

struct NoticedMove {
  MovingKeys keys;
  MonotonicTime begun_at = kNever;  // When this host first heard of it.
  MonotonicTime lapses_at = kNever;
  // The old owner keeps the keys. Remembered for a while, because earlier
  // notices of the move may arrive later.
  bool withdrawn = false;
};

// Of one service. Invariant: no two moves have a key in common.
struct MoveNotices {
  std::map<int, NoticedMove> moves;  // By first key.
  // Of the last moves that ended while they were known.
  std::deque<Duration> durations;
};

enum class NoticeEffect : uint8_t {
  kNew,
  kRepeated,
  kOutdated,  // The table, or a withdrawal, is newer.
  kInvalid,   // Keys that do not exist, or too many moves.
};

// Records a notice that lapses after `lifetime`. Moves of a lower generation
// that have some of its keys are forgotten. `table`: this host's, or null.
NoticeEffect NoteMove(MoveNotices& notices, const RangeTable* table,
                      const MovingKeys& keys, Duration lifetime,
                      MonotonicTime now);

// Records that the old owner keeps the keys. Returns whether a move was known.
bool NoteMoveWithdrawn(MoveNotices& notices, const MovingKeys& keys,
                       MonotonicTime now);

// Forgets the moves that lapsed and those that ended by the table, and keeps
// the durations of the latter.
void ApplyTableToMoves(MoveNotices& notices, const RangeTable& table,
                       MonotonicTime now);

// Returns the move that the key of the table's range is part of, or null.
const NoticedMove* FindMove(const MoveNotices& notices, const KeyRange& range,
                            int key, MonotonicTime now);

// Returns how long moves take: the median of the last ones that this host has
// seen, or an assumed time before the first.
Duration TypicalMoveTime(const MoveNotices& notices);

// Returns how long the move will probably still take. One that has taken longer
// than the typical time probably takes as long again: an owner answers a
// release only when its running work has ended.
Duration ExpectedMoveTimeLeft(const NoticedMove& move, Duration typical,
                              MonotonicTime now);

enum class MoveWait : uint8_t {
  kWait,
  kTooLate,  // The move will probably not end in the request's time.
  kTooMany,  // Enough requests wait already.
};

struct MoveWaitDecision {
  MoveWait wait = MoveWait::kWait;
  Duration expected{};  // See ExpectedMoveTimeLeft.
};

// Decides about a request whose key is being moved. `wait_until`: until when it
// may wait. `waiting`: the number of requests that wait for moves.
//
// Load pattern: of 122 hosts with 11 requests per second each, a fifth are for
// keys that begin to move within a second; half of the moves take 0.6 s or
// less, and requests may wait for 0.27 s.
MoveWaitDecision DecideMoveWait(const NoticedMove& move, Duration typical,
                                MonotonicTime wait_until, size_t waiting,
                                size_t max_waiting, MonotonicTime now);

}  // namespace mimosadeal
