// Manages the key ranges of one availability zone's upstreams: renews their
// grants, and moves ranges away from upstreams that leave or fail, to upstreams
// that join, and to balance load. Runs only while this host holds the zone's
// lease.
//
// A grant gives an upstream the right to serve a range of keys for a limited
// time, the hold. Each grant carries the range's generation, and an upstream
// refuses a generation lower than one that it has seen for the same key.
//
// A range moves in three steps, in this order:
// 1. The old owner acknowledges the release of the range, or every grant sent
//    to it has expired.
// 2. The table in the store names the new owner, with a higher generation.
// 3. The new owner receives its grant.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "entry/key_command_client.h"
#include "forwarding/deployment_protocol.h"
#include "ranges/hold_tracker.h"
#include "ranges/move_notices.h"
#include "ranges/range_planner.h"
#include "ranges/range_table.h"
#include "store/stored_object.h"

namespace mimosadeal {

class DeploymentView;
class EventLog;
class EventLoop;
class LeaseManager;
struct LeaseGain;
class ObjectStore;
class PathMonitor;
struct OwnerState;

struct RangeManagerOptions {
  std::string zone;
  Duration hold{};  // Of a grant while the store confirms lease renewals.
  // Of the last grants before the lease expires.
  Duration longest_hold{};
  Duration renew{};        // Between renewals of a grant.
  double clock_guard = 0;  // See HoldTiming.
  Duration margin{};       // For which a packet may be on its way.
  // For which an earlier lease holder may act after its last confirmed renewal.
  Duration lease_duration{};
  // For which an owner does not reply to grants before its keys move.
  Duration owner_timeout{};
  BalanceLimits balance;
  Duration balance_interval{};
};

class RangeManager {
 public:
  RangeManager(EventLoop& loop, ObjectStore& store,
               const DeploymentProtocol& protocol, DeploymentView& view,
               PathMonitor& paths, const LeaseManager& lease, EventLog& log,
               RangeManagerOptions options);
  ~RangeManager();
  RangeManager(const RangeManager&) = delete;
  RangeManager& operator=(const RangeManager&) = delete;

  // `handler` runs for each owner that reports in a reply that it is leaving.
  void SetLeavingHandler(
      std::function<void(const UpstreamIncarnation&)> handler) {
    on_leaving_ = std::move(handler);
  }
  // `handler` runs for each table that the store accepted, before the view is
  // updated.
  void SetTableHandler(std::function<void(const RangeTable&)> handler) {
    on_table_written_ = std::move(handler);
  }
  // `handler` runs for moves whose old owners are being asked to release their
  // keys, at intervals, and with a lifetime of zero for those that keep them.
  // Without it moves are not announced.
  void SetMovesHandler(
      std::function<void(const std::string& service,
                         const std::vector<MovingKeys>&, Duration lifetime)>
          handler) {
    on_moves_ = std::move(handler);
  }
  // `continued`: no other host has held the lease since this one held it last.
  void OnLeaseGained(const LeaseGain& gain);
  void OnLeaseLost();
  void OnViewChanged();
  // `loads` is the busy time per second of each cell of the service's keys.
  // `noise` and `request_seconds`: see KeyLoad.
  void SetLoads(const std::string& service, CellLoads loads, double noise,
                double request_seconds);
  // `speeds` maps upstream ids to their speeds relative to the mean, which is
  // 1.
  void SetSpeeds(const std::string& service,
                 std::map<std::string, double> speeds);

 private:
  struct Grant;
  struct Move;
  struct Service;

