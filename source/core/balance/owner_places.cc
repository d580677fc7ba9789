#include "balance/owner_places.h"

#include <algorithm>
#include <cmath>

#include "balance/room_plan.h"

namespace mimosadeal {
namespace {

// Used until the time of a request in a slot is known.
constexpr double kAssumedWorkSeconds = 0.1;
// Weight of a new response in that time: the mean covers about five.
constexpr double kWorkWeight = 0.2;
// How long a number of requests at which the owner was full bounds the places.
// A queue's length does not change; the number may have been too low by the
// requests that were on their way.
constexpr Duration kFullTime = std::chrono::seconds(10);
// Time over which the demand is counted. Callers' bursts last some seconds.
constexpr double kDemandSeconds = 1;
// Requests without a place take this many times the mean, as some take longer.
constexpr double kOtherMargin = 1.5;
// A load report may count the request that it came with.
constexpr int kReportTolerance = 1;
// More requests than this say nothing more; protects against corrupt messages.
constexpr int kMaxHeld = 256;
// Longer than any request runs; protects against corrupt messages.
constexpr double kMaxWorkSeconds = 10;
// The rate at which places become free is a mean. A request is kept if it is
// expected to get one within this part of the time that it has.
constexpr double kUsableWait = 0.7;
// A request is to be answered within this part of its target latency, as work
// takes longer than its mean at times.
constexpr double kUsableTarget = 0.9;

// A request that was kept is answered late, rather than refused late, up to
// this multiple of its target latency.
constexpr int kLateTargets = 2;

Duration Seconds(double seconds) {
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(seconds));
}

// Time in which the owner finishes this many requests.
Duration WorkTime(const OwnerPlaces& places, double requests) {
  return Seconds(requests * places.work_seconds / places.slots);
}

void AddOther(OwnerPlaces& places, MonotonicTime until) {
  places.others.insert(
      std::upper_bound(places.others.begin(), places.others.end(), until),
      until);
}

// Adds requests that end one after the other, after those that there are. Their
// number becomes smaller before their time when the owner reports so.
void AddOthers(OwnerPlaces& places, size_t count, MonotonicTime now) {
  MonotonicTime last =
      places.others.empty() ? now : std::max(now, places.others.back());
  for (; count > 0; --count) {
    last += WorkTime(places, kOtherMargin);
    places.others.push_back(last);
  }
}

void RemoveLapsed(OwnerPlaces& places, MonotonicTime now) {
  std::erase_if(places.in_use,
                [now](const auto& use) { return use.second.until <= now; });
  std::erase_if(places.others,
                [now](MonotonicTime until) { return until <= now; });
}

// The owner reported this number of requests. All others are among them,
// and those that have no place are others.
void MatchOthers(OwnerPlaces& places, int reported, MonotonicTime now) {
  const int held = std::clamp(reported, 0, kMaxHeld);
  const auto most = static_cast<size_t>(held);
  while (places.others.size() > most)
    places.others.erase(places.others.begin());
  const int known =
      static_cast<int>(places.in_use.size() + places.others.size());
  const int missing = held - kReportTolerance - known;
  if (missing > 0) AddOthers(places, static_cast<size_t>(missing), now);
}

void NoteFull(OwnerPlaces& places, int held, MonotonicTime now) {
  const int full = std::max(places.slots, held);
  places.full_at =
      places.full_until > now ? std::min(places.full_at, full) : full;
  places.full_until = now + kFullTime;
}

double DemandAt(const PlaceDemand& demand, MonotonicTime now) {
  return demand.per_second *
         std::exp(-ToSeconds(now - demand.at) / kDemandSeconds);
}

void CountArrival(OwnerPlaces& places, int rank, MonotonicTime now) {
  PlaceDemand& demand =
      places.demand.try_emplace(rank, PlaceDemand{0, now}).first->second;
  demand = {DemandAt(demand, now) + 1 / kDemandSeconds, now};
}

// Returns the part of the places that more urgent requests leave to each rank:
// at least what its weight gives it while all of them wait.
std::map<int, double> LeftByUrgent(const OwnerPlaces& places, double per_second,
                                   MonotonicTime now) {
  std::map<int, double> left;
  double urgent = 0;
  double weights = 0;
  for (const auto& [rank, demand] : places.demand) {
    weights += WeightOf(rank);
    left[rank] = std::max(WeightOf(rank) / weights, 1 - urgent / per_second);
    urgent += DemandAt(demand, now);
  }
  return left;
}

void NoteWork(OwnerPlaces& places, const PlaceUse& use, MonotonicTime now) {
  const double rounds =
      std::max(1.0, static_cast<double>(use.ahead + 1) / places.slots);
  const double seconds = ToSeconds(now - use.since) / rounds;
  places.work_seconds += kWorkWeight * (seconds - places.work_seconds);
}

}  // namespace

