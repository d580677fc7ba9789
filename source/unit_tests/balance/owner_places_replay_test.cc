// Replays of load from many hosts at one owner of keys, which resets what
// exceeds its slots and its queue.
#include <CppUTest/TestHarness.h>

#include <cmath>
#include <deque>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "balance/owner_places.h"
#include "balance/upstream_load.h"
#include "common/ids.h"

namespace mimosadeal {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration kMark = seconds(1);
constexpr Duration kTimeBudget = seconds(2);
// A report of contention reaches all hosts in this time.
constexpr uint64_t kSpreadMs = 10;
// No permit is limited by a rate.
constexpr double kNoLimit = 1000;

struct Case {
  size_t hosts = 84;
  int slots = 2;
  size_t queue = 2;  // Of the owner.
  Duration work = milliseconds(150);
  Duration target = milliseconds(800);
  double demand = 1.5;  // Of what the owner can do.
  bool places = true;   // Else each host goes by the load that it knows.
  double lost_returns = 0;
  bool lost_askers = false;  // Their places are never given back.
};

struct Call {
  size_t host = 0;
  int rank = 0;
  MonotonicTime received = kNever;
  uint64_t ticket = 0;  // 0 without a place.
  size_t giver = 0;
};

// The owner, the hosts and the givers of one replay.
struct Replay {
  Case c;
  Random random{11};
  MonotonicTime now{seconds(1000)};
  std::multimap<MonotonicTime, std::function<void()>> events;

  struct Host {
    UpstreamLoad load;
    MonotonicTime contended_until = kNever;
  };
  struct Giver {
    PermitQueue queue;
    OwnerPlaces places;
    bool began = false;
    double share = 1;
    std::map<uint64_t, Call> waiting;
    MonotonicTime checked_at = kNever;
  };
  std::vector<Host> hosts;
  std::vector<Giver> givers{2};
  size_t giver_of_new = 0;  // Whom hosts ask.
  bool both_give = false;   // Hosts ask either.
  bool replaced = false;    // See ReplaceGiver.

  std::deque<Call> queued;
  int running = 0;
  uint64_t next_ticket = 0;

  int sent = 0;
  int served = 0;
  int in_time = 0;
  int late_urgent = 0;
  int refused = 0;
  int refused_late = 0;
  int overruns = 0;
  int late_overruns = 0;  // After the first report has reached all hosts.
  size_t most = 0;
  MonotonicTime marked_at = kForever;

  explicit Replay(const Case& which) : c(which), hosts(which.hosts) {
    for (Host& host : hosts) host.load.slots = c.slots;
  }

  double Capacity() const { return c.slots / ToSeconds(c.work); }
  Duration Way() { return milliseconds(1 + random.Below(4)); }

  void At(MonotonicTime at, std::function<void()> run) {
    events.emplace(at, std::move(run));
  }

  void Mark() {
    if (marked_at == kForever) marked_at = now + milliseconds(kSpreadMs);
    for (size_t i = 0; i < hosts.size(); ++i) {
      At(now + milliseconds(random.Below(kSpreadMs)),
         [this, i] { hosts[i].contended_until = now + kMark; });
    }
  }

  void Arrive() {
    Call call;
    call.host = random.Below(hosts.size());
    call.rank = static_cast<int>(random.Below(2));
    call.received = now;
    ++sent;
    TrySend(call);
  }

  void TrySend(const Call& call) {
    Host& host = hosts[call.host];
    if (c.places && host.contended_until > now) {
      const size_t giver = both_give ? random.Below(2) : giver_of_new;
      At(now + Way(), [this, call, giver] { Ask(giver, call); });
      return;
    }
    if (now + ExpectedWait(host.load, now) > call.received + kTimeBudget) {
      Refuse(call);
      return;
    }
    Send(call);
  }

  void Refuse(const Call& call) {
    ++refused;
    if (now - call.received > milliseconds(50)) ++refused_late;
  }

