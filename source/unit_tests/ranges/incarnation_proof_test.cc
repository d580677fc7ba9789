// Tests of IncarnationProof. Guards against a restarted upstream that receives
// keys with a generation that its previous incarnation was granted: two
// incarnations would then hold the same grant.
//
// Besides unit tests, explores all sequences, up to a given depth, of commands,
// disconnections, upstream restarts and store outages on a model of a lease
// holder and one upstream.
#include "ranges/incarnation_proof.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <array>
#include <map>
#include <set>
#include <string>
#include <tuple>
#include <vector>

#include "exploration.h"

namespace mimosadeal {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr MonotonicTime kNow{seconds(100)};

TEST_GROUP(IncarnationProof) { IncarnationProof proof; };

TEST(IncarnationProof, TheFirstCommandNeedsNoProof) {
  OnConnectionBroken(proof);
  CHECK(MaySendCommand(proof));
}

TEST(IncarnationProof, ABrokenConnectionRequiresNewGenerations) {
  OnCommandSent(proof);
  CHECK(MaySendCommand(proof));
  OnConnectionBroken(proof);
  CHECK_FALSE(MaySendCommand(proof));
  ResetProof(proof);
  CHECK(MaySendCommand(proof));
}

TEST(IncarnationProof, AnAnnouncedCloseIsTrustedOnlyIfTheReconnectIsQuick) {
  OnCommandSent(proof);
  OnReconnected(proof, kNow, kNow + milliseconds(20));
  CHECK(MaySendCommand(proof));
  OnReconnected(proof, kNow, kNow + milliseconds(700));
  CHECK_FALSE(MaySendCommand(proof));
}

// A model of a zone's lease holder, one upstream and one range that it owns.
struct Model {
  // The upstream.
  int incarnation = 1;
  bool up = true;
  // False within kMinRestartTime of the upstream's last reply.
  bool restart_possible = true;
  // Commands sent and not yet received: the upstream's incarnation and the
  // granted generation. The kernel drops what was sent to an incarnation that
  // has stopped.
  std::vector<std::pair<int, int>> in_transit;
  // Highest generation granted, by incarnation.
  std::map<int, int> highest;
  // The lease holder.
  IncarnationProof proof;
  bool connected = false;  // As the holder sees it.
  int connected_to = 0;    // Incarnation at the other end.
  bool close_announced = false;
  // A new generation is to be written to the store.
  bool write_pending = false;
  bool store_unreachable = false;
  int generation = 1;
  // An incarnation accepted a generation that another one had been granted.
  bool violated = false;

