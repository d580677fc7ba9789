// The lease on a zone. Its holder is the only host that may grant, renew and
// take away keys at the zone's upstreams. The lease is an object in the store
// that is changed by conditional writes only.
//
// The holder's authority lasts for a fixed time from before it sent the last
// write that the store confirmed. Another host may take the lease only after it
// has seen it unchanged for longer than that time, counted from after it read
// it. So the two hosts' times of authority cannot overlap.
#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>

#include "common/boot_clock.h"
#include "common/error.h"

namespace mimosadeal {

struct ZoneLease {
  std::string zone;
  uint64_t revision = 0;  // The store's; 0 while no lease exists.
  std::string holder;     // Host id.
  std::string process;    // Unique to the holder's process.
  std::string address;    // The holder's inner address.
  uint64_t term = 0;      // Increases with each change of the holder's process.
  uint64_t renewals = 0;  // Increases with each renewal, to change the object.
  // The store's era in which it was written; missing in leases of former
  // builds.
  std::optional<uint64_t> era;
};

struct ZoneLeaseTiming {
  Duration renew{};     // Between the holder's renewals.
  Duration duration{};  // For which a confirmed renewal gives authority.
  Duration margin{};    // By which other hosts wait longer than `duration`.
  // Fraction by which the holder's clock may run slower than that of a host
  // that waits.
  double clock_guard = 0;
};

// Returns for how long a host waits before it takes an expired lease: zero for
// a fast host, up to `max_delay` for the slowest. The holder replicates store
// updates to all hosts of its zone and manages its ranges; a slow host cannot
// do that for dozens of others, so faster hosts get the lease first.
Duration TakeoverDelay(double cpu_share, double link_mbps, Duration max_delay);

nlohmann::json EncodeZoneLease(const ZoneLease& lease);
// Errors: kMalformed.
Result<ZoneLease> DecodeZoneLease(const std::string& zone, uint64_t revision,
                                  const nlohmann::json& content);

// Returns whether the store was certainly not restored since the lease was
// written, so that no later holder is lost from it.
bool IsLatestLease(const ZoneLease& lease);

// What a host that does not hold the lease has read of it.
struct LeaseObservation {
  uint64_t revision = 0;
  // When the first read of this revision was complete.
  MonotonicTime since = kNever;
};

// Records a read of the lease that was complete at `now`.
void ObserveLease(LeaseObservation& observation, uint64_t revision,
                  MonotonicTime now);

// Returns the time by which the holder's authority has certainly ended, unless
// a changed lease is observed before.
MonotonicTime LeaseExpiry(const LeaseObservation& observation,
                          const ZoneLeaseTiming& timing);

// Returns whether the holder's authority has certainly ended at `now`.
bool LeaseExpired(const LeaseObservation& observation,
                  const ZoneLeaseTiming& timing, MonotonicTime now);

// Returns whether the holder still has authority at `now` when the last renewal
// that the store confirmed was sent at `renewal_sent_at`.
bool LeaseHeld(MonotonicTime renewal_sent_at, const ZoneLeaseTiming& timing,
               MonotonicTime now);

}  // namespace mimosadeal
