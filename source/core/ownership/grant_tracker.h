// What a dispatcher knows of the grants that it sent to one upstream.
//
// An upstream counts a grant's time from a token that it gave out before, never
// from the grant's arrival, so that a grant delayed by the network cannot be
// taken late.
#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "common/boot_clock.h"
#include "inner/control_messages.h"
#include "ownership/lease_timing.h"
#include "ownership/shard_set.h"

namespace mimosadeal {

struct GrantTracker {
  // The upstream's latest token. The upstream made it between these two times.
  std::string token;
  MonotonicTime token_asked_at = kNever;
  MonotonicTime token_received_at = kNever;

  // The newest revision that the upstream acknowledged, its shards, and the
  // time up to which it certainly still holds.
  uint64_t acknowledged = 0;
  ShardSet acknowledged_shards;
  MonotonicTime held_until = kNever;

  // For each revision sent, the time by which a grant of that revision has
  // certainly lapsed.
  std::map<uint64_t, MonotonicTime> lapses;
};

struct GrantToSend {
  // Orders the grants of one dispatcher to one upstream by their content.
  uint64_t revision = 0;
  ShardSet shards;
  Duration ttl{};
  MonotonicTime sent_at;
  std::string token;
};

// Prepares a grant. `lease_left` bounds its time to live, so that it cannot
// outlast the lease.
GrantToSend PrepareGrant(const GrantTracker& tracker, const LeaseTiming& timing,
                         uint64_t revision, ShardSet shards,
                         Duration lease_left, MonotonicTime now);

// To be called when the grant is handed to the connection.
void OnGrantSent(GrantTracker& tracker, const LeaseTiming& timing,
                 const GrantToSend& grant);

// To be called with the upstream's answer. `accepted` is false when it refused
// the grant.
void OnGrantAnswered(GrantTracker& tracker, const LeaseTiming& timing,
                     const GrantToSend& grant, bool accepted,
                     const std::string& token, MonotonicTime now);

// True when the upstream holds a grant for `shard` at `now`.
bool GrantHolds(const GrantTracker& tracker, uint32_t shard, MonotonicTime now);

// True when no grant older than `revision` is held by the upstream any more.
bool OlderGrantsEnded(const GrantTracker& tracker, uint64_t revision,
                      MonotonicTime now);

// True when no grant at all is held by the upstream any more.
bool AllGrantsEnded(const GrantTracker& tracker, MonotonicTime now);

}  // namespace mimosadeal
