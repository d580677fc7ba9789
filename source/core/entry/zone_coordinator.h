// Coordinates this host with the others: the lease on its own availability zone
// (the home zone), the leases on zones whose hosts do not respond, the ranges
// of the zones whose leases this host holds, and the exchange of load, crash
// and leaving reports.
//
// The holder of the home zone's lease reads the store and replicates updates of
// the view to its followers, the zone's other hosts. This stream is the feed.
#pragma once

#include <array>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>

#include "common/boot_clock.h"
#include "entry/deployment_view.h"
#include "entry/permit_broker.h"
#include "forwarding/deployment_protocol.h"
#include "inner/inner_transport.h"
#include "inner/load_reports.h"
#include "ranges/key_load.h"
#include "ranges/range_table.h"

namespace mimosadeal {

class ContendedOwners;
class EventLog;
class EventLoop;
class LeaseManager;
class ObjectStore;
class PathMonitor;
class RangeManager;
struct OwnerContention;
struct OwnerPlaceNotice;
struct OwnerPlaceRequest;
struct MoveNotice;
struct MovingKeys;

struct ZoneCoordinatorOptions {
  std::string host;
  std::string process;
  std::string zone;
  std::string inner_address;
  Duration longest_hold{};
  double cpu_share = 1;     // Cores of this host.
  double link_mbps = 1000;  // Of this host's link.
  // See RoomLender. Hosts lend and borrow no room unless it is scarce.
  bool scarce_room = false;
  // See ContendedOwners. Without it no owner counts as contended.
  bool owner_room = false;
  // Whether moves of keys are announced; see Settings::await_moves.
  bool await_moves = false;
};

struct ZoneCoordinatorHandlers {
  std::function<void(uint64_t fingerprint, const std::string& upstream_life)>
      on_crash;
  // A message of the relay's types; see ExchangeRelay::OnMessage.
  std::function<void(ConnectionId, const Frame&)> on_relay_message;
  // See InnerTransportHandlers::on_long_frame.
  std::function<std::optional<bool>(ConnectionId, const FrameStart&,
                                    std::string_view begun)>
      on_long_frame;
  // See InnerTransportHandlers::on_silent_frame.
  std::function<bool(ConnectionId, const FrameStart&, std::string_view begun)>
      on_silent_frame;
  std::function<void(ConnectionId)> on_disconnected;
  // Room that was lent to this host.
  std::function<void(const RoomLoan&)> on_room_loan;
  std::function<void(const MoveNotice&)> on_move_notice;
  // See LeaseManagerHandlers::may_hold.
  std::function<bool()> may_hold_leases;
};

// Distinguishes a copy that receives no updates from one that is only waiting
// for an update in flight.
struct CopyLag {
  uint64_t target = 0;           // Newest revision at `since`.
  MonotonicTime since = kNever;  // kNever while the copy is up to date.
};

// Records the revision of a copy and the newest one. Returns whether the copy
// has lacked one revision for longer than `limit`.
bool LagExceeds(CopyLag& lag, uint64_t copy, uint64_t newest, MonotonicTime now,
                Duration limit);

// A host that sends hellos to this one, which it knows as the holder of a
// lease.
struct Follower {
  MonotonicTime last_hello_at = kNever;
  bool wants_feed = false;
  size_t kinds = 0;  // Of the view that it wants: the first ones of ViewKind.
  bool sent_any = false;
  int hello_count = 0;
  std::array<CopyLag, kViewKinds> lags;  // By ViewKind.
};

// What to send in response to a follower's hello.
struct FeedDecision {
  std::array<bool, kViewKinds> send_full{};  // By ViewKind.
  // Earlier updates did not arrive. The connection may be broken without an
  // error.
  bool reconnect = false;
};

// Decides which kinds of objects are sent to the follower in full, from the
// revisions of its copies and the newest revisions. A new follower, or one that
// requests a `resync`, receives all kinds that it is behind on. Other followers
// receive only the kinds that updates have not brought up to date within
// `min_resend_interval`.
FeedDecision DecideFeed(Follower& follower, const std::vector<uint64_t>& copies,
                        const std::vector<uint64_t>& newest, bool resync,
                        MonotonicTime now, Duration min_resend_interval);

class ZoneCoordinator {
 public:
  // Errors: kIo when the inner address cannot be listened on.
  static Result<std::unique_ptr<ZoneCoordinator>> Start(
      EventLoop& loop, ObjectStore& store, const DeploymentProtocol& protocol,
      DeploymentView& view, PathMonitor& paths, EventLog& log,
      ZoneCoordinatorOptions options, ZoneCoordinatorHandlers handlers);
  ~ZoneCoordinator();
  ZoneCoordinator(const ZoneCoordinator&) = delete;
  ZoneCoordinator& operator=(const ZoneCoordinator&) = delete;

