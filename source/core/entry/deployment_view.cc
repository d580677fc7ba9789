#include "entry/deployment_view.h"

#include <algorithm>
#include <utility>

#include "common/enum_names.h"
#include "common/event_log.h"
#include "fleet/propagation.h"
#include "forwarding/deployment_bounds.h"
#include "net/event_loop.h"
#include "store/object_store.h"
#include "store/store_revision.h"

namespace mimosadeal {
namespace {

constexpr Duration kInitialRetryDelay = std::chrono::milliseconds(150);
constexpr Duration kMaxRetryDelay = std::chrono::milliseconds(900);
// Delays before the next watch, so that several changes shortly after each
// other are read by one call. All are well below the 2 s in which a change must
// be in force.
constexpr Duration kRegistryBatchDelay = std::chrono::milliseconds(150);
constexpr Duration kConfigurationBatchDelay = std::chrono::milliseconds(100);
// The same for a host that replicates to no others. There may be many of them,
// and each change costs a call of each.
constexpr Duration kNonHolderBatchDelay = std::chrono::milliseconds(400);
// How long a registration may be missing after a store outage before its
// upstream counts as missing. According to the platform, lapsed registrations
// are back within about 2 s after the store is reachable again.
constexpr Duration kLapseGrace = std::chrono::milliseconds(2300);
// How long an upstream with a lapsed registration still gets requests. A host
// must keep its bounds again 3 s after the end of a network partition, and may
// notice that the store is reachable only kMaxRetryDelay plus a connection
// time-out after that end.
constexpr Duration kLapseUsePeriod = std::chrono::milliseconds(1300);
// How long the record of a missing upstream is kept, to release its keys.
constexpr Duration kForgetMissingAfter = std::chrono::seconds(60);
constexpr Duration kAdvanceInterval = std::chrono::milliseconds(250);

// Registrations have about 300 bytes.
constexpr size_t kMaxRegistrationBytes = 16 * 1024;

// Responses of a watch with fewer changes make no line.
constexpr size_t kMinLoggedChanges = 50;

constexpr Duration BatchDelayOf(ViewKind kind) {
  switch (kind) {
    case ViewKind::kConfiguration:
      return kConfigurationBatchDelay;
    case ViewKind::kRegistry:
      return kRegistryBatchDelay;
    case ViewKind::kRangeTables:
      return kAnnouncedBatchDelay;
    case ViewKind::kEvacuations:
      return Duration::zero();
  }
  return kNonHolderBatchDelay;
}

bool DifferInWarmupOnly(UpstreamRecord before, const UpstreamRecord& after) {
  before.warmup_left = after.warmup_left;
  return IsSameState(before, after);
}

KindWatcherTiming MakeTiming(ViewKind kind, Duration bound) {
  const Duration batch_delay = BatchDelayOf(kind);
  // Writers of tables announce them.
  const PropagationTiming propagation =
      kind == ViewKind::kRangeTables
          ? MakeAnnouncedTiming(bound, batch_delay)
          : MakePropagationTiming(bound, batch_delay);
  KindWatcherTiming timing;
  timing.wait = propagation.watch_wait;
  timing.response_slack = propagation.response_slack;
  timing.batch_delay = batch_delay;
  timing.first_retry = kInitialRetryDelay;
  timing.longest_retry = kMaxRetryDelay;
  // Each version of it is whole, and it may have a thousand routes.
  timing.list_after_failure = kind == ViewKind::kConfiguration;
  return timing;
}

}  // namespace

Duration AgeOrUnknown(MonotonicTime now, MonotonicTime changed_after) {
  return changed_after == kNever ? Duration(std::chrono::milliseconds(-1))
                                 : now - changed_after;
}

DeploymentView::DeploymentView(EventLoop& loop, ObjectStore& store,
                               const DeploymentProtocol& protocol,
                               EventLog& log)
    : loop_(loop),
      store_(store),
      protocol_(protocol),
      log_(log),
      directory_(kLapseGrace, kLapseUsePeriod) {
  store.SetEraHandler([this](const EraObservation& observation) {
    log_.LogStateChange(
        observation.error.empty() ? "store.era" : "store.era-unusable",
        {{"era", observation.era},
         {"before", observation.before},
         {"reason", observation.error}});
  });
  const auto add_watcher = [&](ViewKind kind, const std::string& stored_kind,
                               auto apply_change) {
    KindWatcherHandlers handlers;
    handlers.on_change = std::move(apply_change);
    handlers.on_synced = [this] { Notify(); };
    AddWatcher(kind, stored_kind, MakeTiming(kind, DeploymentBounds{}.drain),
               std::move(handlers));
  };
  add_watcher(ViewKind::kConfiguration, protocol.configuration_kind,
              [this](const StoredObject& object, const ChangeBound&) {
                OnConfiguration(object);
              });
  store.LimitContent(protocol.registry_kind, kMaxRegistrationBytes);
  add_watcher(ViewKind::kRegistry, protocol.registry_kind,
              [this](const StoredObject& object, const ChangeBound& bound) {
                OnRegistration(object, bound);
              });
  add_watcher(ViewKind::kRangeTables, kRangeTableKind,
              [this](const StoredObject& object, const ChangeBound&) {
                OnTable(object);
              });
}

void DeploymentView::AddWatcher(ViewKind kind, const std::string& stored_kind,
                                KindWatcherTiming timing,
                                KindWatcherHandlers handlers) {
  handlers.on_update = [this, kind](const KindUpdate& update) {
    if (on_update_) on_update_(kind, update);
  };
  handlers.on_reachable = [this, kind](bool reachable,
                                       const std::string& reason) {
    OnReachable(kind, reachable, reason);
  };
  handlers.on_watched = [this, kind](const WatchedChanges& changes) {
    OnWatched(kind, changes);
  };
  handlers.on_left_out = [this, kind](size_t count) {
    unreadable_objects_ += count;
    log_.LogRequest("view.left-out", {{"watch", NameOf(kViewKindNames, kind)},
                                      {"objects", uint64_t{count}}});
  };
  handlers.on_malformed = [this, kind](const std::string& reason) {
    log_.LogRequest("view.malformed", {{"watch", NameOf(kViewKindNames, kind)},
                                       {"reason", reason}});
  };
  handlers.on_watch_lost = [this, kind](Duration waited,
                                        const std::string& reason) {
    OnWatchLost(kind, waited, reason);
  };
  handlers.on_watch_repeated = [this, kind](size_t changes, Duration took) {
    OnWatchRepeated(kind, changes, took);
  };
  // While the store is unreachable, only the registry's watch retries.
  if (kind != ViewKind::kRegistry)
    handlers.may_retry = [this] { return store_reachable(); };
  watchers_.push_back(std::make_unique<KindWatcher>(
      loop_, store_, stored_kind, timing, std::move(handlers)));
}

DeploymentView::~DeploymentView() {
  loop_.timers().Cancel(timer_);
  for (const auto& [kind, timer] : expected_changes_)
    loop_.timers().Cancel(timer);
}

void DeploymentView::Start() {
  timer_ = loop_.timers().Every(kAdvanceInterval, [this] { Advance(); });
}

void DeploymentView::SetBounds(Duration drain, Duration configuration_apply) {
  watcher(ViewKind::kConfiguration)
      .SetTiming(MakeTiming(ViewKind::kConfiguration, configuration_apply));
  for (const ViewKind kind : {ViewKind::kRegistry, ViewKind::kRangeTables})
    watcher(kind).SetTiming(MakeTiming(kind, drain));
  const auto limit = [this](ViewKind kind, Duration bound) {
    confirmed_copies_[kind].limits = MakeConfirmationLimits(
        MakePropagationTiming(bound, BatchDelayOf(kind)), bound);
  };
  limit(ViewKind::kConfiguration, configuration_apply);
  limit(ViewKind::kRegistry, drain);
}

void DeploymentView::SetFed(bool fed, std::string_view reason,
                            size_t fed_kinds) {
  fed_kinds = std::min(fed_kinds, kinds());
  if (fed_ == fed && (!fed || std::min(fed_kinds_, kinds()) == fed_kinds))
    return;
  fed_ = fed;
  fed_kinds_ = fed_kinds;
  // The new source has not confirmed any copy yet.
  for (auto& [kind, copy] : confirmed_copies_)
    copy.confirmation.others_recent_since = kNever;
  log_.LogStateChange(
      "view.source",
      {{"fed", fed},
       {"reason", reason},
       {"kinds", uint64_t{fed ? fed_kinds : 0}},
       {"configuration", watcher(ViewKind::kConfiguration).revision()},
       {"registry", watcher(ViewKind::kRegistry).revision()},
       {"tables", watcher(ViewKind::kRangeTables).revision()}});
  for (size_t kind = 0; kind < kinds(); ++kind) {
    if (fed && kind < fed_kinds) {
      watchers_.at(kind)->Pause();
    } else {
      watchers_.at(kind)->Start(replicating_);
    }
  }
}

void DeploymentView::SetReplicating(bool replicating) {
  const bool begins = replicating && !replicating_;
  replicating_ = replicating;
  // The feed begins when all copies are known to be recent.
  for (const auto& watcher : watchers_) {
    if (begins && watcher->answered_at() == kNever)
      watcher->RepeatWatch("this host begins to feed others");
  }
  for (size_t kind = 0; kind < kinds(); ++kind) {
    watchers_.at(kind)->SetBatchDelay(
        replicating ? BatchDelayOf(static_cast<ViewKind>(kind))
                    : kNonHolderBatchDelay);
  }
}

bool DeploymentView::ApplyFed(ViewKind kind, const KindUpdate& update,
                              MonotonicTime store_reachable_since) {
  if (!fed_ || static_cast<size_t>(kind) >= kinds()) return true;
  return watcher(kind).ApplyFed(update, store_reachable_since);
}

KindUpdate DeploymentView::Snapshot(ViewKind kind) const {
  KindUpdate update = watcher(kind).Snapshot();
  if (kind != ViewKind::kRangeTables) return update;
  // A copy that came from a feed holds only the latest table steps, so they are
  // replaced by the whole tables. So are tables that could not be read.
  for (StoredObject& object : update.objects) {
    const RangeTable* existing = table(object.name);
    const bool replace =
        object.content.is_null() || StepBase(object.content).has_value();
    if (existing == nullptr || !replace) continue;
    object.revision = existing->revision;
    object.content = EncodeRangeTable(*existing);
  }
  return update;
}

std::vector<uint64_t> DeploymentView::Revisions() const {
  std::vector<uint64_t> revisions;
  for (const auto& watcher : watchers_)
    revisions.push_back(watcher->content_revision());
  return revisions;
}

MonotonicTime DeploymentView::store_reachable_since(ViewKind kind) const {
  return watcher(kind).reachable_since();
}

MonotonicTime DeploymentView::current_at(ViewKind kind) const {
  // The copy has all changes up to its revision, so it matched the store when
  // a write with an earlier revision was sent.
  return std::max(watcher(kind).current_at(),
                  revision_clock_.Before(watcher(kind).revision() + 1));
}

MonotonicTime DeploymentView::routes_current_at() const {
  return newest_configuration_read_ ? current_at(ViewKind::kConfiguration)
                                    : kNever;
}

void DeploymentView::ReadTablesNow() {
  watcher(ViewKind::kRangeTables).EndBatch();
}

void DeploymentView::NoteCurrent(ViewKind kind, MonotonicTime current_at) {
  watcher(kind).NoteCurrent(current_at);
}

void DeploymentView::NoteWrite(uint64_t revision, MonotonicTime sent_at) {
  revision_clock_.Note(revision, sent_at);
}

void DeploymentView::NoteStoreReachable(MonotonicTime store_reachable_since) {
  reported_reachable_since_ = store_reachable_since;
  reported_at_ = loop_.timers().now();
  directory_.OnStoreReachable(store_reachable_since);
}

bool DeploymentView::ReadsStore() const {
  return std::all_of(watchers_.begin(), watchers_.end(),
                     [](const std::unique_ptr<KindWatcher>& watcher) {
                       return !watcher->paused() && watcher->synced() &&
                              watcher->reachable() &&
                              watcher->HasRecentResponse();
                     });
}

bool DeploymentView::tables_synced() const {
  return watcher(ViewKind::kRangeTables).synced();
}

bool DeploymentView::registry_synced() const {
  return watcher(ViewKind::kRegistry).synced();
}

void DeploymentView::Subscribe(std::function<void()> listener) {
  listeners_.push_back(std::move(listener));
}

bool DeploymentView::store_reachable() const {
  return watcher(ViewKind::kRegistry).reachable();
}

void DeploymentView::OnConfiguration(const StoredObject& object) {
  if (object.deleted || object.name != protocol_.configuration_name) return;
  Result<RouteTable> read = protocol_.read_configuration(object.content);
  newest_configuration_read_ = read.has_value();
  if (!read.has_value()) {
    ++unreadable_objects_;
    log_.LogStateChange(
        "configuration.rejected",
        {{"revision", object.revision}, {"reason", read.error().message}});
    return;
  }
  const uint64_t current = routes_ == nullptr ? 0 : routes_->version;
  if (read.value().version <= current) {
    log_.LogStateChange(
        "configuration.older",
        {{"version", read.value().version}, {"in_force", current}});
    return;
  }
  routes_ = std::make_shared<const RouteTable>(std::move(read.value()));
  routes_revision_ = object.revision;
  log_.LogStateChange("configuration.in-force", {{"version", routes_->version},
                                                 {"revision", object.revision},
                                                 {"before", current}});
}

const nlohmann::json* DeploymentView::ConfigurationDocument() const {
  const auto& objects = watcher(ViewKind::kConfiguration).objects();
  const auto found = objects.find(protocol_.configuration_name);
  const bool in_force = routes_ != nullptr && found != objects.end() &&
                        found->second.revision == routes_revision_;
  return in_force ? &found->second.content : nullptr;
}

void DeploymentView::RouteUpstream(UpstreamRecord& record) const {
  const auto route = address_routes_.find(record.address.ToString());
  if (route == address_routes_.end()) return;
  // The settings were checked when they were loaded.
  const auto address = ParseSocketAddress(route->second);
  if (address.has_value()) record.address = address.value();
}

void DeploymentView::OnRegistration(const StoredObject& object,
                                    const ChangeBound& bound) {
  const MonotonicTime now = loop_.timers().now();
  const MonotonicTime changed_after =
      std::max(bound.after, revision_clock_.Before(bound.after_revision + 1));
  if (changed_after != kNever)
    NotePropagation(PropagationPart::kHeard, now - changed_after);
  if (object.deleted) {
    if (const auto last = protocol_.read_registration(object); last.has_value())
      directory_.NoteReport(last.value());
    const KindWatcher& registry = watcher(ViewKind::kRegistry);
    // If only this host was partitioned from the store, other hosts report that
    // the store was reachable earlier, or always.
    const MonotonicTime outage_ended_at =
        reported_at_ >= registry.reachable_since()
            ? std::min(reported_reachable_since_, registry.reachable_since())
            : registry.reachable_since();
    const bool gone = directory_.Remove(object.name, now, changed_after,
                                        outage_ended_at, registry.reachable());
    log_.LogStateChange("upstream.unregistered",
                        {{"upstream", object.name},
                         {"gone", gone},
                         {"age_ms", AgeOrUnknown(now, changed_after)}});
    return;
  }
  const Result<UpstreamRecord> read = protocol_.read_registration(object);
  if (!read.has_value()) {
    ++unreadable_registrations_;
    // No outage explains it, so the upstream gets no grace time.
    const bool gone = directory_.Remove(object.name, now, changed_after, kNever,
                                        /*store_reachable=*/true);
    log_.LogStateChange("upstream.unreadable",
                        {{"upstream", object.name},
                         {"revision", object.revision},
                         {"gone", gone},
                         {"reason", read.error().message}});
    return;
  }
  UpstreamRecord record = read.value();
  RouteUpstream(record);
  const ListedUpstream* listed = directory_.Find(record.id);
  const bool known = listed != nullptr;
  const MonotonicTime cold_before = known ? listed->cold.stated_until : kNever;
  const bool only_warmup_changed =
      known && listed->availability == UpstreamAvailability::kServing &&
      DifferInWarmupOnly(listed->record, record);
  if (!directory_.Update(record, now, changed_after)) return;
  LogColdness(*directory_.Find(record.id), cold_before);
  if (!known) last_upstream_added_at_ = now;
  if (only_warmup_changed) return;
  log_.LogStateChange("upstream.registered",
                      {{"upstream", record.id},
                       {"service", record.service},
                       {"address", record.address.ToString()},
                       {"zone", record.zone},
                       {"incarnation", record.incarnation},
                       {"draining", record.draining},
                       {"warmup_left_ms", record.warmup_left},
                       {"revision", object.revision},
                       {"age_ms", AgeOrUnknown(now, changed_after)}});
}

bool DeploymentView::NoteLeaving(const std::string& id, int64_t incarnation) {
  if (!directory_.MarkLeaving(id, incarnation, loop_.timers().now(),
                              current_at(ViewKind::kRegistry)))
    return false;
  log_.LogStateChange("upstream.leaving",
                      {{"upstream", id}, {"incarnation", incarnation}});
  Notify();
  return true;
}

void DeploymentView::OnReachable(ViewKind kind, bool reachable,
                                 const std::string& reason) {
  if (lost_watch_ == kind) lost_watch_.reset();
  log_.LogStateChange(
      reachable ? "store.regained" : "store.lost",
      {{"watch", NameOf(kViewKindNames, kind)}, {"reason", reason}});
}

void DeploymentView::OnWatched(ViewKind kind, const WatchedChanges& changes) {
  if (changes.count < kMinLoggedChanges) return;
  log_.LogStateChange("view.read", {{"watch", NameOf(kViewKindNames, kind)},
                                    {"changes", uint64_t{changes.count}},
                                    {"from", changes.from_revision},
                                    {"last", changes.last_revision},
                                    {"store", changes.store_revision},
                                    {"took_ms", changes.took}});
}

void DeploymentView::Notify() {
  // Runs the listeners at most once per iteration of the event loop, and never
  // within a watcher's callback.
  if (notify_posted_) return;
  notify_posted_ = true;
  loop_.Post([this] {
    notify_posted_ = false;
    for (const auto& listener : listeners_) listener();
  });
}

void DeploymentView::Advance() {
  AdvanceEvacuations();
  AdvanceConfirmations();
  if (directory_.Advance(loop_.timers().now(), kForgetMissingAfter)) Notify();
}

}  // namespace mimosadeal
