#include "entry/range_manager.h"

#include <algorithm>
#include <tuple>
#include <utility>

#include "common/event_log.h"
#include "entry/deployment_view.h"
#include "entry/grant_timing.h"
#include "entry/lease_manager.h"
#include "entry/path_monitor.h"
#include "entry/range_manager_state.h"
#include "net/event_loop.h"
#include "ranges/silent_owner.h"
#include "ranges/table_restore.h"
#include "store/object_store.h"

namespace mimosadeal {
namespace {

// A move takes half of it or less. An owner that is warm by then keeps its
// keys.
constexpr Duration kMoveTime = std::chrono::seconds(1);
constexpr Duration kTickInterval = std::chrono::milliseconds(200);
// Between two grants of one range, even if the first one failed.
constexpr Duration kMinGrantInterval = std::chrono::milliseconds(100);
// An upstream that did not respond within this time gets no further ranges.
constexpr Duration kSilenceMemory = std::chrono::seconds(10);
// Silence after which the keys of an owner that accepts connections move. Four
// grants without a response; shorter than a hold, before whose end the keys of
// an owner that has stopped cannot move anyway.
constexpr Duration kReachedOwnerTimeout = std::chrono::milliseconds(3000);
// A grant with a shorter hold is not worth sending.
constexpr Duration kMinHold = std::chrono::milliseconds(200);
// Hold of a grant that finds out whether a silent owner responds again. Short,
// because neither can its keys move nor is it asked again before the hold has
// expired; longer than kTickInterval, after which a grant with a usual hold
// follows a response.
constexpr Duration kProbeHold = std::chrono::milliseconds(250);
// Between two of these grants. With the time to connect, shorter than
// kOwnerTimeout of zone_coordinator.cc.
constexpr Duration kProbeInterval = std::chrono::seconds(1);

}  // namespace

RangeManager::RangeManager(EventLoop& loop, ObjectStore& store,
                           const DeploymentProtocol& protocol,
                           DeploymentView& view, PathMonitor& paths,
                           const LeaseManager& lease, EventLog& log,
                           RangeManagerOptions options)
    : loop_(loop),
      store_(store),
      view_(view),
      paths_(paths),
      lease_(lease),
      log_(log),
      options_(std::move(options)),
      commands_(loop, protocol),
      holds_({options_.clock_guard, options_.margin, kGrantDelivery}) {}

RangeManager::~RangeManager() {
  loop_.timers().Cancel(timer_);
  ClearServices();
}

void RangeManager::ClearServices() {
  for (const auto& [name, service] : services_)
    loop_.timers().Cancel(service->write_timer);
  services_.clear();
}

void RangeManager::OnLeaseGained(const LeaseGain& gain) {
  running_ = true;
  if (!gain.continued) {
    claimed_eras_.clear();
    held_since_ = loop_.timers().now();
    others_until_ = gain.others_until;
  }
  ++epoch_;
  started_at_ = loop_.timers().now();
  // This host's record of its grants became invalid when it lost the lease. A
  // host that regains the lease must claim the table like any other host.
  no_earlier_grants_ = lease_.lease().term == 1 && !ran_before_;
  ran_before_ = true;
  ClearServices();
  // A lease with term 1 has no earlier holder whose grants may still be valid.
  // If no other host has held the lease since this one did, holds_ has all
  // grants.
  if (lease_.lease().term > 1 && !gain.continued)
    holds_.AssumeHeld(others_until_, options_.longest_hold);
  loop_.timers().Cancel(timer_);
  timer_ = loop_.timers().Every(kTickInterval, [this] { Tick(); });
  Tick();
}

void RangeManager::OnLeaseLost() {
  running_ = false;
  ++epoch_;
  loop_.timers().Cancel(timer_);
  commands_.Clear();
  holds_.OnAllClosed(loop_.timers().now());
  ClearServices();
}

void RangeManager::OnViewChanged() {
  if (running_) Tick();
}

void RangeManager::SetLoads(const std::string& service, CellLoads loads,
                            double noise, double request_seconds) {
  loads_[service] = std::move(loads);
  noise_[service] = noise;
  request_seconds_[service] = request_seconds;
}

void RangeManager::SetSpeeds(const std::string& service,
                             std::map<std::string, double> speeds) {
  speeds_[service] = std::move(speeds);
}

RangeManager::Service* RangeManager::Find(const std::string& service) {
  const auto found = services_.find(service);
  return found == services_.end() ? nullptr : found->second.get();
}

void RangeManager::Tick() {
  if (!running_ || !lease_.active() || view_.routes() == nullptr) return;
  const std::shared_ptr<const RouteTable> routes = view_.routes();
  for (const auto& [name, config] : routes->services) {
    if (!config.keyed) continue;
    if (view_.table(name) == nullptr) {
      CreateTable(config);
      continue;
    }
    std::unique_ptr<Service>& service = services_[name];
    if (service == nullptr) {
      service = std::make_unique<Service>();
      service->name = name;
      service->claimed =
          no_earlier_grants_ &&
          !HasEarlierRanges(*view_.table(name), options_.zone, store_.era());
      if (service->claimed) claimed_eras_[name] = store_.era();
    }
    if (service->claimed) NoteRestore(*service);
    if (service->claimed) {
      UpdateService(*service);
    } else {
      ClaimTable(name);
    }
  }
}

std::vector<OwnerCandidate> RangeManager::Candidates(
    const std::string& service) const {
  const auto known = services_.find(service);
  const auto cost = request_seconds_.find(service);
  const double request_seconds =
      cost == request_seconds_.end() ? 0 : cost->second;
  std::vector<OwnerCandidate> candidates;
  for (const std::string& id : view_.directory().ServingIds(service)) {
    const ListedUpstream& listed = *view_.directory().Find(id);
    const UpstreamRecord& record = listed.record;
    if (view_.IsEvacuated(record.zone)) continue;
    if (known != services_.end()) {
      const auto state =
          known->second->owners.find({record.id, record.incarnation});
      if (state != known->second->owners.end() && IsSuspect(state->second))
        continue;
    }
    if (paths_.IsUnreached(record)) continue;
    double speed = 1;
    const auto speeds = speeds_.find(service);
    if (speeds != speeds_.end()) {
      const auto found = speeds->second.find(id);
      if (found != speeds->second.end()) speed = found->second;
    }
    OwnerCandidate candidate{
        record.id, record.incarnation, record.zone,
        OwnerCapacity(record.slots, speed, listed.limit.per_second,
                      request_seconds),
        std::nullopt};
    if (view_.ColdLeft(listed) > kMoveTime) {
      candidate.cold_capacity = OwnerCapacity(
          record.slots, speed, view_.RateLimitOf(listed), request_seconds);
    }
    candidates.push_back(std::move(candidate));
  }
  return candidates;
}

bool RangeManager::IsSuspect(const OwnerState& state) const {
  const bool silent_lately =
      state.last_silent_at != kNever &&
      loop_.timers().now() - state.last_silent_at < kSilenceMemory;
  return state.silent_since != kNever || state.replaced || silent_lately;
}

void RangeManager::UpdateService(Service& service) {
  CheckOwners(service);
  ReplaceRetired(service);
  AdvanceMoves(service);
  RenewGrants(service);
  Balance(service);
}

bool RangeManager::IsMoving(const Service& service, int first, int last) const {
  return std::any_of(service.moves.begin(), service.moves.end(),
                     [first, last](const std::shared_ptr<Move>& move) {
                       return move->planned.first <= last &&
                              move->planned.last >= first;
                     });
}

std::vector<KeySpan> RangeManager::MovingSpans(const Service& service) {
  std::vector<KeySpan> moving;
  for (const std::shared_ptr<Move>& move : service.moves)
    moving.push_back({move->planned.first, move->planned.last});
  return moving;
}

void RangeManager::CheckOwners(Service& service) {
  const MonotonicTime now = loop_.timers().now();
  // Silence while this host has no paths says nothing of the owners.
  if (paths_.IsCutOff(service.name)) {
    for (auto& [owner, state] : service.owners) {
      if (state.silent_since != kNever) state.silent_since = now;
    }
  }
  const RangeTable table = *view_.table(service.name);
  RangeTable planned = PlannedTable(service);
  EvacuateZone(service, planned);
  // One range may name an earlier incarnation of an upstream whose current
  // incarnation owns other ranges.
  std::set<UpstreamIncarnation> checked;
  for (const KeyRange& range : table.ranges) {
    const UpstreamIncarnation range_owner{range.owner, range.owner_incarnation};
    if (range.zone != options_.zone || !checked.insert(range_owner).second)
      continue;
    const ListedUpstream* listed = view_.directory().Find(range.owner);
    const OwnerState& state = service.owners[range_owner];
    if (listed != nullptr &&
        listed->record.incarnation != range_owner.incarnation) {
      Evacuate(service, planned, range_owner, "the upstream has restarted");
    } else if (state.replaced) {
      Evacuate(service, planned, range_owner,
               "another process has its address");
    } else if (listed == nullptr ||
               listed->availability == UpstreamAvailability::kMissing) {
      Evacuate(service, planned, range_owner,
               "the upstream's registration is gone");
    } else if (listed->availability == UpstreamAvailability::kDraining) {
      Evacuate(service, planned, range_owner, "the upstream is leaving");
    } else if (state.silent_since != kNever &&
               now - state.silent_since >= (paths_.IsUnreached(listed->record)
                                                ? options_.owner_timeout
                                                : kReachedOwnerTimeout)) {
      Evacuate(service, planned, range_owner, "the upstream does not respond");
    }
  }
  // Silence counts against the ranges that an owner has, not against those that
  // it may get later.
  for (auto& [former_owner, state] : service.owners) {
    if (!checked.contains(former_owner)) state.silent_since = kNever;
  }
}

Duration RangeManager::CurrentHold() const {
  // If little time remains, a lease renewal is overdue. The grants sent before
  // the lease expires must outlast the outage of the store.
  const Duration left = lease_.active_until() - loop_.timers().now();
  return left < options_.margin + options_.renew ? options_.longest_hold
                                                 : options_.hold;
}

Duration RangeManager::HoldForRange(const Service& service,
                                    const KeyRange& range) const {
  const UpstreamIncarnation range_owner{range.owner, range.owner_incarnation};
  const auto state = service.owners.find(range_owner);
  if (state == service.owners.end()) return CurrentHold();
  if (state->second.replaced) return Duration::zero();
  if (state->second.silent_since == kNever) return CurrentHold();
  // The second margin covers the owner's clock.
  return HoldForSilentOwner(holds_, range_owner, state->second.asked_at,
                            loop_.timers().now(),
                            {options_.hold, kGrantTimeout + options_.margin * 2,
                             kProbeHold, kProbeInterval});
}

void RangeManager::RenewGrants(Service& service) {
  const MonotonicTime now = loop_.timers().now();
  std::set<GrantKey> current;
  for (const KeyRange& part : PartsThatStay(
           *view_.table(service.name), options_.zone, MovingSpans(service))) {
    const Duration hold = HoldForRange(service, part);
    if (hold < kMinHold || IsRetired(service.retired, part)) continue;
    const GrantKey key{part.first, part.last, part.generation};
    current.insert(key);
    const Grant& grant = service.grants[key];
    const bool due = now - grant.sent_at >= options_.renew ||
                     grant.hold < hold || !grant.acknowledged;
    if (grant.in_flight || !due) continue;
    if (now - grant.sent_at < kMinGrantInterval) continue;
    SendGrant(service, part, hold);
  }
  std::erase_if(service.grants, [&current](const auto& entry) {
    return !current.contains(entry.first);
  });
}

bool RangeManager::MaySendGrant(const std::string& name,
                                const KeyRange& range) {
  // A move of the range's keys may have started while the command was queued.
  // The move only accounts for grants that were sent before it started.
  Service* service = Find(name);
  return running_ && lease_.active() && service != nullptr &&
         service->grants.contains(
             {range.first, range.last, range.generation}) &&
         !IsRetired(service->retired, range) &&
         !IsMoving(*service, range.first, range.last);
}

void RangeManager::SendGrant(Service& service, const KeyRange& range,
                             Duration hold) {
  const ListedUpstream* listed = view_.directory().Find(range.owner);
  if (listed == nullptr ||
      listed->record.incarnation != range.owner_incarnation) {
    return;
  }
  Grant& grant = service.grants[{range.first, range.last, range.generation}];
  grant.in_flight = true;
  GrantCommand command{range.first, range.last, range.generation, hold,
                       grant.acknowledged ? "" : range.handover};
  auto sent_at = std::make_shared<MonotonicTime>(kNever);
  auto sent = std::make_shared<SentGrantId>(0);
  const UpstreamIncarnation range_owner{range.owner, range.owner_incarnation};
  commands_.Grant(
      listed->record, command, kGrantTimeout,
      [this, range_owner, hold, sent_at, sent, name = service.name, range] {
        if (!MaySendGrant(name, range)) return kNever;
        NoteGrantSent(Find(name)->retired, range.owner, range.generation);
        *sent_at = loop_.timers().now();
        Find(name)->owners[range_owner].asked_at = *sent_at;
        *sent = holds_.OnSent(range_owner, {{range.first, range.last}, hold});
        return lease_.active_until();
      },
      [this, name = service.name, range, hold, sent_at, sent,
       epoch = epoch_](const KeyCommandResult& result) {
        EndGrant(name, range, *sent, *sent_at, hold, result);
        if (epoch != epoch_) return;
        OnGrantReply(name, range, *sent_at, hold, result);
        // Releases of the granted keys wait for its end.
        Service* current = Find(name);
        if (current != nullptr && !current->moves.empty())
          AdvanceMoves(*current);
      });
}

void RangeManager::EndGrant(const std::string& name, const KeyRange& range,
                            SentGrantId grant, MonotonicTime sent_at,
                            Duration hold, const KeyCommandResult& result) {
  const UpstreamIncarnation range_owner{range.owner, range.owner_incarnation};
  if (result.dropped || sent_at == kNever) return;
  const MonotonicTime now = loop_.timers().now();
  if (result.replied) {
    holds_.OnAnswered(range_owner, grant, now);
  } else if (!result.written) {
    holds_.OnUnsent(range_owner, grant);
  } else {
    holds_.OnClosed(range_owner, grant, now);
    log_.LogStateChange("grant.unanswered",
                        {{"service", name},
                         {"upstream", range_owner.id},
                         {"first", range.first},
                         {"last", range.last},
                         {"generation", range.generation},
                         {"hold_ms", hold},
                         {"open_ms", now - sent_at},
                         {"held_ms", holds_.FreeAt(range_owner) - now}});
  }
}

void RangeManager::OnGrantReply(const std::string& name, const KeyRange& range,
                                MonotonicTime sent_at, Duration hold,
                                const KeyCommandResult& result) {
  Service* service = Find(name);
  if (service == nullptr) return;
  const UpstreamIncarnation range_owner{range.owner, range.owner_incarnation};
  OwnerState& state = service->owners[range_owner];
  const auto found =
      service->grants.find({range.first, range.last, range.generation});
  if (found != service->grants.end()) {
    found->second.in_flight = false;
    found->second.sent_at = std::max(found->second.sent_at, sent_at);
  }
  if (result.dropped) return;
  const bool understood =
      result.replied && result.reply.outcome != CommandOutcome::kRefused;
  if (!understood) {
    // Tells a silent upstream from a lost path to it.
    const ListedUpstream* listed = view_.directory().Find(range_owner.id);
    if (listed != nullptr && !result.replied) paths_.Check(listed->record);
    state.last_silent_at = loop_.timers().now();
    if (state.silent_since == kNever) {
      state.silent_since = sent_at;
      log_.LogStateChange("owner.silent",
                          {{"service", name},
                           {"upstream", range_owner.id},
                           {"life_unproven", result.life_unproven},
                           {"status", result.reply.status}});
    }
    // The connection served the grants of all the owner's ranges.
    if (result.life_unproven) {
      const uint64_t up_to =
          RetireGenerations(service->retired, range_owner.id);
      log_.LogStateChange(
          "generations.retired",
          {{"service", name}, {"upstream", range_owner.id}, {"up_to", up_to}});
      ReplaceRetired(*service);
    }
    return;
  }
  if (state.silent_since != kNever) {
    log_.LogStateChange(
        "owner.answers",
        {{"service", name},
         {"upstream", range_owner.id},
         {"silent_ms", loop_.timers().now() - state.silent_since}});
  }
  state = {};
  if (result.reply.leaving && on_leaving_) on_leaving_(range_owner);
  if (result.reply.outcome == CommandOutcome::kDone) {
    if (found != service->grants.end()) {
      found->second.acknowledged = true;
      found->second.hold = hold;
    }
    return;
  }
  log_.LogStateChange(
      "grant.rejected",
      {{"service", name},
       {"upstream", range_owner.id},
       {"first", range.first},
       {"last", range.last},
       {"generation", range.generation},
       {"fenced", result.reply.outcome == CommandOutcome::kFenced}});
  if (result.reply.outcome == CommandOutcome::kOtherUpstream) {
    state.replaced = true;
    holds_.OnEnded(range_owner);
  } else if (result.reply.outcome == CommandOutcome::kFenced) {
    ReplaceGeneration(*service, range,
                      "the upstream has seen a higher generation");
  }
}

}  // namespace mimosadeal
