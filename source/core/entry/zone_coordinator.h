// The hosts' work together: the lease on the home zone, those on zones whose
// own hosts are silent, the ranges of the zones held, and what hosts tell each
// other about load and crashes.
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
#include "forwarding/deployment_protocol.h"
#include "inner/inner_transport.h"
#include "inner/load_reports.h"
#include "ranges/key_load.h"
#include "ranges/range_table.h"

namespace mimosadeal {

class EventLog;
class EventLoop;
class LeaseManager;
class ObjectStore;
class RangeManager;

struct ZoneCoordinatorOptions {
  std::string host;
  std::string process;
  std::string zone;
  std::string inner_address;
  Duration longest_hold{};
  double cpu_share = 1;     // Cores of this host.
  double link_mbps = 1000;  // Of this host's link.
};

struct ZoneCoordinatorHandlers {
  std::function<void(uint64_t fingerprint, const std::string& upstream_life)>
      on_crash;
};

// Tells a copy that stays behind from one that an update is on its way to.
struct CopyLag {
  uint64_t target = 0;           // Revision that the copy lacked at `since`.
  MonotonicTime since = kNever;  // kNever while it is not behind.
};

// Takes in the copy's revision and the newest one. Returns whether the copy has
// been behind for longer than `limit`.
bool LagsFor(CopyLag& lag, uint64_t copy, uint64_t newest, MonotonicTime now,
             Duration limit);

// A host that asks this one, as the holder of a lease, whether it lives.
struct Follower {
  MonotonicTime seen_at = kNever;
  bool wants_feed = false;
  bool sent_any = false;
  int hellos = 0;
  std::array<CopyLag, kViewKinds> lags;  // By ViewKind.
};

// What a follower's hello calls for.
struct FeedDecision {
  std::array<bool, kViewKinds> send_whole{};  // By ViewKind.
  // What was sent did not arrive: the connection may be dead without a sign.
  bool reconnect = false;
};

// Decides which kinds the follower gets whole, from the revisions of its copies
// and of the newest ones. A new follower gets at once all that it lacks;
// another only what updates have failed to bring it within `resend_pause`.
// `resync`: it asks for all that it lacks.
FeedDecision DecideFeed(Follower& follower, const std::vector<uint64_t>& copies,
                        const std::vector<uint64_t>& newest, bool resync,
                        MonotonicTime now, Duration resend_pause);

class ZoneCoordinator {
 public:
  // Errors: kIo when the inner address cannot be listened on.
  static Result<std::unique_ptr<ZoneCoordinator>> Start(
      EventLoop& loop, ObjectStore& store, const DeploymentProtocol& protocol,
      DeploymentView& view, EventLog& log, ZoneCoordinatorOptions options,
      ZoneCoordinatorHandlers handlers);
  ~ZoneCoordinator();
  ZoneCoordinator(const ZoneCoordinator&) = delete;
  ZoneCoordinator& operator=(const ZoneCoordinator&) = delete;

  void AddLoad(const std::string& service, int key, Duration busy);
  void AddSpeed(const std::string& service, const std::string& upstream,
                Duration expected, Duration taken);
  // Tells the other hosts of a crash that this host saw.
  void ReportCrash(uint64_t fingerprint, const std::string& upstream_life);
  // Tells the other hosts that an upstream said that it leaves.
  void ReportLeaving(const std::string& upstream, int64_t incarnation);
  // Gives up all leases, as at a planned stop.
  void Resign();
  int leases_held() const;

 private:
  struct Zone;
  using LoadByCell = std::map<std::string, std::map<uint16_t, uint32_t>>;
  // Milliseconds that answers should have taken, and took, by upstream.
  using SpeedByUpstream =
      std::map<std::string, std::map<std::string, SpeedSample>>;

