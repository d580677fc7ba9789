// This host's copy of the deployment's state in the platform's store: the
// configuration in force, the registered upstreams, the owners of keys, and the
// availability zones that operators evacuate. The
// holder of the zone's lease reads the store and replicates updates to the
// zone's other hosts; this stream of updates is the feed. A host without a feed
// reads the store itself.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "balance/cold_upstream.h"
#include "common/enum_names.h"
#include "fleet/copy_confirmation.h"
#include "fleet/upstream_directory.h"
#include "fleet/zone_evacuations.h"
#include "forwarding/deployment_protocol.h"
#include "ranges/range_table.h"
#include "routing/route_table.h"
#include "store/kind_watcher.h"
#include "store/revision_clock.h"

namespace mimosadeal {

class EventLog;
class EventLoop;
class ObjectStore;
enum class PropagationPart : uint8_t;

// Kind of the objects that hold one range table for each keyed service. Only
// hosts of this router write them.
inline constexpr char kRangeTableKind[] = "range-tables";

// The parts of the view; each is one kind of object in the store. The registry
// holds the upstreams' registrations.
enum class ViewKind : uint8_t {
  kConfiguration,
  kRegistry,
  kRangeTables,
  kEvacuations,  // Only in deployments with a bound on evacuations.
};

inline constexpr size_t kViewKinds = 4;

inline constexpr EnumNames<ViewKind, kViewKinds> kViewKindNames = {{
    {ViewKind::kConfiguration, "configuration"},
    {ViewKind::kRegistry, "registry"},
    {ViewKind::kRangeTables, "range-tables"},
    {ViewKind::kEvacuations, "evacuations"},
}};

// The kinds that every deployment has, and hosts of former builds know: the
// first ones of ViewKind.
inline constexpr size_t kCommonViewKinds = 3;

// Returns the largest possible age of a change, for the log; -1 ms if unknown.
Duration AgeOrUnknown(MonotonicTime now, MonotonicTime changed_after);

class DeploymentView {
 public:
  DeploymentView(EventLoop& loop, ObjectStore& store,
                 const DeploymentProtocol& protocol, EventLog& log);
  ~DeploymentView();
  DeploymentView(const DeploymentView&) = delete;
  DeploymentView& operator=(const DeploymentView&) = delete;

  // Replaces addresses in registrations; see Settings::routes. To be called
  // before Start.
  void SetAddressRoutes(std::map<std::string, std::string> routes) {
    address_routes_ = std::move(routes);
  }
  // Sets the times within which changes must be in force. To be called before
  // Start.
  void SetBounds(Duration drain, Duration configuration_apply);
  // To be called before Start in deployments with this bound on evacuations;
  // see DeploymentBounds::evacuation.
  void EnableEvacuations(Duration bound);
  // To be called before Start.
  void SetColdBound(const ColdBound& bound) { cold_bound_ = bound; }
  void Start();
  // The number of kinds in use: kCommonViewKinds or kViewKinds.
  size_t kinds() const { return watchers_.size(); }
  // While `fed`, this host takes updates from ApplyFed and does not read the
  // store, except for kinds from `fed_kinds` on, which the feed does not have.
  // `reason` is for the log.
  void SetFed(bool fed, std::string_view reason, size_t fed_kinds = kViewKinds);
  bool fed() const { return fed_; }
  // Whether this host replicates what it reads to other hosts. If so, it reads
  // changes quickly; otherwise it sends fewer requests to the store.
  void SetReplicating(bool replicating);
  // Applies an update that another host read. Returns false when an earlier
  // update is missing.
  bool ApplyFed(ViewKind kind, const KindUpdate& update,
                MonotonicTime store_reachable_since);
  // `handler` receives the updates that this host reads from the store itself.
  void SetUpdateHandler(
      std::function<void(ViewKind, const KindUpdate&)> handler) {
    on_update_ = std::move(handler);
  }
  // Returns this host's whole copy of the kind as one update.
  KindUpdate Snapshot(ViewKind kind) const;
  // Returns the content revisions of this host's copies, by ViewKind; 0 for a
  // copy that is not complete yet.
  std::vector<uint64_t> Revisions() const;
  // Since when the store is reachable again after a failure, as seen by this
  // host or by the host that feeds it; kNever if there was no failure.
  MonotonicTime store_reachable_since(ViewKind kind) const;
  // A time at which this host's copy of the kind was certainly up to date;
  // kNever if there was none.
  MonotonicTime current_at(ViewKind kind) const;
  // Whether this host may act on its copy of the configuration or the registry:
  // unless others of its copies are recent and this one is not.
  bool IsConfirmed(ViewKind kind) const;
  // A time at which routes() was certainly the newest configuration; kNever if
  // unknown, or if the newest one could not be read.
  MonotonicTime routes_current_at() const;
  // Whether this host's copy lacks an update that the host that feeds it has.
  void NoteBehind(ViewKind kind, bool behind) { behind_[kind] = behind; }
  // The host that feeds this one has the same copy and reported that it was up
  // to date at `current_at`.
  void NoteCurrent(ViewKind kind, MonotonicTime current_at);
  // Another host read a change with that revision. If this host reads the store
  // and its watch does not bring the change soon, it asks again.
  void ExpectChange(ViewKind kind, uint64_t revision);
  // Another host's table shows that a former one is missing here. Reads the
  // store without delay if this host reads it.
  void ReadTablesNow();
  // The store accepted a write with that revision, sent at `sent_at` or later.
  void NoteWrite(uint64_t revision, MonotonicTime sent_at);
  // Another host that reads the store reported since when it is reachable;
  // kNever if there was no outage.
  void NoteStoreReachable(MonotonicTime store_reachable_since);
  // Whether this host reads the store itself, has complete copies of all kinds,
  // and got the latest responses in time.
  bool ReadsStore() const;
  // `observer` receives how long parts of the way of changes took.
  void ObservePropagation(
      std::function<void(PropagationPart, Duration)> observer) {
    on_propagation_ = std::move(observer);
  }
  // `listener` runs after each change that affects routing or ownership.
  void Subscribe(std::function<void()> listener);