  void Ask(size_t number, Call call) {
    if (replaced) number = 1;
    Giver& giver = givers[number];
    if (!giver.began) {
      giver.began = true;
      giver.places = BeginPlaces(c.slots, c.work, c.target, now);
      SetRate(giver.queue, kNoLimit, 1, now);
      giver.queue.available = MaxAvailable(kNoLimit);
    }
    call.ticket = ++next_ticket;
    call.giver = number;
    giver.waiting[call.ticket] = call;
    const PlaceWait wait = DecidePlaceWait(
        call.received, c.target, call.received + kTimeBudget,
        std::chrono::duration_cast<Duration>(
            std::chrono::duration<double>(giver.places.work_seconds)),
        c.slots, now);
    PermitWaiter waiter{call.ticket, call.rank, now + wait.in_time};
    waiter.keep_until = now + wait.longest;
    waiter.hold = call.received + kTimeBudget - now;
    AddWaiter(giver.queue, waiter);
    Serve(number);
  }

  void Serve(size_t number) {
    Giver& giver = givers[number];
    for (const PermitOutcome& outcome :
         TakePlaces(giver.queue, giver.places, giver.share, now)) {
      const Call call = giver.waiting.extract(outcome.ticket).mapped();
      if (outcome.granted) {
        At(now + Way(), [this, call] { Send(call); });
      } else {
        CHECK(outcome.retry_after > Duration::zero());
        At(now + Way(), [this, call] { Refuse(call); });
      }
    }
    if (!giver.queue.waiters.empty() ||
        IsNearlyFull(giver.places, giver.share, now)) {
      Mark();
    }
    const MonotonicTime next =
        NextPlaceAt(giver.queue, giver.places, giver.share, now);
    if (next == kForever || next == giver.checked_at) return;
    giver.checked_at = next;
    At(std::max(next, now + milliseconds(1)), [this, number] {
      givers[number].checked_at = kNever;
      Serve(number);
    });
  }

  void Send(const Call& call) {
    ++hosts[call.host].load.in_flight;
    At(now + Way(), [this, call] { Reach(call); });
  }

  void Reach(const Call& call) {
    if (running >= c.slots && queued.size() >= c.queue) {
      ++overruns;
      if (now > marked_at) ++late_overruns;
      At(now + Way(), [this, call] {
        --hosts[call.host].load.in_flight;
        Return(call, {PlaceOutcome::kFull, std::nullopt});
        Mark();
      });
      return;
    }
    queued.push_back(call);
    most = std::max(most, queued.size() + static_cast<size_t>(running));
    StartNext();
  }

  void StartNext() {
    while (running < c.slots && !queued.empty()) {
      const Call call = queued.front();
      queued.pop_front();
      ++running;
      const auto took = static_cast<int64_t>(
          static_cast<double>(c.work.count()) * (0.5 + random.Unit()));
      At(now + Duration(took), [this, call] { Finish(call); });
    }
  }

  void Finish(const Call& call) {
    --running;
    const int held = running + static_cast<int>(queued.size());
    const UpstreamLoadReport report{running, static_cast<int>(queued.size()),
                                    c.slots, 1};
    At(now + Way(), [this, call, held, report] {
      Host& host = hosts[call.host];
      --host.load.in_flight;
      OnLoadReport(host.load, report, now);
      OnServiceTime(host.load, c.work, 0);
      ++served;
      if (now - call.received <= c.target) ++in_time;
      if (now - call.received > c.target && call.rank == 0) ++late_urgent;
      if (IsOwnerContended(held, c.slots, c.work, c.target)) Mark();
      Return(call, {PlaceOutcome::kServed, held});
    });
    StartNext();
  }

  void Return(const Call& call, const PlaceReturn& returned) {
    if (call.ticket == 0) return;
    if (c.lost_askers || random.Unit() < c.lost_returns) return;
    At(now + Way(), [this, call, returned] {
      const size_t giver = replaced ? 1 : call.giver;
      if (!givers[giver].began) return;
      ReturnPlace(givers[giver].places, call.ticket, returned, now);
      Serve(giver);
    });
  }

