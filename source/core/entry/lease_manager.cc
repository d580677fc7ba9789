#include "entry/lease_manager.h"

#include <utility>

#include "common/event_log.h"
#include "net/event_loop.h"
#include "store/object_store.h"

namespace mimosadeal {
namespace {

// Between attempts to renew while the store does not answer.
constexpr Duration kRenewalRetry = std::chrono::milliseconds(300);
// A holder in another zone keeps the lease for this long at least, so that a
// zone whose hosts come and go does not change hands all the time.
constexpr Duration kForeignHold = std::chrono::seconds(3);
// A holder gives way to a host of its zone that is faster by this much in the
// order of takeovers; half of the whole order.
constexpr Duration kWorthGivingWay = std::chrono::milliseconds(400);
// Not again for this long: the faster host may not reach the store.
constexpr Duration kGiveWayPause = std::chrono::seconds(20);
// The hosts of a zone take its lease within about a second of their start.
constexpr Duration kFirstForeignRead = std::chrono::milliseconds(1500);
// For a rival's notice to arrive before the next one tries.
constexpr Duration kSpreadPerRival = std::chrono::milliseconds(20);
// Silences between attempts while the store does not answer, at most.
constexpr int kMostBackoffSteps = 2;

}  // namespace

LeaseManager::LeaseManager(EventLoop& loop, ObjectStore& store, EventLog& log,
                           LeaseManagerOptions options,
                           LeaseManagerHandlers handlers)
    : loop_(loop),
      store_(store),
      log_(log),
      options_(std::move(options)),
      handlers_(std::move(handlers)),
      random_(SystemSeed()) {
  lease_.zone = options_.zone;
}

LeaseManager::~LeaseManager() {
  loop_.timers().Cancel(timer_);
  loop_.timers().Cancel(first_read_timer_);
}

void LeaseManager::Start() {
  const MonotonicTime now = loop_.timers().now();
  last_status_at_ = now;
  next_attempt_at_ = options_.home ? now : now + options_.silence;
  timer_ = loop_.timers().Every(options_.hello_interval, [this] { Tick(); });
  if (options_.home) {
    ReadLease();
  } else {
    // Learns who holds the zone, to tell it about load and crashes.
    first_read_timer_ =
        loop_.timers().After(kFirstForeignRead, [this] { ReadLease(); });
  }
}

Duration LeaseManager::Spread() {
  const Duration longest =
      std::max(options_.attempt_spread,
               kSpreadPerRival * static_cast<int64_t>(handlers_.rivals()));
  return Duration(static_cast<int64_t>(random_.Unit() *
                                       static_cast<double>(longest.count())));
}

bool LeaseManager::active() const {
  return holds() && !resigned_ &&
         LeaseHeld(confirmed_at_, options_.timing, loop_.timers().now());
}

MonotonicTime LeaseManager::active_until() const {
  return confirmed_at_ + options_.timing.duration;
}

void LeaseManager::Tick() {
  if (resigned_) return;
  const MonotonicTime now = loop_.timers().now();
  if (holds()) {
    if (gained_ && !active()) Lose("the store did not confirm it in time");
    if (now >= next_renewal_at_) Renew();
    return;
  }
  AskHolder();
  const bool silent = now - last_status_at_ >= options_.silence;
  if (!silent && !holder_stopped_) {
    free_since_ = kNever;
    asked_store_ = false;
    return;
  }
  if (free_since_ == kNever) {
    free_since_ = now;
    next_attempt_at_ =
        std::max(next_attempt_at_, now + options_.attempt_delay + Spread());
  }
  if (now < next_attempt_at_ || !handlers_.store_reachable()) return;
  next_attempt_at_ =
      now + NextAttemptDelay(now) + options_.attempt_delay + Spread() / 2;
  Attempt();
}

void LeaseManager::Attempt() {
  // What the holder last said of its lease tells as much as the store does,
  // but for a renewal that a holder made just before it fell silent.
  const bool observed = options_.home && read_failures_ == 0 &&
                        lease_.revision != 0 &&
                        observation_.revision == lease_.revision &&
                        (holder_stopped_ || asked_store_);
  if (!observed) {
    asked_store_ = true;
    ReadLease();
  } else if (holder_stopped_ || LeaseExpired(observation_, options_.timing,
                                             loop_.timers().now())) {
    TakeOver();
  }
}

Duration LeaseManager::NextAttemptDelay(MonotonicTime now) const {
  if (read_failures_ > 0)
    return options_.silence * std::min(read_failures_, kMostBackoffSteps);
  const Duration left = observation_.since == kNever
                            ? options_.silence
                            : LeaseExpiry(observation_, options_.timing) - now;
  return left > Duration::zero() ? left : options_.silence;
}

void LeaseManager::AskHolder() {
  if (lease_.revision == 0 || lease_.address.empty()) return;
  ZoneHello hello;
  hello.zone = options_.zone;
  hello.host = options_.host;
  hello.address = options_.address;
  hello.home = options_.home;
  hello.takeover_delay_ms =
      static_cast<uint32_t>(ToMilliseconds(options_.attempt_delay));
  handlers_.send_hello(lease_.address, hello);
}

void LeaseManager::OnStatus(const ZoneStatus& status) {
  if (holds() || status.zone != options_.zone) return;
  if (status.process != lease_.process) {
    // Another process answers at the holder's address: the holder has ended.
    NoteHolderStopped();
    return;
  }
  if (!status.active) {
    NoteHolderStopped();
    return;
  }
  last_status_at_ = loop_.timers().now();
  holder_stopped_ = false;
  // The holder had written this revision before it said so.
  if (status.lease_revision >= observation_.revision) {
    ObserveLease(observation_, status.lease_revision, last_status_at_);
    lease_.revision = status.lease_revision;
  }
}

void LeaseManager::NoteHolderStopped() {
  holder_stopped_ = true;
  if (read_failures_ == 0) return;
  // The answer shows that this host is connected again.
  read_failures_ = 0;
  next_attempt_at_ = loop_.timers().now();
}

ZoneStatus LeaseManager::OnHello(const ZoneHello& hello) {
  const MonotonicTime now = loop_.timers().now();
  const bool held_for_long = active() && now - last_status_at_ > kForeignHold;
  if (held_for_long && hello.home) {
    const bool faster =
        std::chrono::milliseconds(hello.takeover_delay_ms) + kWorthGivingWay <=
        options_.attempt_delay;
    if (!options_.home) {
      GiveWay("a host of the zone has returned");
    } else if (faster && now - gave_way_at_ > kGiveWayPause) {
      gave_way_at_ = now;
      GiveWay("a faster host of the zone can hold it");
    }
  }
  ZoneStatus status;
  status.zone = options_.zone;
  status.process = options_.process;
  status.term = holds() ? lease_.term : 0;
  status.active = active();
  status.lease_revision = lease_.revision;
  if (holds() && confirmed_at_ != kNever)
    status.lease_age_ms = ToMilliseconds(now - confirmed_at_);
  return status;
}

void LeaseManager::GiveWay(const char* reason) {
  const MonotonicTime now = loop_.timers().now();
  Lose(reason);
  lease_.process.clear();
  next_attempt_at_ = now + options_.silence + options_.attempt_delay;
  last_status_at_ = now;
}

void LeaseManager::ReadLease() {
  if (read_pending_ || write_pending_) return;
  read_pending_ = true;
  // The first only tells whom to ask.
  const ReadAge age = known_ ? ReadAge::kNewest : ReadAge::kMayBeOld;
  store_.Get(
      kZoneLeaseKind, options_.zone,
      [this](Result<StoredObject> read) {
        read_pending_ = false;
        OnRead(std::move(read));
      },
      age);
}

void LeaseManager::OnRead(Result<StoredObject> read) {
  if (resigned_) return;
  const bool answered =
      read.has_value() || read.error().code == ErrorCode::kNotFound;
  read_failures_ = answered ? 0 : read_failures_ + 1;
  if (!answered) LogFailure("lease.not-read", read.error());
  if (!read.has_value()) {
    if (!answered) return;
    if (!known_ && !options_.home) {
      known_ = true;  // The zone's own hosts come first.
      return;
    }
    lease_ = {};
    lease_.zone = options_.zone;
    holder_stopped_ = true;  // There is none.
    loop_.timers().After(
        known_ ? Duration::zero() : Spread() + options_.attempt_delay,
        [this] { ConsiderTakeover(); });
    known_ = true;
    return;
  }
  Follow(read.value());
  if (!known_ && !holds()) AskHolder();
  known_ = true;
  ConsiderTakeover();
}

void LeaseManager::Follow(const StoredObject& object) {
  const auto decoded =
      DecodeZoneLease(options_.zone, object.revision, object.content);
  ObserveLease(observation_, object.revision, loop_.timers().now());
  if (!decoded.has_value()) {
    log_.Belief("lease.unreadable",
                {{"zone", options_.zone}, {"reason", decoded.error().message}});
    lease_ = {};
    lease_.zone = options_.zone;
    lease_.revision = object.revision;
    return;
  }
  Adopt(decoded.value());
}

void LeaseManager::OnNotice(const ZoneLease& lease) {
  if (resigned_ || holds() || lease.revision <= lease_.revision) return;
  ObserveLease(observation_, lease.revision, loop_.timers().now());
  Adopt(lease);
  AskHolder();
}

void LeaseManager::Adopt(const ZoneLease& lease) {
  if (lease.process != lease_.process) {
    log_.Belief("lease.holder", {{"zone", options_.zone},
                                 {"holder", lease.holder},
                                 {"term", lease.term},
                                 {"revision", lease.revision}});
    last_status_at_ = loop_.timers().now();
    holder_stopped_ = false;
  }
  lease_ = lease;
  // This host's earlier process held it, and has ended.
  if (lease_.holder == options_.host && lease_.process != options_.process)
    holder_stopped_ = true;
}

void LeaseManager::ConsiderTakeover() {
  if (resigned_ || holds() || write_pending_) return;
  const MonotonicTime now = loop_.timers().now();
  if (holder_stopped_ || lease_.revision == 0) {
    TakeOver();
    return;
  }
  const bool silent = now - last_status_at_ >= options_.silence;
  if (!silent) return;
  if (LeaseExpired(observation_, options_.timing, now)) TakeOver();
}

void LeaseManager::TakeOver() {
  if (write_pending_ || read_pending_) return;
  ZoneLease next = lease_;
  next.holder = options_.host;
  next.process = options_.process;
  next.address = options_.address;
  next.term = lease_.term + 1;
  next.renewals = 0;
  write_pending_ = true;
  const MonotonicTime sent_at = loop_.timers().now();
  store_.Write(
      {kZoneLeaseKind, options_.zone, lease_.revision, EncodeZoneLease(next)},
      [this, sent_at](Result<StoredObject> written) {
        OnWritten(sent_at, true, std::move(written));
      });
}

void LeaseManager::Renew() {
  if (write_pending_) return;
  ZoneLease next = lease_;
  ++next.renewals;
  write_pending_ = true;
  const MonotonicTime sent_at = loop_.timers().now();
  next_renewal_at_ = sent_at + options_.timing.renew;
  store_.Write(
      {kZoneLeaseKind, options_.zone, lease_.revision, EncodeZoneLease(next)},
      [this, sent_at](Result<StoredObject> written) {
        OnWritten(sent_at, false, std::move(written));
      });
}

void LeaseManager::OnWritten(MonotonicTime sent_at, bool takeover,
                             Result<StoredObject> written) {
  write_pending_ = false;
  if (resigned_) return;
  const MonotonicTime now = loop_.timers().now();
  if (!written.has_value()) {
    if (written.error().code != ErrorCode::kConflict) {
      LogFailure("lease.not-written", written.error());
      next_renewal_at_ = now + kRenewalRetry;
      if (takeover) {
        ++read_failures_;
        next_attempt_at_ = now + NextAttemptDelay(now) + Spread();
      }
      return;
    }
    // Somebody changed it: another host, or an earlier write of this process
    // whose answer was lost.
    store_.Get(kZoneLeaseKind, options_.zone,
               [this](Result<StoredObject> read) {
                 if (resigned_) return;
                 if (!read.has_value()) {
                   LogFailure("lease.not-read", read.error());
                   return;
                 }
                 OnConflict(read.value());
               });
    return;
  }
  Follow(written.value());
  if (!holds()) return;
  confirmed_at_ = sent_at;
  handlers_.on_written(lease_.revision, sent_at);
  next_renewal_at_ = sent_at + options_.timing.renew;
  if (!gained_) {
    gained_ = true;
    last_status_at_ = now;
    log_.Belief("lease.gained", {{"zone", options_.zone},
                                 {"term", lease_.term},
                                 {"takeover", takeover}});
    handlers_.on_gained();
  }
}

void LeaseManager::OnConflict(const StoredObject& object) {
  Follow(object);
  if (holds()) {
    // A rival may have been watching this revision since it was written, so it
    // confirms nothing; only the next change does.
    Renew();
  } else {
    Lose("another host holds it");
  }
}

void LeaseManager::LogFailure(const char* event, const Error& error) {
  log_.Belief(event, {{"zone", options_.zone},
                      {"revision", lease_.revision},
                      {"reason", DescribeError(error)}});
}

void LeaseManager::Lose(const char* reason) {
  if (!gained_) return;
  gained_ = false;
  log_.Belief("lease.lost",
              {{"zone", options_.zone},
               {"term", lease_.term},
               {"reason", reason},
               {"confirmed_ms_ago", loop_.timers().now() - confirmed_at_}});
  handlers_.on_lost();
}

void LeaseManager::Resign() {
  Lose("resigned");
  resigned_ = true;
}

}  // namespace mimosadeal
