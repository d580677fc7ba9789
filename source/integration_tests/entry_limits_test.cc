// Tests of entry hosts on an object-store deployment: upstreams that state how
// many requests per second they take from all hosts together. The stand-in
// checks the sum itself.
#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <csignal>

#include "entry_fixture.h"

namespace mimosadeal {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// More than the 7 hosts that could each send one request at once and stay
// within the bound.
constexpr int kHosts = 10;
constexpr Duration kSendInterval = milliseconds(100);
constexpr double kLimit = 1.1;

struct Outcomes {
  int sent = 0;
  int served = 0;
  int refused = 0;  // With a promise that the request did not run.
};

class EntryLimitsTest : public EntryTest {
 public:
  // Sends a request every kSendInterval, from the hosts in turn, and returns
  // the outcomes of all. Each refusal must say when to come back.
  Outcomes SendFor(Duration time, const std::string& method,
                   const std::string& target, int key) {
    std::vector<std::shared_ptr<CallerResponse>> answers;
    const MonotonicTime end = fixture.loop.timers().now() + time;
    while (fixture.loop.timers().now() < end) {
      answers.push_back(
          fixture.Start(Host(next_host_ + 1), method, target, key, "x"));
      next_host_ = (next_host_ + 1) % kHosts;
      fixture.RunFor(kSendInterval);
    }
    fixture.RunUntil(
        [&] {
          return std::all_of(answers.begin(), answers.end(),
                             [](const auto& a) { return a->status != 0; });
        },
        seconds(2));
    Outcomes outcomes;
    outcomes.sent = static_cast<int>(answers.size());
    for (const auto& answer : answers) {
      if (answer->status == 200) ++outcomes.served;
      if (answer->status != 503) continue;
      ++outcomes.refused;
      CHECK_FALSE(FindHeader(answer->headers, "retry-after").empty());
    }
    return outcomes;
  }

