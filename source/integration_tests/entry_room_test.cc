// Tests of entry hosts on an object-store deployment whose upstreams have room
// for few requests and reset those beyond it. The stand-ins count these.
#include <CppUTest/TestHarness.h>

#include <algorithm>

#include "common/ids.h"
#include "entry_fixture.h"

namespace mimosadeal {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int kHosts = 8;
constexpr int kUpstreams = 8;
constexpr int kSlots = 2;
constexpr size_t kMaxQueued = 2;
constexpr Duration kWork = milliseconds(200);
constexpr uint64_t kSeed = 7;
// Longer than the room of a lost lease holder is kept from its successor.
constexpr Duration kLendingStart = seconds(9);

struct Outcomes {
  int sent = 0;
  int served = 0;
  int refused = 0;  // With a promise that the request did not run.
  int slow_refusals = 0;
};

class EntryRoomTest : public EntryTest {
 public:
  struct Sent {
    std::shared_ptr<CallerResponse> response;
    MonotonicTime at = kNever;
    Duration took{};
  };

  // Starts kHosts hosts in two zones, and kUpstreams upstreams of a service
  // without keys.
  void StartDeployment(bool scarce_room = true) {
    if (scarce_room) fixture.extra_bounds = ",pool=in-force";
    fixture.store->Put("config", "main", fixture.Configuration(1));
    for (int i = 1; i <= 2; ++i) {
      fixture.AddUpstream("yard-" + std::to_string(i), "yard",
                          i == 1 ? "north" : "south", i);
    }
    for (int i = 1; i <= kUpstreams; ++i) {
      DeploymentUpstreamOptions options;
      options.id = "desk-" + std::to_string(i);
      options.service = "desk";
      options.zone = i % 2 == 1 ? "north" : "south";
      options.slots = kSlots;
      options.max_queued = kMaxQueued;
      options.work = kWork;
      fixture.AddUpstream(options, 10 + i).faults().reset_when_full = true;
    }
    fixture.StartHosts(kHosts);
    fixture.RunFor(kLendingStart);
  }

  // Sends requests at random times from the hosts in turn.
  void SendFor(Duration time, double per_second) {
    const MonotonicTime end = fixture.loop.timers().now() + time;
    double due = 0;
    while (fixture.loop.timers().now() < end) {
      const MonotonicTime before = fixture.loop.timers().now();
      fixture.RunFor(milliseconds(10));
      NoteEnds();
      due += ToSeconds(fixture.loop.timers().now() - before) * per_second * 2 *
             random_.Unit();
      for (; due >= 1; due -= 1) SendOne();
    }
    const auto done = [this] {
      NoteEnds();
      return std::all_of(sent_.begin(), sent_.end(), [](const Sent& sent) {
        return sent.response->status != 0;
      });
    };
    fixture.RunUntil(done, seconds(4));
  }

  void SendOne() {
    do {
      next_host_ = next_host_ % kHosts + 1;
    } while (!Host(next_host_).process.running());
    sent_.push_back(
        {fixture.Start(Host(next_host_), "POST", "/charge/a", -1, "x"),
         fixture.loop.timers().now()});
  }

  void NoteEnds() {
    for (Sent& sent : sent_) {
      if (sent.response->status != 0 && sent.took == Duration::zero())
        sent.took = fixture.loop.timers().now() - sent.at;
    }
  }

  // Counts the requests that were sent since the last call. Each refusal must
  // say when to come back.
  Outcomes TakeOutcomes() {
    Outcomes outcomes;
    for (const Sent& sent : sent_) {
      ++outcomes.sent;
      if (sent.response->status == 200) ++outcomes.served;
      if (sent.response->status != 503) continue;
      ++outcomes.refused;
      CHECK_FALSE(FindHeader(sent.response->headers, "retry-after").empty());
      // A caller that is refused later could not be served elsewhere in time.
      if (sent.took > milliseconds(100)) ++outcomes.slow_refusals;
    }
    sent_.clear();
    return outcomes;
  }

  int Overruns() const {
    int sum = 0;
    for (const auto& [id, upstream] : fixture.upstreams)
      sum += upstream->overruns();
    return sum;
  }

  static std::string Describe(const Outcomes& outcomes) {
    return std::to_string(outcomes.served) + " served and " +
           std::to_string(outcomes.refused) + " refused (" +
           std::to_string(outcomes.slow_refusals) + " late) of " +
           std::to_string(outcomes.sent);
  }

  Random random_{kSeed};
  int next_host_ = 0;
  std::vector<Sent> sent_;
};

TEST_GROUP_BASE(EntryRoom, EntryRoomTest){};

// Load pattern: callers of all hosts ask for 0.6 of what the upstreams can do,
// and for 1.5 of it in bursts.
TEST(EntryRoom, NoUpstreamGetsMoreRequestsThanItHasRoomFor) {
  StartDeployment();
  constexpr double capacity = kUpstreams * kSlots / 0.2;
  Outcomes calm;
  Outcomes burst;
  for (int round = 0; round < 3; ++round) {
    SendFor(seconds(2), 0.6 * capacity);
    const Outcomes part = TakeOutcomes();
    calm.sent += part.sent;
    calm.served += part.served;
    SendFor(seconds(1), 1.5 * capacity);
    const Outcomes more = TakeOutcomes();
    burst.sent += more.sent;
    burst.served += more.served;
    burst.refused += more.refused;
    burst.slow_refusals += more.slow_refusals;
  }
  fixture.CheckRecord();
  LONGS_EQUAL_TEXT(0, Overruns(), Describe(burst).c_str());
  CHECK_TEXT(calm.served >= calm.sent * 97 / 100, Describe(calm).c_str());
  // Every request has an answer that says whether it ran.
  LONGS_EQUAL_TEXT(burst.sent, burst.served + burst.refused,
                   Describe(burst).c_str());
  CHECK_TEXT(burst.slow_refusals <= burst.sent / 100, Describe(burst).c_str());
}

// The same load overruns upstreams when each host chooses alone, so that the
// test above means something.
TEST(EntryRoom, HostsThatChooseAloneSendMoreThanThereIsRoomFor) {
  StartDeployment(false);
  constexpr double capacity = kUpstreams * kSlots / 0.2;
  for (int round = 0; round < 3; ++round) {
    SendFor(seconds(2), 0.6 * capacity);
    SendFor(seconds(1), 1.5 * capacity);
  }
  CHECK(Overruns() > 0);
}

// The lease holder of a zone is killed, and another host takes over.
TEST(EntryRoom, RequestsAreServedWhileTheLeaseHolderChanges) {
  StartDeployment();
  constexpr double capacity = kUpstreams * kSlots / 0.2;
  SendFor(seconds(1), 0.4 * capacity);
  TakeOutcomes();
  const std::string holder = fixture.LeaseHolder("north");
  fixture.hosts.at(holder)->process.Kill();
  // Over the loss, the lease's change, and the end of all loans of the former
  // holder.
  SendFor(seconds(12), 0.4 * capacity);
  const Outcomes outcomes = TakeOutcomes();
  CHECK(fixture.LeaseHolder("north") != holder);
  fixture.CheckRecord();
  LONGS_EQUAL_TEXT(0, Overruns(), Describe(outcomes).c_str());
  CHECK_TEXT(outcomes.served >= outcomes.sent * 97 / 100,
             Describe(outcomes).c_str());
}

}  // namespace
}  // namespace mimosadeal
