// Keeps the ranges of one zone's upstreams granted, and moves them: away from
// upstreams that leave or die, to upstreams that join, and to balance load.
// Acts only while this host holds the zone's lease.
//
// A range moves in three steps, in this order: the old owner acknowledged its
// release, or every grant to it has certainly lapsed; the table in the store
// names the new owner with a higher generation; the new owner gets its grant.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "entry/key_order_client.h"
#include "forwarding/deployment_protocol.h"
#include "ranges/hold_tracker.h"
#include "ranges/range_planner.h"
#include "ranges/range_table.h"
#include "store/stored_object.h"

namespace mimosadeal {

class DeploymentView;
class EventLog;
class EventLoop;
class LeaseKeeper;
class ObjectStore;

struct RangeKeeperOptions {
  std::string zone;
  Duration hold{};          // Of a grant while the store confirms the lease.
  Duration longest_hold{};  // Of the last grants before the lease lapses.
  Duration renew{};
  double clock_guard = 0;
  Duration margin{};           // For a grant's way to the upstream.
  Duration silence_to_move{};  // Of an upstream, until its keys move.
  BalanceLimits balance;
  Duration balance_interval{};
};

class RangeKeeper {
 public:
  RangeKeeper(EventLoop& loop, ObjectStore& store,
              const DeploymentProtocol& protocol, DeploymentView& view,
              const LeaseKeeper& lease, EventLog& log,
              RangeKeeperOptions options);
  ~RangeKeeper();
  RangeKeeper(const RangeKeeper&) = delete;
  RangeKeeper& operator=(const RangeKeeper&) = delete;

  // `handler` learns of owners that say in a reply that they leave.
  void SetLeavingHandler(
      std::function<void(const UpstreamIncarnation&)> handler) {
    on_leaving_ = std::move(handler);
  }
  // `handler` learns of each table that the store took, before the view does.
  void SetTableHandler(std::function<void(const RangeTable&)> handler) {
    on_table_written_ = std::move(handler);
  }
  // Begins to act: this host gained the zone's lease.
  void Begin();
  void End();
  void OnViewChanged();
  // Busy time of one second, by cell of the service's keys.
  // `noise`: see KeyLoad.
  void SetLoads(const std::string& service, CellLoads loads, double noise);
  // How fast upstreams are, by id, with 1 for the mean.
  void SetSpeeds(const std::string& service,
                 std::map<std::string, double> speeds);

 private:
  struct Grant;
  struct Move;
  struct Service;

  void Tick();
  void Claim(const std::string& service);
  void OnClaimed(const std::string& service, Result<StoredObject> written);
  void StartTable(const ServiceConfig& config);
  void Work(Service& service);
  void CheckOwners(Service& service);
  void RenewGrants(Service& service);
  void SendGrant(Service& service, const KeyRange& range, Duration hold);
  bool MaySendGrant(const std::string& service, const KeyRange& range);
  void OnGrantReply(const std::string& service, const KeyRange& range,
                    MonotonicTime sent_at, Duration hold,
                    const OrderResult& result);
  // The table as it will be when the moves under way have ended.
  RangeTable PlannedTable(const Service& service) const;
  // Starts moves of all that `owner` has in `planned`, and applies them to it:
  // others that leave at the same time must not choose the same new owners.
  void Evacuate(Service& service, RangeTable& planned,
                const UpstreamIncarnation& owner, const char* reason);
  void Balance(Service& service);
  void StartMove(Service& service, const PlannedMove& planned,
                 const char* reason);
  void AdvanceMoves(Service& service);
  void SendRelease(Service& service, const std::shared_ptr<Move>& move);
  void WriteTable(Service& service);
  void OnTableWritten(const std::string& service,
                      const std::vector<std::shared_ptr<Move>>& moves,
                      Result<StoredObject> written);
  bool IsMoving(const Service& service, int first, int last) const;
  // Logs and returns nothing when the object is malformed.
  std::optional<RangeTable> ReadTable(const StoredObject& object);
  void RaiseGenerations(Service& service, const UpstreamIncarnation& life,
                        const char* reason);
  void RaiseGeneration(Service& service, const KeyRange& range,
                       const char* reason);
  Duration HoldNow() const;
  Duration HoldFor(const Service& service, const KeyRange& range) const;
  std::vector<OwnerCandidate> Candidates(const std::string& service) const;
  Service* Find(const std::string& service);

  EventLoop& loop_;
  ObjectStore& store_;
  DeploymentView& view_;
  const LeaseKeeper& lease_;
  EventLog& log_;
  RangeKeeperOptions options_;
  KeyOrderClient orders_;
  HoldTracker holds_;
  std::function<void(const UpstreamIncarnation&)> on_leaving_;
  std::function<void(const RangeTable&)> on_table_written_;
  bool acting_ = false;
  bool began_before_ = false;     // This process has acted for the zone.
  bool nothing_granted_ = false;  // No host has granted anything in the zone.
  uint64_t epoch_ = 0;  // Rises with each Begin; older replies are ignored.
  uint64_t timer_ = 0;
  MonotonicTime started_at_ = kNever;
  std::map<std::string, std::unique_ptr<Service>> services_;
  std::map<std::string, CellLoads> loads_;
  std::map<std::string, double> noise_;  // Of the loads, by service.
  std::map<std::string, std::map<std::string, double>> speeds_;
};

}  // namespace mimosadeal