  void AddLoad(const std::string& service, int key, Duration busy);
  void AddSpeed(const std::string& service, const std::string& upstream,
                Duration expected, Duration taken);
  // Reports a crash that this host observed to the other hosts.
  // `upstream_life` identifies the incarnation of the upstream; the log has it
  // under this name.
  void ReportCrash(uint64_t fingerprint, const std::string& upstream_life);
  // Reports to the other hosts that an upstream announced that it is leaving.
  void ReportLeaving(const std::string& upstream, int64_t incarnation);
  // Records what an upstream stated about its limit, and reports a change to
  // the other hosts.
  void ReportLimit(const std::string& upstream, int64_t incarnation,
                   const UpstreamLimit& stated);
  // An upstream refused a connection; see DeploymentView::NoteRefused.
  void ReportRefused(const std::string& upstream);
  // Asks for a permit to send one request to an upstream with a limit; see
  // PermitBroker::Ask.
  void AskForPermit(const ListedUpstream& upstream, int rank, Duration wait,
                    PermitBroker::Callback callback);
  // Null unless owners may count as contended; see options.
  ContendedOwners* contended_owners() { return contended_.get(); }
  // This host saw that an owner of keys is contended.
  void ReportContended(const std::string& upstream, int64_t incarnation,
                       std::string_view reason);
  // Asks for a permit and a place for one request to a contended owner.
  void AskForPlace(const ListedUpstream& upstream, int rank, Duration wait,
                   const PlaceAsk& place, PermitBroker::Callback callback);
  void ReturnPlace(const OwnerPlaceNotice& notice);
  // Sends this host's demand for room to the holder of its zone's lease.
  void ReportRoomDemand(const RoomDemand& demand);
  InnerTransport& transport() { return *transport_; }
  // Inner addresses of the zone's other hosts, and of the hosts that hold other
  // zones' leases, as far as they are known.
  std::vector<std::string> ZoneHosts() const;
  std::vector<std::string> OtherHolders() const;
  // Whether this host holds its zone's lease.
  bool HoldsHomeLease() const;
  // Gives up all leases permanently, as at a planned stop.
  void Resign();
  int leases_held() const;

 private:
  struct Zone;
  using LoadByCell = std::map<std::string, std::map<uint16_t, uint32_t>>;
  // Expected and measured response times, by service and upstream.
  using SpeedByUpstream =
      std::map<std::string, std::map<std::string, SpeedSample>>;

  ZoneCoordinator(EventLoop& loop, ObjectStore& store,
                  const DeploymentProtocol& protocol, DeploymentView& view,
                  PathMonitor& paths, EventLog& log,
                  ZoneCoordinatorOptions options,
                  ZoneCoordinatorHandlers handlers);
  void AddZone(const std::string& name, bool home);
  // Monitors the leases of the other zones. Called while this host holds the
  // lease of its own zone.
  void AddOtherZones();
  void DropOtherZones();
  void OnViewChanged();
  // `connection`: kNoConnection for a datagram.
  void OnFrame(ConnectionId connection, const Frame& frame);
  void OnZoneMessage(const Frame& frame);
  void OnHello(const ZoneHello& hello);
  void OnStatus(const ZoneStatus& status);
  void NoteHolderKinds(const ZoneStatus& status);
  // Tells the zone's other hosts and the other zones' holders that this host no
  // longer holds the lease, so that they need not ask.
  void AnnounceLoss();
  void OnLeaseNotice(const LeaseNotice& notice);
  void OnTableStepNotice(const TableStepNotice& notice);
  // Sends a table that this host wrote to other hosts, as a step from the one
  // in the view.
  void AnnounceTable(const RangeTable& written);
  void Forward(TableStepNotice notice);
  // Tells the other zones' holders of changes that this host read, except those
  // of tables, whose steps are sent instead.
  void AnnounceChange(ViewKind kind, const KindUpdate& update);
  void OnChangeNotice(const ChangeNotice& notice);
  // Notifies the zone's other hosts and the other zones' holders that this host
  // holds the lease.
  void AnnounceLease();
  // Fills in how recent this host's copies are. Called while it sends a feed.
  void DescribeFeed(ZoneStatus& status) const;
  // Updates the view with how recent the holder's copies are.
  void ApplyFreshness(const ZoneStatus& status);
  // Whether this host holds the home zone's lease, and reads the store recently
  // enough to send a feed.
  bool CanFeed() const;
  void UpdateFeedState();
  void OnStoreUpdate(ViewKind kind, const KindUpdate& update);
  // Replaces range tables in the update by steps from the tables in
  // `sent_tables_`.
  KindUpdate EncodeSteps(ViewKind kind, const KindUpdate& update);
  // Whether the view has the tables that the steps of the update apply to.
  bool HasBases(const KindUpdate& update) const;
  ViewUpdate MakeUpdate(ViewKind kind, const KindUpdate& update) const;
  void OnViewUpdate(const ViewUpdate& message);
  void OnCrashReport(const CrashReport& report);
  void OnLeavingReport(const LeavingReport& report);
  // Sends the report to the followers and the other zones, as far as its scope
  // allows.
  void Forward(LeavingReport report);
  void OnLimitReport(const LimitReport& report);
  // Sends what this host knows of the upstream's limit to the followers and the
  // other zones, as far as `scope` allows.
  void ForwardLimit(const std::string& upstream, ReportScope scope);
  // Whether this host forwards news of limits to its zone.
  bool SpreadsLimits() const;
  // Sends all limits that this host knows to a new follower.
  void SendLimits(const std::string& address);
  LimitReport MakeLimitReport(const ListedUpstream& upstream,
                              ReportScope scope) const;
  void OnPermitRequest(const PermitRequest& request);
  void OnColdPermitRequest(const ColdPermitRequest& request);
  void OnPermitReply(const PermitReply& reply);
  // Returns the host that gives permits for the upstreams of the zone.
  PermitGiver FindPermitGiver(const std::string& zone) const;
  void MakePermitBroker();
  void OnColdReport(const ColdReport& report);
  // Returns whether it was news that the upstream is cold for that long.
  bool NoteReportedCold(const std::string& upstream, uint32_t cold_ms);
  ColdReport MakeColdReport(const ListedUpstream& upstream,
                            ReportScope scope) const;
  // As ForwardLimit and SendLimits, for the upstreams that may be cold.
  void ForwardCold(const std::string& upstream, ReportScope scope);
  void SendColdReports(const std::string& address);
  void AddPlaceHandlers(PermitBrokerHandlers& handlers);
  void OnOwnerContention(const OwnerContention& report);
  OwnerContention MakeContention(const std::string& upstream,
                                 int64_t incarnation, ReportScope scope) const;
  void ForwardContention(const std::string& upstream, int64_t incarnation,
                         ReportScope scope);
  void OnOwnerPlaceRequest(const OwnerPlaceRequest& message);
  void OnOwnerPlaceNotice(const OwnerPlaceNotice& notice);
  void AnnounceMoves(const std::string& service,
                     const std::vector<MovingKeys>& keys, Duration lifetime);
  void OnMoveNotice(const MoveNotice& notice);
  // Sends the notice on, as far as its scope allows.
  void Forward(MoveNotice notice);
  void MakeRoomLender(Zone& zone);
  // `address` may be this host's.
  void SendRoomDemand(const std::string& address, const RoomDemand& demand);
  void OnRoomDemand(const RoomDemand& demand);
  void OnRoomLoan(const RoomLoan& loan);
  // Lends the room of the zones whose leases this host holds.
  void LendRoom();
  void OnLoadReport(const LoadReport& report);
  void ShareLoad();
  void ApplySpeeds();
  // `forward` is set in reports to the holder of the home zone's lease, which
  // adds them to its own and reports the sums to the other zones.
  void SendLoad(const std::string& address, const SpeedByUpstream& speeds,
                bool forward);
  void ShareWithOtherZones();
  Zone& home() const;

