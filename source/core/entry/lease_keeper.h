// Holds, or follows, the lease on one zone; see ranges/zone_lease.h.
//
// A follower asks the holder every short while whether it lives, and turns to
// the store only when that stays silent. The holder renews its lease in the
// store; once that has failed for too long it says so and stops acting.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
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

struct LeaseKeeperOptions {
  std::string zone;
  std::string host;
  std::string process;
  std::string address;  // This host's inner address.
  bool home = false;    // This host stands in the zone.
  ZoneLeaseTiming timing;
  Duration hello_interval{};
  Duration silence{};  // Of the holder, after which the store is asked.
  // Spreads the attempts of hosts that notice the same silence.
  Duration attempt_spread{};
  // For faster hosts to come first.
  Duration attempt_delay{};
};

struct LeaseKeeperHandlers {
  std::function<void(const std::string& address, const ZoneHello&)> send_hello;
  // Whether the store answered this host last time; one that is away is looked
  // for elsewhere.
  std::function<bool()> store_reachable;
  // How many hosts may notice the same silence.
  std::function<size_t()> rivals;
  // This host became the holder.
  std::function<void()> on_gained;
  // The store took this host's write of the lease with that revision.
  std::function<void(uint64_t revision, MonotonicTime sent_at)> on_written;
  std::function<void()> on_lost;
};

class LeaseKeeper {
 public:
  LeaseKeeper(EventLoop& loop, ObjectStore& store, EventLog& log,
              LeaseKeeperOptions options, LeaseKeeperHandlers handlers);
  ~LeaseKeeper();
  LeaseKeeper(const LeaseKeeper&) = delete;
  LeaseKeeper& operator=(const LeaseKeeper&) = delete;

  void Start();
  // Gives the lease up for good, as at a planned stop.
  void Resign();
  // Asks the holder whether it lives; also done at intervals.
  void AskHolder();
  void OnStatus(const ZoneStatus& status);
  // A host says that it has become the holder.
  void OnNotice(const ZoneLease& lease);
  // Answers a follower's question. A foreign holder gives the lease up to a
  // host of the zone, and a slow one to a much faster host.
  ZoneStatus OnHello(const ZoneHello& hello);

  // Whether this host may act for the zone now.
  bool active() const;
  // When it must stop unless a renewal is confirmed before.
  MonotonicTime active_until() const;
  // When the last renewal that the store confirmed was sent.
  MonotonicTime confirmed_at() const { return confirmed_at_; }
  const std::string& zone() const { return options_.zone; }
  const ZoneLease& lease() const { return lease_; }

 private:
  bool holds() const { return lease_.process == options_.process; }
  void Tick();
  void GiveWay(const char* reason);
  void ReadLease();
  void NoteHolderStopped();
  void OnRead(Result<StoredObject> read);
  void Follow(const StoredObject& object);
  void Adopt(const ZoneLease& lease);
  void Attempt();
  void ConsiderTakeover();
  void TakeOver();
  void Renew();
  Duration NextAttemptDelay(MonotonicTime now) const;
  void OnConflict(const StoredObject& object);
  void OnWritten(MonotonicTime sent_at, bool takeover,
                 Result<StoredObject> written);
  void Lose(const char* reason);
  void LogFailure(const char* event, const Error& error);
  Duration Spread();

  EventLoop& loop_;
  ObjectStore& store_;
  EventLog& log_;
  LeaseKeeperOptions options_;
  LeaseKeeperHandlers handlers_;
  Random random_;
  ZoneLease lease_;  // As last read or written.
  LeaseObservation observation_;
  bool known_ = false;           // The store was read once.
  bool holder_stopped_ = false;  // The holder's process has ended or resigned.
  bool resigned_ = false;
  bool gained_ = false;  // on_gained was called, and on_lost not yet.
  bool write_pending_ = false;
  int read_failures_ = 0;  // In a row.
  bool read_pending_ = false;
  MonotonicTime confirmed_at_ = kNever;
  MonotonicTime last_status_at_ = kNever;
  MonotonicTime next_attempt_at_ = kNever;
  MonotonicTime gave_way_at_ = kNever;
  // Since when the holder is silent or has stopped; kNever while it lives.
  MonotonicTime free_since_ = kNever;
  bool asked_store_ = false;  // For the lease, since then.
  MonotonicTime next_renewal_at_ = kNever;
  uint64_t timer_ = 0;
  uint64_t first_read_timer_ = 0;
};

}  // namespace mimosadeal
