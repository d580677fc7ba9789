// Tracks the grants that a dispatcher sent to one upstream. A grant allows the
// upstream to serve a set of shards until it expires.
//
// Replies of the upstream contain a token, and every grant contains the latest
// token received. The upstream counts the grant's time to live from when it
// issued the token, not from the grant's arrival, so a grant that the network
// delays does not last longer.
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
  // The upstream's latest token. It was issued between these two times.
  std::string token;
  MonotonicTime token_asked_at = kNever;
  MonotonicTime token_received_at = kNever;

  // The newest revision that the upstream acknowledged, its shards, and the
  // time until which that grant is certainly in force.
  uint64_t acknowledged = 0;
  ShardSet acknowledged_shards;
  MonotonicTime held_until = kNever;

  // For each revision sent, the time by which its grants have certainly
  // expired.
  std::map<uint64_t, MonotonicTime> expiries;
};

struct GrantToSend {
  // Increases at least whenever the granted shards change; renewals keep it.
  uint64_t revision = 0;
  ShardSet shards;
  Duration ttl{};
  MonotonicTime sent_at;
  std::string token;
};

// Returns a grant to send. Its time to live is limited so that it expires
// before the dispatcher's lease, which lasts for `lease_left` more.
GrantToSend PrepareGrant(const GrantTracker& tracker, const LeaseTiming& timing,
                         uint64_t revision, ShardSet shards,
                         Duration lease_left, MonotonicTime now);

// Must be called when the grant is handed to the connection.
void OnGrantSent(GrantTracker& tracker, const LeaseTiming& timing,
                 const GrantToSend& grant);

// Must be called with the upstream's reply. `accepted` is false if it refused
// the grant; `token` is the reply's new token, or empty.
void OnGrantAnswered(GrantTracker& tracker, const LeaseTiming& timing,
                     const GrantToSend& grant, bool accepted,
                     const std::string& token, MonotonicTime now);

// Returns whether the upstream certainly holds a grant for `shard` at `now`.
bool GrantHolds(const GrantTracker& tracker, uint32_t shard, MonotonicTime now);

// Returns whether the upstream certainly holds no grant older than `revision`.
bool OlderGrantsEnded(const GrantTracker& tracker, uint64_t revision,
                      MonotonicTime now);

// Returns whether the upstream certainly holds no grant.
bool AllGrantsEnded(const GrantTracker& tracker, MonotonicTime now);

}  // namespace mimosadeal