  // Whether this host's copy of the evacuations is complete, if the deployment
  // has any.
  bool evacuations_synced() const;
  // Whether the operator requested that the zone's upstreams get no requests.
  bool IsEvacuated(const std::string& zone) const;
  // When this host learned that the zone is evacuated; kNever if it is not.
  MonotonicTime EvacuatedAt(const std::string& zone) const;
  // Returns the time until which owners in the zone may be sent requests for
  // their keys, as far as evacuations are concerned. kNever in every zone while
  // this host cannot show that it knows all evacuations; see CopyConfirmation.
  MonotonicTime ZoneUsableUntil(const std::string& zone) const;
  size_t evacuated_zones() const;
  // Null until a configuration was read.
  const std::shared_ptr<const RouteTable>& routes() const { return routes_; }
  // Returns the document of the configuration in force; null if there is none,
  // or if the store has another one since, which this host does not take up.
  const nlohmann::json* ConfigurationDocument() const;
  const UpstreamDirectory& directory() const { return directory_; }
  // Returns null if the configuration does not have it, or there is none yet.
  const ServiceConfig* ServiceOf(const ListedUpstream& upstream) const;
  // Returns the newest table that this host knows, or null when the service has
  // none yet. After the store was restored from a copy it may be newer than the
  // store's.
  const RangeTable* table(const std::string& service) const;
  // Returns the revision that a write of the service's table must expect; 0 if
  // the store has no table.
  uint64_t stored_revision(const std::string& service) const;
  // Returns the last table of the era before that of the store's table; null if
  // this host has seen no restore of the store.
  const RangeTable* table_before_restore(const std::string& service) const;
  // The store has no table of the service any more.
  void NoteTableMissing(const std::string& service) {
    stored_revisions_[service] = 0;
  }
  // Whether this host's copy of the tables, or of the registry, is complete.
  bool tables_synced() const;
  bool registry_synced() const;
  // When an upstream was last added to the registry.
  MonotonicTime last_upstream_added_at() const {
    return last_upstream_added_at_;
  }
  bool store_reachable() const;

  // That incarnation of the upstream announced in a response that it is
  // leaving. Returns false if this host knew that already or does not list that
  // incarnation.
  bool NoteLeaving(const std::string& id, int64_t incarnation);

  // Records what that incarnation of the upstream stated about its limit.
  // Returns whether the limit that this host knows changed.
  bool NoteLimit(const std::string& id, int64_t incarnation,
                 const UpstreamLimit& stated);

  // Returns the requests per second that the upstream takes from all hosts
  // together: its stated limit, and less while it is cold; unset if unlimited.
  std::optional<double> RateLimitOf(const ListedUpstream& upstream) const;
  // Returns how long the upstream is still taken for cold; zero if it is not,
  // or if the deployment does not bound the requests of cold upstreams.
  Duration ColdLeft(const ListedUpstream& upstream) const;
  size_t cold_upstreams() const;
  // The upstream refused a connection, so it may be another incarnation when it
  // accepts one again. Returns whether other hosts are to be told.
  bool NoteRefused(const std::string& id);
  // The upstream may be cold for `left`; see ColdTimes. Returns whether this is
  // news.
  bool NoteAssumedCold(const std::string& id, Duration left,
                       std::string_view reason);
  // Number of registrations that could not be read.
  uint64_t unreadable_registrations() const {
    return unreadable_registrations_;
  }

