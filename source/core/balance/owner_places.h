// Decides how many requests may be at a contended owner of keys at once, from
// all hosts together. One host counts them: each request gets a place with its
// permit, and gives it back when it has ended.
//
// A place that is not given back lapses with its request's time. Requests that
// are at the owner without a place of this count use places, too: those that
// were there when the count began, and what hosts sent that did not know of it.
// The owner's own reports of its load correct their number.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "balance/permit_queue.h"
#include "common/boot_clock.h"

namespace mimosadeal {

// How a request that had a place ended.
enum class PlaceOutcome : uint8_t {
  kServed,
  kNotSent,    // Nothing of it reached the owner, or the owner did not run it.
  kFull,       // The owner reset or refused it because it was full.
  kCancelled,  // Unknown whether the owner still works on it.
};

struct PlaceReturn {
  PlaceOutcome outcome = PlaceOutcome::kNotSent;
  // Requests in slots and queue that the owner reported with its response;
  // unset if unknown.
  std::optional<int> held;
};

struct PlaceUse {
  MonotonicTime since = kNever;
  MonotonicTime until = kNever;  // When it lapses.
  size_t ahead = 0;              // Other places in use when it was given.
};

// Requests per second that asked for a place; see CountArrival.
struct PlaceDemand {
  double per_second = 0;
  MonotonicTime at = kNever;
};

struct OwnerPlaces {
  int slots = 1;            // At least 1.
  Duration target{};        // Least target latency of requests to the owner.
  double work_seconds = 0;  // Mean time of a request in a slot; above 0.
  std::map<uint64_t, PlaceUse> in_use;  // By ticket.
  // When requests without a place of this count have ended; ascending.
  std::vector<MonotonicTime> others;
  // The number of requests at which the owner was full, and until when it
  // bounds the places.
  int full_at = 0;
  MonotonicTime full_until = kNever;
  std::map<int, PlaceDemand> demand;  // By rank.
};

// How long a request waits for a place, from now on.
struct PlaceWait {
  // It is kept if it is expected to get its place within this time, and so to
  // be answered within its target latency.
  Duration in_time{};
  // One that was kept is refused at last then: after a wait, a late response is
  // worth more than a refusal.
  Duration longest{};
};

// Whether an owner with this number of requests has room for at most one more
// that is answered in time.
bool IsOwnerContended(int held, int slots, Duration work, Duration target);

// Begins to count. All places are in use at first and become free a little
// slower than the owner works, or as it reports: whoever gave them before, or
// sent without, is unknown. `work`: zero if unknown.
OwnerPlaces BeginPlaces(int slots, Duration work, Duration target,
                        MonotonicTime now);
// Returns the number of places, at least 1. `share`: the part of them that this
// host may give.
size_t PlaceCount(const OwnerPlaces& places, double share, MonotonicTime now);
size_t PlacesInUse(const OwnerPlaces& places);
// Gives permits with places: those that `queue` has and that a place is free
// for. Refuses the waiters that cannot be served in time.
std::vector<PermitOutcome> TakePlaces(PermitQueue& queue, OwnerPlaces& places,
                                      double share, MonotonicTime now);
// If the place is not in use, only the owner's report counts: the place may be
// a former giver's.
void ReturnPlace(OwnerPlaces& places, uint64_t ticket,
                 const PlaceReturn& returned, MonotonicTime now);
// Whether at most one place is free.
bool IsNearlyFull(const OwnerPlaces& places, double share, MonotonicTime now);
// Returns when the next waiter may get a place or must be refused; kForever if
// none waits.
MonotonicTime NextPlaceAt(const PermitQueue& queue, const OwnerPlaces& places,
                          double share, MonotonicTime now);

// `work`: the expected time of a request in a slot of the owner.
PlaceWait DecidePlaceWait(MonotonicTime received, Duration target,
                          MonotonicTime give_up_at, Duration work, int slots,
                          MonotonicTime now);

}  // namespace mimosadeal
