#include "ownership/grant_tracker.h"

#include <algorithm>
#include <utility>

namespace mimosadeal {

GrantToSend PrepareGrant(const GrantTracker& tracker, const LeaseTiming& timing,
                         uint64_t revision, ShardSet shards,
                         Duration lease_left, MonotonicTime now) {
  GrantToSend grant;
  grant.revision = revision;
  grant.shards = std::move(shards);
  // The upstream counts from its token, so the token's age may be added and the
  // grant still expires before the lease.
  const bool has_token = tracker.token_received_at != kNever;
  const Duration token_age =
      has_token ? now - tracker.token_received_at : Duration::zero();
  const Duration bound = lease_left > Duration::zero()
                             ? timing.Shortened(lease_left + token_age)
                             : Duration::zero();
  grant.ttl = std::min(bound, timing.grant_ttl);
  grant.sent_at = now;
  grant.token = tracker.token;
  return grant;
}

void OnGrantSent(GrantTracker& tracker, const LeaseTiming& timing,
                 const GrantToSend& grant) {
  if (grant.token.empty())
    return;  // The upstream refuses it; it only serves to get a token.
  MonotonicTime& expiry =
      tracker.expiries.try_emplace(grant.revision, kNever).first->second;
  expiry = std::max(expiry,
                    tracker.token_received_at + timing.Lengthened(grant.ttl));
}

void OnGrantAnswered(GrantTracker& tracker, const LeaseTiming& timing,
                     const GrantToSend& grant, bool accepted,
                     const std::string& token, MonotonicTime now) {
  const MonotonicTime counted_from = tracker.token_asked_at;
  if (!token.empty()) {
    tracker.token = token;
    tracker.token_asked_at = grant.sent_at;
    tracker.token_received_at = now;
  }
  if (!accepted || grant.revision < tracker.acknowledged) return;
  tracker.acknowledged = grant.revision;
  tracker.acknowledged_shards = grant.shards;
  tracker.held_until = counted_from + timing.Shortened(grant.ttl);
  tracker.expiries.erase(tracker.expiries.begin(),
                         tracker.expiries.lower_bound(grant.revision));
}

bool GrantHolds(const GrantTracker& tracker, uint32_t shard,
                MonotonicTime now) {
  return now < tracker.held_until &&
         tracker.acknowledged_shards.Contains(shard);
}

bool OlderGrantsEnded(const GrantTracker& tracker, uint64_t revision,
                      MonotonicTime now) {
  if (tracker.acknowledged >= revision) return true;
  return std::all_of(tracker.expiries.begin(), tracker.expiries.end(),
                     [&](const auto& entry) {
                       return entry.first >= revision || entry.second <= now;
                     });
}

bool AllGrantsEnded(const GrantTracker& tracker, MonotonicTime now) {
  return std::all_of(tracker.expiries.begin(), tracker.expiries.end(),
                     [now](const auto& entry) { return entry.second <= now; });
}

}  // namespace mimosadeal
