// Tests of the account of loans of upstreams' room.
#include "balance/room_ledger.h"

#include <CppUTest/TestHarness.h>

#include <string>

#include "common/ids.h"

namespace mimosadeal {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr MonotonicTime kStart{seconds(1000)};

TEST_GROUP(RoomLedger) {
  RoomLedger ledger;
  RoomByUpstream room = {{"u1", 4}, {"u2", 4}};
};

TEST(RoomLedger, NoMoreIsLentThanThereIs) {
  const auto first = Lend(ledger, "a", {{"u1", 3}}, room, 1, kForever);
  const auto second = Lend(ledger, "b", {{"u1", 3}}, room, 2, kForever);
  LONGS_EQUAL(3, first.at("u1"));
  LONGS_EQUAL(1, second.at("u1"));
  CHECK(Lend(ledger, "c", {{"u1", 2}}, room, 3, kForever).empty());
}

// A host that was sent a smaller loan may not have received it.
TEST(RoomLedger, ASmallerLoanFreesRoomOnlyOnceItsBorrowerKeepsToIt) {
  Lend(ledger, "a", {{"u1", 4}}, room, 1, kForever);
  Lend(ledger, "a", {{"u1", 1}}, room, 2, kForever);
  CHECK(Lend(ledger, "b", {{"u1", 3}}, room, 3, kForever).empty());
  SettleLoan(ledger, "a", 2);
  LONGS_EQUAL(3, Lend(ledger, "b", {{"u1", 3}}, room, 4, kForever).at("u1"));
}

TEST(RoomLedger, ALoanOfAHostThatIsLostEndsWithItsTime) {
  Lend(ledger, "a", {{"u1", 4}}, room, 1, kStart + seconds(5));
  RemoveExpired(ledger, kStart + seconds(4));
  CHECK(Lend(ledger, "b", {{"u1", 2}}, room, 2, kForever).empty());
  RemoveExpired(ledger, kStart + seconds(5));
  LONGS_EQUAL(2, Lend(ledger, "b", {{"u1", 2}}, room, 3, kForever).at("u1"));
}

// The host's process ended, and another one reports without loans.
TEST(RoomLedger, ALoanOfAnEndedProcessEndsSoon) {
  Lend(ledger, "a", {{"u1", 4}}, room, 1, kStart + seconds(5));
  EndLoans(ledger, "a", kStart + milliseconds(500));
  RemoveExpired(ledger, kStart + milliseconds(500));
  LONGS_EQUAL(0, CoveredRoom(ledger, "a", "u1"));
}

TEST(RoomLedger, ALoanOfAFormerLenderIsCounted) {
  AdoptLoan(ledger, "a", {{"u1", 3}}, kStart + seconds(3));
  LONGS_EQUAL(1, Lend(ledger, "b", {{"u1", 2}}, room, 1, kForever).at("u1"));
  LONGS_EQUAL(3, Lend(ledger, "a", {{"u1", 3}}, room, 2, kForever).at("u1"));
  SettleLoan(ledger, "a", 2);
  LONGS_EQUAL(3, CoveredRoom(ledger, "a", "u1"));
}

// Load pattern: hosts get other loans in each round, a third of the messages
// either way are lost, and hosts die and return.
TEST(RoomLedger, WhatHostsHoldNeverExceedsTheRoomWhateverIsLost) {
  struct Host {
    uint64_t number = 0;
    RoomByUpstream held;
    MonotonicTime until = kNever;
  };
  Random random(20261206);
  std::map<std::string, Host> hosts;
  uint64_t number = 0;
  MonotonicTime now = kStart;
  const auto lost = [&random] { return random.Below(3) == 0; };
  for (int step = 0; step < 20000; ++step) {
    now += milliseconds(100);
    RemoveExpired(ledger, now);
    const std::string name = "h" + std::to_string(random.Below(6));
    Host& host = hosts[name];
    if (random.Below(50) == 0) host = {};
    if (!lost()) SettleLoan(ledger, name, host.number);
    const RoomByUpstream planned = {{"u1", static_cast<int>(random.Below(4))},
                                    {"u2", static_cast<int>(random.Below(4))}};
    const RoomByUpstream lent =
        Lend(ledger, name, planned, room, ++number, now + milliseconds(5500));
    if (!lost()) host = {number, lent, now + seconds(5)};
    for (const auto& [upstream, total] : room) {
      int sum = 0;
      for (const auto& [id, other] : hosts) {
        const auto held = other.held.find(upstream);
        if (other.until > now && held != other.held.end()) sum += held->second;
      }
      CHECK_TEXT(sum <= total, std::to_string(step).c_str());
    }
  }
}

}  // namespace
}  // namespace mimosadeal
