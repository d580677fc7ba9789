// Explores all sequences, up to a given depth, of grants, moves, releases,
// writes of the table, lost connections, restarts of an upstream, late replies
// and changes of the lease, on a model of a zone's lease holder and two owners.
// Guards against a key that a process accepts with a generation that another
// process had it with, and against two holders of a key.
//
// The model uses the rules of the lease holder: IncarnationProof,
// RetiredGenerations and the functions of the range table.
#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <array>
#include <optional>
#include <set>
#include <string>
#include <tuple>
#include <vector>

#include "exploration.h"
#include "ranges/incarnation_proof.h"
#include "ranges/range_table.h"
#include "ranges/retired_generations.h"

namespace mimosadeal {
namespace {

constexpr int kKeys = 3;
constexpr int kMaxIncarnation = 3;
constexpr uint64_t kMaxGeneration = 9;
constexpr char kZone[] = "north";
constexpr char kRestarting[] = "x";  // Has several incarnations.
constexpr char kSteady[] = "y";

// The keys of one process: an incarnation of an upstream.
struct Holder {
  // Highest generation of a grant or a release, by key.
  std::array<uint64_t, kKeys> seen{};
  std::array<uint64_t, kKeys> granted{};  // Highest, by key; 0: none.
  std::array<uint64_t, kKeys> held{};     // 0: not held.
};

struct ModelMove {
  KeySpan keys;
  std::string to;
  uint64_t generation = 0;  // Of the range when the move began.
  bool released = false;
};

// A grant to the upstream that restarts, and the incarnation it was sent to.
struct ModelGrant {
  KeyRange part;
  int incarnation = 0;
};

enum class Variant {
  kCorrect,
  // Replaces only the generations of the very spans that were granted.
  kMarksSpans,
  // Takes a refusal for one of the range's present generation.
  kTrustsLateRefusals,
};

struct Model {
  RangeTable table;
  // The upstreams.
  int incarnation = 1;
  bool up = true;
  std::array<Holder, kMaxIncarnation> restarting;
  Holder steady;
  // The lease holder, and its channel to the upstream that restarts.
  bool claimed = true;
  IncarnationProof proof;
  bool connected = false;
  int connected_to = 0;
  std::optional<ModelGrant> in_flight;
  std::optional<bool> refused;     // The reply on its way; true: refused.
  std::optional<ModelGrant> late;  // Abandoned, and still on its way.
  RetiredGenerations retired;
  std::set<std::tuple<int, int, uint64_t>> marks;  // Of kMarksSpans.
  std::vector<ModelMove> moves;
  bool violated = false;