  // Number of configurations, tables and objects without a readable name or
  // revision that could not be read.
  uint64_t unreadable_objects() const { return unreadable_objects_; }

  // Replaces the service's table with one that this or another host wrote to
  // the store, unless it is older, or a copy's that was restored.
  void ApplyTable(RangeTable table);

 private:
  void OnConfiguration(const StoredObject& object);
  // Replaces the upstream's address if the settings say so.
  void RouteUpstream(UpstreamRecord& record) const;
  void OnRegistration(const StoredObject& object, const ChangeBound& bound);
  // Logs that an upstream has turned cold. `stated_before`: the end of its
  // coldness as it was known before.
  void LogColdness(const ListedUpstream& listed, MonotonicTime stated_before);
  void OnTable(const StoredObject& object);
  // Decodes a whole table, or applies a table step (a table stored as its
  // difference from an earlier one). Errors: kMalformed, also for a step whose
  // base table is missing here.
  Result<RangeTable> ReadTable(const StoredObject& object) const;
  // Sets the watcher of the next kind of ViewKind.
  void AddWatcher(ViewKind kind, const std::string& stored_kind,
                  KindWatcherTiming timing, KindWatcherHandlers handlers);
  // The zone's upstreams may have become cold while the zone was evacuated,
  // which their registrations show later than this host learns of its end.
  void AssumeZoneCold(const std::string& zone);
  void OnEvacuation(const StoredObject& object, const ChangeBound& bound);
  void OnEvacuationsSynced();
  void AdvanceEvacuations();
  KindWatcher& watcher(ViewKind kind) const {
    return *watchers_.at(static_cast<size_t>(kind));
  }
  void OnReachable(ViewKind kind, bool reachable, const std::string& reason);
  void AdvanceConfirmations();
  void NotePropagation(PropagationPart part, Duration time) const;
  void OnWatchRepeated(ViewKind kind, size_t changes, Duration took);
  void OnWatchLost(ViewKind kind, Duration waited, const std::string& reason);
  void OnWatched(ViewKind kind, const WatchedChanges& changes);
  // Schedules the listeners.
  void Notify();
  void Advance();

  EventLoop& loop_;
  ObjectStore& store_;
  const DeploymentProtocol& protocol_;
  EventLog& log_;
  std::map<std::string, std::string> address_routes_;
  std::vector<std::unique_ptr<KindWatcher>> watchers_;  // By ViewKind.
  std::function<void(ViewKind, const KindUpdate&)> on_update_;
  std::function<void(PropagationPart, Duration)> on_propagation_;
  bool fed_ = true;
  size_t fed_kinds_ = kViewKinds;    // Valid while `fed_`.
  std::map<ViewKind, bool> behind_;  // See NoteBehind; valid while `fed_`.
  bool replicating_ = false;
  std::shared_ptr<const RouteTable> routes_;
  uint64_t routes_revision_ = 0;  // Of the object that `routes_` was read from.
  UpstreamDirectory directory_;
  ColdBound cold_bound_;
  uint64_t unreadable_registrations_ = 0;
  uint64_t unreadable_objects_ = 0;
  bool newest_configuration_read_ = false;
  RevisionClock revision_clock_;
  std::map<std::string, RangeTable> range_tables_;
  // By service; see the functions of these names.
  std::map<std::string, uint64_t> stored_revisions_;
  std::map<std::string, RangeTable> tables_before_restore_;
  std::unique_ptr<ZoneEvacuations> evacuations_;  // Null without a bound.
  // Of the copies of the configuration and the registry.
  struct ConfirmedCopy {
    ConfirmationLimits limits;
    CopyConfirmation confirmation;
  };
  std::map<ViewKind, ConfirmedCopy> confirmed_copies_;
  // Timers of ExpectChange, by kind.
  std::map<ViewKind, uint64_t> expected_changes_;
  // Zones that the update being applied no longer lists.
  std::set<std::string> ended_evacuations_;
  uint64_t evacuations_revision_ = 0;  // Of the copy, as last synced.
  std::vector<std::function<void()>> listeners_;
  MonotonicTime last_upstream_added_at_ = kNever;
  // Last argument of NoteStoreReachable, and when it was given.
  MonotonicTime reported_reachable_since_ = kNever;
  MonotonicTime reported_at_ = kNever;
  uint64_t timer_ = 0;
  bool notify_posted_ = false;
  // The watch that was found to be lost and is being repeated, if any. Once the
  // store has responded, so are the others.
  std::optional<ViewKind> lost_watch_;
  bool repeating_watches_ = false;  // The others are being repeated.
};

}  // namespace mimosadeal
