#include "entry/range_keeper.h"

#include <algorithm>
#include <tuple>
#include <utility>

#include "common/event_log.h"
#include "entry/deployment_view.h"
#include "entry/lease_keeper.h"
#include "entry/range_keeper_state.h"
#include "net/event_loop.h"
#include "store/object_store.h"

namespace mimosadeal {
namespace {

constexpr Duration kTickInterval = std::chrono::milliseconds(200);
// Between two grants of one range, also when the first failed.
constexpr Duration kLeastGrantPause = std::chrono::milliseconds(100);
constexpr Duration kGrantTimeout = std::chrono::milliseconds(700);
// Between writes of a table that the store did not take.
constexpr Duration kWriteRetry = std::chrono::milliseconds(300);
// The first table is made when no upstream has joined for a while, or when
// waiting longer would leave callers without owners.
constexpr Duration kRegistryQuiet = std::chrono::milliseconds(700);
constexpr Duration kLongestStartWait = std::chrono::seconds(3);
// Keeps the zones from all writing the first table.
constexpr Duration kStartPerZone = std::chrono::milliseconds(400);
// A hold shorter than this is not worth its call.
constexpr Duration kShortestHold = std::chrono::milliseconds(200);

}  // namespace

RangeKeeper::RangeKeeper(EventLoop& loop, ObjectStore& store,
                         const DeploymentProtocol& protocol,
                         DeploymentView& view, const LeaseKeeper& lease,
                         EventLog& log, RangeKeeperOptions options)
    : loop_(loop),
      store_(store),
      view_(view),
      lease_(lease),
      log_(log),
      options_(std::move(options)),
      orders_(loop, protocol),
      holds_(options_.clock_guard, options_.margin) {}

RangeKeeper::~RangeKeeper() { loop_.timers().Cancel(timer_); }

void RangeKeeper::Begin() {
  acting_ = true;
  ++epoch_;
  started_at_ = loop_.timers().now();
  // What this host knew of its grants ended with its lease, also when it gets
  // that back: it must claim the table as another host would.
  nothing_granted_ = lease_.lease().term == 1 && !began_before_;
  began_before_ = true;
  services_.clear();
  // The first holder of a lease has no predecessor whose grants still hold.
  if (lease_.lease().term > 1)
    holds_.AssumeHeld(started_at_, options_.longest_hold);
  loop_.timers().Cancel(timer_);
  timer_ = loop_.timers().Every(kTickInterval, [this] { Tick(); });
  Tick();
}

void RangeKeeper::End() {
  acting_ = false;
  ++epoch_;
  loop_.timers().Cancel(timer_);
  orders_.Clear();
  services_.clear();
}

void RangeKeeper::OnViewChanged() {
  if (acting_) Tick();
}

void RangeKeeper::SetLoads(const std::string& service, CellLoads loads,
                           double noise) {
  loads_[service] = std::move(loads);
  noise_[service] = noise;
}

void RangeKeeper::SetSpeeds(const std::string& service,
                            std::map<std::string, double> speeds) {
  speeds_[service] = std::move(speeds);
}

RangeKeeper::Service* RangeKeeper::Find(const std::string& service) {
  const auto found = services_.find(service);
  return found == services_.end() ? nullptr : found->second.get();
}

void RangeKeeper::Tick() {
  if (!acting_ || !lease_.active() || view_.routes() == nullptr) return;
  const std::shared_ptr<const RouteTable> routes = view_.routes();
  for (const auto& [name, config] : routes->services) {
    if (!config.keyed) continue;
    if (view_.table(name) == nullptr) {
      StartTable(config);
      continue;
    }
    std::unique_ptr<Service>& service = services_[name];
    if (service == nullptr) {
      service = std::make_unique<Service>();
      service->name = name;
      service->claimed = nothing_granted_;
    }
    if (service->claimed) {
      Work(*service);
    } else {
      Claim(name);
    }
  }
}

void RangeKeeper::StartTable(const ServiceConfig& config) {
  const MonotonicTime now = loop_.timers().now();
  std::vector<OwnerCandidate> candidates = Candidates(config.name);
  if (candidates.empty() || !view_.tables_synced()) return;
  std::set<std::string> zones;
  for (const OwnerCandidate& candidate : candidates)
    zones.insert(candidate.zone);
  const auto rank = std::distance(zones.begin(), zones.find(options_.zone));
  const bool quiet = now - view_.registry_quiet_since() >=
                     kRegistryQuiet + rank * kStartPerZone;
  const bool late =
      now - started_at_ >= kLongestStartWait + rank * kStartPerZone;
  if (!quiet && !late) return;
  std::unique_ptr<Service>& service = services_[config.name];
  if (service == nullptr) {
    service = std::make_unique<Service>();
    service->name = config.name;
  }
  if (service->write_pending || now < service->next_write_at) return;
  service->write_pending = true;
  RangeTable table = MakeFirstTable(config.name, std::move(candidates));
  log_.Belief("range-table.created",
              {{"service", config.name},
               {"ranges", static_cast<uint64_t>(table.ranges.size())}});
  store_.Write(
      {kRangeTableKind, config.name, 0, EncodeRangeTable(table)},
      [this, name = config.name, epoch = epoch_](Result<StoredObject> written) {
        if (epoch == epoch_) OnClaimed(name, std::move(written));
      });
}

void RangeKeeper::Claim(const std::string& name) {
  Service& service = *services_.at(name);
  const MonotonicTime now = loop_.timers().now();
  if (service.write_pending || now < service.next_write_at) return;
  service.write_pending = true;
  // A change of the table makes every conditional write fail that an earlier
  // holder of the lease may still have on its way.
  RangeTable table = *view_.table(name);
  ++table.last_generation;
  // An upstream may have started anew under its id since an earlier holder
  // granted it its ranges; a new life must not take them by an old generation.
  for (KeyRange& range : table.ranges) {
    if (range.zone == options_.zone) range.generation = ++table.last_generation;
  }
  store_.Write({kRangeTableKind, name, table.revision, EncodeRangeTable(table)},
               [this, name, epoch = epoch_](Result<StoredObject> written) {
                 if (epoch == epoch_) OnClaimed(name, std::move(written));
               });
}

void RangeKeeper::OnClaimed(const std::string& name,
                            Result<StoredObject> written) {
  Service* service = Find(name);
  if (service == nullptr) return;
  if (!written.has_value()) {
    log_.Belief(
        "range-table.not-written",
        {{"service", name}, {"reason", DescribeError(written.error())}});
    const bool read_anew = written.error().code != ErrorCode::kUnavailable;
    service->next_write_at = loop_.timers().now() + kWriteRetry;
    service->write_pending = read_anew;
    if (!read_anew) return;
    store_.Get(kRangeTableKind, name,
               [this, name, epoch = epoch_](Result<StoredObject> read) {
                 Service* current = Find(name);
                 if (epoch != epoch_ || current == nullptr) return;
                 current->write_pending = false;
                 // Without it the next write fails, and reads again.
                 if (read.has_value()) {
                   if (const auto table = ReadTable(read.value()))
                     view_.TakeTable(*table);
                 } else {
                   log_.Belief("range-table.not-read",
                               {{"service", name},
                                {"reason", DescribeError(read.error())}});
                 }
               });
    return;
  }
  service->write_pending = false;
  const auto table = ReadTable(written.value());
  if (!table.has_value()) return;
  service->claimed = true;
  if (on_table_written_) on_table_written_(*table);
  view_.TakeTable(*table);
  Tick();
}

std::optional<RangeTable> RangeKeeper::ReadTable(const StoredObject& object) {
  auto table = DecodeRangeTable(object.name, object.revision, object.content);
  if (table.has_value()) return std::move(table.value());
  log_.Belief("range-table.unreadable",
              {{"service", object.name},
               {"revision", object.revision},
               {"reason", DescribeError(table.error())}});
  return std::nullopt;
}

std::vector<OwnerCandidate> RangeKeeper::Candidates(
    const std::string& service) const {
  const auto known = services_.find(service);
  std::vector<OwnerCandidate> candidates;
  for (const std::string& id : view_.directory().ServingIds(service)) {
    const UpstreamRecord& record = view_.directory().Find(id)->record;
    if (known != services_.end()) {
      const auto state =
          known->second->owners.find({record.id, record.incarnation});
      const bool suspect =
          state != known->second->owners.end() &&
          (state->second.silent_since != kNever || state->second.ended);
      if (suspect) continue;
    }
    double speed = 1;
    const auto speeds = speeds_.find(service);
    if (speeds != speeds_.end()) {
      const auto found = speeds->second.find(id);
      if (found != speeds->second.end()) speed = found->second;
    }
    candidates.push_back({record.id, record.incarnation, record.zone,
                          static_cast<double>(record.slots) * speed});
  }
  return candidates;
}

void RangeKeeper::Work(Service& service) {
  CheckOwners(service);
  AdvanceMoves(service);
  RenewGrants(service);
  Balance(service);
}

bool RangeKeeper::IsMoving(const Service& service, int first, int last) const {
  return std::any_of(service.moves.begin(), service.moves.end(),
                     [first, last](const std::shared_ptr<Move>& move) {
                       return move->planned.first <= last &&
                              move->planned.last >= first;
                     });
}

void RangeKeeper::CheckOwners(Service& service) {
  const MonotonicTime now = loop_.timers().now();
  const RangeTable table = *view_.table(service.name);
  RangeTable planned = PlannedTable(service);
  // A range may still name an earlier life of an upstream that others have.
  std::set<UpstreamLife> checked;
  for (const KeyRange& range : table.ranges) {
    const UpstreamLife life{range.owner, range.owner_incarnation};
    if (range.zone != options_.zone || !checked.insert(life).second) continue;
    const ListedUpstream* listed = view_.directory().Find(range.owner);
    const OwnerState& state = service.owners[life];
    if (listed != nullptr && listed->record.incarnation != life.incarnation) {
      Evacuate(service, planned, life, "the upstream has restarted");
    } else if (state.ended) {
      Evacuate(service, planned, life, "another process has its address");
    } else if (listed == nullptr ||
               listed->availability == UpstreamAvailability::kMissing) {
      Evacuate(service, planned, life, "the upstream's registration is gone");
    } else if (listed->availability == UpstreamAvailability::kDraining) {
      Evacuate(service, planned, life, "the upstream is leaving");
    } else if (state.silent_since != kNever &&
               now - state.silent_since >= options_.silence_to_move) {
      Evacuate(service, planned, life, "the upstream does not answer");
    }
  }
}

Duration RangeKeeper::HoldNow() const {
  // The lease was not renewed when it should have been: the grants that are
  // sent before it lapses must outlast the store's absence.
  const Duration left = lease_.active_until() - loop_.timers().now();
  return left < options_.margin + options_.renew ? options_.longest_hold
                                                 : options_.hold;
}

Duration RangeKeeper::HoldFor(const Service& service,
                              const KeyRange& range) const {
  const UpstreamLife life{range.owner, range.owner_incarnation};
  const auto state = service.owners.find(life);
  if (state == service.owners.end()) return HoldNow();
  if (state->second.ended) return Duration::zero();
  if (state->second.silent_since == kNever) return HoldNow();
  // Asks a silent owner again without extending what it may hold already, so
  // that its keys can move when that has lapsed.
  return std::min(options_.hold, holds_.FreeAt(life) - loop_.timers().now() -
                                     options_.margin * 2);
}

void RangeKeeper::RenewGrants(Service& service) {
  const MonotonicTime now = loop_.timers().now();
  const RangeTable table = *view_.table(service.name);
  std::vector<KeySpan> moving;
  for (const std::shared_ptr<Move>& move : service.moves)
    moving.push_back({move->planned.first, move->planned.last});
  std::set<GrantKey> current;
  for (const KeyRange& range : table.ranges) {
    if (range.zone != options_.zone) continue;
    const Duration hold = HoldFor(service, range);
    if (hold < kShortestHold) continue;
    for (const KeySpan& span :
         WithoutParts({range.first, range.last}, moving)) {
      const GrantKey key{span.first, span.last, range.generation};
      current.insert(key);
      Grant& grant = service.grants[key];
      const bool due = now - grant.sent_at >= options_.renew ||
                       grant.hold < hold || !grant.acknowledged;
      if (grant.in_flight || !due) continue;
      if (now - grant.sent_at < kLeastGrantPause) continue;
      KeyRange part = range;
      part.first = span.first;
      part.last = span.last;
      SendGrant(service, part, hold);
    }
  }
  std::erase_if(service.grants, [&current](const auto& entry) {
    return !current.contains(entry.first);
  });
}

bool RangeKeeper::MaySendGrant(const std::string& name, const KeyRange& range) {
  // The order may have waited for others while a move of its keys began, which
  // counts only on grants that were sent before.
  Service* service = Find(name);
  return acting_ && lease_.active() && service != nullptr &&
         service->grants.contains(
             {range.first, range.last, range.generation}) &&
         !IsMoving(*service, range.first, range.last);
}

void RangeKeeper::SendGrant(Service& service, const KeyRange& range,
                            Duration hold) {
  const ListedUpstream* listed = view_.directory().Find(range.owner);
  if (listed == nullptr ||
      listed->record.incarnation != range.owner_incarnation) {
    return;
  }
  Grant& grant = service.grants[{range.first, range.last, range.generation}];
  grant.in_flight = true;
  GrantCommand order{range.first, range.last, range.generation, hold,
                     grant.acknowledged ? "" : range.handover};
  auto sent_at = std::make_shared<MonotonicTime>(kNever);
  const UpstreamLife life{range.owner, range.owner_incarnation};
  orders_.Grant(
      listed->record, order, kGrantTimeout,
      [this, life, hold, sent_at, name = service.name, range] {
        if (!MaySendGrant(name, range)) return false;
        *sent_at = loop_.timers().now();
        holds_.OnSent(life, *sent_at, hold);
        return true;
      },
      [this, name = service.name, range, hold, sent_at,
       epoch = epoch_](const OrderResult& result) {
        if (epoch == epoch_) OnGrantReply(name, range, *sent_at, hold, result);
      });
}

void RangeKeeper::OnGrantReply(const std::string& name, const KeyRange& range,
                               MonotonicTime sent_at, Duration hold,
                               const OrderResult& result) {
  Service* service = Find(name);
  if (service == nullptr) return;
  const UpstreamLife life{range.owner, range.owner_incarnation};
  OwnerState& state = service->owners[life];
  const auto found =
      service->grants.find({range.first, range.last, range.generation});
  if (found != service->grants.end()) {
    found->second.in_flight = false;
    found->second.written |= result.answered || result.written;
    found->second.sent_at = std::max(found->second.sent_at, sent_at);
  }
  if (result.dropped) return;
  const bool understood =
      result.answered && result.reply.outcome != CommandOutcome::kRefused;
  if (!understood) {
    if (result.written && !result.answered)
      holds_.OnUnanswered(life, sent_at, hold);
    if (state.silent_since == kNever) {
      state.silent_since = sent_at;
      log_.Belief("owner.silent", {{"service", name},
                                   {"upstream", life.id},
                                   {"life_unproven", result.life_unproven},
                                   {"status", result.reply.status}});
    }
    if (result.life_unproven)
      RaiseGenerations(*service, life, "the upstream may have restarted");
    return;
  }
  if (state.silent_since != kNever) {
    log_.Belief("owner.answers",
                {{"service", name},
                 {"upstream", life.id},
                 {"silent_ms", loop_.timers().now() - state.silent_since}});
  }
  state = {};
  if (result.reply.leaving && on_leaving_) on_leaving_(life);
  if (result.reply.outcome == CommandOutcome::kDone) {
    if (found != service->grants.end()) {
      found->second.acknowledged = true;
      found->second.hold = hold;
    }
    return;
  }
  log_.Belief("grant.rejected",
              {{"service", name},
               {"upstream", life.id},
               {"first", range.first},
               {"last", range.last},
               {"generation", range.generation},
               {"fenced", result.reply.outcome == CommandOutcome::kFenced}});
  if (result.reply.outcome == CommandOutcome::kOtherUpstream) {
    state.ended = true;
    holds_.OnEnded(life);
  } else if (result.reply.outcome == CommandOutcome::kFenced) {
    RaiseGeneration(*service, range,
                    "the upstream has seen a higher generation");
  }
}

}  // namespace mimosadeal
