// Tests of the proof that orders reach one life of an upstream, and an
// enumeration of the orders in which orders, losses and restarts can follow one
// another.
#include "ranges/incarnation_proof.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <array>
#include <map>
#include <set>
#include <string>
#include <tuple>
#include <vector>

namespace mimosadeal {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr MonotonicTime kNow{seconds(100)};

TEST_GROUP(IncarnationProof) { IncarnationProof proof; };

TEST(IncarnationProof, TheFirstOrderNeedsNone) {
  OnConnectionBroken(proof);
  CHECK(MaySendCommand(proof));
}

TEST(IncarnationProof, ABrokenConnectionLeavesItOpenWhoComesNext) {
  OnCommandSent(proof);
  CHECK(MaySendCommand(proof));
  OnConnectionBroken(proof);
  CHECK_FALSE(MaySendCommand(proof));
  ResetProof(proof);
  CHECK(MaySendCommand(proof));
}

TEST(IncarnationProof, AnAnnouncedEndLeavesItOpenButForAMoment) {
  OnCommandSent(proof);
  OnReconnected(proof, kNow, kNow + milliseconds(20));
  CHECK(MaySendCommand(proof));
  OnReconnected(proof, kNow, kNow + milliseconds(700));
  CHECK_FALSE(MaySendCommand(proof));
}

// The holder of a zone's lease, one upstream and one range of it.
struct Model {
  // The upstream.
  int life = 1;
  bool up = true;
  bool restart_possible = true;  // Not within kShortestRestart of its answer.
  // What was sent and has not arrived: the generation, by the connection's
  // number; the kernel drops what was sent to a life that has ended.
  std::vector<std::pair<int, int>> under_way;  // Life, generation.
  std::map<int, int> highest;                  // Granted, by life.
  // The holder.
  IncarnationProof proof;
  bool connected = false;  // As the holder sees it.
  int connected_to = 0;    // Life at the other end.
  bool close_announced = false;
  bool write_due = false;  // Generations are to be replaced.
  bool store_lost = false;
  int generation = 1;
  bool broken = false;  // A life took what an earlier one had.

