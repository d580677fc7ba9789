// Explores all orders, up to a given depth, in which grants to an upstream
// leave, arrive, take effect and are answered, while the host that sends them
// stops, loses its lease or is replaced, and in which the keys move away.
// Guards against two owners: a host that takes the keys for free while a grant
// that it, or a host before it, has sent is in force or may still be.
//
// Times are whole units. A grant may arrive at any time until its connection is
// closed, and for the transit after that; it may take effect at any later time.
// Its hold counts from its arrival, on a clock that runs 2% slow.
#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <optional>
#include <string>
#include <vector>

#include "exploration.h"
#include "ranges/hold_tracker.h"

namespace mimosadeal {
namespace {

constexpr Duration kUnit = std::chrono::milliseconds(100);
constexpr int kHold = 3;
constexpr int kTimeout = 1;  // After it a host that runs gives a grant up.
constexpr int kTransit = 1;
constexpr int kDelivery = 1;  // Of the kernel of a host that has stopped.
constexpr int kLastTime = 9;
constexpr double kSlowClock = 1.02;
constexpr HoldTiming kTiming = {0.025, kTransit* kUnit, kDelivery* kUnit};
constexpr KeySpan kKeys = {0, 9};
constexpr int kMaxPackets = 2;
constexpr int kMaxGeneration = 3;

enum class Variant {
  kCorrect,
  // Takes a grant to arrive within the time-out and the transit.
  kCountsFromSending,
  // Counts the hold of a grant that was answered from its sending.
  kCountsAnsweredFromSending,
  // Drops the grants that are open when the lease is lost.
  kForgetsOpenGrants,
  // Counts a release that was sent while a grant of the keys was open.
  kCountsOvertakingReleases,
};

struct Rules {
  Variant variant = Variant::kCorrect;
  // The upstream refuses grants below the generation of a release. The platform
  // states this of grants only; without it, a lease holder relies on the
  // generations that it grants itself, so that there is one holder only.
  bool release_fences = true;
};

enum class MoveState { kNone, kWaiting, kReleasing, kReleased, kDone };

// A grant that has left its host and has not arrived.
struct Packet {
  int generation = 0;
  bool open = true;       // Its connection is.
  int arrives_until = 0;  // Once it is not.
};

// A grant that has arrived and has not taken effect.
struct Arrival {
  int generation = 0;
  int at = 0;
  bool open = true;  // As of the packet: a response would be read.
};

MonotonicTime At(int units) { return MonotonicTime(kUnit * (units + 1)); }

struct Model {
  int now = 0;
  // The lease holder.
  bool running = true;
  int generation = 1;
  HoldTracker tracker{kTiming};
  SentGrantId open = 0;  // 0: none.
  int sent_at = 0;
  MonotonicTime from_sending = kNever;  // The bound of the bad variants.
  bool response = false;                // To the open grant, on its way.
  MoveState move = MoveState::kNone;
  bool overtakes = false;         // The last release that was sent.
  bool release_answered = false;  // And did not count.
  // The network and the upstream.
  std::vector<Packet> packets;
  std::vector<Arrival> arrivals;
  int seen = 0;  // Highest generation.
  MonotonicTime held_until = kNever;
  bool violated = false;

