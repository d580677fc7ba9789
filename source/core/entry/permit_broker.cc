#include "entry/permit_broker.h"

#include <algorithm>
#include <vector>

#include "common/event_log.h"
#include "entry/deployment_view.h"
#include "entry/limit_statement.h"
#include "entry/permit_timing.h"
#include "net/event_loop.h"

namespace mimosadeal {
namespace {

// Longer than requests wait for permits; protects against corrupt messages.
constexpr Duration kMaxWait = std::chrono::seconds(10);

}  // namespace

PermitBroker::PermitBroker(EventLoop& loop, const DeploymentView& view,
                           EventLog& log, std::string address,
                           PermitBrokerHandlers handlers)
    : loop_(loop),
      view_(view),
      log_(log),
      address_(std::move(address)),
      handlers_(std::move(handlers)),
      next_id_(Random(SystemSeed()).Next()) {}

PermitBroker::~PermitBroker() {
  for (const auto& [id, ask] : asks_) loop_.timers().Cancel(ask.timer);
  for (const auto& [upstream, state] : given_)
    loop_.timers().Cancel(state.timer);
}

const ListedUpstream* PermitBroker::Find(const UpstreamKey& upstream) const {
  const ListedUpstream* listed = view_.directory().Find(upstream.first);
  const bool same =
      listed != nullptr && listed->record.incarnation == upstream.second;
  return same ? listed : nullptr;
}

void PermitBroker::Ask(const ListedUpstream& upstream, int rank, Duration wait,
                       Callback callback,
                       const std::optional<PlaceAsk>& place) {
  const MonotonicTime now = loop_.timers().now();
  const uint64_t id = next_id_++;
  PendingAsk& ask = asks_[id];
  ask.request.id = id;
  ask.request.address = address_;
  ask.request.upstream = upstream.record.id;
  ask.request.incarnation = upstream.record.incarnation;
  ask.request.zone = upstream.record.zone;
  ask.request.rank = rank;
  ask.limit = upstream.limit;
  ask.give_up_at = now + wait + kPermitReplyTime;
  ask.callback = std::move(callback);
  ask.place = place;
  ask.asked_at = now;
  ask.heard_at = now;
  loop_.Post([this, id] { SendAsk(id); });
}

void PermitBroker::SendAsk(uint64_t id) {
  const auto found = asks_.find(id);
  if (found == asks_.end()) return;
  PendingAsk& ask = found->second;
  const MonotonicTime now = loop_.timers().now();
  const PermitGiver giver = handlers_.find_giver(ask.request.zone);
  if (now >= ask.give_up_at || (!giver.is_self && giver.address.empty())) {
    Complete(id, {false, WasHeard(ask), kRetryWithoutGiver});
    return;
  }
  if (ask.place.has_value()) {
    SendPlaceAsk(ask, giver);
    return;
  }
  PermitRequest request = ask.request;
  request.wait_ms = static_cast<uint32_t>(std::max<int64_t>(
      0, ToMilliseconds(ask.give_up_at - kPermitReplyTime - now)));
  request.limit = ToStatement(ask.limit, now);
  const ListedUpstream* listed = view_.directory().Find(request.upstream);
  const Duration cold =
      listed == nullptr ? Duration::zero() : view_.ColdLeft(*listed);
  ask.timer = loop_.timers().After(
      std::min(kPermitResendInterval, ask.give_up_at - now),
      [this, id] { SendAsk(id); });
  if (giver.is_self) {
    Decide(request, giver);
  } else {
    handlers_.send_request(
        giver.address, {request, static_cast<uint32_t>(ToMilliseconds(cold))});
  }
}

void PermitBroker::Complete(uint64_t id, const PermitDecision& decision) {
  const auto found = asks_.find(id);
  if (found == asks_.end()) return;
  loop_.timers().Cancel(found->second.timer);
  const Callback callback = std::move(found->second.callback);
  asks_.erase(found);
  callback(decision);
}

void PermitBroker::OnReply(const PermitReply& reply) {
  const auto found = asks_.find(reply.id);
  if (found == asks_.end()) return;
  const PermitRequest& request = found->second.request;
  const auto limit = FromStatement(reply.limit, loop_.timers().now());
  if (limit.has_value())
    handlers_.on_limit(request.upstream, request.incarnation, *limit);
  const bool with_place = reply.granted && found->second.place.has_value();
  Complete(reply.id, {reply.granted, true,
                      std::chrono::milliseconds(reply.retry_after_ms),
                      with_place ? reply.id : 0});
}

void PermitBroker::OnRequest(const ColdPermitRequest& message) {
  const PermitRequest& request = message.request;
  const PermitGiver giver = handlers_.find_giver(request.zone);
  const auto limit = FromStatement(request.limit, loop_.timers().now());
  if (limit.has_value())
    handlers_.on_limit(request.upstream, request.incarnation, *limit);
  if (message.cold_ms > 0) handlers_.on_cold(request.upstream, message.cold_ms);
  if (giver.is_self) {
    Decide(request, giver);
    return;
  }
  if (giver.address.empty() || request.hops >= kMaxPermitHops - 1) {
    Reply({request.upstream, request.incarnation},
          {request.address, request.id}, false, kRetryWithoutGiver);
    return;
  }
  ColdPermitRequest forwarded = message;
  ++forwarded.request.hops;
  handlers_.send_request(giver.address, forwarded);
}

void PermitBroker::Decide(const PermitRequest& request,
                          const PermitGiver& giver) {
  const UpstreamKey upstream{request.upstream, request.incarnation};
  const Asker asker{request.address, request.id};
  const ListedUpstream* listed = Find(upstream);
  if (listed == nullptr) {
    Reply(upstream, asker, false, kRetryWithoutGiver);
    return;
  }
  const std::optional<double> limit = view_.RateLimitOf(*listed);
  if (!limit.has_value()) {
    Reply(upstream, asker, true, Duration::zero());
    return;
  }
  const MonotonicTime now = loop_.timers().now();
  GiverState& state = StateFor(request, giver, limit);
  if (FindTicket(state.askers, asker) == 0) {
    const uint64_t ticket = next_ticket_++;
    state.askers[ticket] = asker;
    const Duration wait = std::min<Duration>(
        std::chrono::milliseconds(request.wait_ms), kMaxWait);
    AddWaiter(state.queue, {ticket, request.rank, now + wait});
  }
  Serve(upstream);
}

PermitBroker::GiverState& PermitBroker::StateFor(const PermitRequest& request,
                                                 const PermitGiver& giver,
                                                 std::optional<double> limit) {
  const UpstreamKey upstream{request.upstream, request.incarnation};
  const auto found = given_.find(upstream);
  if (found != given_.end() && found->second.term == giver.term)
    return found->second;
  if (found != given_.end()) StopGiving(upstream);
  RemoveUnlimited();
  // Owners become contended often; see NoteContended for the line about them.
  if (limit.has_value()) {
    log_.LogStateChange("permits.giver", {{"upstream", request.upstream},
                                          {"incarnation", request.incarnation},
                                          {"zone", request.zone},
                                          {"term", giver.term},
                                          {"per_second", *limit},
                                          {"share", giver.share}});
  }
  GiverState& state = given_[upstream];
  state.zone = request.zone;
  state.term = giver.term;
  return state;
}

void PermitBroker::Serve(const UpstreamKey& upstream) {
  const auto found = given_.find(upstream);
  if (found == given_.end()) return;
  const ListedUpstream* listed = Find(upstream);
  const PermitGiver giver = handlers_.find_giver(found->second.zone);
  if (!giver.is_self || giver.term != found->second.term || listed == nullptr) {
    StopGiving(upstream);
    return;
  }
  const std::optional<double> limit = view_.RateLimitOf(*listed);
  GiverState& state = found->second;
  if (!limit.has_value() && !IsContended(state)) {
    EndLimit(upstream);
    return;
  }
  const MonotonicTime now = loop_.timers().now();
  SetStateRate(state, limit, giver.share);
  for (const PermitOutcome& outcome : TakeFrom(state, giver.share)) {
    const auto asker = state.askers.extract(outcome.ticket);
    Reply(upstream, asker.mapped(), outcome.granted, outcome.retry_after);
  }
  loop_.timers().Cancel(state.timer);
  state.timer = 0;
  KeepContended(upstream, state, giver.share);
  const MonotonicTime next = NextServiceOf(state, giver.share);
  if (next != kForever) {
    state.timer = loop_.timers().After(std::max(Duration::zero(), next - now),
                                       [this, upstream] { Serve(upstream); });
  }
}

void PermitBroker::StopGiving(const UpstreamKey& upstream) {
  auto node = given_.extract(upstream);
  if (node.empty()) return;
  loop_.timers().Cancel(node.mapped().timer);
  log_.LogStateChange(
      "permits.not-giver",
      {{"upstream", upstream.first},
       {"incarnation", upstream.second},
       {"waiting", static_cast<uint64_t>(node.mapped().askers.size())}});
  for (const auto& [ticket, asker] : node.mapped().askers) {
    // Those that wait for a place ask the next giver.
    if (!asker.for_place) Reply(upstream, asker, false, kRetryWithoutGiver);
  }
}

void PermitBroker::EndLimit(const UpstreamKey& upstream) {
  auto node = given_.extract(upstream);
  if (node.empty()) return;
  loop_.timers().Cancel(node.mapped().timer);
  if (node.mapped().limited) {
    log_.LogStateChange(
        "permits.unlimited",
        {{"upstream", upstream.first},
         {"incarnation", upstream.second},
         {"waiting", static_cast<uint64_t>(node.mapped().askers.size())}});
  }
  for (const auto& [ticket, asker] : node.mapped().askers)
    Reply(upstream, asker, true, Duration::zero());
}

void PermitBroker::RemoveUnlimited() {
  std::vector<UpstreamKey> gone;
  std::vector<UpstreamKey> unlimited;
  for (const auto& [upstream, state] : given_) {
    const ListedUpstream* listed = Find(upstream);
    if (listed == nullptr) {
      gone.push_back(upstream);
    } else if (!view_.RateLimitOf(*listed).has_value() && !IsContended(state)) {
      unlimited.push_back(upstream);
    }
  }
  for (const UpstreamKey& upstream : gone) StopGiving(upstream);
  for (const UpstreamKey& upstream : unlimited) EndLimit(upstream);
}

void PermitBroker::Reply(const UpstreamKey& upstream, const Asker& asker,
                         bool granted, Duration retry_after) {
  PermitReply reply;
  reply.id = asker.id;
  reply.granted = granted;
  reply.retry_after_ms = static_cast<uint32_t>(ToMilliseconds(retry_after));
  const ListedUpstream* listed = Find(upstream);
  if (listed != nullptr)
    reply.limit = ToStatement(listed->limit, loop_.timers().now());
  if (asker.address != address_) {
    handlers_.send_reply(asker.address, reply);
    return;
  }
  loop_.Post([this, reply] { OnReply(reply); });
}

}  // namespace mimosadeal
