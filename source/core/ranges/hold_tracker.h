// Tracks, for each incarnation of an upstream, until when the grants that were
// sent to it may be in force. The hold of a grant is the time for which the
// upstream may serve the granted keys, counted from the grant's arrival.
//
// When a grant arrives is not known from when it was sent: the path, or this
// process, may stop for any time in between. It has arrived once the upstream
// responds to it. Without a response, it may arrive until its connection is
// closed, and a packet that is then on its way a little later. So a grant
// bounds the upstream's hold only from then on. Until then it is open, and the
// upstream is not free at any known time.
#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "common/boot_clock.h"
#include "ranges/range_table.h"

namespace mimosadeal {

// One incarnation of an upstream: its process between one start and its end. A
// restarted upstream keeps its id and has another incarnation number.
struct UpstreamIncarnation {
  std::string id;
  int64_t incarnation = 0;

  auto operator<=>(const UpstreamIncarnation&) const = default;
};

// A grant that was handed to a connection.
struct SentGrant {
  KeySpan keys;
  Duration hold{};
};

using SentGrantId = uint64_t;

// End times of the grants to one incarnation, on the late side.
struct HoldBounds {
  // Over all grants that are not open.
  MonotonicTime any_until = kNever;
  // Over those without a response; they may still take effect.
  MonotonicTime unanswered_until = kNever;
  // Neither answered, nor is their connection closed.
  std::map<SentGrantId, SentGrant> open;
};

// What bounds the time for which grants hold.
struct HoldTiming {
  // Fraction by which an upstream's clock may run slower than this host's.
  double clock_guard = 0;
  // For which a packet may be on its way to an upstream.
  Duration transit{};
  // For which the kernel of another host goes on sending a grant that is not
  // acknowledged, though the host has stopped.
  Duration delivery{};
};

class HoldTracker {
 public:
  explicit HoldTracker(HoldTiming timing) : timing_(timing) {}

  // Assumes that the previous lease holder sent grants of `longest_hold` to
  // every upstream until `until`.
  void AssumeHeld(MonotonicTime until, Duration longest_hold);

  // Records that a grant may leave from now on. Each ends with one of the three
  // calls below, or with OnAllClosed. These ignore a grant that has ended.
  SentGrantId OnSent(const UpstreamIncarnation& upstream,
                     const SentGrant& grant);
  // `now` must be read after the response was.
  void OnAnswered(const UpstreamIncarnation& upstream, SentGrantId grant,
                  MonotonicTime now);
  // The connection was closed without a response, and nothing that is unsent
  // will leave. `now` must be read after it was closed.
  void OnClosed(const UpstreamIncarnation& upstream, SentGrantId grant,
                MonotonicTime now);
  // Nothing of the grant has left, and nothing will.
  void OnUnsent(const UpstreamIncarnation& upstream, SentGrantId grant);
  // As OnClosed, for all open grants.
  void OnAllClosed(MonotonicTime now);
  // Records that the incarnation has ended, which voids its grants.
  void OnEnded(const UpstreamIncarnation& upstream);

  // Returns whether a grant of one of the keys is open. If so, the upstream may
  // take it after it has released them.
  bool MayTake(const UpstreamIncarnation& upstream, const KeySpan& keys) const;
  // Returns the time by which every grant to `upstream` has certainly expired;
  // kForever while one is open.
  MonotonicTime FreeAt(const UpstreamIncarnation& upstream) const;
  // The same without regard to open grants.
  MonotonicTime KnownUntil(const UpstreamIncarnation& upstream) const;
  // As FreeAt, after the incarnation acknowledged a release that was sent when
  // it could take none of the keys: only grants without a response can still
  // take effect.
  MonotonicTime FreeAfterRelease(const UpstreamIncarnation& upstream) const;
  // Returns the latest end of a hold by a grant that another host sent until
  // `until`.
  MonotonicTime FormerHoldEnd(MonotonicTime until, Duration hold) const;

 private:
  // Returns the latest end of a hold that began by `arrived_by`.
  MonotonicTime HoldEnd(MonotonicTime arrived_by, Duration hold) const;
  void Close(HoldBounds& bounds, const SentGrant& grant,
             MonotonicTime now) const;

  HoldTiming timing_;
  MonotonicTime assumed_until_ = kNever;
  SentGrantId last_id_ = 0;
  std::map<UpstreamIncarnation, HoldBounds> bounds_;
  std::map<UpstreamIncarnation, bool> ended_;
};

}  // namespace mimosadeal
