// Tests of the requests that cold upstreams get: replays of load from many
// hosts, counted at the upstream in every sliding second.
#include "balance/cold_upstream.h"

#include <CppUTest/TestHarness.h>

#include <deque>
#include <set>
#include <string>
#include <vector>

#include "balance/permit_queue.h"
#include "common/ids.h"
#include "fleet/upstream_directory.h"
#include "routing/route_table.h"

namespace mimosadeal {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration kStep = milliseconds(2);
constexpr Duration kWindow = seconds(1);
// Validity of a permit; the request may be sent at any time in it.
constexpr int64_t kPermitLifetimeMs = 500;
constexpr Duration kMaxWait = milliseconds(266);

struct ColdCase {
  double rate = 4.5;
  ColdBound bound{1.5, 8};
  double demand = 18.6;  // Requests per second for the upstream.
  uint64_t hosts = 122;
};

// Replays hosts that ask for permits for one cold upstream. Those that are
// refused come back once, when they were told to.
struct Replay {
  ColdCase c;
  Random random{1};
  MonotonicTime now{seconds(1000)};
  uint64_t next_ticket = 0;
  std::multiset<MonotonicTime> returning;
  std::set<uint64_t> repeated;  // Tickets of callers that came back.
  std::multiset<MonotonicTime> on_the_way;
  std::deque<MonotonicTime> arrivals;
  size_t arrived = 0;
  size_t most = 0;  // Arrivals within kWindow, at worst.

  double Allowed() const { return c.rate * c.bound.ratio + c.bound.allowance; }

  double Rate() const {
    ServiceConfig service;
    service.warmup_requests_per_second = c.rate;
    return ColdRate(service, c.bound).value();
  }

  void Ask(PermitQueue& queue, bool again) {
    if (again) repeated.insert(next_ticket + 1);
    const auto rank = static_cast<int>(random.Below(3));
    AddWaiter(queue, {++next_ticket, rank, now + kMaxWait});
  }

  void Take(PermitQueue& queue) {
    for (const PermitOutcome& outcome : TakeOutcomes(queue, now)) {
      // A request may wait for its connection until its permit ends.
      const auto held = milliseconds(random.Below(kPermitLifetimeMs));
      const Duration way = milliseconds(1 + random.Below(c.hosts) % 4);
      if (outcome.granted) on_the_way.insert(now + held + way);
      if (!outcome.granted && !repeated.contains(outcome.ticket))
        returning.insert(now + outcome.retry_after);
    }
  }

  void RunFor(Duration time, const std::vector<PermitQueue*>& givers) {
    for (const MonotonicTime end = now + time; now < end; now += kStep) {
      if (random.Unit() < c.demand * ToSeconds(kStep))
        Ask(*givers[random.Below(givers.size())], false);
      while (!returning.empty() && *returning.begin() <= now) {
        returning.erase(returning.begin());
        Ask(*givers[random.Below(givers.size())], true);
      }
      for (PermitQueue* giver : givers) Take(*giver);
      while (!on_the_way.empty() && *on_the_way.begin() <= now) {
        on_the_way.erase(on_the_way.begin());
        arrivals.push_back(now);
        ++arrived;
      }
      while (!arrivals.empty() && now - arrivals.front() > kWindow)
        arrivals.pop_front();
      most = std::max(most, arrivals.size());
    }
  }

