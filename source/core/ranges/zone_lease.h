// The lease on a zone: the one host that may grant, renew and take away keys at
// the zone's upstreams. It stands in the store, changed by conditional writes
// only.
//
// The holder counts its time from before it sent its last write that the store
// confirmed. A host that wants the lease first watches it stay unchanged for
// longer than that time, counted from after it read it.
#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>
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
  uint64_t term = 0;      // Rises with each change of the holder's process.
  uint64_t renewals = 0;  // Makes each renewal a change.
};

struct ZoneLeaseTiming {
  Duration renew{};     // Between the holder's renewals.
  Duration duration{};  // For which a confirmed renewal gives authority.
  Duration margin{};    // A rival waits for this much longer.
  double clock_guard = 0;
};

// How much longer than the fastest a host waits before it takes a lease: the
// holder feeds its zone and answers for its ranges, which a slow host cannot do
// for dozens of others. `longest` for the slowest, zero for a fast one.
Duration TakeoverDelay(double cpu_share, double link_mbps, Duration longest);

nlohmann::json EncodeZoneLease(const ZoneLease& lease);
// Errors: kMalformed.
Result<ZoneLease> DecodeZoneLease(const std::string& zone, uint64_t revision,
                                  const nlohmann::json& content);

// What a rival has seen of the lease.
struct LeaseObservation {
  uint64_t revision = 0;
  MonotonicTime since = kNever;  // After the first reading of this revision.
};

// Takes in a reading of the lease that was complete at `now`.
void ObserveLease(LeaseObservation& observation, uint64_t revision,
                  MonotonicTime now);

// Returns when the holder's authority will certainly have ended, if its lease
// is not seen to change before.
MonotonicTime LeaseExpiry(const LeaseObservation& observation,
                          const ZoneLeaseTiming& timing);

// Whether the holder's authority has certainly ended, by what was observed.
bool LeaseExpired(const LeaseObservation& observation,
                  const ZoneLeaseTiming& timing, MonotonicTime now);

// Whether the holder itself may still act on a renewal sent at `confirmed_at`.
bool LeaseHeld(MonotonicTime confirmed_at, const ZoneLeaseTiming& timing,
               MonotonicTime now);

}  // namespace mimosadeal
