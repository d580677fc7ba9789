// Tests of entry hosts on an object-store deployment: the keys of an owner that
// releases nothing go to another one only when every grant that may have
// reached the former owner has expired, however late it arrived.
#include <CppUTest/TestHarness.h>

#include <csignal>
#include <string>
#include <utility>

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
// From a write of the lease that the store confirmed, while no later one is:
// shortly before the grants become those of the longest hold, 1.1 s.
constexpr Duration kBeforeLastGrants = milliseconds(1000);
// The same, after the first of these grants and before it is given up.
constexpr Duration kAfterFirstLastGrant = milliseconds(1500);
// Of grants that arrive while their sender is stopped.
constexpr Duration kStoppedDelay = milliseconds(1400);
// Shorter than a lease, after a renewal of it and a grant.
constexpr Duration kStop = milliseconds(1600);
// The same, with a stop that outlasts the lease.
constexpr Duration kLongStoppedDelay = milliseconds(2500);
constexpr Duration kLongStop = milliseconds(2700);
// Before the end of a stop, and after the arrival of the last grant.
constexpr Duration kLossBeforeEnd = milliseconds(150);
// Renewals of a grant are sent 0.7 to 0.9 s after the one before.
constexpr Duration kBeforeRenewal = milliseconds(500);
constexpr Duration kRenewal = milliseconds(300);
// As the platform allows.
constexpr double kSlowClock = 1.02;
// For which a kernel goes on delivering what an ended process had written: less
// than the 2 s of TCP_USER_TIMEOUT.
constexpr Duration kKernelDelivery = milliseconds(1500);
// Of keys after all hosts have returned.
constexpr Duration kRecoveryDeadline = seconds(15);
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

  // A grant is delayed by `delay`, and its sender is stopped for `stop` before
  // it gives the grant up. Then the path is lost.
  void CheckStoppedSender(Duration delay, Duration stop) {
    StartOnlyOwner();
    UpstreamFaults& faults = fixture.upstreams.at("yard-1")->faults();
    faults.clock_factor = kSlowClock;
    CHECK(RunUntilRenewals());
    LinkFaults slow;
    slow.delay_ms = static_cast<int>(ToMilliseconds(delay));
    SetPath("host-1", "yard-1", slow);
    fixture.RunFor(kRenewal);
    const ChildProcess& process = fixture.hosts.at("host-1")->process;
    process.Signal(SIGSTOP);
    fixture.RunFor(stop - kLossBeforeEnd);
    LinkFaults lost;
    lost.cut_forward = true;
    lost.cut_backward = true;
    lost.connecting = LinkConnecting::kUnanswered;
    SetPath("host-1", "yard-1", lost);
    fixture.RunFor(kLossBeforeEnd);
    process.Signal(SIGCONT);
    fixture.AddUpstream("yard-2", "yard", "north", 3);
    CheckKeysMoveFrom("yard-1", kHoldEnd + seconds(5));
  }

  // Runs until the lease has just been renewed and a grant is soon to be.
  bool RunUntilRenewals() {
    const DeploymentUpstream& owner = *fixture.upstreams.at("yard-1");
    int grants = owner.grants();
    MonotonicTime granted_at = kNever;
    nlohmann::json lease;
    return fixture.RunUntil(
        [&] {
          const MonotonicTime now = fixture.loop.timers().now();
          if (std::exchange(grants, owner.grants()) != owner.grants())
            granted_at = now;
          const auto read = LeaseRevision();
          const bool renewed = std::exchange(lease, read) != read;
          return renewed && granted_at != kNever &&
                 now - granted_at > kBeforeRenewal;
        },
        seconds(20));
  }

  nlohmann::json LeaseRevision() const {
    return fixture.store->Find("zone-leases", "north")
        ->at("metadata")
        .at("rev");
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

// Guards against two owners: the hold of a grant was reckoned from its sending
// and the 0.7 s after which it is given up, which a stopped host exceeds.
TEST(EntryHolds, AGrantThatArrivesWhileItsSenderIsStoppedKeepsItsHold) {
  CheckStoppedSender(kStoppedDelay, kStop);
}

// As above; the host also loses the lease, and regains it.
TEST(EntryHolds, AGrantThatOutlastsTheLeaseOfAStoppedSenderKeepsItsHold) {
  CheckStoppedSender(kLongStoppedDelay, kLongStop);
}

// Guards against two owners: a restarted host took its former process's last
// grants to have arrived by its own start, though the kernel delivered them
// later.
TEST(EntryHolds, NoGrantArrivesAfterTheEndOfItsSender) {
  fixture.AddDefaultUpstreams();
  fixture.link_upstreams = true;
  fixture.StartHosts(2);
  fixture.RunFor(seconds(1));
  const auto before = LeaseRevision();
  CHECK(
      fixture.RunUntil([&] { return LeaseRevision() != before; }, seconds(2)));
  const MonotonicTime confirmed_at = fixture.loop.timers().now();
  const auto run_until = [&](Duration after) {
    fixture.RunFor(confirmed_at + after - fixture.loop.timers().now());
  };
  fixture.store->faults().silent = true;
  run_until(kBeforeLastGrants);
  LinkFaults cut;
  cut.cut_forward = true;
  SetPath("host-1", "yard-1", cut);
  run_until(kAfterFirstLastGrant);
  for (const auto& [name, host] : fixture.hosts) host->process.Signal(9);
  for (const auto& [name, host] : fixture.hosts) host->process.Kill();
  fixture.store->Remove("servers", "yard-1");
  fixture.upstreams.at("yard-1")->faults().ignore_releases = true;
  fixture.store->faults().silent = false;
  for (const auto& [name, host] : fixture.hosts)
    fixture.AddHost(name, host->zone);
  const MonotonicTime back_at = fixture.loop.timers().now();
  fixture.RunFor(kKernelDelivery);
  const int grants = fixture.upstreams.at("yard-1")->grants();
  SetPath("host-1", "yard-1", {});
  fixture.RunFor(seconds(1));
  LONGS_EQUAL(grants, fixture.upstreams.at("yard-1")->grants());
  CheckKeysMoveFrom("yard-1",
                    back_at + kRecoveryDeadline - fixture.loop.timers().now());
}

}  // namespace
}  // namespace mimosadeal
