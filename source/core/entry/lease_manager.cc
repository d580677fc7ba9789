#include "entry/lease_manager.h"

#include <algorithm>
#include <utility>

#include "common/event_log.h"
#include "net/event_loop.h"
#include "store/object_store.h"
#include "store/store_revision.h"

namespace mimosadeal {
namespace {

// Between attempts to write the lease while the store does not respond.
constexpr Duration kRenewalRetryDelay = std::chrono::milliseconds(300);
// A holder from another zone keeps the lease for at least this time, so that
// the lease does not change hosts constantly if the zone's hosts are unstable.
constexpr Duration kMinOtherZoneLeaseTime = std::chrono::seconds(3);
// A holder yields to a host of its zone whose takeover delay is shorter by at
// least this much; half of the largest takeover delay.
constexpr Duration kMinTakeoverDelayGain = std::chrono::milliseconds(400);
// Minimum time between yields to faster hosts, as a faster host may be unable
// to reach the store.
constexpr Duration kMinYieldInterval = std::chrono::seconds(20);
// The hosts of a zone acquire its lease within about a second of their start.
constexpr Duration kOtherZoneFirstReadDelay = std::chrono::milliseconds(1500);
// The zone's own hosts take a free lease within this time, if they can.
constexpr Duration kOtherZoneTakeoverDelay = std::chrono::milliseconds(900);
// Lets the notice of a new holder arrive before the next candidate attempts a
// takeover.
constexpr Duration kRandomDelayPerCandidate = std::chrono::milliseconds(20);
// Limit of the backoff while the store does not respond, in multiples of
// LeaseManagerOptions::holder_timeout.
constexpr int kMaxBackoffSteps = 2;

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
  loop_.timers().Cancel(takeover_timer_);
  loop_.timers().Cancel(expiry_timer_);
}

void LeaseManager::Start() {
  const MonotonicTime now = loop_.timers().now();
  last_status_at_ = now;
  next_attempt_at_ = options_.home ? now : now + options_.holder_timeout;
  timer_ = loop_.timers().Every(options_.hello_interval, [this] { Tick(); });
  if (options_.home) {
    ReadLease();
  } else {
    // This host must know the holder's address to send it load and crash
    // reports.
    first_read_timer_ =
        loop_.timers().After(kOtherZoneFirstReadDelay, [this] { ReadLease(); });
  }
}

Duration LeaseManager::RandomDelay() {
  const Duration max_delay =
      std::max(options_.takeover_jitter,
               kRandomDelayPerCandidate *
                   static_cast<int64_t>(handlers_.candidate_count()));
  return Duration(static_cast<int64_t>(random_.Unit() *
                                       static_cast<double>(max_delay.count())));
}

bool LeaseManager::active() const {
  return gained_ && !resigned_ &&
         LeaseHeld(confirmed_at_, options_.timing, loop_.timers().now());
}

MonotonicTime LeaseManager::active_until() const {
  return confirmed_at_ + options_.timing.duration;
}

bool LeaseManager::IsOwnTenure(const std::string& process) const {
  return process.starts_with(options_.process + ".");
}

bool LeaseManager::HolderStopped() const {
  return holder_ended_ ||
         (stopped_at_revision_ != 0 && stopped_at_revision_ == lease_.revision);
}

void LeaseManager::EndExpiredTenure() {
  if (!gained_ || active()) return;
  reacquiring_ = true;
  LoseLease("the store did not confirm it in time");
}

void LeaseManager::Tick() {
  if (resigned_) return;
  const MonotonicTime now = loop_.timers().now();
  EndExpiredTenure();
  if (gained_) {
    if (!handlers_.may_hold()) {
      YieldLease("this host has no path to the upstreams");
    } else if (now >= next_renewal_at_) {
      Renew();
    }
    return;
  }
  if (reacquiring_ && handlers_.may_hold()) {
    if (now >= next_renewal_at_) TakeOver();
    return;
  }
  SendHello();
  const bool silent = now - last_status_at_ >= options_.holder_timeout;
  if (!silent && !HolderStopped()) {
    lease_free_since_ = kNever;
    lease_read_requested_ = false;
    return;
  }
  if (lease_free_since_ == kNever) {
    lease_free_since_ = now;
    next_attempt_at_ = std::max(next_attempt_at_,
                                now + options_.takeover_delay + RandomDelay());
  }
  if (now < next_attempt_at_ || !handlers_.store_reachable() ||
      !handlers_.may_hold()) {
    return;
  }
  next_attempt_at_ =
      now + NextAttemptDelay(now) + options_.takeover_delay + RandomDelay() / 2;
  TryTakeover();
}

void LeaseManager::TryTakeover() {
  // The holder's last status is as current as the lease in the store, except
  // for a renewal that the holder made just before it became silent.
  const bool observed = options_.home && read_failures_ == 0 &&
                        lease_.revision != 0 &&
                        observation_.revision == lease_.revision &&
                        (HolderStopped() || lease_read_requested_);
  if (!observed) {
    lease_read_requested_ = true;
    ReadLease();
  } else if (HolderStopped() || LeaseExpired(observation_, options_.timing,
                                             loop_.timers().now())) {
    TakeOver();
  }
}

Duration LeaseManager::NextAttemptDelay(MonotonicTime now) const {
  if (read_failures_ > 0)
    return options_.holder_timeout * std::min(read_failures_, kMaxBackoffSteps);
  const Duration left = observation_.since == kNever
                            ? options_.holder_timeout
                            : LeaseExpiry(observation_, options_.timing) - now;
  return left > Duration::zero() ? left : options_.holder_timeout;
}

void LeaseManager::SendHello() {
  if (lease_.revision == 0 || lease_.address.empty()) return;
  ZoneHello hello;
  hello.zone = options_.zone;
  hello.host = options_.host;
  hello.address = options_.address;
  hello.home = options_.home;
  hello.takeover_delay_ms =
      handlers_.may_hold()
          ? static_cast<uint32_t>(ToMilliseconds(options_.takeover_delay))
          : kNoTakeover;
  handlers_.send_hello(lease_.address, hello);
}

void LeaseManager::OnStatus(const ZoneStatus& status) {
  if (gained_ || status.zone != options_.zone) return;
  const bool known_to_have_stopped = HolderStopped();
  if (status.process != lease_.process) {
    // In response to a hello that was sent to the holder, this shows that the
    // holder has ended. Otherwise it may be from an earlier holder.
    if (status.hello_sent_at_ms <=
        ToMilliseconds(holder_known_at_.time_since_epoch())) {
      return;
    }
    holder_ended_ = true;
  } else if (status.active) {
    last_status_at_ = loop_.timers().now();
    holder_ended_ = false;
    stopped_at_revision_ = 0;
    // The holder wrote this revision before it sent the status.
    if (status.lease_revision >= observation_.revision) {
      ObserveLease(observation_, status.lease_revision, last_status_at_);
      lease_.revision = status.lease_revision;
    }
    return;
  } else if (status.lease_revision < lease_.revision) {
    return;  // A renewal has taken effect since, maybe without a response.
  } else {
    // Its last renewal, which a takeover replaces. Without a term the revision
    // may be that of a successor's lease.
    if (status.term != 0) lease_.revision = status.lease_revision;
    stopped_at_revision_ = lease_.revision;
    ObserveLease(observation_, lease_.revision, loop_.timers().now());
  }
  if (!known_to_have_stopped) ScheduleOtherZoneTakeover();
  RetryAfterReadFailures();
}

void LeaseManager::ScheduleOtherZoneTakeover() {
  if (options_.home || resigned_) return;
  // The zone's own hosts try first.
  loop_.timers().Cancel(takeover_timer_);
  takeover_timer_ =
      loop_.timers().After(kOtherZoneTakeoverDelay + RandomDelay(), [this] {
        if (!resigned_ && !gained_ && HolderStopped() &&
            handlers_.store_reachable() && handlers_.may_hold()) {
          TryTakeover();
        }
      });
}

void LeaseManager::RetryAfterReadFailures() {
  if (read_failures_ == 0) return;
  // A status shows that this host is connected again.
  read_failures_ = 0;
  next_attempt_at_ = loop_.timers().now();
}

std::optional<ZoneStatus> LeaseManager::OnHello(const ZoneHello& hello) {
  const MonotonicTime now = loop_.timers().now();
  EndExpiredTenure();
  // The store may have accepted the takeover already, and hosts that know of it
  // would take a status without a lease for the end of the new tenure.
  const bool takeover_pending = !gained_ && !tenure_.empty();
  if (takeover_pending && !resigned_) return std::nullopt;
  const bool held_for_long =
      active() && now - last_status_at_ > kMinOtherZoneLeaseTime;
  const bool may_take_over = hello.takeover_delay_ms != kNoTakeover;
  if (held_for_long && hello.home && may_take_over) {
    const bool faster = std::chrono::milliseconds(hello.takeover_delay_ms) +
                            kMinTakeoverDelayGain <=
                        options_.takeover_delay;
    if (!options_.home) {
      YieldLease("a host of the zone has returned");
    } else if (faster && now - yielded_at_ > kMinYieldInterval) {
      yielded_at_ = now;
      YieldLease("a faster host of the zone can hold it");
    }
  }
  ZoneStatus status;
  status.zone = options_.zone;
  status.process = names_this_process() ? lease_.process : options_.process;
  status.term = names_this_process() ? lease_.term : 0;
  status.active = active();
  status.lease_revision = lease_.revision;
  if (gained_) status.lease_age_ms = ToMilliseconds(now - confirmed_at_);
  return status;
}

void LeaseManager::YieldLease(const char* reason) {
  const MonotonicTime now = loop_.timers().now();
  LoseLease(reason);
  lease_.process.clear();
  next_attempt_at_ = now + options_.holder_timeout + options_.takeover_delay;
  last_status_at_ = now;
}

void LeaseManager::ReadLease() {
  if (read_pending_ || write_pending_) return;
  read_pending_ = true;
  // The first read only provides the address for the hello.
  const ReadConsistency consistency =
      lease_read_ ? ReadConsistency::kNewest : ReadConsistency::kMayBeStale;
  store_.Get(
      kZoneLeaseKind, options_.zone,
      [this](Result<StoredObject> read) {
        read_pending_ = false;
        OnRead(std::move(read));
      },
      consistency);
}

void LeaseManager::OnRead(Result<StoredObject> read) {
  if (resigned_) return;
  const bool store_responded =
      read.has_value() || read.error().code == ErrorCode::kNotFound;
  read_failures_ = store_responded ? 0 : read_failures_ + 1;
  if (!store_responded) LogFailure("lease.not-read", read.error());
  if (!read.has_value()) {
    if (!store_responded) return;
    if (!lease_read_ && !options_.home) {
      lease_read_ = true;  // The zone's own hosts create the lease first.
      return;
    }
    // If the store was restored from a copy without the lease, terms go on.
    const uint64_t term = lease_.term;
    lease_ = {};
    lease_.zone = options_.zone;
    lease_.term = term;
    stopped_at_revision_ = 0;
    holder_ended_ = true;
    loop_.timers().After(lease_read_ ? Duration::zero()
                                     : RandomDelay() + options_.takeover_delay,
                         [this] { TakeOverIfFree(); });
    lease_read_ = true;
    return;
  }
  ApplyStoredLease(read.value());
  if (!lease_read_ && !gained_) SendHello();
  lease_read_ = true;
  TakeOverIfFree();
}

void LeaseManager::ApplyStoredLease(const StoredObject& object) {
  const auto decoded =
      DecodeZoneLease(options_.zone, object.revision, object.content);
  ObserveLease(observation_, object.revision, loop_.timers().now());
  if (!decoded.has_value()) {
    log_.LogStateChange("lease.unreadable",
                        {{"zone", options_.zone},
                         {"revision", object.revision},
                         {"reason", decoded.error().message}});
    SetUnreadableLease(object.revision);
    return;
  }
  if (IsRestoredCopy(decoded.value())) {
    log_.LogStateChange("lease.restored-copy",
                        {{"zone", options_.zone},
                         {"holder", decoded.value().holder},
                         {"term", decoded.value().term},
                         {"known_holder", lease_.holder},
                         {"known_term", lease_.term}});
    // The next write replaces it by a later lease.
    lease_.revision = object.revision;
    return;
  }
  SetLease(decoded.value());
}

// Some process wrote it and may hold the lease by it, until it has not changed
// for the lease's duration. What was known of an earlier holder does not apply.
void LeaseManager::SetUnreadableLease(uint64_t revision) {
  if (revision == lease_.revision && lease_.process.empty()) return;
  const uint64_t term = lease_.term;
  lease_ = {};
  lease_.zone = options_.zone;
  lease_.revision = revision;
  lease_.term = term;
  other_held_ = true;
  reacquiring_ = false;
  holder_ended_ = false;
  stopped_at_revision_ = 0;
  last_status_at_ = loop_.timers().now();
  holder_known_at_ = last_status_at_;
}

bool LeaseManager::IsRestoredCopy(const ZoneLease& stored) const {
  return lease_.revision != 0 &&
         EraOfRevision(stored.revision) > EraOfRevision(lease_.revision) &&
         stored.term < lease_.term;
}

void LeaseManager::OnHolderNotice(const ZoneLease& lease) {
  if (resigned_ || gained_ || lease.revision <= lease_.revision) return;
  ObserveLease(observation_, lease.revision, loop_.timers().now());
  SetLease(lease);
  SendHello();
}

void LeaseManager::SetLease(const ZoneLease& lease) {
  if (!IsOwnTenure(lease.process)) {
    other_held_ = true;
    reacquiring_ = false;
  }
  if (lease.process != lease_.process) {
    log_.LogStateChange("lease.holder", {{"zone", options_.zone},
                                         {"holder", lease.holder},
                                         {"term", lease.term},
                                         {"revision", lease.revision}});
    last_status_at_ = loop_.timers().now();
    holder_known_at_ = last_status_at_;
    holder_ended_ = false;
    stopped_at_revision_ = 0;
    // Earlier attempts were for the lease of the former holder.
    lease_free_since_ = kNever;
    next_attempt_at_ = last_status_at_;
  }
  lease_ = lease;
  // The holder was an earlier process of this host, or an earlier tenure of
  // this process.
  if (lease_.holder == options_.host && lease_.process != tenure_)
    holder_ended_ = true;
}

void LeaseManager::TakeOverIfFree() {
  if (resigned_ || gained_ || write_pending_) return;
  const MonotonicTime now = loop_.timers().now();
  if (HolderStopped() || lease_.revision == 0) {
    TakeOver();
    return;
  }
  const bool silent = now - last_status_at_ >= options_.holder_timeout;
  if (!silent) return;
  if (LeaseExpired(observation_, options_.timing, now)) TakeOver();
}

void LeaseManager::TakeOver() {
  if (write_pending_ || read_pending_ || !handlers_.may_hold()) return;
  tenure_ = handlers_.new_tenure();
  ZoneLease next = lease_;
  next.holder = options_.host;
  next.process = tenure_;
  next.address = options_.address;
  next.term = lease_.term + 1;
  next.renewals = 0;
  WriteLease(next);
}

void LeaseManager::Renew() {
  if (write_pending_) return;
  ZoneLease next = lease_;
  ++next.renewals;
  next_renewal_at_ = loop_.timers().now() + options_.timing.renew;
  WriteLease(next);
}

void LeaseManager::WriteLease(const ZoneLease& next) {
  write_pending_ = true;
  const MonotonicTime sent_at = loop_.timers().now();
  store_.Write(
      {kZoneLeaseKind, options_.zone, lease_.revision, EncodeZoneLease(next)},
      [this, sent_at, tenure = tenure_](Result<StoredObject> written) {
        write_pending_ = false;
        OnWritten(sent_at, tenure, std::move(written));
      });
}

void LeaseManager::OnWritten(MonotonicTime sent_at, const std::string& tenure,
                             Result<StoredObject> written) {
  EndExpiredTenure();
  const bool takeover = !gained_ && tenure == tenure_;
  if (!written.has_value()) {
    if (!resigned_) OnNotWritten(takeover, written.error());
    return;
  }
  if (resigned_ || tenure != tenure_) {
    // A renewal of a tenure that has ended meanwhile. Statuses must state its
    // revision, so that another host can replace it at once.
    lease_.revision = std::max(lease_.revision, written.value().revision);
    return;
  }
  ApplyStoredLease(written.value());
  if (lease_.process != tenure_) return;
  confirmed_at_ = sent_at;
  handlers_.on_written(lease_.revision, sent_at);
  next_renewal_at_ = sent_at + options_.timing.renew;
  loop_.timers().Cancel(expiry_timer_);
  expiry_timer_ = loop_.timers().After(active_until() - loop_.timers().now(),
                                       [this] { EndExpiredTenure(); });
  if (!takeover) return;
  gained_ = true;
  reacquiring_ = false;
  last_status_at_ = loop_.timers().now();
  const bool continued = !std::exchange(other_held_, false);
  log_.LogStateChange("lease.gained", {{"zone", options_.zone},
                                       {"term", lease_.term},
                                       {"tenure", tenure_},
                                       {"takeover", !continued}});
  handlers_.on_gained(continued);
  EndExpiredTenure();
}

void LeaseManager::OnNotWritten(bool takeover, const Error& error) {
  const MonotonicTime now = loop_.timers().now();
  // The takeover may still take effect. This process does not act on it.
  if (takeover) tenure_.clear();
  // The store was restored from a copy without the lease.
  if (error.code == ErrorCode::kNotFound) lease_.revision = 0;
  if (error.code != ErrorCode::kConflict) {
    LogFailure("lease.not-written", error);
    next_renewal_at_ = now + kRenewalRetryDelay;
    if (takeover) {
      ++read_failures_;
      next_attempt_at_ = now + NextAttemptDelay(now) + RandomDelay();
    }
    return;
  }
  // Another host changed the lease, or an earlier write of this process did and
  // its response was lost.
  write_pending_ = true;
  store_.Get(kZoneLeaseKind, options_.zone, [this](Result<StoredObject> read) {
    write_pending_ = false;
    if (resigned_) return;
    if (!read.has_value()) {
      LogFailure("lease.not-read", read.error());
      return;
    }
    OnConflict(read.value());
  });
}

void LeaseManager::OnConflict(const StoredObject& object) {
  EndExpiredTenure();
  ApplyStoredLease(object);
  if (!gained_) return;
  if (lease_.process == tenure_) {
    // Another host may have observed this revision since it was written, and
    // may soon consider it expired. Only the next renewal confirms the lease.
    Renew();
  } else {
    LoseLease("another host holds it");
  }
}

void LeaseManager::LogFailure(const char* event, const Error& error) {
  log_.LogStateChange(event, {{"zone", options_.zone},
                              {"revision", lease_.revision},
                              {"reason", DescribeError(error)}});
}

void LeaseManager::LoseLease(const char* reason) {
  if (!gained_) return;
  gained_ = false;
  tenure_.clear();
  log_.LogStateChange("lease.lost", {{"zone", options_.zone},
                                     {"term", lease_.term},
                                     {"reason", reason},
                                     {"confirmed_ms_ago",
                                      loop_.timers().now() - confirmed_at_}});
  handlers_.on_lost();
}

void LeaseManager::Resign() {
  LoseLease("resigned");
  resigned_ = true;
}

}  // namespace mimosadeal