  EventLoop& loop_;
  ObjectStore& store_;
  const DeploymentProtocol& protocol_;
  DeploymentView& view_;
  PathMonitor& paths_;
  EventLog& log_;
  ZoneCoordinatorOptions options_;
  ZoneCoordinatorHandlers handlers_;
  std::unique_ptr<InnerTransport> transport_;
  std::unique_ptr<PermitBroker> permits_;
  std::unique_ptr<ContendedOwners> contended_;  // Null unless owner_room.
  std::map<std::string, std::unique_ptr<Zone>> zones_;
  // Inner addresses of the holders of zones that this host no longer monitors.
  std::map<std::string, std::string> former_holders_;
  // Zones that this host no longer monitors, and since when. They are kept
  // because callbacks of pending calls to the store and to upstreams refer to
  // them.
  std::vector<std::pair<MonotonicTime, std::unique_ptr<Zone>>> retired_zones_;
  // By service, the tables that followers have if they received every update.
  std::map<std::string, RangeTable> sent_tables_;
  std::map<std::string, Follower> followers_;  // By inner address.
  // Inner addresses of the zone's hosts, from the holder's last list.
  std::set<std::string> peers_;
  // Inner addresses of the other zones' holders, from the same list.
  std::set<std::string> other_holders_;
  MonotonicTime started_at_ = kNever;
  // When the holder last confirmed its feed; kNever if there is no feed.
  MonotonicTime fed_at_ = kNever;
  // Milliseconds of busy time since the last report.
  LoadByCell new_load_;
  std::map<std::string, KeyLoad> loads_;
  SpeedByUpstream new_speeds_;       // Since the last report.
  SpeedByUpstream speeds_;           // Older samples have less weight.
  SpeedByUpstream unshared_speeds_;  // Not reported to other zones yet.
  int rounds_until_speed_report_ = 0;
  uint64_t timer_ = 0;
  uint64_t feed_timer_ = 0;
  // The number of kinds in the last feed, which has the first ones of ViewKind.
  size_t feed_kinds_ = kViewKinds;
  // The number of kinds that hellos to the home zone's holder state.
  size_t holder_kinds_ = kCommonViewKinds;
  std::array<CopyLag, kViewKinds> own_lags_;  // Behind the holder, by ViewKind.
  uint64_t last_tenure_ = 0;  // Number of tenures that were named.
  bool resync_ = false;  // Set while a hello that requests a resync is sent.
  bool resigned_ = false;
};

}  // namespace mimosadeal
