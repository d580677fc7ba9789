// What this host believes of the deployment: the configuration in force, the
// upstreams, and who owns which keys. All of it stands in the platform's store.
// The holder of the zone's lease reads it there and feeds the zone's other
// hosts; a host without such a feed reads the store itself.
#pragma once

#include <array>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "fleet/upstream_directory.h"
#include "forwarding/deployment_protocol.h"
#include "ranges/range_table.h"
#include "routing/route_table.h"
#include "store/kind_watcher.h"
#include "store/revision_clock.h"

namespace mimosadeal {

class EventLog;
class EventLoop;
class ObjectStore;

// The product's own kind of object: a range table for each keyed service.
inline constexpr char kRangeTableKind[] = "range-tables";

enum class ViewKind : uint8_t { kConfiguration, kRegistry, kRangeTables };

inline constexpr size_t kViewKinds = 3;

class DeploymentView {
 public:
  DeploymentView(EventLoop& loop, ObjectStore& store,
                 const DeploymentProtocol& protocol, EventLog& log);
  ~DeploymentView();
  DeploymentView(const DeploymentView&) = delete;
  DeploymentView& operator=(const DeploymentView&) = delete;

  void Start();
  // While fed, this host asks the store for nothing; see ApplyFed. `reason` is
  // for the log.
  void SetFed(bool fed, std::string_view reason);
  bool fed() const { return fed_; }
  // Whether this host's reading feeds others: then it is quick, else it makes
  // few calls.
  void SetReplicating(bool feeds);
  // Takes in what another host read. Returns false when a step is missing.
  bool ApplyFed(ViewKind kind, const KindUpdate& update,
                MonotonicTime store_reachable_since);
  // `handler` gets what this host reads from the store itself.
  void SetUpdateHandler(
      std::function<void(ViewKind, const KindUpdate&)> handler) {
    on_update_ = std::move(handler);
  }
  KindUpdate Snapshot(ViewKind kind) const;
  std::vector<uint64_t> Revisions() const;
  MonotonicTime store_reachable_since(ViewKind kind) const;
  // A time at which this host's copy of the kind was certainly the newest;
  // kNever if there was none.
  MonotonicTime current_at(ViewKind kind) const;
  // The host that feeds this one says that its copy, which is this host's too,
  // was the newest at `current_at`.
  void NoteCurrent(ViewKind kind, MonotonicTime current_at);
  // The store took a write with that revision, sent at `sent_at` or later.
  void NoteWrite(uint64_t revision, MonotonicTime sent_at);
  // Another host reads the store, which was back at `store_back_at` already.
  void NoteStoreReachable(MonotonicTime store_reachable_since);
  // Whether this host's own reading of the store is complete and without fault.
  bool ReadsStore() const;
  // `listener` runs after each change that routing or ownership depends on.
  void Subscribe(std::function<void()> listener);

  // Null until a configuration was read.
  const std::shared_ptr<const RouteTable>& routes() const { return routes_; }
  const UpstreamDirectory& directory() const { return directory_; }
  // Returns null when the service has no table yet.
  const RangeTable* table(const std::string& service) const;
  bool tables_synced() const;
  bool registry_synced() const;
  // Since when the registry has not gained an upstream.
  MonotonicTime last_upstream_added_at() const {
    return last_upstream_added_at_;
  }
  bool store_reachable() const;

  // That life of the upstream said in an answer that it leaves. Returns whether
  // this is news.
  bool NoteLeaving(const std::string& id, int64_t incarnation);

  // Takes in a table that this host wrote, or read from the store.
  void ApplyTable(RangeTable table);

 private:
  void OnConfiguration(const StoredObject& object);
  void OnRegistration(const StoredObject& object, const ChangeBound& bound);
  void OnTable(const StoredObject& object);
  // Errors: kMalformed, also for a step whose base is not here.
  Result<RangeTable> ReadTable(const StoredObject& object) const;
  KindWatcher& watcher(ViewKind kind) const {
    return *watchers_.at(static_cast<size_t>(kind));
  }
  void OnReachable(ViewKind kind, bool reachable, const std::string& reason);
  void Notify();
  void Advance();

  EventLoop& loop_;
  const DeploymentProtocol& protocol_;
  EventLog& log_;
  std::array<std::unique_ptr<KindWatcher>, kViewKinds> watchers_;
  std::function<void(ViewKind, const KindUpdate&)> on_update_;
  bool fed_ = true;
  std::shared_ptr<const RouteTable> routes_;
  UpstreamDirectory directory_;
  RevisionClock revision_clock_;
  std::map<std::string, RangeTable> range_tables_;
  std::vector<std::function<void()>> listeners_;
  MonotonicTime last_upstream_added_at_ = kNever;
  // What another host last said of the store's return, and when.
  MonotonicTime told_store_back_at_ = kNever;
  MonotonicTime told_at_ = kNever;
  uint64_t timer_ = 0;
  bool notify_posted_ = false;
};

}  // namespace mimosadeal