  std::string Key() const;
};

void Append(std::string& text, uint64_t number) {
  text += static_cast<char>(number);
}

void Append(std::string& text, const std::optional<ModelGrant>& grant) {
  Append(text, grant.has_value() ? 1 : 0);
  if (!grant.has_value()) return;
  Append(text, static_cast<uint64_t>(grant->incarnation));
  Append(text, static_cast<uint64_t>(grant->part.first));
  Append(text, static_cast<uint64_t>(grant->part.last));
  Append(text, grant->part.generation);
}

std::string Model::Key() const {
  std::string text;
  for (const KeyRange& range : table.ranges) {
    Append(text, static_cast<uint64_t>(range.first));
    Append(text, range.generation);
    text += range.owner;
  }
  Append(text, table.last_generation);
  Append(text, static_cast<uint64_t>(incarnation));
  for (const Holder* holder :
       {&restarting[0], &restarting[1], &restarting[2], &steady}) {
    for (int key = 0; key < kKeys; ++key) {
      Append(text, holder->seen.at(key));
      Append(text, holder->granted.at(key));
      Append(text, holder->held.at(key));
    }
  }
  for (const bool flag :
       {up, claimed, proof.any_command_sent, proof.same_incarnation, connected,
        refused.has_value(), refused.value_or(false), violated})
    Append(text, flag ? 1 : 0);
  Append(text, static_cast<uint64_t>(connected_to));
  Append(text, in_flight);
  Append(text, late);
  for (const auto& [id, upstream] : retired.upstreams) {
    Append(text, upstream.highest_sent);
    Append(text, upstream.highest_retired);
  }
  text += '|';
  for (const auto& [first, last, generation] : marks) {
    Append(text, static_cast<uint64_t>(first * kKeys + last));
    Append(text, generation);
  }
  text += '|';
  for (const ModelMove& move : moves) {
    Append(text,
           static_cast<uint64_t>(move.keys.first * kKeys + move.keys.last));
    Append(text, move.generation * 2 + (move.released ? 1 : 0));
    text += move.to;
  }
  return text;
}

std::vector<KeySpan> MovingSpans(const Model& model) {
  std::vector<KeySpan> moving;
  for (const ModelMove& move : model.moves) moving.push_back(move.keys);
  return moving;
}

bool IsMoving(const Model& model, const KeySpan& keys) {
  return std::any_of(
      model.moves.begin(), model.moves.end(), [&](const ModelMove& move) {
        return move.keys.first <= keys.last && move.keys.last >= keys.first;
      });
}

// The keys of `part` are accepted by `holder`, unless it has seen a higher
// generation. Returns whether they were.
bool Accept(Model& model, Holder& holder, const KeyRange& part) {
  for (int key = part.first; key <= part.last; ++key) {
    if (holder.seen.at(key) > part.generation) return false;
  }
  for (int key = part.first; key <= part.last; ++key) {
    for (const Holder* other : {&model.restarting[0], &model.restarting[1],
                                &model.restarting[2], &model.steady}) {
      if (other == &holder) continue;
      if (other->granted.at(key) >= part.generation) model.violated = true;
      if (other->held.at(key) != 0) model.violated = true;
    }
    holder.seen.at(key) = part.generation;
    holder.granted.at(key) = part.generation;
    holder.held.at(key) = part.generation;
  }
  return true;
}

Holder& Current(Model& model) {
  return model.restarting.at(static_cast<size_t>(model.incarnation - 1));
}

void ReplaceGeneration(Model& model, const KeyRange& part, bool check) {
  if (check && !IsInForce(model.table, part)) return;
  if (IsMoving(model, {part.first, part.last})) return;
  const KeyRange* range = FindRange(model.table, part.first);
  model.moves.push_back({{part.first, part.last},
                         part.owner,
                         range->generation,
                         /*released=*/true});
}

void OnLifeUnproven(Model& model, Variant variant) {
  ResetProof(model.proof);
  if (variant != Variant::kMarksSpans)
    RetireGenerations(model.retired, kRestarting);
  for (const KeyRange& part :
       PartsThatStay(model.table, kZone, MovingSpans(model))) {
    const bool marked =
        model.marks.contains({part.first, part.last, part.generation});
    if (variant == Variant::kMarksSpans ? marked
                                        : IsRetired(model.retired, part))
      ReplaceGeneration(model, part, true);
  }
}

// The grant in flight gets no reply.
void LoseInFlight(Model& model, Variant variant) {
  model.connected = false;
  if (!model.in_flight.has_value()) {
    OnConnectionBroken(model.proof);
    return;
  }
  const KeyRange part = model.in_flight->part;
  model.in_flight.reset();
  model.refused.reset();
  OnCommandSent(model.proof);
  OnConnectionBroken(model.proof);
  model.marks.insert({part.first, part.last, part.generation});
  if (!MaySendCommand(model.proof)) OnLifeUnproven(model, variant);
}

void SendGrant(Model& model, size_t index, Variant variant) {
  if (!model.claimed || model.in_flight.has_value()) return;
  std::vector<KeyRange> parts =
      PartsThatStay(model.table, kZone, MovingSpans(model));
  std::erase_if(parts, [&](const KeyRange& part) {
    return part.owner != kRestarting || IsRetired(model.retired, part);
  });
  if (index >= parts.size()) return;
  if (!MaySendCommand(model.proof)) {
    model.connected = false;
    OnLifeUnproven(model, variant);
    return;
  }
  if (!model.connected) {
    if (!model.up) return;  // Refused; nothing was sent.
    model.connected = true;
    model.connected_to = model.incarnation;
  }
  model.in_flight = ModelGrant{parts[index], model.connected_to};
  NoteGrantSent(model.retired, kRestarting, parts[index].generation);
}

void DeliverGrant(Model& model) {
  if (!model.in_flight.has_value() || model.refused.has_value()) return;
  if (!model.up || model.in_flight->incarnation != model.incarnation) return;
  model.refused = !Accept(model, Current(model), model.in_flight->part);
}

void DeliverReply(Model& model, Variant variant) {
  if (!model.refused.has_value()) return;
  const KeyRange part = model.in_flight->part;
  const bool refused = *model.refused;
  model.in_flight.reset();
  model.refused.reset();
  OnCommandSent(model.proof);
  model.marks.insert({part.first, part.last, part.generation});
  if (refused)
    ReplaceGeneration(model, part, variant != Variant::kTrustsLateRefusals);
}

void StartMove(Model& model, int key, bool whole) {
  if (!model.claimed) return;
  const KeyRange range = *FindRange(model.table, key);
  KeySpan keys = {key, key};
  if (whole) keys = {range.first, range.last};
  if (range.owner != kRestarting || IsMoving(model, keys)) return;
  model.moves.push_back({keys, kSteady, range.generation, false});
}

// The upstream, whichever incarnation it is, releases the keys of the moves.
void Release(Model& model) {
  if (!model.up) return;
  Holder& holder = Current(model);
  for (ModelMove& move : model.moves) {
    if (move.released) continue;
    for (int key = move.keys.first; key <= move.keys.last; ++key) {
      holder.held.at(key) = 0;
      holder.seen.at(key) =
          std::max(holder.seen.at(key), model.table.last_generation + 1);
    }
    move.released = true;
  }
}

void WriteTable(Model& model) {
  if (!model.claimed || model.table.last_generation >= kMaxGeneration) return;
  std::erase_if(model.moves, [&](const ModelMove& move) {
    if (!move.released) return false;
    KeyRange part = *FindRange(model.table, move.keys.first);
    if (part.last < move.keys.last) return true;
    part.first = move.keys.first;
    part.last = move.keys.last;
    part.owner = move.to;
    part.generation = ++model.table.last_generation;
    AssignPart(model.table, part);
    return true;
  });
  MergeNeighbours(model.table, kZone);
}

// The upstream that does not restart gets its ranges.
void GrantSteady(Model& model) {
  if (!model.claimed) return;
  for (const KeyRange& part :
       PartsThatStay(model.table, kZone, MovingSpans(model))) {
    if (part.owner == kSteady) Accept(model, model.steady, part);
  }
}

void LoseLease(Model& model) {
  if (!model.claimed) return;
  model.claimed = false;
  model.late = std::exchange(model.in_flight, std::nullopt);
  model.refused.reset();
  model.proof = {};
  model.connected = false;
  model.moves.clear();
  model.retired = {};
  model.marks.clear();
}

void Claim(Model& model) {
  if (model.claimed || model.table.last_generation >= kMaxGeneration) return;
  model.claimed = true;
  for (KeyRange& range : model.table.ranges)
    range.generation = ++model.table.last_generation;
}

void Stop(Model& model) {
  if (!model.up) return;
  model.up = false;
  Current(model).held = {};
}

void Start(Model& model) {
  if (model.up || model.incarnation == kMaxIncarnation) return;
  model.up = true;
  ++model.incarnation;
}

enum class Step {
  kGrantFirst,
  kGrantSecond,
  kGrantThird,
  kDeliverGrant,
  kDeliverReply,
  kDetectLoss,  // Of a connection to an incarnation that has ended.
  kDeliverLate,
  kMoveMiddle,
  kMoveLast,
  kMoveWhole,
  kRelease,
  kWriteTable,
  kGrantSteady,
  kStop,
  kStart,
  kLoseLease,
  kClaim,
};

constexpr int kSteps = static_cast<int>(Step::kClaim) + 1;

Model NextState(Model model, Step step, Variant variant) {
  switch (step) {
    case Step::kGrantFirst:
    case Step::kGrantSecond:
    case Step::kGrantThird:
      SendGrant(
          model,
          static_cast<size_t>(step) - static_cast<size_t>(Step::kGrantFirst),
          variant);
      break;
    case Step::kDeliverGrant:
      DeliverGrant(model);
      break;
    case Step::kDeliverReply:
      DeliverReply(model, variant);
      break;
    case Step::kDetectLoss:
      if (model.connected &&
          (!model.up || model.connected_to != model.incarnation))
        LoseInFlight(model, variant);
      break;
    case Step::kDeliverLate:
      if (model.late.has_value() && model.up &&
          model.late->incarnation == model.incarnation)
        Accept(model, Current(model), model.late->part);
      model.late.reset();
      break;
    case Step::kMoveMiddle:
      StartMove(model, 1, false);
      break;
    case Step::kMoveLast:
      StartMove(model, kKeys - 1, false);
      break;
    case Step::kMoveWhole:
      StartMove(model, 0, true);
      break;
    case Step::kRelease:
      Release(model);
      break;
    case Step::kWriteTable:
      WriteTable(model);
      break;
    case Step::kGrantSteady:
      GrantSteady(model);
      break;
    case Step::kStop:
      Stop(model);
      break;
    case Step::kStart:
      Start(model);
      break;
    case Step::kLoseLease:
      LoseLease(model);
      break;
    case Step::kClaim:
      Claim(model);
      break;
  }
  std::set<std::tuple<int, int, uint64_t>> staying;
  for (const KeyRange& part :
       PartsThatStay(model.table, kZone, MovingSpans(model)))
    staying.insert({part.first, part.last, part.generation});
  std::erase_if(model.marks,
                [&](const auto& mark) { return !staying.contains(mark); });
  if (variant != Variant::kMarksSpans) model.marks.clear();
  return model;
}

Model FirstState() {
  Model model;
  model.table.last_generation = 1;
  KeyRange range;
  range.last = kKeys - 1;
  range.owner = kRestarting;
  range.zone = kZone;
  range.generation = 1;
  model.table.ranges.push_back(range);
  return model;
}

Explored Explore(Variant variant, int depth) {
  return ExploreSequences(
      FirstState(), kSteps, depth, [variant](const Model& model, int step) {
        return NextState(model, static_cast<Step>(step), variant);
      });
}

constexpr int kDepth = 12;

TEST_GROUP(GrantSequences){};

TEST(GrantSequences, EachKeyHasOneHolderAndRisingGenerations) {
  const Explored explored = Explore(Variant::kCorrect, kDepth);
  CHECK(explored.states > 10'000);
  CHECK_FALSE(explored.violated);
}

// Guards against the owner that restarts while a part of its range moves.
TEST(GrantSequences, MarkingTheSpansThatWereGrantedIsDetected) {
  CHECK(Explore(Variant::kMarksSpans, kDepth).violated);
}

TEST(GrantSequences, TrustingALateRefusalIsDetected) {
  CHECK(Explore(Variant::kTrustsLateRefusals, kDepth).violated);
}

}  // namespace
}  // namespace mimosadeal
