// The part of RangeManager that creates the services' tables and claims them: a
// host that gained the lease writes each table once before it acts.

#include <algorithm>
#include <set>
#include <utility>

#include "common/event_log.h"
#include "entry/deployment_view.h"
#include "entry/lease_manager.h"
#include "entry/range_manager.h"
#include "entry/range_manager_state.h"
#include "net/event_loop.h"
#include "ranges/table_restore.h"
#include "store/object_store.h"
#include "store/store_revision.h"

namespace mimosadeal {
namespace {

// Delay after the store did not accept a write of a table.
constexpr Duration kTableWriteRetryDelay = std::chrono::milliseconds(300);
// The first table of a service is created once no upstream has registered for
// kRegistryQuietPeriod. It is created after kMaxTableCreationWait in any case,
// because callers have no owners until then.
constexpr Duration kRegistryQuietPeriod = std::chrono::milliseconds(700);
constexpr Duration kMaxTableCreationWait = std::chrono::seconds(3);
// Added once for each zone that sorts before this one, so that the zones do not
// all write the first table at the same time.
constexpr Duration kTableCreationZoneDelay = std::chrono::milliseconds(400);

}  // namespace

void RangeManager::NoteRestore(Service& service) {
  if (claimed_eras_[service.name] == store_.era()) return;
  service.claimed = false;
  for (const std::shared_ptr<Move>& move : service.moves)
    WithdrawMove(service, *move);
  service.moves.clear();
  log_.LogStateChange("range-table.claiming-again",
                      {{"service", service.name},
                       {"era", store_.era()},
                       {"claimed_in_era", claimed_eras_[service.name]}});
}

MonotonicTime RangeManager::ClaimableAt(const std::string& name) const {
  if (claimed_eras_.contains(name) ||
      !HasEarlierRanges(*view_.table(name), options_.zone, store_.era())) {
    return kNever;
  }
  // The last renewal of a holder that was lost with the restore was confirmed
  // before it, and so before this host saw the era. Since this host holds the
  // lease, no other renewal was confirmed.
  const auto lease_duration = Duration(static_cast<int64_t>(
      static_cast<double>(options_.lease_duration.count()) *
      (1 + options_.clock_guard)));
  const MonotonicTime since_restore =
      std::max(others_until_, store_.era_since() + lease_duration);
  return holds_.FormerHoldEnd(
      std::min(since_restore, held_since_ + lease_duration),
      options_.longest_hold);
}

void RangeManager::CreateTable(const ServiceConfig& config) {
  const MonotonicTime now = loop_.timers().now();
  std::vector<OwnerCandidate> candidates = Candidates(config.name);
  if (candidates.empty() || !view_.tables_synced()) return;
  std::set<std::string> zones;
  for (const OwnerCandidate& candidate : candidates)
    zones.insert(candidate.zone);
  const auto rank = std::distance(zones.begin(), zones.find(options_.zone));
  const bool quiet = now - view_.last_upstream_added_at() >=
                     kRegistryQuietPeriod + rank * kTableCreationZoneDelay;
  const bool late = now - started_at_ >=
                    kMaxTableCreationWait + rank * kTableCreationZoneDelay;
  if (!quiet && !late) return;
  std::unique_ptr<Service>& service = services_[config.name];
  if (service == nullptr) {
    service = std::make_unique<Service>();
    service->name = config.name;
  }
  if (service->write_pending || now < service->next_write_at) return;
  service->write_pending = true;
  RangeTable table = MakeFirstTable(config.name, std::move(candidates));
  BeginEra(table, store_.era());
  for (KeyRange& range : table.ranges)
    range.generation = ++table.last_generation;
  log_.LogStateChange("range-table.created",
                      {{"service", config.name},
                       {"ranges", static_cast<uint64_t>(table.ranges.size())}});
  store_.Write(
      {kRangeTableKind, config.name, 0, EncodeRangeTable(table)},
      [this, name = config.name, epoch = epoch_](Result<StoredObject> written) {
        if (epoch == epoch_) OnTableClaimed(name, std::move(written));
      });
}

void RangeManager::ClaimTable(const std::string& name) {
  Service& service = *services_.at(name);
  const MonotonicTime now = loop_.timers().now();
  if (service.write_pending || now < service.next_write_at) return;
  const MonotonicTime claimable_at = ClaimableAt(name);
  if (now < claimable_at) {
    if (std::exchange(service.claimable_at, claimable_at) != claimable_at) {
      log_.LogStateChange("range-table.claim-waits",
                          {{"service", name},
                           {"zone", options_.zone},
                           {"era", store_.era()},
                           {"wait_ms", claimable_at - now}});
    }
    return;
  }
  service.write_pending = true;
  // Changing the table makes all conditional writes fail that an earlier lease
  // holder may still have in flight.
  RangeTable table = *view_.table(name);
  BeginEra(table, store_.era());
  const RangeTable* known = view_.table_before_restore(name);
  const auto claimed = claimed_eras_.find(name);
  const bool restored =
      claimed != claimed_eras_.end() && claimed->second != store_.era();
  if (restored && known != nullptr)
    table = RestoreZone(table, *known, options_.zone);
  ++table.last_generation;
  // An upstream may have restarted under its id since an earlier lease holder
  // granted its ranges. The new incarnation must not accept them with an old
  // generation.
  for (KeyRange& range : table.ranges) {
    if (range.zone == options_.zone) range.generation = ++table.last_generation;
  }
  store_.Write({kRangeTableKind, name, view_.stored_revision(name),
                EncodeRangeTable(table)},
               [this, name, epoch = epoch_](Result<StoredObject> written) {
                 if (epoch == epoch_) OnTableClaimed(name, std::move(written));
               });
}

void RangeManager::OnTableClaimed(const std::string& name,
                                  Result<StoredObject> written) {
  Service* service = Find(name);
  if (service == nullptr) return;
  if (!written.has_value()) {
    log_.LogStateChange(
        "range-table.not-written",
        {{"service", name}, {"reason", DescribeError(written.error())}});
    const bool reread = written.error().code != ErrorCode::kUnavailable;
    service->next_write_at = loop_.timers().now() + kTableWriteRetryDelay;
    service->write_pending = reread;
    if (!reread) return;
    store_.Get(
        kRangeTableKind, name,
        [this, name, epoch = epoch_](Result<StoredObject> read) {
          Service* current = Find(name);
          if (epoch != epoch_ || current == nullptr) return;
          current->write_pending = false;
          // If the read failed, the next write conflicts and reads
          // again.
          if (read.has_value()) {
            if (const auto table = DecodeTable(read.value()))
              view_.ApplyTable(*table);
          } else {
            if (read.error().code == ErrorCode::kNotFound)
              view_.NoteTableMissing(name);
            log_.LogStateChange(
                "range-table.not-read",
                {{"service", name}, {"reason", DescribeError(read.error())}});
          }
        });
    return;
  }
  service->write_pending = false;
  const auto table = DecodeTable(written.value());
  if (!table.has_value()) return;
  service->claimed = true;
  claimed_eras_[name] = EraOfRevision(table->revision);
  if (on_table_written_) on_table_written_(*table);
  view_.ApplyTable(*table);
  Tick();
}

std::optional<RangeTable> RangeManager::DecodeTable(
    const StoredObject& object) {
  auto table = DecodeRangeTable(object.name, object.revision, object.content);
  if (table.has_value()) return std::move(table.value());
  log_.LogStateChange("range-table.unreadable",
                      {{"service", object.name},
                       {"revision", object.revision},
                       {"reason", DescribeError(table.error())}});
  return std::nullopt;
}

}  // namespace mimosadeal