  auto Key() const {
    return std::make_tuple(incarnation, up, restart_possible, in_transit,
                           highest, proof.any_command_sent,
                           proof.same_incarnation, connected, connected_to,
                           close_announced, write_pending, store_unreachable,
                           generation, violated);
  }
};

enum class Step {
  kSend,             // The holder's next renewal is due.
  kDeliver,          // The oldest command in transit is received and answered.
  kDeliverAndClose,  // As kDeliver; the reply announces the close.
  kReconnectImmediately,  // After an announced close.
  kReconnectLate,
  kStop,  // The upstream stops.
  kStart,
  kDetectDisconnect,  // The holder detects that its connection has ended.
  kDisconnectStore,
  kReconnectStore,
  kWrite,  // The next generation is written to the store.
};

constexpr std::array kSteps = {
    Step::kSend,
    Step::kDeliver,
    Step::kDeliverAndClose,
    Step::kReconnectImmediately,
    Step::kReconnectLate,
    Step::kStop,
    Step::kStart,
    Step::kDetectDisconnect,
    Step::kDisconnectStore,
    Step::kReconnectStore,
    Step::kWrite,
};

// The correct holder, and two faulty ones that the exploration must detect.
enum class Variant {
  kCorrect,
  kTrustsAnnouncedCloses,  // Reconnects late without a new generation.
  // Does not count a connection that broke before any byte of the command was
  // sent.
  kIgnoresUnsentCommands,
};

void AcceptGrant(Model& model, int incarnation, int generation) {
  for (const auto& [other, highest] : model.highest) {
    if (other != incarnation && generation <= highest) model.violated = true;
  }
  int& highest = model.highest[incarnation];
  highest = std::max(highest, generation);
}

void SendGrant(Model& model, Variant variant) {
  if (model.write_pending) return;  // The range is moving.
  const bool stale = model.connected && model.connected_to != model.incarnation;
  if (model.connected && (stale || !model.up)) {
    // The command fails on the stale connection.
    model.connected = false;
    if (variant != Variant::kIgnoresUnsentCommands)
      OnConnectionBroken(model.proof);
    if (!MaySendCommand(model.proof)) {
      model.write_pending = true;
      ResetProof(model.proof);
    }
    return;
  }
  if (!MaySendCommand(model.proof)) {
    model.write_pending = true;
    model.connected = false;
    ResetProof(model.proof);
    return;
  }
  if (!model.up) return;
  if (!model.connected) {
    if (model.close_announced) return;  // It must reconnect first.
    model.connected = true;
    model.connected_to = model.incarnation;
  }
  OnCommandSent(model.proof);
  model.in_transit.emplace_back(model.incarnation, model.generation);
  model.restart_possible = true;
}

void Deliver(Model& model, bool closes) {
  if (model.in_transit.empty()) return;
  const auto [incarnation, generation] = model.in_transit.front();
  model.in_transit.erase(model.in_transit.begin());
  if (incarnation != model.incarnation || !model.up) return;
  AcceptGrant(model, incarnation, generation);
  if (!closes || !model.connected) return;
  model.connected = false;
  model.close_announced = true;
  model.restart_possible = false;
}

void Reconnect(Model& model, bool immediately, Variant variant) {
  if (!model.close_announced || !model.up) return;
  if (immediately && model.restart_possible) return;
  model.close_announced = false;
  model.connected = true;
  model.connected_to = model.incarnation;
  const Duration elapsed = immediately ? kMinRestartTime : kMinRestartTime * 4;
  if (variant != Variant::kTrustsAnnouncedCloses)
    OnReconnected(model.proof, kNow, kNow + elapsed);
}

Model NextState(Model model, Step step, Variant variant) {
  switch (step) {
    case Step::kSend:
      SendGrant(model, variant);
      break;
    case Step::kDeliver:
      Deliver(model, false);
      break;
    case Step::kDeliverAndClose:
      Deliver(model, true);
      break;
    case Step::kReconnectImmediately:
      Reconnect(model, true, variant);
      break;
    case Step::kReconnectLate:
      // Enough time has passed for a restart.
      model.restart_possible = true;
      Reconnect(model, false, variant);
      break;
    case Step::kStop:
      if (model.close_announced) model.restart_possible = true;
      model.up = false;
      break;
    case Step::kStart:
      if (!model.up && model.incarnation < 3) {
        model.up = true;
        ++model.incarnation;
      }
      break;
    case Step::kDetectDisconnect:
      if (model.connected &&
          (!model.up || model.connected_to != model.incarnation)) {
        model.connected = false;
        OnConnectionBroken(model.proof);
      }
      break;
    case Step::kDisconnectStore:
      model.store_unreachable = true;
      break;
    case Step::kReconnectStore:
      model.store_unreachable = false;
      break;
    case Step::kWrite:
      if (model.write_pending && !model.store_unreachable &&
          model.generation < 4) {
        model.write_pending = false;
        ++model.generation;
      }
      break;
  }
  return model;
}

Explored Explore(Variant variant, int depth) {
  return ExploreSequences(
      Model{}, static_cast<int>(kSteps.size()), depth,
      [variant](const Model& model, int step) {
        return NextState(model, kSteps.at(static_cast<size_t>(step)), variant);
      });
}

constexpr int kDepth = 11;

TEST_GROUP(IncarnationProofSequences){};

TEST(IncarnationProofSequences, NoNewIncarnationAcceptsAnEarlierGeneration) {
  const Explored explored = Explore(Variant::kCorrect, kDepth);
  CHECK(explored.states > 1000);
  CHECK_FALSE(explored.violated);
}

TEST(IncarnationProofSequences, TrustingAnnouncedClosesIsDetected) {
  CHECK(Explore(Variant::kTrustsAnnouncedCloses, kDepth).violated);
}

TEST(IncarnationProofSequences, IgnoringUnsentCommandsIsDetected) {
  CHECK(Explore(Variant::kIgnoresUnsentCommands, kDepth).violated);
}

}  // namespace
}  // namespace mimosadeal
