// What ExchangeServer does when the bytes that it may keep for callers, or its
// connections, run short: whom it refuses, and whom it closes.
#include <algorithm>
#include <utility>

#include "common/enum_names.h"
#include "net/event_loop.h"
#include "net/exchange_server.h"
#include "net/exchange_server_connection.h"

namespace mimosadeal {
namespace {

constexpr EnumNames<PressureAction, 5> kPressureActionNames = {{
    {PressureAction::kRefused, "refused"},
    {PressureAction::kSenderEvicted, "sender-evicted"},
    {PressureAction::kReaderEvicted, "reader-evicted"},
    {PressureAction::kSlotFreed, "slot-freed"},
    {PressureAction::kCallerTurnedAway, "caller-turned-away"},
}};

constexpr int kUnavailable = 503;
// A connection that has been idle for less may be about to carry a request.
constexpr Duration kMinIdleToClose = std::chrono::seconds(1);

// The memory that an input takes. Of a small one only the content counts, so
// that it does not make an ordinary request a large holder.
template <typename Input>
size_t BytesOf(const Input& input) {
  return input.capacity() > kMaxKeptInputBytes ? input.capacity()
                                               : input.size();
}

}  // namespace

std::string_view PressureActionName(PressureAction action) {
  return NameOf(kPressureActionNames, action);
}

void ExchangeServer::ShareBudget(
    std::shared_ptr<ByteBudget> budget,
    std::function<void(const PressureEvent&)> on_pressure) {
  budget_ = std::move(budget);
  on_pressure_ = std::move(on_pressure);
}

void ExchangeServer::ReportPressure(PressureAction action, ByteUse use,
                                    size_t bytes, bool stalled) const {
  if (!on_pressure_) return;
  PressureEvent event{action, bytes, stalled, connections_.size(),
                      limits_.max_connections};
  const bool about_bytes = action != PressureAction::kSlotFreed &&
                           action != PressureAction::kCallerTurnedAway;
  if (about_bytes) {
    event.used = PartOf(*budget_, use).used;
    event.limit = PartOf(*budget_, use).limit;
  }
  on_pressure_(event);
}

bool ExchangeServer::HoldRequest(Connection& connection) {
  if (budget_ == nullptr) return true;
  const size_t wanted = BytesOf(connection.input) +
                        BytesOf(connection.pipelined) +
                        (connection.parser->header_done()
                             ? connection.parser->head_bytes() +
                                   connection.parser->expected_body_bytes()
                             : 0);
  ByteHold& hold = *connection.request_hold;
  if (wanted <= hold.bytes() ||
      MakeRoom(connection, ByteUse::kRequestBodies, hold.bytes(), wanted)) {
    hold.Set(wanted);
    return true;
  }
  ReportPressure(PressureAction::kRefused, ByteUse::kRequestBodies, wanted,
                 false);
  Refuse(connection, kUnavailable);
  return false;
}

bool ExchangeServer::HoldPipelined(Connection& connection) {
  if (budget_ == nullptr) return true;
  ByteHold& hold = *connection.request_hold;
  const size_t wanted =
      BytesOf(connection.input) + BytesOf(connection.pipelined);
  if (MakeRoom(connection, ByteUse::kRequestBodies, hold.bytes(), wanted)) {
    hold.Set(wanted);
    return true;
  }
  ReportPressure(PressureAction::kRefused, ByteUse::kRequestBodies, wanted,
                 false);
  hold.Set(0);
  connection.input = {};
  connection.pipelined.Clear();
  connection.input_overflow = true;
  return false;
}

void ExchangeServer::HoldResponse(uint64_t id) {
  if (budget_ == nullptr) return;
  Connection& connection = *connections_.at(id);
  ByteHold& hold = *connection.response_hold;
  if (connection.stream->queued_bytes() == 0) {
    // This response's write may have sent what was left of the one before.
    hold.Set(0);
    return;
  }
  const size_t wanted = connection.stream->held_bytes();
  if (wanted <= hold.bytes()) return;
  const size_t shortage =
      Shortage(*budget_, ByteUse::kUnreadResponses, hold.bytes(), wanted);
  hold.Set(wanted);
  if (shortage == 0) return;
  const auto evicted = ChooseEvictions(Candidates(ByteUse::kUnreadResponses),
                                       shortage, EvictionScope::kStalledFirst);
  for (const uint64_t other : evicted) Evict(other, ByteUse::kUnreadResponses);
  // It is larger than all that may be held.
  if (evicted.empty()) Evict(id, ByteUse::kUnreadResponses);
}

bool ExchangeServer::MakeRoom(const Connection& connection, ByteUse use,
                              size_t held, size_t wanted) {
  const size_t shortage = Shortage(*budget_, use, held, wanted);
  if (shortage == 0) return true;
  std::vector<EvictionCandidate> others = Candidates(use);
  std::erase_if(others, [&connection](const EvictionCandidate& other) {
    return other.id == connection.id;
  });
  for (const uint64_t other : ChooseEvictions(std::move(others), shortage,
                                              EvictionScope::kStalledOnly))
    Evict(other, use);
  return MayHold(*budget_, use, held, wanted);
}

std::vector<EvictionCandidate> ExchangeServer::Candidates(ByteUse use) const {
  std::vector<EvictionCandidate> candidates;
  for (const auto& [id, connection] : connections_) {
    const bool reads_request = use == ByteUse::kRequestBodies;
    if (reads_request && !connection->reading()) continue;
    const size_t bytes = reads_request ? connection->request_hold->bytes()
                                       : connection->response_hold->bytes();
    if (bytes > 0)
      candidates.push_back({id, bytes, connection->progress.stalled});
  }
  return candidates;
}

void ExchangeServer::Evict(uint64_t id, ByteUse use) {
  const auto found = connections_.find(id);
  if (found == connections_.end()) return;
  Connection& connection = *found->second;
  const bool stalled = connection.progress.stalled;
  if (use == ByteUse::kRequestBodies) {
    ReportPressure(PressureAction::kSenderEvicted, use,
                   connection.request_hold->bytes(), stalled);
    Refuse(connection, kUnavailable);
    return;
  }
  ReportPressure(PressureAction::kReaderEvicted, use,
                 connection.response_hold->bytes(), stalled);
  connection.stream->DiscardUnsent();
  Close(id);
}

void ExchangeServer::JudgeTransfers() {
  const MonotonicTime now = loop_.timers().now();
  for (const auto& [id, connection] : connections_) {
    const bool writing = connection->stream->queued_bytes() > 0;
    if (!writing && !connection->reading()) continue;
    const size_t held =
        connection->request_hold->bytes() + connection->response_hold->bytes();
    JudgeProgress(connection->progress, connection->moved(), held, now);
  }
}

void ExchangeServer::EvictStalledReaders() {
  if (budget_ == nullptr) return;
  const size_t shortage = UpstreamShortage(*budget_);
  if (shortage == 0) return;
  const auto candidates = Candidates(ByteUse::kUnreadResponses);
  size_t stalled = 0;
  for (const EvictionCandidate& one : candidates)
    stalled += one.stalled ? one.bytes : 0;
  for (const uint64_t id :
       ChooseEvictions(candidates, std::min(shortage, stalled),
                       EvictionScope::kStalledOnly))
    Evict(id, ByteUse::kUnreadResponses);
}

bool ExchangeServer::FreeSlot() {
  const MonotonicTime now = loop_.timers().now();
  const Connection* chosen = nullptr;
  const auto usable = [now](const Connection& one) {
    const bool writing = one.stream->queued_bytes() > 0;
    if (writing || one.reading()) return one.progress.stalled;
    if (one.closing) return one.stream->PeerHasClosed();
    return one.exchange == 0 && now - one.state_since >= kMinIdleToClose &&
           !one.stream->HasUnreadData();
  };
  for (const auto& [id, connection] : connections_) {
    if (!usable(*connection)) continue;
    const bool better =
        chosen == nullptr ||
        (connection->progress.stalled && !chosen->progress.stalled) ||
        (connection->progress.stalled == chosen->progress.stalled &&
         connection->state_since < chosen->state_since);
    if (better) chosen = connection.get();
  }
  ReportPressure(chosen == nullptr ? PressureAction::kCallerTurnedAway
                                   : PressureAction::kSlotFreed,
                 ByteUse::kRequestBodies, 0,
                 chosen != nullptr && chosen->progress.stalled);
  if (chosen == nullptr) return false;
  Close(chosen->id);
  return true;
}

}  // namespace mimosadeal