  auto Key() const {
    return std::make_tuple(life, up, restart_possible, under_way, highest,
                           proof.any_order_left, proof.same_life, connected,
                           connected_to, close_announced, write_due, store_lost,
                           generation, broken);
  }
};

enum class Step {
  kSend,             // The holder's next renewal is due.
  kArrive,           // The oldest order arrives and is answered.
  kArriveAndClose,   // The same, and the answer announces the end.
  kReconnectAtOnce,  // After an announced end.
  kReconnectLate,
  kEnd,  // The upstream's life ends.
  kBegin,
  kNoticeLoss,  // The holder sees that its connection has ended.
  kLoseStore,
  kRegainStore,
  kWrite,  // The table takes the next generation.
};

constexpr std::array kSteps = {
    Step::kSend,           Step::kArrive,
    Step::kArriveAndClose, Step::kReconnectAtOnce,
    Step::kReconnectLate,  Step::kEnd,
    Step::kBegin,          Step::kNoticeLoss,
    Step::kLoseStore,      Step::kRegainStore,
    Step::kWrite,
};

// How a holder may get it wrong.
enum class Variant {
  kAsBuilt,
  kTrustsAnnouncedEnds,  // Reconnects late without a new generation.
  kTrustsUnsentOrders,   // A connection that broke before a byte of the order
                         // left counts as none.
};

void Take(Model& model, int life, int generation) {
  for (const auto& [other, highest] : model.highest) {
    if (other != life && generation <= highest) model.broken = true;
  }
  int& highest = model.highest[life];
  highest = std::max(highest, generation);
}

void Send(Model& model, Variant variant) {
  if (model.write_due) return;  // The range is moving.
  const bool dead = model.connected && model.connected_to != model.life;
  if (model.connected && (dead || !model.up)) {
    // The order fails on the dead connection.
    model.connected = false;
    if (variant != Variant::kTrustsUnsentOrders)
      OnConnectionBroken(model.proof);
    if (!MaySendCommand(model.proof)) {
      model.write_due = true;
      ResetProof(model.proof);
    }
    return;
  }
  if (!MaySendCommand(model.proof)) {
    model.write_due = true;
    model.connected = false;
    ResetProof(model.proof);
    return;
  }
  if (!model.up) return;
  if (!model.connected) {
    if (model.close_announced) return;  // Reconnects first.
    model.connected = true;
    model.connected_to = model.life;
  }
  OnCommandSent(model.proof);
  model.under_way.emplace_back(model.life, model.generation);
  model.restart_possible = true;
}

void Arrive(Model& model, bool closes) {
  if (model.under_way.empty()) return;
  const auto [life, generation] = model.under_way.front();
  model.under_way.erase(model.under_way.begin());
  if (life != model.life || !model.up) return;
  Take(model, life, generation);
  if (!closes || !model.connected) return;
  model.connected = false;
  model.close_announced = true;
  model.restart_possible = false;
}

void Reconnect(Model& model, bool at_once, Variant variant) {
  if (!model.close_announced || !model.up) return;
  if (at_once && model.restart_possible) return;
  model.close_announced = false;
  model.connected = true;
  model.connected_to = model.life;
  const Duration took = at_once ? kShortestRestart : kShortestRestart * 4;
  if (variant != Variant::kTrustsAnnouncedEnds)
    OnReconnected(model.proof, kNow, kNow + took);
}

Model After(Model model, Step step, Variant variant) {
  switch (step) {
    case Step::kSend:
      Send(model, variant);
      break;
    case Step::kArrive:
      Arrive(model, false);
      break;
    case Step::kArriveAndClose:
      Arrive(model, true);
      break;
    case Step::kReconnectAtOnce:
      Reconnect(model, true, variant);
      break;
    case Step::kReconnectLate:
      // Time enough has passed for a restart.
      model.restart_possible = true;
      Reconnect(model, false, variant);
      break;
    case Step::kEnd:
      if (model.close_announced) model.restart_possible = true;
      model.up = false;
      break;
    case Step::kBegin:
      if (!model.up && model.life < 3) {
        model.up = true;
        ++model.life;
      }
      break;
    case Step::kNoticeLoss:
      if (model.connected && (!model.up || model.connected_to != model.life)) {
        model.connected = false;
        OnConnectionBroken(model.proof);
      }
      break;
    case Step::kLoseStore:
      model.store_lost = true;
      break;
    case Step::kRegainStore:
      model.store_lost = false;
      break;
    case Step::kWrite:
      if (model.write_due && !model.store_lost && model.generation < 4) {
        model.write_due = false;
        ++model.generation;
      }
      break;
  }
  return model;
}

struct Explored {
  size_t states = 0;
  bool broken = false;
};

Explored Explore(Variant variant, int depth) {
  using Key = decltype(std::declval<Model>().Key());
  std::set<Key> seen;
  std::vector<Model> frontier = {Model{}};
  Explored explored;
  for (int i = 0; i < depth && !frontier.empty(); ++i) {
    std::vector<Model> next;
    for (const Model& model : frontier) {
      for (const Step step : kSteps) {
        Model after = After(model, step, variant);
        if (!seen.insert(after.Key()).second) continue;
        explored.broken |= after.broken;
        next.push_back(std::move(after));
      }
    }
    frontier = std::move(next);
  }
  explored.states = seen.size();
  return explored;
}

constexpr int kDepth = 11;

TEST_GROUP(IncarnationProofSequences){};

TEST(IncarnationProofSequences, NoNewLifeTakesKeysByAnEarlierGeneration) {
  const Explored explored = Explore(Variant::kAsBuilt, kDepth);
  CHECK(explored.states > 1000);
  CHECK_FALSE(explored.broken);
}

TEST(IncarnationProofSequences, AHolderThatTrustsAnnouncedEndsIsCaught) {
  CHECK(Explore(Variant::kTrustsAnnouncedEnds, kDepth).broken);
}

TEST(IncarnationProofSequences, AHolderThatForgetsUnsentOrdersIsCaught) {
  CHECK(Explore(Variant::kTrustsUnsentOrders, kDepth).broken);
}

}  // namespace
}  // namespace mimosadeal