  // The first giver is lost. Those that wait for it ask the second one.
  void ReplaceGiver() {
    replaced = true;
    giver_of_new = 1;
    for (const auto& [ticket, call] : givers[0].waiting) {
      At(now + milliseconds(random.Below(100)),
         [this, call = call] { Ask(1, call); });
    }
    givers[0].waiting.clear();
    givers[0].queue.waiters.clear();
  }

  void ArriveNext(double per_second, MonotonicTime end) {
    const double gap = -std::log(1 - random.Unit()) / per_second;
    const MonotonicTime at = now + std::chrono::duration_cast<Duration>(
                                       std::chrono::duration<double>(gap));
    if (at >= end) return;
    At(at, [this, per_second, end] {
      Arrive();
      ArriveNext(per_second, end);
    });
  }

  // `demand`: of what the owner can do at its first speed.
  void RunFor(Duration time, double per_second) {
    const MonotonicTime end = now + time;
    ArriveNext(per_second, end);
    while (!events.empty() && events.begin()->first <= end) {
      auto event = events.extract(events.begin());
      now = event.key();
      event.mapped()();
    }
    now = end;
  }

  void RunFor(Duration time) { RunFor(time, c.demand * Capacity()); }

  std::string Text() const {
    return std::to_string(served) + " served, " + std::to_string(in_time) +
           " in time, " + std::to_string(late_urgent) + " urgent late, " +
           std::to_string(refused) + " refused, " +
           std::to_string(refused_late) + " late, of " + std::to_string(sent) +
           "; " + std::to_string(overruns) + " overruns, " +
           std::to_string(late_overruns) + " after the report; at most " +
           std::to_string(most) + "; " + std::to_string(c.hosts) + " hosts, " +
           std::to_string(c.slots) + " slots, demand " +
           std::to_string(c.demand);
  }
};

Case FewSlots() { return {}; }

Case ManySlots() {
  Case c;
  c.slots = 6;
  c.queue = 6;
  c.work = milliseconds(290);
  return c;
}

TEST_GROUP(OwnerPlacesReplay){};

// Load pattern: one owner's keys are wanted at 1.5 and 2.2 of what it can do,
// by the callers of 84, 122 and 295 hosts.
TEST(OwnerPlacesReplay, AHotOwnerGetsWhatItHasRoomForFromAllHostsTogether) {
  for (const size_t hosts : {84, 122, 295}) {
    for (Case c : {FewSlots(), ManySlots()}) {
      for (const double demand : {1.5, 2.2}) {
        c.hosts = hosts;
        c.demand = demand;
        Replay replay(c);
        replay.RunFor(seconds(10));
        const std::string text = replay.Text();
        LONGS_EQUAL_TEXT(0, replay.late_overruns, text.c_str());
        CHECK_TEXT(replay.overruns <= 2 * c.slots, text.c_str());
        CHECK_TEXT(replay.served >= 0.9 * 10 * replay.Capacity(), text.c_str());
        CHECK_TEXT(replay.in_time >= 0.9 * replay.served, text.c_str());
        CHECK_TEXT(replay.refused_late <= 0.1 * replay.refused, text.c_str());
      }
    }
  }
}

// The same load overruns the owner when each host goes by the load that it has
// last read, so that the test above means something.
TEST(OwnerPlacesReplay, HostsThatGuessOverrunTheOwner) {
  for (const size_t hosts : {84, 122, 295}) {
    for (Case c : {FewSlots(), ManySlots()}) {
      c.hosts = hosts;
      c.demand = 2.2;
      c.places = false;
      Replay replay(c);
      replay.RunFor(seconds(10));
      CHECK_TEXT(replay.overruns >= replay.sent / 5, replay.Text().c_str());
    }
  }
}

// Load pattern: 0.7 of what the owner can do, and a burst of 2.2 times that.
TEST(OwnerPlacesReplay, ABurstIsServedAsFarAsThereIsRoom) {
  for (Case c : {FewSlots(), ManySlots()}) {
    c.hosts = 122;
    Replay replay(c);
    replay.RunFor(seconds(3), 0.7 * replay.Capacity());
    replay.RunFor(seconds(3), 0.7 * 2.2 * replay.Capacity());
    const int sent = replay.sent;
    const int served = replay.served;
    replay.RunFor(seconds(4), 0.7 * replay.Capacity());
    const std::string text = replay.Text();
    CHECK_TEXT(replay.overruns <= 2 * c.slots, text.c_str());
    // After the burst nearly all are served again.
    CHECK_TEXT(replay.served - served >= 0.9 * (replay.sent - sent),
               text.c_str());
  }
}

// Load pattern: the owner becomes three times slower, and fast again.
TEST(OwnerPlacesReplay, AnOwnerThatSlowsDownGetsLess) {
  for (Case c : {FewSlots(), ManySlots()}) {
    c.hosts = 122;
    Replay replay(c);
    const double demand = 1.5 * replay.Capacity();
    replay.RunFor(seconds(3), demand);
    replay.c.work = 3 * c.work;
    replay.RunFor(seconds(5), demand);
    const int late = replay.served - replay.in_time;
    replay.RunFor(seconds(5), demand);
    LONGS_EQUAL_TEXT(0, replay.late_overruns, replay.Text().c_str());
    // Only those are late that were kept before it was known.
    CHECK_TEXT(replay.served - replay.in_time - late <=
                   static_cast<int>(PlacesInUse(replay.givers[0].places)) + 20,
               replay.Text().c_str());
    replay.c.work = c.work;
    replay.RunFor(seconds(3), demand);
    const int before = replay.served;
    replay.RunFor(seconds(5), demand);
    CHECK_TEXT(replay.served - before >= 0.85 * 5 * replay.Capacity(),
               replay.Text().c_str());
  }
}

// The giver is replaced: its successor knows nothing of the places in use.
TEST(OwnerPlacesReplay, ASuccessorBeginsWithAllPlacesInUse) {
  for (Case c : {FewSlots(), ManySlots()}) {
    c.hosts = 295;
    c.demand = 2.2;
    Replay replay(c);
    replay.RunFor(seconds(3));
    replay.ReplaceGiver();
    replay.RunFor(seconds(5));
    LONGS_EQUAL_TEXT(0, replay.late_overruns, replay.Text().c_str());
    CHECK_TEXT(replay.served >= 0.85 * 8 * replay.Capacity(),
               replay.Text().c_str());
  }
}

// Two givers at a change: the former goes on with half of the places until it
// hears of its successor. The owner then gets at most 1.5 times its places.
TEST(OwnerPlacesReplay, TwoGiversSendAtMostOneAndAHalfTimesThePlaces) {
  for (Case c : {FewSlots(), ManySlots()}) {
    c.hosts = 122;
    c.demand = 2.2;
    c.queue = 100;
    Replay replay(c);
    replay.RunFor(seconds(3));
    const size_t alone = replay.most;
    replay.givers[0].share = 0.5;
    replay.both_give = true;
    replay.RunFor(seconds(5));
    const auto places = static_cast<size_t>(2 * c.slots);
    CHECK_TEXT(alone <= places + 2, replay.Text().c_str());
    CHECK_TEXT(replay.most <= places * 3 / 2 + 1, replay.Text().c_str());
  }
}

// Messages that return places are lost, and hosts die with places.
TEST(OwnerPlacesReplay, LostReturnsCostRoomButOverrunNothing) {
  Case c = ManySlots();
  c.hosts = 122;
  c.demand = 2.2;
  c.lost_returns = 0.05;
  Replay replay(c);
  replay.RunFor(seconds(10));
  LONGS_EQUAL_TEXT(0, replay.late_overruns, replay.Text().c_str());
  CHECK_TEXT(replay.served >= 0.75 * 10 * replay.Capacity(),
             replay.Text().c_str());

  c.lost_returns = 0;
  c.lost_askers = true;
  Replay lost(c);
  lost.RunFor(seconds(10));
  LONGS_EQUAL_TEXT(0, lost.late_overruns, lost.Text().c_str());
  // Each place lapses with its request's time.
  CHECK_TEXT(lost.served >= 5 * 2 * c.slots / 2, lost.Text().c_str());
}

}  // namespace
}  // namespace mimosadeal
