#include "entry/lease_manager.h"

#include <algorithm>
#include <utility>

#include "common/event_log.h"
#include "net/event_loop.h"
#include "store/object_store.h"
#include "store/store_revision.h"

namespace mimosadeal {
namespace {

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
      random_(SystemSeed()),
      created_at_(loop.timers().now()) {
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

void LeaseManager::OnHolderNotice(const ZoneLease& lease) {
  if (resigned_ || gained_ || lease.revision <= lease_.revision) return;
  ObserveLease(observation_, lease.revision, loop_.timers().now());
  SetLease(lease);
  SendHello();
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