  void CheckBound() const {
    CHECK_TEXT(static_cast<double>(most) <= Allowed(),
               (std::to_string(most) + " within a second").c_str());
  }
};

TEST_GROUP(ColdUpstream) {
  UpstreamDirectory directory{milliseconds(2300), milliseconds(1300)};
  MonotonicTime now{seconds(100)};
  UpstreamRecord record;
  ServiceConfig service;
  ColdBound bound{1.5, 8};

  void setup() override {
    record.id = "u1";
    record.service = "yard";
    record.incarnation = 1;
    record.report = 1;
    service.warmup_time = seconds(3);
    service.warmup_requests_per_second = 4.5;
  }

  void Report(Duration warmup_left) {
    record.warmup_left = warmup_left;
    ++record.report;
    directory.Update(record, now, kNever);
  }

  bool IsLimited(Duration ahead = Duration::zero()) {
    return RateLimit(*directory.Find("u1"), &service, bound, now + ahead)
        .has_value();
  }
};

// Load pattern: a zone of 43 upstreams returns cold, and callers want twice to
// eight times of what each takes.
TEST(ColdUpstream, AZoneThatReturnsGetsItsColdRateFromAllHostsTogether) {
  for (const uint64_t hosts : {84, 122, 295}) {
    for (const double demand : {9.3, 18.6, 40.0}) {
      size_t arrived = 0;
      for (uint64_t upstream = 0; upstream < 43; ++upstream) {
        Replay replay;
        replay.c.hosts = hosts;
        replay.c.demand = demand;
        replay.random = Random(hosts * 100 + upstream);
        PermitQueue queue;
        SetRate(queue, replay.Rate(), 1, replay.now);
        replay.RunFor(seconds(3), {&queue});
        replay.CheckBound();
        arrived += replay.arrived;
      }
      CHECK(static_cast<double>(arrived) >= 0.8 * 4.5 * 3 * 43);
    }
  }
}

// The former giver goes on with half of the rate, while its successor begins
// without saved permits.
TEST(ColdUpstream, AGiverThatIsReplacedKeepsTheBound) {
  for (uint64_t seed = 0; seed < 200; ++seed) {
    Replay replay;
    replay.c.demand = 40;
    replay.random = Random(seed);
    PermitQueue former;
    SetRate(former, replay.Rate(), 1, replay.now);
    replay.RunFor(milliseconds(500 + replay.random.Below(2000)), {&former});
    SetRate(former, replay.Rate(), 0.5, replay.now);
    PermitQueue successor;
    SetRate(successor, replay.Rate(), 1, replay.now);
    replay.RunFor(seconds(3), {&former, &successor});
    replay.RunFor(seconds(2), {&successor});
    replay.CheckBound();
  }
}

// Deployments state other bounds, down to ones with no room for saved permits.
TEST(ColdUpstream, PermitsFitEveryStatedBound) {
  const std::vector<ColdCase> cases = {{7.27, {1.5, 8}, 60, 115},
                                       {4.5, {1, 8}, 40, 122},
                                       {20, {1.5, 2}, 100, 295},
                                       {4.5, {1, 4}, 40, 122}};
  for (const ColdCase& c : cases) {
    for (uint64_t seed = 0; seed < 40; ++seed) {
      Replay replay;
      replay.c = c;
      replay.random = Random(seed);
      PermitQueue former;
      SetRate(former, replay.Rate(), 1, replay.now);
      replay.RunFor(seconds(2), {&former});
      SetRate(former, replay.Rate(), 0.5, replay.now);
      PermitQueue successor;
      SetRate(successor, replay.Rate(), 1, replay.now);
      replay.RunFor(seconds(3), {&former, &successor});
      replay.CheckBound();
    }
  }
}

TEST(ColdUpstream, NothingIsLimitedWithoutABoundOrARate) {
  CHECK_FALSE(ColdRate(service, {0, 8}).has_value());
  service.warmup_requests_per_second = 0;
  CHECK_FALSE(ColdRate(service, bound).has_value());
  Report(seconds(3));
  CHECK_FALSE(IsLimited());
}

TEST(ColdUpstream, TheLowerOfTheStatedLimitAndTheColdRateBinds) {
  Report(seconds(3));
  const ListedUpstream& listed = *directory.Find("u1");
  DOUBLES_EQUAL(4.5, RateLimit(listed, &service, bound, now).value(), 0);
  directory.NoteLimit("u1", 1, {1.1, now});
  DOUBLES_EQUAL(1.1, RateLimit(listed, &service, bound, now).value(), 0);
  directory.NoteLimit("u1", 1, {20, now + seconds(1)});
  DOUBLES_EQUAL(4.5, RateLimit(listed, &service, bound, now).value(), 0);
  DOUBLES_EQUAL(
      20, RateLimit(listed, &service, bound, now + seconds(3)).value(), 0);
}

// The report was made before it is read, so the coldness ends late.
TEST(ColdUpstream, ColdnessIsCountedFromWhenItsReportIsRead) {
  Report(seconds(3));
  CHECK(IsLimited(milliseconds(2999)));
  CHECK_FALSE(IsLimited(seconds(3)));
  now += milliseconds(870);
  Report(milliseconds(2130));
  CHECK(IsLimited(milliseconds(2129)));
  CHECK_FALSE(IsLimited(milliseconds(2130)));
}

TEST(ColdUpstream, TheSameReportReadAgainDoesNotProlongColdness) {
  Report(seconds(3));
  now += seconds(2);
  directory.Update(record, now, kNever);
  CHECK_FALSE(IsLimited(seconds(1)));
}

// A copy from which the store was restored has an earlier report.
TEST(ColdUpstream, AnEarlierReportDoesNotEndColdness) {
  Report(Duration::zero());
  const UpstreamRecord earlier = record;
  Report(seconds(3));
  now += milliseconds(100);
  directory.Update(earlier, now, kNever);
  CHECK(IsLimited(seconds(2)));
}

TEST(ColdUpstream, AnUpstreamMayBecomeColdAgain) {
  Report(Duration::zero());
  CHECK_FALSE(IsLimited());
  now += seconds(60);
  Report(seconds(3));
  CHECK(IsLimited());
  Report(Duration::zero());
  CHECK_FALSE(IsLimited());
}

// An upstream that refused a connection may be another incarnation when it is
// back, and the registration of a former one says nothing about it.
TEST(ColdUpstream, ALostUpstreamCountsAsColdAcrossItsNextRegistration) {
  Report(Duration::zero());
  directory.NoteAssumedCold("u1", now + AssumedColdTime(service));
  CHECK(IsLimited(seconds(3)));
  ++record.incarnation;
  Report(milliseconds(100));
  CHECK(IsLimited(seconds(3)));
  CHECK_FALSE(IsLimited(seconds(4)));
  directory.NoteAssumedCold("u1", now + seconds(1));
  CHECK(IsLimited(seconds(3)));
}

}  // namespace
}  // namespace mimosadeal
