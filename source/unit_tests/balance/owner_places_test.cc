// Tests of the places at contended owners of keys.
#include "balance/owner_places.h"

#include <CppUTest/TestHarness.h>

namespace mimosadeal {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// No permit is limited by a rate.
constexpr double kNoLimit = 1000;

TEST_GROUP(OwnerPlaces) {
  MonotonicTime now{seconds(100)};

  OwnerPlaces Begin() {
    return BeginPlaces(2, milliseconds(150), milliseconds(800), now);
  }

  // Returns how many of `count` requests for a place get one now.
  size_t Take(OwnerPlaces & places, PermitQueue & queue, int count,
              Duration hold) {
    SetRate(queue, kNoLimit, 1, now);
    queue.available = MaxAvailable(kNoLimit);
    for (int i = 0; i < count; ++i) {
      PermitWaiter waiter{++last_ticket, 0, now};
      waiter.hold = hold;
      AddWaiter(queue, waiter);
    }
    size_t granted = 0;
    for (const PermitOutcome& outcome : TakePlaces(queue, places, 1, now))
      granted += outcome.granted ? 1 : 0;
    return granted;
  }

  uint64_t last_ticket = 0;
};

TEST(OwnerPlaces, AnOwnerIsContendedBeforeOneMoreRequestWouldBeLate) {
  const Duration work = milliseconds(150);
  const Duration target = milliseconds(800);
  CHECK_FALSE(IsOwnerContended(2, 2, work, target));
  CHECK(IsOwnerContended(3, 2, work, target));
  CHECK_FALSE(IsOwnerContended(10, 6, milliseconds(290), target));
  CHECK(IsOwnerContended(11, 6, milliseconds(290), target));
  // An owner that works slowly has no room to queue.
  CHECK(IsOwnerContended(3, 2, 4 * work, target));
  CHECK_FALSE(IsOwnerContended(2, 2, 4 * work, target));
}

TEST(OwnerPlaces, WhatIsAtTheOwnerWhenTheCountBeginsUsesPlaces) {
  OwnerPlaces places = Begin();
  PermitQueue queue;
  LONGS_EQUAL(4, PlaceCount(places, 1, now));
  LONGS_EQUAL(0, Take(places, queue, 1, seconds(1)));
  LONGS_EQUAL(0, Take(places, queue, 1, seconds(1)));
  // Two slots finish one in 75 ms, and some work takes longer.
  now += milliseconds(113);
  LONGS_EQUAL(1, Take(places, queue, 3, seconds(1)));
}

TEST(OwnerPlaces, APlaceIsFreeAgainWhenItIsReturnedOrLapses) {
  OwnerPlaces places = Begin();
  PermitQueue queue;
  now += seconds(1);
  LONGS_EQUAL(4, Take(places, queue, 9, seconds(2)));
  LONGS_EQUAL(0, Take(places, queue, 1, seconds(2)));
  ReturnPlace(places, 1, {PlaceOutcome::kServed, std::nullopt}, now);
  ReturnPlace(places, 1, {PlaceOutcome::kServed, std::nullopt}, now);
  LONGS_EQUAL(1, Take(places, queue, 2, seconds(2)));
  now += seconds(2);
  LONGS_EQUAL(4, Take(places, queue, 9, seconds(2)));
}

// A caller that gives up does not stop the owner at once.
TEST(OwnerPlaces, ACancelledRequestKeepsItsPlaceForTheTimeOfItsWork) {
  OwnerPlaces places = Begin();
  PermitQueue queue;
  now += seconds(1);
  LONGS_EQUAL(4, Take(places, queue, 4, seconds(2)));
  ReturnPlace(places, 1, {PlaceOutcome::kCancelled, std::nullopt}, now);
  ReturnPlace(places, 2, {PlaceOutcome::kNotSent, std::nullopt}, now);
  LONGS_EQUAL(1, Take(places, queue, 4, seconds(2)));
  now += milliseconds(151);
  LONGS_EQUAL(1, Take(places, queue, 4, seconds(2)));
}

TEST(OwnerPlaces, TheOwnersReportsCountWhatWasSentWithoutAPlace) {
  OwnerPlaces places = Begin();
  PermitQueue queue;
  now += seconds(1);
  LONGS_EQUAL(2, Take(places, queue, 2, seconds(2)));
  // One place is used, and the owner holds four requests, give or take one.
  ReturnPlace(places, 1, {PlaceOutcome::kNotSent, 4}, now);
  LONGS_EQUAL(1, Take(places, queue, 4, seconds(2)));
  // It holds none: nothing but places is in use.
  ReturnPlace(places, 2, {PlaceOutcome::kNotSent, 0}, now);
  LONGS_EQUAL(3, Take(places, queue, 4, seconds(2)));
}

TEST(OwnerPlaces, AnOwnerThatWasFullGetsFewerUntilItHasHadTime) {
  OwnerPlaces places =
      BeginPlaces(6, milliseconds(290), milliseconds(800), now);
  LONGS_EQUAL(12, PlaceCount(places, 1, now));
  PermitQueue queue;
  now += seconds(1);
  LONGS_EQUAL(12, Take(places, queue, 12, seconds(2)));
  ReturnPlace(places, 1, {PlaceOutcome::kFull, 8}, now);
  LONGS_EQUAL(8, PlaceCount(places, 1, now));
  ReturnPlace(places, 2, {PlaceOutcome::kFull, 0}, now);
  LONGS_EQUAL(6, PlaceCount(places, 1, now));
  LONGS_EQUAL(12, PlaceCount(places, 1, now + seconds(11)));
  LONGS_EQUAL(3, PlaceCount(places, 0.5, now));
}

// A limit, coldness and places are one queue: the strictest decides.
TEST(OwnerPlaces, ALimitAndPlacesAreOneDecision) {
  OwnerPlaces places = Begin();
  PermitQueue queue;
  now += seconds(1);
  SetRate(queue, 4, 1, now);
  queue.available = 2;
  for (int i = 0; i < 4; ++i) {
    PermitWaiter waiter{++last_ticket, 0, now + milliseconds(300)};
    waiter.hold = seconds(2);
    AddWaiter(queue, waiter);
  }
  size_t granted = 0;
  for (const PermitOutcome& outcome : TakePlaces(queue, places, 1, now))
    granted += outcome.granted ? 1 : 0;
  LONGS_EQUAL(2, granted);
  LONGS_EQUAL(1, queue.waiters.size());
  LONGS_EQUAL(250, ToMilliseconds(NextPlaceAt(queue, places, 1, now) - now));
}

// A request that was kept is not refused because others were slow.
TEST(OwnerPlaces, ARequestThatIsRefusedIsRefusedAtOnce) {
  OwnerPlaces places = Begin();
  PermitQueue queue;
  now += seconds(1);
  LONGS_EQUAL(4, Take(places, queue, 4, seconds(2)));
  PermitWaiter waiter{++last_ticket, 0, now + milliseconds(100)};
  waiter.keep_until = now + milliseconds(900);
  waiter.hold = seconds(2);
  AddWaiter(queue, waiter);
  CHECK(TakePlaces(queue, places, 1, now).empty());
  now += milliseconds(400);
  CHECK(TakePlaces(queue, places, 1, now).empty());
  now += milliseconds(501);
  const auto outcomes = TakePlaces(queue, places, 1, now);
  LONGS_EQUAL(1, outcomes.size());
  CHECK_FALSE(outcomes.front().granted);
}

}  // namespace
}  // namespace mimosadeal
