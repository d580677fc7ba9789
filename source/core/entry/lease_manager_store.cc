// The part of LeaseManager that reads, takes over and renews the lease in the
// store.

#include <algorithm>
#include <utility>

#include "common/event_log.h"
#include "entry/lease_manager.h"
#include "net/event_loop.h"
#include "store/object_store.h"
#include "store/store_revision.h"

namespace mimosadeal {
namespace {

// Between attempts to write the lease while the store does not respond.
constexpr Duration kRenewalRetryDelay = std::chrono::milliseconds(300);

}  // namespace

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
  others_until_ = OthersUntil();
  tenure_ = handlers_.new_tenure();
  ZoneLease next = lease_;
  next.holder = options_.host;
  next.process = tenure_;
  next.address = options_.address;
  next.term = lease_.term + 1;
  next.renewals = 0;
  WriteLease(next);
}

MonotonicTime LeaseManager::OthersUntil() const {
  MonotonicTime until = loop_.timers().now();
  if (lease_.revision == 0) return until;
  if (observation_.since != kNever &&
      observation_.revision == lease_.revision) {
    until = std::min(until, LeaseExpiry(observation_, options_.timing));
  }
  if (lease_.holder != options_.host || !IsLatestLease(lease_)) return until;
  if (!IsOwnTenure(lease_.process)) return std::min(until, created_at_);
  // A takeover of this process took effect late, and no other host has acted
  // since it was attempted.
  const bool never_gained = other_held_ && others_until_ != kNever;
  return never_gained ? std::min(until, others_until_) : until;
}

void LeaseManager::Renew() {
  if (write_pending_) return;
  ZoneLease next = lease_;
  ++next.renewals;
  next_renewal_at_ = loop_.timers().now() + options_.timing.renew;
  WriteLease(next);
}

void LeaseManager::WriteLease(ZoneLease next) {
  write_pending_ = true;
  // The write is accepted only in the era of the revision that it replaces.
  next.era =
      lease_.revision == 0 ? store_.era() : EraOfRevision(lease_.revision);
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
                                       {"takeover", !continued},
                                       {"others_ended_ms_ago",
                                        last_status_at_ - others_until_}});
  handlers_.on_gained({continued, others_until_});
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

}  // namespace mimosadeal