  int next_host_ = 0;
};

TEST_GROUP_BASE(EntryLimits, EntryLimitsTest){};

// Load pattern: callers of all hosts want nine times of what the only owner of
// a key takes.
TEST(EntryLimits, AnOwnerGetsNoMoreThanItsLimitFromAllHostsTogether) {
  fixture.StartDefaultDeployment(kHosts);
  const int key = OwnedKey("yard-1");
  fixture.upstreams.at("yard-1")->StateLimit("1.1");
  const Outcomes outcomes = SendFor(seconds(10), "POST", "/hold/a", key);
  fixture.CheckRecord();
  LONGS_EQUAL(outcomes.sent, outcomes.served + outcomes.refused);
  CHECK(outcomes.served >= kLimit * 10 / 2);
}

// Load pattern: the requests for all keys of an owner are nine times its limit,
// and the other owners have room.
TEST(EntryLimits, KeysMoveAwayFromAnOwnerThatMayNotServeThem) {
  fixture.StartDefaultDeployment(kHosts);
  fixture.upstreams.at("yard-1")->StateLimit("1.1");
  std::vector<int> keys;
  for (int key = 0; key < 65536; key += 64) {
    if (fixture.upstreams.at("yard-1")->Holds(key)) keys.push_back(key);
  }
  size_t next = 0;
  const auto send_all = [&](Duration time) {
    Outcomes sum;
    const MonotonicTime end = fixture.loop.timers().now() + time;
    while (fixture.loop.timers().now() < end) {
      next = (next + 37) % keys.size();
      const Outcomes one =
          SendFor(kSendInterval / 2, "POST", "/hold/a", keys[next]);
      sum.sent += one.sent;
      sum.served += one.served;
    }
    return sum;
  };
  send_all(seconds(10));
  const Outcomes outcomes = send_all(seconds(10));
  fixture.CheckRecord();
  CHECK_TEXT(outcomes.served >= outcomes.sent * 9 / 10,
             (std::to_string(outcomes.served) + " of " +
              std::to_string(outcomes.sent) + " were served")
                 .c_str());
}

TEST(EntryLimits, OtherUpstreamsServeWhatExceedsALimit) {
  fixture.StartDefaultDeployment(kHosts);
  fixture.upstreams.at("desk-1")->StateLimit("1.1");
  const Outcomes outcomes = SendFor(seconds(10), "POST", "/charge/a", -1);
  fixture.CheckRecord();
  LONGS_EQUAL(outcomes.sent, outcomes.served);
}

// The lease holder of the upstream's zone is killed, and another host takes
// over.
TEST(EntryLimits, ALimitHoldsWhileTheLeaseHolderChanges) {
  fixture.StartDefaultDeployment(kHosts);
  fixture.upstreams.at("desk-1")->StateLimit("1.1");
  fixture.upstreams.at("desk-2")->StateLimit("1.1");
  SendFor(seconds(4), "GET", "/price/a", -1);
  const std::string holder = fixture.LeaseHolder("north");
  fixture.hosts.at(holder)->process.Kill();
  SendFor(seconds(8), "GET", "/price/a", -1);
  CHECK(fixture.LeaseHolder("north") != holder);
  fixture.CheckRecord();
}

// Until another host has the lease nobody gives permits, so callers are told
// so at once and not after a wait of their own.
TEST(EntryLimits, RequestsAreRefusedAtOnceWhileNoHostGivesPermits) {
  fixture.StartDefaultDeployment(kHosts);
  const int key = OwnedKey("yard-1");
  fixture.upstreams.at("yard-1")->StateLimit("1.1");
  SendFor(seconds(2), "GET", "/lookup/a", key);
  fixture.hosts.at(fixture.LeaseHolder("north"))->process.Kill();
  EntryProcess& asker = *fixture.hosts.at(fixture.LeaseHolder("south"));
  const MonotonicTime killed = fixture.loop.timers().now();
  int slow = 0;
  int refused = 0;
  while (fixture.loop.timers().now() - killed < milliseconds(1500)) {
    const MonotonicTime asked = fixture.loop.timers().now();
    const CallerResponse answer =
        fixture.SendAndWait(asker, "GET", "/lookup/a", key);
    LONGS_EQUAL(503, answer.status);
    ++refused;
    slow += fixture.loop.timers().now() - asked > milliseconds(100) ? 1 : 0;
    fixture.RunFor(milliseconds(20));
  }
  // The first one shows that there is no answer, and one more after 1 s.
  CHECK(slow <= 2);
  CHECK(refused >= 10);
}

// A host that starts anew has not seen a response of the upstream.
TEST(EntryLimits, ALimitHoldsWhenHostsRestart) {
  fixture.StartDefaultDeployment(kHosts);
  const int key = OwnedKey("yard-1");
  fixture.upstreams.at("yard-1")->StateLimit("1.1");
  SendFor(seconds(3), "GET", "/lookup/a", key);
  for (int i = 1; i <= kHosts; ++i) {
    EntryProcess& host = Host(i);
    host.process.Kill();
    fixture.AddHost(host.name, host.zone);
    SendFor(milliseconds(700), "GET", "/lookup/a", key);
  }
  fixture.CheckRecord();
}

TEST(EntryLimits, ALimitHoldsWhileTheStoreDoesNotRespond) {
  fixture.StartDefaultDeployment(kHosts);
  const int key = OwnedKey("yard-1");
  fixture.upstreams.at("yard-1")->StateLimit("1.1");
  SendFor(seconds(3), "GET", "/lookup/a", key);
  fixture.store->faults().silent = true;
  fixture.store->CancelWatches();
  const Outcomes outcomes = SendFor(seconds(6), "GET", "/lookup/a", key);
  fixture.CheckRecord();
  // The holder may give out a part of the limit only.
  CHECK(outcomes.served >= 2);
}

// Somebody has to go on asking, or the limit would stand for ever.
TEST(EntryLimits, AnUpstreamThatStatesNoLimitAnyMoreGetsAllRequestsAgain) {
  fixture.StartDefaultDeployment(kHosts);
  const int key = OwnedKey("yard-1");
  fixture.upstreams.at("yard-1")->StateLimit("0");
  SendFor(seconds(10), "GET", "/lookup/a", key);
  fixture.CheckRecord();
  fixture.upstreams.at("yard-1")->StateLimit("");
  SendFor(seconds(6), "GET", "/lookup/a", key);
  const Outcomes outcomes = SendFor(seconds(2), "GET", "/lookup/a", key);
  LONGS_EQUAL(outcomes.sent, outcomes.served);
}

}  // namespace
}  // namespace mimosadeal
