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
  using Answers = std::vector<std::shared_ptr<CallerResponse>>;

  // Sends a request from the next host.
  std::shared_ptr<CallerResponse> Send(const std::string& method,
                                       const std::string& target, int key) {
    next_host_ = next_host_ % kHosts + 1;
    return fixture.Start(Host(next_host_), method, target, key, "x");
  }

  // Waits for the answers. Each refusal must say when to come back.
  Outcomes OutcomesOf(const Answers& answers) {
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

  // Sends a request every kSendInterval, from the hosts in turn.
  Outcomes SendFor(Duration time, const std::string& method,
                   const std::string& target, int key) {
    Answers answers;
    const MonotonicTime end = fixture.loop.timers().now() + time;
    while (fixture.loop.timers().now() < end) {
      answers.push_back(Send(method, target, key));
      fixture.RunFor(kSendInterval);
    }
    return OutcomesOf(answers);
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
    Answers answers;
    const MonotonicTime end = fixture.loop.timers().now() + time;
    while (fixture.loop.timers().now() < end) {
      next = (next + 37) % keys.size();
      answers.push_back(Send("POST", "/hold/a", keys[next]));
      fixture.RunFor(kSendInterval);
    }
    return OutcomesOf(answers);
  };
  send_all(seconds(10));
  const Outcomes outcomes = send_all(seconds(10));
  fixture.CheckRecord();
  CHECK_TEXT(outcomes.served >= outcomes.sent * 9 / 10,
             (std::to_string(outcomes.served) + " of " +
              std::to_string(outcomes.sent) + " were served")
                 .c_str());
}

// Load pattern: every upstream is at its limit, so what is not used of the
// limits is lost to callers.
TEST(EntryLimits, LimitsOfAllUpstreamsAreUsed) {
  fixture.StartDefaultDeployment(kHosts);
  for (int i = 1; i <= 4; ++i)
    fixture.upstreams.at("yard-" + std::to_string(i))->StateLimit("1.1");
  fixture.upstreams.at("desk-1")->StateLimit("2");
  fixture.upstreams.at("desk-2")->StateLimit("2");
  Answers keyed;
  Answers unkeyed;
  const auto send_all = [&](Duration time) {
    keyed.clear();
    unkeyed.clear();
    const MonotonicTime end = fixture.loop.timers().now() + time;
    for (int key = 500; fixture.loop.timers().now() < end;) {
      key = (key + 11003) % 65536;
      keyed.push_back(Send("POST", "/hold/a", key));
      unkeyed.push_back(Send("POST", "/charge/a", -1));
      fixture.RunFor(kSendInterval);
    }
  };
  send_all(seconds(5));
  send_all(seconds(20));
  const int keyed_served = OutcomesOf(keyed).served;
  const int unkeyed_served = OutcomesOf(unkeyed).served;
  fixture.CheckRecord();
  const std::string served = std::to_string(keyed_served) + " and " +
                             std::to_string(unkeyed_served) + " were served";
  CHECK_TEXT(keyed_served >= 20 * 4 * 1.1 * 0.7, served.c_str());
  CHECK_TEXT(unkeyed_served >= 20 * 2 * 2 * 0.7, served.c_str());
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

// One host reads the limit. The lease holder cannot confirm its lease, but is
// the only one that can tell the others.
TEST(EntryLimits, ALimitIsKnownToAllHostsWhileTheStoreDoesNotRespond) {
  fixture.StartDefaultDeployment(kHosts);
  const int key = OwnedKey("yard-1");
  fixture.store->faults().silent = true;
  fixture.store->CancelWatches();
  fixture.RunFor(seconds(3));
  fixture.upstreams.at("yard-1")->StateLimit("0");
  LONGS_EQUAL(200,
              fixture.SendAndWait(Host(1), "GET", "/lookup/a", key).status);
  fixture.RunFor(milliseconds(2600));
  next_host_ = 1;
  SendFor(seconds(2), "GET", "/lookup/a", key);
  fixture.CheckRecord();
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