  void Tick();
  void ClaimTable(const std::string& service);
  // Returns from when on what this host knows of the owners of the zone's
  // ranges is certain. If the store was restored from a copy since another host
  // held the lease, that is when all grants from before have expired.
  MonotonicTime ClaimableAt(const std::string& service) const;
  // Makes a service whose table was last claimed before a restore claim it
  // again. Its moves are given up.
  void NoteRestore(Service& service);
  void OnTableClaimed(const std::string& service, Result<StoredObject> written);
  void CreateTable(const ServiceConfig& config);
  void UpdateService(Service& service);
  void CheckOwners(Service& service);
  void RenewGrants(Service& service);
  void SendGrant(Service& service, const KeyRange& range, Duration hold);
  bool MaySendGrant(const std::string& service, const KeyRange& range);
  // Tells the tracker of holds how a grant ended that was sent at `sent_at`.
  void EndGrant(const std::string& service, const KeyRange& range,
                SentGrantId grant, MonotonicTime sent_at, Duration hold,
                const KeyCommandResult& result);
  void OnGrantReply(const std::string& service, const KeyRange& range,
                    MonotonicTime sent_at, Duration hold,
                    const KeyCommandResult& result);
  // Returns the table as it will be after the moves in progress.
  RangeTable PlannedTable(const Service& service) const;
  // Starts moves of all ranges that `owner` has in `planned`, and applies them
  // to `planned`. Otherwise several owners that leave at the same time would
  // choose the same new owners.
  void Evacuate(Service& service, RangeTable& planned,
                const UpstreamIncarnation& owner, const char* reason);
  // If the zone is evacuated, starts moves of its ranges to other zones, some
  // at a time.
  void EvacuateZone(Service& service, RangeTable& planned);
  void Balance(Service& service);
  // Returns null if a part of the keys is moving already.
  std::shared_ptr<Move> StartMove(Service& service, const PlannedMove& planned,
                                  const char* reason);
  void AdvanceMoves(Service& service);
  // Writes the table when it is time; see NextTableWrite.
  void ScheduleTableWrite(Service& service);
  // Announces the moves that are due for it; see SetMovesHandler.
  void AnnounceMoves(Service& service);
  bool MayAnnounce(const Service& service, const Move& move) const;
  // The old owner may not have received the release.
  void WithdrawMove(Service& service, Move& move);
  void SendRelease(Service& service, const std::shared_ptr<Move>& move);
  // Whether a grant of the keys is on its way to the old owner.
  bool MayTakeKeys(const Move& move) const;
  void WriteTable(Service& service);
  void OnTableWritten(const std::string& service,
                      const std::vector<std::shared_ptr<Move>>& moves,
                      Result<StoredObject> written);
  bool IsMoving(const Service& service, int first, int last) const;
  static std::vector<KeySpan> MovingSpans(const Service& service);
  // Logs an error and returns nothing if the object is malformed.
  std::optional<RangeTable> DecodeTable(const StoredObject& object);
  // Replaces the retired generations of the zone's ranges, except where their
  // keys are moving: those get new ones with the move.
  void ReplaceRetired(Service& service);
  // Gives the range, or a part of one, to its owner again with a new
  // generation. Does nothing if a part of it is moving, or if the table has
  // given it a newer generation.
  void ReplaceGeneration(Service& service, const KeyRange& part,
                         const char* reason);
  Duration CurrentHold() const;
  Duration HoldForRange(const Service& service, const KeyRange& range) const;
  // Whether the upstream may not respond to grants.
  bool IsSuspect(const OwnerState& state) const;
  std::vector<OwnerCandidate> Candidates(const std::string& service) const;
  Service* Find(const std::string& service);
  void ClearServices();

  EventLoop& loop_;
  ObjectStore& store_;
  DeploymentView& view_;
  PathMonitor& paths_;
  const LeaseManager& lease_;
  EventLog& log_;
  RangeManagerOptions options_;
  KeyCommandClient commands_;
  HoldTracker holds_;
  std::function<void(const UpstreamIncarnation&)> on_leaving_;
  std::function<void(const RangeTable&)> on_table_written_;
  std::function<void(const std::string&, const std::vector<MovingKeys>&,
                     Duration)>
      on_moves_;
  bool running_ = false;
  bool ran_before_ = false;  // This process has held the zone's lease before.
  bool no_earlier_grants_ = false;  // No host has sent grants in the zone yet.
  // The store's era in which this host last claimed each service's table. Empty
  // after another host has held the lease.
  std::map<std::string, uint64_t> claimed_eras_;
  // Incremented when the lease is gained or lost. Replies to calls of an
  // earlier epoch are ignored.
  uint64_t epoch_ = 0;
  uint64_t timer_ = 0;
  MonotonicTime started_at_ = kNever;
  // Since when no other host has held the lease; kNever before the first.
  MonotonicTime held_since_ = kNever;
  // By then the authority of all holders had ended that the store knows of.
  MonotonicTime others_until_ = kNever;
  std::map<std::string, std::unique_ptr<Service>> services_;
  std::map<std::string, CellLoads> loads_;
  std::map<std::string, double> noise_;            // Of the loads, by service.
  std::map<std::string, double> request_seconds_;  // By service.
  std::map<std::string, std::map<std::string, double>> speeds_;
};

}  // namespace mimosadeal
