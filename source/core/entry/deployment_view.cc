#include "entry/deployment_view.h"

#include <algorithm>
#include <utility>

#include "common/enum_names.h"
#include "common/event_log.h"
#include "net/event_loop.h"
#include "store/object_store.h"

namespace mimosadeal {
namespace {

constexpr EnumNames<ViewKind, kViewKinds> kViewKindNames = {{
    {ViewKind::kConfiguration, "configuration"},
    {ViewKind::kRegistry, "registry"},
    {ViewKind::kRangeTables, "range-tables"},
}};

// A watch's connection may go silent without a sign. The wait is what it takes
// to notice: within the 3 s that the platform allows for connections to
// recover.
constexpr Duration kWatchWait = std::chrono::milliseconds(2200);
// Of the configuration's watch: its answers show that no newer one is in force.
constexpr Duration kConfigurationWait = std::chrono::milliseconds(800);
// A watch that is this late has lost its connection.
constexpr Duration kWatchAnswerSlack = std::chrono::milliseconds(600);
constexpr Duration kFirstRetry = std::chrono::milliseconds(150);
constexpr Duration kLongestRetry = std::chrono::milliseconds(900);
// Pauses before the next watch, so that changes that follow one another cost
// one call. All stay well within the 2 s in which a change must be in force.
constexpr Duration kRegistryGather = std::chrono::milliseconds(150);
constexpr Duration kConfigurationGather = std::chrono::milliseconds(100);
// Tables are told of by those who write them; the watch brings what was lost.
constexpr Duration kTableGather = std::chrono::milliseconds(150);
// The same for hosts that read for themselves alone, of which there may be
// many: each change would cost a call of each.
constexpr Duration kLoneGather = std::chrono::milliseconds(400);
// The platform says that lapsed registrations are back within about two
// seconds of the store's return.
constexpr Duration kLapseGrace = std::chrono::milliseconds(2300);
// A host is held to its bounds again 3 s after the end of a cut, and may hear
// of the store only kLongestRetry and a connection's time-out after it.
constexpr Duration kLapseUse = std::chrono::milliseconds(1300);
// How long an upstream that has gone is remembered, to release its keys.
constexpr Duration kForgetAfter = std::chrono::seconds(60);
constexpr Duration kAdvanceInterval = std::chrono::milliseconds(250);

constexpr Duration GatherOf(ViewKind kind) {
  switch (kind) {
    case ViewKind::kConfiguration:
      return kConfigurationGather;
    case ViewKind::kRegistry:
      return kRegistryGather;
    case ViewKind::kRangeTables:
      return kTableGather;
  }
  return kLoneGather;
}

// How old the news of a change may be; -1 ms when that is unknown.
Duration AgeOrUnknown(MonotonicTime now, MonotonicTime changed_after) {
  return changed_after == kNever ? Duration(std::chrono::milliseconds(-1))
                                 : now - changed_after;
}

bool DifferInWarmupOnly(UpstreamRecord before, const UpstreamRecord& after) {
  before.warmup_left = after.warmup_left;
  return before == after;
}

KindWatcherTiming Timing(ViewKind kind) {
  const Duration wait =
      kind == ViewKind::kConfiguration ? kConfigurationWait : kWatchWait;
  return {wait, GatherOf(kind), kFirstRetry, kLongestRetry};
}

}  // namespace

DeploymentView::DeploymentView(EventLoop& loop, ObjectStore& store,
                               const DeploymentProtocol& protocol,
                               EventLog& log)
    : loop_(loop),
      protocol_(protocol),
      log_(log),
      directory_(kLapseGrace, kLapseUse) {
  const auto make = [&](ViewKind kind, const std::string& stored_kind,
                        auto take) {
    KindWatcherHandlers handlers;
    handlers.on_change = std::move(take);
    handlers.on_synced = [this] { Notify(); };
    handlers.on_update = [this, kind](const KindUpdate& update) {
      if (on_update_) on_update_(kind, update);
    };
    handlers.on_reachable = [this, kind](bool reachable,
                                         const std::string& reason) {
      OnReachable(kind, reachable, reason);
    };
    // The registry's watch alone looks for a store that is away.
    if (kind != ViewKind::kRegistry)
      handlers.may_retry = [this] { return store_reachable(); };
    watchers_.at(static_cast<size_t>(kind)) = std::make_unique<KindWatcher>(
        loop, store, stored_kind, Timing(kind), std::move(handlers));
  };
  make(ViewKind::kConfiguration, protocol.configuration_kind,
       [this](const StoredObject& object, const ChangeBound&) {
         OnConfiguration(object);
       });
  make(ViewKind::kRegistry, protocol.registry_kind,
       [this](const StoredObject& object, const ChangeBound& bound) {
         OnRegistration(object, bound);
       });
  make(ViewKind::kRangeTables, kRangeTableKind,
       [this](const StoredObject& object, const ChangeBound&) {
         OnTable(object);
       });
}

DeploymentView::~DeploymentView() { loop_.timers().Cancel(timer_); }

void DeploymentView::Start() {
  timer_ = loop_.timers().Every(kAdvanceInterval, [this] { Advance(); });
}

void DeploymentView::SetFed(bool fed, std::string_view reason) {
  if (fed_ == fed) return;
  fed_ = fed;
  log_.LogStateChange(
      "view.source",
      {{"fed", fed},
       {"reason", reason},
       {"configuration", watcher(ViewKind::kConfiguration).revision()},
       {"registry", watcher(ViewKind::kRegistry).revision()},
       {"tables", watcher(ViewKind::kRangeTables).revision()}});
  for (const auto& watcher : watchers_) {
    if (fed) {
      watcher->Pause();
    } else {
      watcher->Start();
    }
  }
}

void DeploymentView::SetFeeds(bool feeds) {
  for (size_t kind = 0; kind < kViewKinds; ++kind) {
    watchers_.at(kind)->SetBatchDelay(
        feeds ? GatherOf(static_cast<ViewKind>(kind)) : kLoneGather);
  }
}

bool DeploymentView::ApplyFed(ViewKind kind, const KindUpdate& update,
                              MonotonicTime store_back_at) {
  if (!fed_) return true;
  return watcher(kind).ApplyFed(update, store_back_at);
}

KindUpdate DeploymentView::Snapshot(ViewKind kind) const {
  KindUpdate update = watcher(kind).Snapshot();
  if (kind != ViewKind::kRangeTables) return update;
  // A copy that was fed holds the last steps only.
  for (StoredObject& object : update.objects) {
    const RangeTable* held = table(object.name);
    if (held == nullptr || !StepBase(object.content).has_value()) continue;
    object.revision = held->revision;
    object.content = EncodeRangeTable(*held);
  }
  return update;
}

std::vector<uint64_t> DeploymentView::Revisions() const {
  std::vector<uint64_t> revisions;
  for (const auto& watcher : watchers_)
    revisions.push_back(watcher->content_revision());
  return revisions;
}

MonotonicTime DeploymentView::store_back_at(ViewKind kind) const {
  return watcher(kind).reachable_since();
}

MonotonicTime DeploymentView::current_at(ViewKind kind) const {
  return watcher(kind).current_at();
}

void DeploymentView::NoteCurrent(ViewKind kind, MonotonicTime current_at) {
  watcher(kind).NoteCurrent(current_at);
}

void DeploymentView::NoteWrite(uint64_t revision, MonotonicTime sent_at) {
  revision_clock_.Note(revision, sent_at);
}

void DeploymentView::NoteStoreBack(MonotonicTime store_back_at) {
  told_store_back_at_ = store_back_at;
  told_at_ = loop_.timers().now();
  directory_.OnStoreBack(store_back_at);
}

bool DeploymentView::ReadsStore() const {
  const MonotonicTime now = loop_.timers().now();
  return std::all_of(watchers_.begin(), watchers_.end(),
                     [now](const std::unique_ptr<KindWatcher>& watcher) {
                       return !watcher->paused() && watcher->synced() &&
                              watcher->reachable() &&
                              now - watcher->answered_at() <
                                  kWatchWait + kWatchAnswerSlack;
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

const RangeTable* DeploymentView::table(const std::string& service) const {
  const auto found = range_tables_.find(service);
  return found == range_tables_.end() ? nullptr : &found->second;
}

bool DeploymentView::store_reachable() const {
  return watcher(ViewKind::kRegistry).reachable();
}

void DeploymentView::OnConfiguration(const StoredObject& object) {
  if (object.deleted || object.name != protocol_.configuration_name) return;
  Result<RouteTable> read = protocol_.read_configuration(object.content);
  if (!read.has_value()) {
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
  log_.LogStateChange("configuration.in-force", {{"version", routes_->version},
                                                 {"revision", object.revision},
                                                 {"before", current}});
}

void DeploymentView::OnRegistration(const StoredObject& object,
                                    const ChangeBound& bound) {
  const MonotonicTime now = loop_.timers().now();
  const MonotonicTime changed_after =
      std::max(bound.after, revision_clock_.Before(bound.after_revision + 1));
  if (object.deleted) {
    const KindWatcher& registry = watcher(ViewKind::kRegistry);
    // A host that was cut off itself learns from others that the store was not
    // away.
    const MonotonicTime back_at =
        told_at_ >= registry.reachable_since()
            ? std::min(told_store_back_at_, registry.reachable_since())
            : registry.reachable_since();
    const bool gone = directory_.Remove(object.name, now, changed_after,
                                        back_at, registry.reachable());
    log_.LogStateChange("upstream.unregistered",
                        {{"upstream", object.name},
                         {"gone", gone},
                         {"age_ms", AgeOrUnknown(now, changed_after)}});
    return;
  }
  const Result<UpstreamRecord> read = protocol_.read_registration(object);
  if (!read.has_value()) {
    log_.LogStateChange("upstream.unreadable",
                        {{"upstream", object.name},
                         {"revision", object.revision},
                         {"reason", read.error().message}});
    return;
  }
  const UpstreamRecord& record = read.value();
  const ListedUpstream* listed = directory_.Find(record.id);
  const bool known = listed != nullptr;
  const bool only_warmer = known &&
                           listed->standing == UpstreamStanding::kServing &&
                           DifferInWarmupOnly(listed->record, record);
  if (!directory_.Update(record, now, changed_after)) return;
  if (!known) registry_quiet_since_ = now;
  if (only_warmer) return;
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

void DeploymentView::OnTable(const StoredObject& object) {
  const RangeTable* held = table(object.name);
  if (object.deleted || (held != nullptr && held->revision >= object.revision))
    return;
  auto read = ReadTable(object);
  if (!read.has_value()) {
    log_.LogStateChange("range-table.unreadable",
                        {{"service", object.name},
                         {"revision", object.revision},
                         {"reason", read.error().message}});
    return;
  }
  TakeTable(std::move(read.value()));
}

Result<RangeTable> DeploymentView::ReadTable(const StoredObject& object) const {
  const auto base = StepBase(object.content);
  if (!base.has_value())
    return DecodeRangeTable(object.name, object.revision, object.content);
  const RangeTable* before = table(object.name);
  if (before == nullptr || before->revision < *base) {
    return MakeError(ErrorCode::kMalformed,
                     "the table that a step starts from is not here");
  }
  BOOST_OUTCOME_TRY(step, DecodeRangeTableStep(object.content));
  return ApplyStep(*before, step, object.revision);
}

void DeploymentView::TakeTable(RangeTable table) {
  RangeTable& held = range_tables_[table.service];
  if (held.revision >= table.revision) return;
  held = std::move(table);
  log_.LogStateChange("range-table.in-force",
                      {{"service", held.service},
                       {"revision", held.revision},
                       {"ranges", static_cast<uint64_t>(held.ranges.size())}});
  Notify();
}

void DeploymentView::OnReachable(ViewKind kind, bool reachable,
                                 const std::string& reason) {
  log_.LogStateChange(
      reachable ? "store.regained" : "store.lost",
      {{"watch", NameOf(kViewKindNames, kind)}, {"reason", reason}});
}

void DeploymentView::Notify() {
  // Once a round, outside of the watchers' own calls.
  if (notify_posted_) return;
  notify_posted_ = true;
  loop_.Post([this] {
    notify_posted_ = false;
    for (const auto& listener : listeners_) listener();
  });
}

void DeploymentView::Advance() {
  if (directory_.Advance(loop_.timers().now(), kForgetAfter)) Notify();
}

}  // namespace mimosadeal
