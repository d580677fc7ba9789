// The part of ZoneCoordinator that sends and receives the feed: the holder of
// the home zone's lease replicates what it reads from the store to the zone's
// other hosts.

#include <algorithm>
#include <utility>

#include "common/event_log.h"
#include "common/json_text.h"
#include "entry/deployment_view.h"
#include "entry/zone_coordinator.h"
#include "entry/zone_coordinator_state.h"
#include "fleet/propagation.h"
#include "net/event_loop.h"
#include "ranges/range_table.h"
#include "store/store_revision.h"

namespace mimosadeal {
namespace {

// A configuration must be in force within 2 s. So a holder sends no feed if its
// last confirmed write of the lease is older.
constexpr Duration kMaxFeedConfirmationAge = std::chrono::milliseconds(1300);
// For the next holder to announce itself after the holder has stopped.
constexpr Duration kSuccessorWait = std::chrono::milliseconds(500);
// A starting host waits this long for a feed before it reads the store.
constexpr Duration kStartupFeedWait = std::chrono::milliseconds(900);
// The status for one in this many hellos of a follower, about every 5 s,
// includes the list of the zone's hosts.
constexpr int kHellosPerPeerList = 16;
// A longer list does not fit into one unfragmented datagram.
constexpr size_t kMaxListedPeers = 70;

// Removes all but the latest version of each object.
void KeepLatest(std::vector<StoredObject>& objects) {
  std::map<std::string, uint64_t> latest;
  for (const StoredObject& object : objects)
    latest[object.name] = std::max(latest[object.name], object.revision);
  std::erase_if(objects, [&latest](const StoredObject& object) {
    return object.revision < latest[object.name];
  });
}

}  // namespace

bool ZoneCoordinator::CanFeed() const {
  const LeaseManager& lease = *home().lease;
  return lease.active() && view_.ReadsStore() &&
         loop_.timers().now() - lease.confirmed_at() < kMaxFeedConfirmationAge;
}

void ZoneCoordinator::UpdateFeedState() {
  const MonotonicTime now = loop_.timers().now();
  view_.SetReplicating(home().lease->active());
  if (home().lease->active()) {
    view_.SetFed(false, "this host holds the lease");
    return;
  }
  const bool starting = now - started_at_ < kStartupFeedWait;
  view_.SetFed(starting || now - fed_at_ < kFeedTimeout,
               fed_at_ == kNever ? "the holder sends no feed"
                                 : "age of the holder's last feed status",
               feed_kinds_);
}

void ZoneCoordinator::OnStoreUpdate(ViewKind kind, const KindUpdate& update) {
  const KindUpdate sent = EncodeSteps(kind, update);
  AnnounceChange(kind, update);
  if (!CanFeed()) return;
  std::vector<std::string> addresses;
  for (auto& [address, follower] : followers_) {
    if (!follower.wants_feed || follower.kinds <= static_cast<size_t>(kind))
      continue;
    follower.sent_any = true;
    addresses.push_back(address);
  }
  if (!addresses.empty())
    transport_->SendToAll(addresses, MakeUpdate(kind, sent));
}

void ZoneCoordinator::AnnounceChange(ViewKind kind, const KindUpdate& update) {
  if (!home().lease->active() || update.full || update.objects.empty() ||
      kind == ViewKind::kRangeTables) {
    return;
  }
  ChangeNotice notice;
  notice.kind = static_cast<uint8_t>(kind);
  for (const StoredObject& object : update.objects)
    notice.revision = std::max(notice.revision, object.revision);
  for (const std::string& address : OtherHolders())
    transport_->SendDatagram(address, notice);
}

void ZoneCoordinator::OnChangeNotice(const ChangeNotice& notice) {
  if (notice.kind >= view_.kinds()) return;
  view_.ExpectChange(static_cast<ViewKind>(notice.kind), notice.revision);
}

void ZoneCoordinator::AnnounceTable(const RangeTable& written) {
  const RangeTable* before = view_.table(written.service);
  // After a restore of the store, other hosts may not have the same base.
  if (before == nullptr ||
      EraOfRevision(before->revision) != EraOfRevision(written.revision)) {
    return;
  }
  Forward(TableStepNotice{
      written.service, written.revision,
      JsonText(EncodeRangeTableStep(StepBetween(*before, written))),
      static_cast<uint8_t>(ReportScope::kOtherZones)});
}

void ZoneCoordinator::OnTableStepNotice(const TableStepNotice& notice) {
  const RangeTable* before = view_.table(notice.service);
  if (before == nullptr || before->revision >= notice.revision) return;
  const auto content = nlohmann::json::parse(notice.step, nullptr, false);
  const auto base = StepBase(content);
  if (!base.has_value()) return;
  if (*base > before->revision) {
    view_.ReadTablesNow();
    return;
  }
  const auto step = DecodeRangeTableStep(content);
  if (!step.has_value()) return;
  auto after = ApplyStep(*before, step.value(), notice.revision);
  if (!after.has_value()) {
    log_.LogStateChange("range-table.unreadable",
                        {{"service", notice.service},
                         {"revision", notice.revision},
                         {"reason", DescribeError(after.error())}});
    return;
  }
  view_.ApplyTable(std::move(after.value()));
  if (home().lease->active()) Forward(notice);
}

void ZoneCoordinator::Forward(TableStepNotice notice) {
  const auto scope = static_cast<ReportScope>(notice.scope);
  if (scope == ReportScope::kHost) return;
  notice.scope = static_cast<uint8_t>(ReportScope::kHost);
  std::vector<std::string> addresses;
  for (const auto& [address, follower] : followers_) {
    if (follower.wants_feed) addresses.push_back(address);
  }
  transport_->SendToAll(addresses, notice);
  if (scope != ReportScope::kOtherZones) return;
  notice.scope = static_cast<uint8_t>(ReportScope::kZone);
  addresses.clear();
  for (const auto& [name, zone] : zones_) {
    const std::string& address = zone->lease->lease().address;
    if (!zone->home && !address.empty() && address != options_.inner_address)
      addresses.push_back(address);
  }
  transport_->SendToAll(addresses, notice);
}

// Few of a table's hundreds of ranges change at a time. Followers that have the
// previous table need only the changed ranges.
KindUpdate ZoneCoordinator::EncodeSteps(ViewKind kind,
                                        const KindUpdate& update) {
  if (kind != ViewKind::kRangeTables) return update;
  KindUpdate encoded = update;
  KeepLatest(encoded.objects);
  for (StoredObject& object : encoded.objects) {
    if (object.deleted) continue;
    auto read = DecodeRangeTable(object.name, object.revision, object.content);
    if (!read.has_value()) continue;  // The view logs the error.
    const RangeTable* known = view_.table(object.name);
    if (known != nullptr &&
        EraOfRevision(known->revision) < EraOfRevision(object.revision)) {
      // A copy from which the store was restored, which no host uses as a base.
      sent_tables_.erase(object.name);
      continue;
    }
    const auto before = sent_tables_.find(object.name);
    if (!update.full && before != sent_tables_.end())
      object.content =
          EncodeRangeTableStep(StepBetween(before->second, read.value()));
    sent_tables_[object.name] = std::move(read.value());
  }
  return encoded;
}

ViewUpdate ZoneCoordinator::MakeUpdate(ViewKind kind,
                                       const KindUpdate& update) const {
  ViewUpdate message;
  message.process = home().lease->lease().process;
  message.kind = static_cast<uint8_t>(kind);
  message.full = update.full;
  message.base = update.base;
  message.revision = update.revision;
  const MonotonicTime back_at = view_.store_reachable_since(kind);
  if (back_at != kNever)
    message.store_recovered_ms_ago =
        ToMilliseconds(loop_.timers().now() - back_at);
  for (const StoredObject& object : update.objects) {
    message.objects.push_back({object.name, object.revision, object.deleted,
                               JsonText(object.content)});
  }
  return message;
}

bool ZoneCoordinator::HasBases(const KindUpdate& update) const {
  return std::all_of(update.objects.begin(), update.objects.end(),
                     [this](const StoredObject& object) {
                       const auto base = StepBase(object.content);
                       if (object.deleted || !base.has_value()) return true;
                       const RangeTable* table = view_.table(object.name);
                       // A step also applies to the versions between its base
                       // and its result, some of which the view may have from
                       // notices of their writer.
                       return table != nullptr && table->revision >= *base;
                     });
}

void ZoneCoordinator::OnViewUpdate(const ViewUpdate& message) {
  if (message.process != home().lease->lease().process ||
      message.kind >= view_.kinds()) {
    return;
  }
  KindUpdate update;
  update.full = message.full;
  update.base = message.base;
  update.revision = message.revision;
  for (const ViewObject& object : message.objects) {
    nlohmann::json content =
        nlohmann::json::parse(object.content, nullptr, false);
    if (content.is_discarded()) {
      log_.LogRequest("update.malformed", {{"process", message.process},
                                           {"object", object.name},
                                           {"revision", object.revision}});
      return;
    }
    update.objects.push_back(
        {object.name, object.revision, object.deleted, std::move(content)});
  }
  const auto kind = static_cast<ViewKind>(message.kind);
  if (!view_.fed()) return;
  // The base tables of steps that were already applied may no longer be in the
  // view.
  if (update.revision <= view_.Revisions().at(message.kind)) return;
  const MonotonicTime back_at =
      message.store_recovered_ms_ago < 0
          ? kNever
          : loop_.timers().now() -
                std::chrono::milliseconds(message.store_recovered_ms_ago);
  const bool applicable = kind != ViewKind::kRangeTables || HasBases(update);
  if (applicable && view_.ApplyFed(kind, update, back_at)) {
    // Only a status sent in response to a hello confirms that the copy is the
    // newest.
    if (kind == ViewKind::kConfiguration) home().lease->SendHello();
    return;
  }
  // An update is missing, so a resync is requested.
  resync_ = true;
  home().lease->SendHello();
  resync_ = false;
}

void ZoneCoordinator::OnHello(const ZoneHello& hello) {
  const MonotonicTime now = loop_.timers().now();
  Follower& follower = followers_[hello.address];
  follower.last_hello_at = now;
  const auto zone = zones_.find(hello.zone);
  ZoneStatus status;
  status.zone = hello.zone;
  status.process = options_.process;
  if (zone != zones_.end()) {
    auto reply = zone->second->lease->OnHello(hello);
    if (!reply.has_value()) return;
    status = std::move(*reply);
  }
  status.hello_sent_at_ms = hello.sent_at_ms;
  const bool wants_feed = hello.zone == options_.zone && hello.home &&
                          hello.revisions.size() >= kCommonViewKinds;
  const bool is_new = wants_feed && !follower.wants_feed;
  follower.wants_feed = wants_feed;
  // A host of a former build has fewer kinds, and one of this build states all
  // of them once it knows that this host has them.
  const size_t kinds = std::min(hello.revisions.size(), view_.kinds());
  const bool has_more_kinds = wants_feed && kinds > follower.kinds;
  follower.kinds = kinds;
  status.replicating = wants_feed && CanFeed();
  if (status.replicating) DescribeFeed(status);
  if (wants_feed && follower.hello_count++ % kHellosPerPeerList == 0) {
    for (const auto& [address, peer] : followers_) {
      if (peer.wants_feed && status.peers.size() < kMaxListedPeers)
        status.peers.push_back(address);
    }
    status.peers.push_back(options_.inner_address);
    for (const auto& [name, other] : zones_) {
      const std::string& address = other->lease->lease().address;
      if (!other->home && !address.empty())
        status.other_holders.push_back(address);
    }
  }
  transport_->SendDatagram(hello.address, status);
  if (!status.replicating) return;
  const FeedDecision decision =
      DecideFeed(follower, hello.revisions, status.revisions,
                 hello.resync || has_more_kinds, now, kMinResendInterval);
  if (decision.reconnect)
    transport_->Disconnect(transport_->ConnectionTo(hello.address));
  for (size_t kind = 0; kind < kinds; ++kind) {
    if (!decision.send_full.at(kind)) continue;
    const auto view_kind = static_cast<ViewKind>(kind);
    transport_->Send(transport_->ConnectionTo(hello.address),
                     MakeUpdate(view_kind, view_.Snapshot(view_kind)));
  }
  // Limits refer to registered upstreams, so they follow the registry.
  const auto registry = static_cast<size_t>(ViewKind::kRegistry);
  if (is_new || decision.send_full.at(registry)) {
    SendLimits(hello.address);
    SendColdReports(hello.address);
  }
}

void ZoneCoordinator::DescribeFeed(ZoneStatus& status) const {
  const MonotonicTime now = loop_.timers().now();
  status.revisions = view_.Revisions();
  for (size_t kind = 0; kind < view_.kinds(); ++kind) {
    const MonotonicTime current_at =
        view_.current_at(static_cast<ViewKind>(kind));
    status.ages_ms.push_back(
        current_at == kNever ? -1 : ToMilliseconds(now - current_at));
  }
  const MonotonicTime back_at =
      view_.store_reachable_since(ViewKind::kRegistry);
  if (back_at != kNever)
    status.store_recovered_ms_ago = ToMilliseconds(now - back_at);
}

FeedDecision DecideFeed(Follower& follower, const std::vector<uint64_t>& copies,
                        const std::vector<uint64_t>& newest, bool resync,
                        MonotonicTime now, Duration min_resend_interval) {
  FeedDecision decision;
  const bool first = !follower.sent_any;
  const size_t kinds = std::min({copies.size(), newest.size(), kViewKinds});
  for (size_t kind = 0; kind < kinds; ++kind) {
    CopyLag& lag = follower.lags.at(kind);
    const bool lags =
        LagExceeds(lag, copies[kind], newest[kind], now, min_resend_interval);
    if (copies[kind] >= newest[kind] || !(lags || first || resync)) continue;
    decision.send_full.at(kind) = true;
    decision.reconnect |= lags;
    lag = {};
    follower.sent_any = true;
  }
  return decision;
}

bool LagExceeds(CopyLag& lag, uint64_t copy, uint64_t newest, MonotonicTime now,
                Duration limit) {
  if (copy >= newest) {
    lag = {};
    return false;
  }
  if (lag.since == kNever || copy >= lag.target) {
    lag = {newest, now};
    return false;
  }
  return now - lag.since > limit;
}

// Ages count from when this host sent its hello, because both the hello and the
// status may have been delayed.
void ZoneCoordinator::ApplyFreshness(const ZoneStatus& status) {
  const MonotonicTime hello_sent_at(
      std::chrono::milliseconds(status.hello_sent_at_ms));
  const std::vector<uint64_t> own = view_.Revisions();
  const size_t kinds =
      std::min({own.size(), status.revisions.size(), status.ages_ms.size()});
  for (size_t kind = 0; kind < kinds; ++kind) {
    if (status.ages_ms[kind] < 0 || own[kind] < status.revisions[kind])
      continue;
    view_.NoteCurrent(
        static_cast<ViewKind>(kind),
        hello_sent_at - std::chrono::milliseconds(status.ages_ms[kind]));
  }
  if (status.lease_age_ms >= 0) {
    view_.NoteWrite(
        status.lease_revision,
        hello_sent_at - std::chrono::milliseconds(status.lease_age_ms));
  }
  view_.NoteStoreReachable(
      status.store_recovered_ms_ago < 0
          ? kNever
          : loop_.timers().now() -
                std::chrono::milliseconds(status.store_recovered_ms_ago));
}

void ZoneCoordinator::OnStatus(const ZoneStatus& status) {
  const auto zone = zones_.find(status.zone);
  if (zone == zones_.end()) return;
  if (zone->second->home && !status.peers.empty()) {
    peers_ = {status.peers.begin(), status.peers.end()};
    other_holders_ = {status.other_holders.begin(), status.other_holders.end()};
  }
  if (zone->second->home && status.active && status.replicating &&
      status.process == zone->second->lease->lease().process) {
    const MonotonicTime now = loop_.timers().now();
    const std::vector<uint64_t> own = view_.Revisions();
    bool lags = false;
    for (size_t kind = 0; kind < std::min(own.size(), status.revisions.size());
         ++kind) {
      lags |= LagExceeds(own_lags_.at(kind), own[kind], status.revisions[kind],
                         now, kFeedTimeout);
      view_.NoteBehind(static_cast<ViewKind>(kind),
                       own[kind] < status.revisions[kind]);
    }
    // A feed whose updates do not arrive is treated as missing.
    fed_at_ = lags ? kNever : now;
    feed_kinds_ = status.revisions.size();
    ApplyFreshness(status);
    view_.SetFed(!lags && !home().lease->active(),
                 lags ? "updates from the holder do not arrive"
                      : "the holder sends a feed",
                 feed_kinds_);
  } else if (zone->second->home &&
             status.process == zone->second->lease->lease().process) {
    // A holder that reports that it sends no feed is not waited for. If it has
    // stopped, another host takes over soon and announces itself.
    fed_at_ = status.active
                  ? kNever
                  : std::min(fed_at_, loop_.timers().now() - kFeedTimeout +
                                          kSuccessorWait);
    UpdateFeedState();
  }
  zone->second->lease->OnStatus(status);
  if (zone->second->home) NoteHolderKinds(status);
}

// A holder of a former build ignores hellos that state more revisions than it
// has kinds, so this host states those only after a status has shown them.
void ZoneCoordinator::NoteHolderKinds(const ZoneStatus& status) {
  const size_t before = holder_kinds_;
  holder_kinds_ =
      status.replicating
          ? std::clamp(status.revisions.size(), kCommonViewKinds, view_.kinds())
          : kCommonViewKinds;
  if (holder_kinds_ > before) home().lease->SendHello();
}

}  // namespace mimosadeal
