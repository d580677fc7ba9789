// Manages this host's part in the lease on one availability zone, as its holder
// or as a follower; see ranges/zone_lease.h.
//
// A follower sends a ZoneHello to the holder at intervals, and reads the lease
// from the store only when the holder does not respond. The holder renews its
// lease in the store. If no renewal is confirmed in time, it reports the lease
// as lost and stops acting for the zone.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "common/error.h"
#include "common/ids.h"
#include "inner/zone_messages.h"
#include "ranges/zone_lease.h"
#include "store/stored_object.h"

namespace mimosadeal {

class EventLog;
class EventLoop;
class ObjectStore;

inline constexpr char kZoneLeaseKind[] = "zone-leases";

struct LeaseManagerOptions {
  std::string zone;
  std::string host;
  std::string process;  // Unique to this process.
  std::string address;  // This host's inner address.
  bool home = false;    // This host is located in the zone.
  ZoneLeaseTiming timing;
  Duration hello_interval{};
  // For which the holder sends no status before the store is read.
  Duration holder_timeout{};
  // Upper limit of the random delay of a takeover, which keeps hosts that
  // detect the same loss from attempting it together. See also
  // `candidate_count`.
  Duration takeover_jitter{};
  // Fixed delay of a takeover, so that faster hosts attempt it first; see
  // TakeoverDelay.
  Duration takeover_delay{};
};

// What is known of former holders when this host becomes the holder.
struct LeaseGain {
  // No other host has held the lease since this one held it last.
  bool continued = false;
  // By then the authority of all other holders had ended.
  MonotonicTime others_until = kNever;
};

struct LeaseManagerHandlers {
  std::function<void(const std::string& address, const ZoneHello&)> send_hello;
  // Whether the store responded to this host's last read of the registry. If
  // not, no takeover is attempted until a later read of the registry succeeds.
  std::function<bool()> store_reachable;
  // False while this host cannot do the work of a holder and another host can.
  // Then it yields the lease and does not take it.
  std::function<bool()> may_hold;
  // How many hosts may attempt a takeover at the same time.
  std::function<size_t()> candidate_count;
  // Returns a name for this process's next tenure, which no tenure had before:
  // the process's own name, a dot and a suffix.
  std::function<std::string()> new_tenure;
  // This host became the holder.
  std::function<void(const LeaseGain&)> on_gained;
  // The store accepted this host's write of the lease, sent at `sent_at`, as
  // `revision`.
  std::function<void(uint64_t revision, MonotonicTime sent_at)> on_written;
  std::function<void()> on_lost;
};

class LeaseManager {
 public:
  LeaseManager(EventLoop& loop, ObjectStore& store, EventLog& log,
               LeaseManagerOptions options, LeaseManagerHandlers handlers);
  ~LeaseManager();
  LeaseManager(const LeaseManager&) = delete;
  LeaseManager& operator=(const LeaseManager&) = delete;

  void Start();
  // Gives up the lease permanently, as at a planned stop.
  void Resign();
  // Sends a ZoneHello to the holder. Also runs at intervals.
  void SendHello();
  void OnStatus(const ZoneStatus& status);
  // Handles the announcement of a host that became the holder.
  void OnHolderNotice(const ZoneLease& lease);
  // Returns the response to a follower's hello, or nothing while the outcome of
  // this host's takeover is unknown. A holder from another zone yields the
  // lease to a host of the zone that may hold it, and a slow holder to a much
  // faster one.
  std::optional<ZoneStatus> OnHello(const ZoneHello& hello);

  // Whether this host may act for the zone now.
  bool active() const;
  // Until when it may act, unless a later renewal is confirmed.
  MonotonicTime active_until() const;
  // When the last write of the lease that the store confirmed was sent.
  MonotonicTime confirmed_at() const { return confirmed_at_; }
  const std::string& zone() const { return options_.zone; }
  const ZoneLease& lease() const { return lease_; }
  // Whether the lease, as last known, names a tenure of this process. That
  // tenure may have ended.
  bool names_this_process() const { return IsOwnTenure(lease_.process); }

