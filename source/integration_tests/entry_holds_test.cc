// Tests of entry hosts on an object-store deployment: the keys of an owner that
// releases nothing go to another one only when every grant that may have
// reached the former owner has expired, however late it arrived.
#include <CppUTest/TestHarness.h>

#include <string>

#include "entry_fixture.h"

namespace mimosadeal {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Of grants on their way: a host that gets no response gives one up after 0.7
// s, and until then it may arrive.
constexpr int kSlowPathMs = 600;
// Longer than a hold and its margins.
constexpr Duration kHoldEnd = seconds(5);
constexpr int kLastSampledKey = 65535;
constexpr int kKeyStep = 512;
constexpr Duration kRequestInterval = milliseconds(20);

class EntryHoldsTest : public EntryTest {
 public:
  // Starts a host and an upstream that has all keys and releases none.
  void StartOnlyOwner() {
    fixture.store->Put("config", "main", fixture.Configuration(1));
    fixture.AddUpstream("yard-1", "yard", "north", 1);
    fixture.AddUpstream("desk-1", "desk", "north", 2);
    fixture.link_upstreams = true;
    fixture.StartHosts(1);
    fixture.upstreams.at("yard-1")->faults().ignore_releases = true;
  }

  void SetPath(const std::string& host, const std::string& upstream,
               const LinkFaults& faults) {
    fixture.hosts.at(host)->upstream_links.at(upstream)->SetFaults(faults);
  }

  bool HasTwoHolders() const {
    for (int key = 0; key <= kLastSampledKey; key += kKeyStep) {
      int holders = 0;
      for (const auto& [id, upstream] : fixture.upstreams)
        holders += upstream->Holds(key) ? 1 : 0;
      if (holders > 1) return true;
    }
    return false;
  }

  // Sends requests until the upstream holds no key and others hold all, for at
  // most `limit`. No key may have two holders in this time.
  void CheckKeysMoveFrom(const std::string& upstream, Duration limit) {
    bool two_holders = false;
    int key = 0;
    MonotonicTime next_request_at = fixture.loop.timers().now();
    const bool moved = fixture.RunUntil(
        [&] {
          two_holders = two_holders || HasTwoHolders();
          if (fixture.loop.timers().now() >= next_request_at) {
            next_request_at += kRequestInterval;
            key = (key + kKeyStep) % (kLastSampledKey + 1);
            fixture.Start(Host(1), "GET", "/lookup/a", key);
          }
          return two_holders ||
                 (OwnedKey(upstream) < 0 && fixture.EveryKeyIsHeld());
        },
        limit);
    CHECK_FALSE(two_holders);
    CHECK(moved);
    fixture.CheckRecord();
  }
};

TEST_GROUP_BASE(EntryHolds, EntryHoldsTest){};

// Guards against two owners: a grant that asks a silent owner was taken to
// arrive within 0.2 s of its sending.
TEST(EntryHolds, ASilentOwnerThatIsReachedLateKeepsItsKeysForTheLateHold) {
  StartOnlyOwner();
  UpstreamFaults& faults = fixture.upstreams.at("yard-1")->faults();
  faults.ignore_grants = true;
  fixture.RunFor(kHoldEnd);
  LinkFaults slow;
  slow.delay_ms = kSlowPathMs;
  SetPath("host-1", "yard-1", slow);
  faults.ignore_grants = false;
  fixture.RunFor(seconds(2));
  fixture.AddUpstream("yard-2", "yard", "north", 3);
  CheckKeysMoveFrom("yard-1", kHoldEnd);
}

// As above, with the grants of an owner that responded before.
TEST(EntryHolds, AnOwnerThatIsReachedLateKeepsItsKeysForTheLateHold) {
  StartOnlyOwner();
  fixture.RunFor(seconds(1));
  LinkFaults slow;
  slow.delay_ms = kSlowPathMs;
  SetPath("host-1", "yard-1", slow);
  fixture.RunFor(seconds(2));
  fixture.AddUpstream("yard-2", "yard", "north", 3);
  CheckKeysMoveFrom("yard-1", kHoldEnd + seconds(3));
}

}  // namespace
}  // namespace mimosadeal