  ZoneCoordinator(EventLoop& loop, ObjectStore& store,
                  const DeploymentProtocol& protocol, DeploymentView& view,
                  EventLog& log, ZoneCoordinatorOptions options,
                  ZoneCoordinatorHandlers handlers);
  void AddZone(const std::string& name, bool home);
  // Watches over the other zones while this host holds its own.
  void AddForeignZones();
  void DropForeignZones();
  void OnViewChanged();
  void OnDatagram(const Frame& frame);
  void OnHello(const ZoneHello& hello);
  void OnStatus(const ZoneStatus& status);
  void OnLeaseNotice(const LeaseNotice& notice);
  void OnTableStepNotice(const TableStepNotice& notice);
  // Tells of a table that this host wrote, as a step from the one it has.
  void TellOfTable(const RangeTable& written);
  void PassOn(TableStepNotice notice);
  // Tells the zone's other hosts and the other zones' holders that this one
  // holds the lease.
  void AnnounceLease();
  // What this host, as the one that feeds, can say of its reading.
  void DescribeFeed(const ZoneHello& hello, ZoneStatus& status) const;
  // Takes in what the host that feeds this one says of its reading.
  void TakeEvidence(const ZoneStatus& status);
  // Whether this host's reading may feed the others.
  bool Feeding() const;
  void CheckFeed();
  void OnOwnUpdate(ViewKind kind, const KindUpdate& update);
  KindUpdate Compact(ViewKind kind, const KindUpdate& update);
  // Whether the tables are here that the update's steps start from.
  bool HasBases(const KindUpdate& update) const;
  ViewUpdate MakeUpdate(ViewKind kind, const KindUpdate& update) const;
  void OnViewUpdate(const ViewUpdate& message);
  void OnCrashReport(const CrashReport& report);
  void OnLeavingReport(const LeavingReport& report);
  // Tells the followers, and the other zones if the report goes that far.
  void PassOn(LeavingReport report);
  void OnLoadReport(const LoadReport& report);
  void ShareLoad();
  void ApplySpeeds();
  // `forward`: to the holder of this zone's lease, who passes it on.
  void SendLoad(const std::string& address, const SpeedByUpstream& speeds,
                bool forward);
  void ShareWithOtherZones();
  Zone& home() const;

  EventLoop& loop_;
  ObjectStore& store_;
  const DeploymentProtocol& protocol_;
  DeploymentView& view_;
  EventLog& log_;
  ZoneCoordinatorOptions options_;
  ZoneCoordinatorHandlers handlers_;
  std::unique_ptr<InnerTransport> transport_;
  std::map<std::string, std::unique_ptr<Zone>> zones_;
  // Zones that this host no longer works for, and since when: calls to the
  // store and to upstreams are still under way that lead back to them.
  std::vector<std::pair<MonotonicTime, std::unique_ptr<Zone>>> retired_zones_;
  // By service, the tables as the followers that had every update have them.
  std::map<std::string, RangeTable> sent_tables_;
  std::map<std::string, Follower> followers_;  // By inner address.
  // Inner addresses of the zone's hosts, as the holder last told them.
  std::set<std::string> peers_;
  // And those of the other zones' holders.
  std::set<std::string> other_holders_;
  MonotonicTime started_at_ = kNever;
  MonotonicTime fed_at_ = kNever;  // When the holder last said that it feeds.
  // Milliseconds of busy time since the last report.
  LoadByCell new_load_;
  std::map<std::string, KeyLoad> loads_;
  SpeedByUpstream new_speeds_;       // Since the last report.
  SpeedByUpstream speeds_;           // With older ones at less weight.
  SpeedByUpstream unshared_speeds_;  // Not told to other zones yet.
  int rounds_to_share_speeds_ = 0;
  uint64_t timer_ = 0;
  uint64_t feed_timer_ = 0;
  std::array<CopyLag, kViewKinds> own_lags_;  // Behind the holder's copies.
  bool resync_ = false;  // Set while a hello asks for whole updates.
  bool resigned_ = false;
};

}  // namespace mimosadeal