 private:
  bool IsOwnTenure(const std::string& process) const;
  // Whether another host may take the lease without waiting for its expiry.
  bool HolderStopped() const;
  void Tick();
  // Ends a tenure that the store has not confirmed in time.
  void EndExpiredTenure();
  void YieldLease(const char* reason);
  void ReadLease();
  void ScheduleOtherZoneTakeover();
  void RetryAfterReadFailures();
  void OnRead(Result<StoredObject> read);
  void ApplyStoredLease(const StoredObject& object);
  void SetUnreadableLease(uint64_t revision);
  // Whether the store's lease is that of a copy from which the store was
  // restored, and a later one is known.
  bool IsRestoredCopy(const ZoneLease& stored) const;
  void SetLease(const ZoneLease& lease);
  void TryTakeover();
  void TakeOverIfFree();
  void TakeOver();
  // Returns the time by which the authority of the holder that the lease names,
  // and of all before it, has ended. To be called when it may be taken over.
  MonotonicTime OthersUntil() const;
  void Renew();
  Duration NextAttemptDelay(MonotonicTime now) const;
  void WriteLease(ZoneLease next);
  void OnConflict(const StoredObject& object);
  void OnWritten(MonotonicTime sent_at, const std::string& tenure,
                 Result<StoredObject> written);
  void OnNotWritten(bool takeover, const Error& error);
  void LoseLease(const char* reason);
  void LogFailure(const char* event, const Error& error);
  Duration RandomDelay();

  EventLoop& loop_;
  ObjectStore& store_;
  EventLog& log_;
  LeaseManagerOptions options_;
  LeaseManagerHandlers handlers_;
  Random random_;
  // No other process of this host has run since.
  const MonotonicTime created_at_;
  ZoneLease lease_;  // As last read or written.
  LeaseObservation observation_;
  bool lease_read_ = false;  // The store has responded to a read.
  // The tenure named by the lease has ended: its process did, or there is no
  // lease.
  bool holder_ended_ = false;
  // The holder reported that it was not active when this was the lease's
  // revision; 0 if it did not. A later renewal may have made it active again.
  uint64_t stopped_at_revision_ = 0;
  // When this host learned which tenure holds the lease.
  MonotonicTime holder_known_at_ = kNever;
  bool resigned_ = false;
  // The tenure that this process has, or takes the lease for; else empty. A
  // name that the lease had when its tenure ended is never used again, so a
  // report that a tenure has ended stays true.
  std::string tenure_;
  // Invariant: if set, lease_.process is tenure_. on_gained was called, and
  // on_lost not since.
  bool gained_ = false;
  // The last tenure ended because the store did not confirm it, and no other
  // host is known to have taken the lease.
  bool reacquiring_ = false;
  bool other_held_ = true;  // Another process held it since this one did.
  MonotonicTime others_until_ = kNever;  // For the last takeover.
  bool write_pending_ = false;
  int read_failures_ = 0;  // Consecutive failed reads and takeovers.
  bool read_pending_ = false;
  MonotonicTime confirmed_at_ = kNever;
  MonotonicTime last_status_at_ = kNever;
  MonotonicTime next_attempt_at_ = kNever;
  MonotonicTime yielded_at_ = kNever;
  // When this host noticed that the holder is silent or has stopped; kNever
  // while the holder responds.
  MonotonicTime lease_free_since_ = kNever;
  bool lease_read_requested_ = false;  // Since then.
  MonotonicTime next_renewal_at_ = kNever;
  uint64_t timer_ = 0;
  uint64_t first_read_timer_ = 0;
  uint64_t takeover_timer_ = 0;
  uint64_t expiry_timer_ = 0;  // Runs at active_until().
};

}  // namespace mimosadeal