bool IsOwnerContended(int held, int slots, Duration work, Duration target) {
  slots = std::max(1, slots);
  return held >= std::max(slots + 1, RoomOf(slots, work, target) - 1);
}

OwnerPlaces BeginPlaces(int slots, Duration work, Duration target,
                        MonotonicTime now) {
  OwnerPlaces places;
  places.slots = std::max(1, slots);
  places.target = target;
  places.work_seconds = work > Duration::zero()
                            ? std::min(ToSeconds(work), kMaxWorkSeconds)
                            : kAssumedWorkSeconds;
  AddOthers(places, PlaceCount(places, 1, now), now);
  return places;
}

size_t PlaceCount(const OwnerPlaces& places, double share, MonotonicTime now) {
  int count = RoomOf(places.slots, Seconds(places.work_seconds), places.target);
  if (places.full_until > now) count = std::min(count, places.full_at);
  return static_cast<size_t>(std::max(1, static_cast<int>(count * share)));
}

size_t PlacesInUse(const OwnerPlaces& places) {
  return places.in_use.size() + places.others.size();
}

bool IsNearlyFull(const OwnerPlaces& places, double share, MonotonicTime now) {
  return PlacesInUse(places) + 1 >= PlaceCount(places, share, now);
}

std::vector<PermitOutcome> TakePlaces(PermitQueue& queue, OwnerPlaces& places,
                                      double share, MonotonicTime now) {
  RemoveLapsed(places, now);
  const size_t count = PlaceCount(places, share, now);
  const size_t used = PlacesInUse(places);
  for (const PermitWaiter& waiter : queue.waiters) {
    if (!waiter.kept) CountArrival(places, waiter.rank, now);
  }
  const double per_second = places.slots / places.work_seconds * share;
  const PermitRoom room{used < count ? count - used : 0, per_second,
                        LeftByUrgent(places, per_second, now)};
  std::vector<PermitOutcome> outcomes = TakeOutcomes(queue, now, room);
  for (const PermitOutcome& outcome : outcomes) {
    if (!outcome.granted) continue;
    // An asker that knows of no places does not give one back.
    if (outcome.hold <= Duration::zero()) {
      AddOthers(places, 1, now);
      continue;
    }
    const size_t ahead = PlacesInUse(places);
    places.in_use[outcome.ticket] = {now, now + outcome.hold, ahead};
  }
  return outcomes;
}

void ReturnPlace(OwnerPlaces& places, uint64_t ticket,
                 const PlaceReturn& returned, MonotonicTime now) {
  const auto node = places.in_use.extract(ticket);
  if (returned.held.has_value() && node.empty())
    MatchOthers(places, *returned.held, now);
  if (node.empty()) return;
  switch (returned.outcome) {
    case PlaceOutcome::kServed:
      NoteWork(places, node.mapped(), now);
      break;
    case PlaceOutcome::kFull:
      NoteFull(places,
               returned.held.value_or(static_cast<int>(PlacesInUse(places))),
               now);
      break;
    case PlaceOutcome::kCancelled:
      AddOther(places, std::min(node.mapped().until,
                                now + WorkTime(places, 1) * places.slots));
      break;
    case PlaceOutcome::kNotSent:
      break;
  }
  if (returned.held.has_value()) MatchOthers(places, *returned.held, now);
}

MonotonicTime NextPlaceAt(const PermitQueue& queue, const OwnerPlaces& places,
                          double share, MonotonicTime now) {
  if (queue.waiters.empty()) return kForever;
  MonotonicTime free = now;
  if (PlacesInUse(places) >= PlaceCount(places, share, now)) {
    free = places.others.empty() ? kForever : places.others.front();
    for (const auto& [ticket, use] : places.in_use)
      free = std::min(free, use.until);
  }
  MonotonicTime next = std::max(free, NextPermitAt(queue));
  for (const PermitWaiter& waiter : queue.waiters)
    next = std::min(next, LatestServiceOf(waiter));
  return next;
}

PlaceWait DecidePlaceWait(MonotonicTime received, Duration target,
                          MonotonicTime give_up_at, Duration work, int slots,
                          MonotonicTime now) {
  // With a place, it may still wait for those that are ahead of it.
  const double rounds =
      static_cast<double>(RoomOf(slots, work, target)) / std::max(1, slots);
  const Duration needed = Seconds(ToSeconds(work) * rounds);
  const MonotonicTime last = give_up_at - work;
  const Duration usable = Seconds(ToSeconds(target) * kUsableTarget);
  const MonotonicTime in_time = std::min(received + usable - needed, last);
  const MonotonicTime longest =
      std::min(received + target * kLateTargets - needed, last);
  PlaceWait wait;
  wait.in_time = Seconds(ToSeconds(in_time - now) * kUsableWait);
  wait.in_time = std::max(Duration::zero(), wait.in_time);
  wait.longest = std::max(wait.in_time, longest - now);
  return wait;
}

}  // namespace mimosadeal