  std::string Key() const;
};

const UpstreamIncarnation kOwner = {"owner", 1};

void Append(std::string& text, int64_t number) {
  text += std::to_string(number);
  text += ',';
}

std::string Model::Key() const {
  std::string text;
  for (const int number :
       {now, running ? 1 : 0, generation, open != 0 ? sent_at : -1,
        response ? 1 : 0, static_cast<int>(move), overtakes ? 1 : 0,
        release_answered ? 1 : 0, seen, violated ? 1 : 0})
    Append(text, number);
  for (const Packet& packet : packets) {
    Append(text, packet.generation);
    Append(text, packet.open ? -1 : packet.arrives_until);
  }
  text += '|';
  for (const Arrival& arrival : arrivals) {
    Append(text, arrival.generation);
    Append(text, arrival.at);
    Append(text, arrival.open ? 1 : 0);
  }
  for (const MonotonicTime time :
       {held_until, from_sending, tracker.FreeAt(kOwner),
        tracker.FreeAfterRelease(kOwner)})
    Append(text, std::max(time, At(now)).time_since_epoch().count());
  return text;
}

MonotonicTime FreeAt(const Model& model, Variant variant) {
  return variant == Variant::kCountsFromSending ? model.from_sending
                                                : model.tracker.FreeAt(kOwner);
}

void CloseConnection(Model& model, int arrives_until) {
  for (Packet& packet : model.packets) {
    if (!packet.open) continue;
    packet.open = false;
    packet.arrives_until = arrives_until;
  }
  for (Arrival& arrival : model.arrivals) arrival.open = false;
  model.open = 0;
  model.response = false;
}

void FinishMove(Model& model) {
  model.move = MoveState::kDone;
  if (model.held_until > At(model.now)) model.violated = true;
}

// What a host does by itself while it runs.
void RunHost(Model& model, Variant variant) {
  if (!model.running) return;
  if (model.open != 0 && model.now - model.sent_at >= kTimeout) {
    model.tracker.OnClosed(kOwner, model.open, At(model.now));
    CloseConnection(model, model.now + kTransit);
  }
  if (model.move != MoveState::kWaiting &&
      model.move != MoveState::kReleasing && model.move != MoveState::kReleased)
    return;
  if (At(model.now) >= FreeAt(model, variant)) {
    FinishMove(model);
    return;
  }
  const bool may_take = model.tracker.MayTake(kOwner, kKeys);
  if (model.move != MoveState::kWaiting || (model.release_answered && may_take))
    return;
  model.move = MoveState::kReleasing;
  model.overtakes = may_take && variant != Variant::kCountsOvertakingReleases;
}

void Send(Model& model) {
  if (!model.running || model.open != 0 || model.move != MoveState::kNone ||
      model.packets.size() >= kMaxPackets)
    return;
  model.open = model.tracker.OnSent(kOwner, {kKeys, kHold * kUnit});
  model.sent_at = model.now;
  model.from_sending = std::max(
      model.from_sending, At(model.now + kTimeout + kTransit) +
                              std::chrono::duration_cast<Duration>(
                                  kHold * kUnit * (1 + kTiming.clock_guard)));
  model.packets.push_back({model.generation, true, 0});
}

void Arrive(Model& model, size_t index) {
  if (index >= model.packets.size()) return;
  const Packet packet = model.packets.at(index);
  model.packets.erase(model.packets.begin() + static_cast<ptrdiff_t>(index));
  if (!packet.open && model.now > packet.arrives_until) return;
  model.arrivals.push_back({packet.generation, model.now, packet.open});
}

void TakeEffect(Model& model, size_t index) {
  if (index >= model.arrivals.size()) return;
  const Arrival arrival = model.arrivals.at(index);
  model.arrivals.erase(model.arrivals.begin() + static_cast<ptrdiff_t>(index));
  if (arrival.open) model.response = true;
  if (arrival.generation < model.seen) return;
  model.seen = arrival.generation;
  const MonotonicTime until =
      At(arrival.at) +
      std::chrono::duration_cast<Duration>(kHold * kUnit * kSlowClock);
  model.held_until = std::max(model.held_until, until);
  if (model.move == MoveState::kDone && model.held_until > At(model.now))
    model.violated = true;
}

void ReadResponse(Model& model, Variant variant) {
  if (!model.running || !model.response) return;
  const bool from_sending = variant == Variant::kCountsAnsweredFromSending;
  model.tracker.OnAnswered(
      kOwner, model.open,
      At(from_sending ? model.sent_at + kTransit : model.now));
  model.open = 0;
  model.response = false;
}

void Release(Model& model, const Rules& rules) {
  if (model.move != MoveState::kReleasing) return;
  model.held_until = kNever;
  if (rules.release_fences) model.seen = model.generation + 1;
  model.move = MoveState::kReleased;
}

void ReadReleaseResponse(Model& model) {
  if (!model.running || model.move != MoveState::kReleased) return;
  if (!model.overtakes &&
      At(model.now) >= model.tracker.FreeAfterRelease(kOwner)) {
    FinishMove(model);
    return;
  }
  model.move = MoveState::kWaiting;
  model.release_answered = true;
}

// The next holder claims the keys with a new generation.
bool BeginTenure(Model& model) {
  if (model.move == MoveState::kDone || model.generation >= kMaxGeneration)
    return false;
  ++model.generation;
  model.move = MoveState::kNone;
  model.release_answered = false;
  return true;
}

void Regain(Model& model, Variant variant) {
  if (!model.running || !BeginTenure(model)) return;
  if (variant == Variant::kForgetsOpenGrants) {
    model.tracker.OnUnsent(kOwner, model.open);
  } else {
    model.tracker.OnAllClosed(At(model.now));
  }
  CloseConnection(model, model.now + kTransit);
}

// Another host, or a new process of this one, becomes the holder.
void Replace(Model& model, bool process_ended) {
  if (!BeginTenure(model)) return;
  const bool closed = model.running || process_ended;
  CloseConnection(model,
                  (closed ? model.now : model.sent_at + kDelivery) + kTransit);
  model.running = true;
  model.tracker = HoldTracker(kTiming);
  model.tracker.AssumeHeld(At(model.now), kHold * kUnit);
  model.from_sending = model.tracker.FreeAt(kOwner);
}

enum class Step {
  kAdvance,
  kStop,
  kContinue,
  kSend,
  kArriveFirst,
  kArriveSecond,
  kTakeEffectFirst,
  kTakeEffectSecond,
  kReadResponse,
  kMove,
  kRelease,
  kReadReleaseResponse,
  kRegain,
  kRestart,
  kTakeOver,
};

constexpr int kStepsOfOneHolder = static_cast<int>(Step::kRegain);
constexpr int kSteps = static_cast<int>(Step::kTakeOver) + 1;

Model NextState(Model model, Step step, const Rules& rules) {
  switch (step) {
    case Step::kAdvance:
      if (model.now < kLastTime) ++model.now;
      break;
    case Step::kStop:
      model.running = false;
      break;
    case Step::kContinue:
      model.running = true;
      break;
    case Step::kSend:
      Send(model);
      break;
    case Step::kArriveFirst:
    case Step::kArriveSecond:
      Arrive(model, step == Step::kArriveFirst ? 0 : 1);
      break;
    case Step::kTakeEffectFirst:
    case Step::kTakeEffectSecond:
      TakeEffect(model, step == Step::kTakeEffectFirst ? 0 : 1);
      break;
    case Step::kReadResponse:
      ReadResponse(model, rules.variant);
      break;
    case Step::kMove:
      if (model.running && model.move == MoveState::kNone)
        model.move = MoveState::kWaiting;
      break;
    case Step::kRelease:
      Release(model, rules);
      break;
    case Step::kReadReleaseResponse:
      ReadReleaseResponse(model);
      break;
    case Step::kRegain:
      Regain(model, rules.variant);
      break;
    case Step::kRestart:
    case Step::kTakeOver:
      Replace(model, step == Step::kRestart);
      break;
  }
  // A host that goes on reads what has arrived before its timers run.
  if (step != Step::kContinue) RunHost(model, rules.variant);
  return model;
}

Explored Explore(const Rules& rules, int depth) {
  return ExploreSequences(
      Model{}, rules.release_fences ? kSteps : kStepsOfOneHolder, depth,
      [&rules](const Model& model, int step) {
        return NextState(model, static_cast<Step>(step), rules);
      });
}

constexpr int kDepth = 12;

TEST_GROUP(HoldOrders){};

TEST(HoldOrders, KeysMoveOnlyWhenNoGrantIsOrComesInForce) {
  const Explored explored = Explore({}, kDepth);
  CHECK(explored.states > 10'000);
  CHECK_FALSE(explored.violated);
}

TEST(HoldOrders, TheSameHoldsIfReleasesDoNotFenceGrants) {
  const Explored explored = Explore({Variant::kCorrect, false}, kDepth);
  CHECK(explored.states > 10'000);
  CHECK_FALSE(explored.violated);
}

// Guards against the host that stops while its grants are on their way.
TEST(HoldOrders, CountingFromTheSendingIsDetected) {
  CHECK(Explore({Variant::kCountsFromSending, true}, kDepth).violated);
}

TEST(HoldOrders, CountingAnAnsweredGrantFromItsSendingIsDetected) {
  CHECK(Explore({Variant::kCountsAnsweredFromSending, true}, kDepth).violated);
}

TEST(HoldOrders, ForgettingOpenGrantsWithTheLeaseIsDetected) {
  CHECK(Explore({Variant::kForgetsOpenGrants, true}, kDepth).violated);
}

TEST(HoldOrders, CountingAReleaseThatOvertakesAGrantIsDetected) {
  CHECK(Explore({Variant::kCountsOvertakingReleases, false}, kDepth).violated);
}

}  // namespace
}  // namespace mimosadeal
