// The feed: what the holder of a zone's lease reads from the store, sent to the
// zone's other hosts.

#include <algorithm>
#include <utility>

#include "common/event_log.h"
#include "entry/deployment_view.h"
#include "entry/zone_team.h"
#include "entry/zone_team_state.h"
#include "net/event_loop.h"
#include "ranges/range_table.h"

namespace mimosadeal {
namespace {

// A configuration must be in force within 2 s: a host without a feed for this
// long reads the store itself, and a holder whose last call to the store is
// older than this does not feed.
constexpr Duration kFeedSilence = std::chrono::milliseconds(900);
constexpr Duration kFeedAge = std::chrono::milliseconds(1300);
constexpr Duration kSuccessorWait = std::chrono::milliseconds(500);
// A host that starts waits this long for a feed.
constexpr Duration kFirstFeedWait = std::chrono::milliseconds(900);
// An update that was just sent may still be on its way.
constexpr Duration kResendPause = std::chrono::milliseconds(500);
// Of a follower, to one that is answered with the list of the zone's hosts: one
// in about 5 s.
constexpr int kHellosPerPeerList = 16;
// A list of more does not fit a datagram of ordinary size.
constexpr size_t kMostPeersTold = 70;

// Drops earlier versions of objects that are there more than once.
void KeepLatest(std::vector<StoredObject>& objects) {
  std::map<std::string, uint64_t> latest;
  for (const StoredObject& object : objects)
    latest[object.name] = std::max(latest[object.name], object.revision);
  std::erase_if(objects, [&latest](const StoredObject& object) {
    return object.revision < latest[object.name];
  });
}

}  // namespace

bool ZoneTeam::Feeding() const {
  const LeaseKeeper& lease = *home().lease;
  return lease.active() && view_.ReadsStore() &&
         loop_.timers().now() - lease.confirmed_at() < kFeedAge;
}

void ZoneTeam::CheckFeed() {
  const MonotonicTime now = loop_.timers().now();
  view_.SetReplicating(home().lease->active());
  if (home().lease->active()) {
    view_.SetFed(false, "this host holds the lease");
    return;
  }
  const bool starting = now - started_at_ < kFirstFeedWait;
  view_.SetFed(starting || now - fed_at_ < kFeedSilence,
               fed_at_ == kNever ? "the holder does not feed"
                                 : "the holder's last word");
}

void ZoneTeam::OnOwnUpdate(ViewKind kind, const KindUpdate& update) {
  const KindUpdate sent = Compact(kind, update);
  if (!Feeding()) return;
  std::vector<std::string> addresses;
  for (auto& [address, follower] : followers_) {
    if (!follower.wants_feed) continue;
    follower.sent_any = true;
    addresses.push_back(address);
  }
  if (!addresses.empty())
    transport_->SendToAll(addresses, MakeUpdate(kind, sent));
}

void ZoneTeam::TellOfTable(const RangeTable& written) {
  const RangeTable* before = view_.table(written.service);
  if (before == nullptr) return;
  PassOn(TableStepNotice{
      written.service, written.revision,
      EncodeRangeTableStep(StepBetween(*before, written)).dump(),
      static_cast<uint8_t>(ReportReach::kOtherZones)});
}

void ZoneTeam::OnTableStepNotice(const TableStepNotice& notice) {
  const RangeTable* before = view_.table(notice.service);
  if (before == nullptr || before->revision >= notice.revision) return;
  const auto content = nlohmann::json::parse(notice.step, nullptr, false);
  const auto base = StepBase(content);
  if (!base.has_value() || *base > before->revision) return;
  const auto step = DecodeRangeTableStep(content);
  if (!step.has_value()) return;
  auto after = ApplyStep(*before, step.value(), notice.revision);
  if (!after.has_value()) {
    log_.Belief("range-table.unreadable",
                {{"service", notice.service},
                 {"revision", notice.revision},
                 {"reason", DescribeError(after.error())}});
    return;
  }
  view_.ApplyTable(std::move(after.value()));
  if (home().lease->active()) PassOn(notice);
}

void ZoneTeam::PassOn(TableStepNotice notice) {
  const auto reach = static_cast<ReportReach>(notice.reach);
  if (reach == ReportReach::kHost) return;
  notice.reach = static_cast<uint8_t>(ReportReach::kHost);
  std::vector<std::string> addresses;
  for (const auto& [address, follower] : followers_) {
    if (follower.wants_feed) addresses.push_back(address);
  }
  transport_->SendToAll(addresses, notice);
  if (reach != ReportReach::kOtherZones) return;
  notice.reach = static_cast<uint8_t>(ReportReach::kZone);
  addresses.clear();
  for (const auto& [name, zone] : zones_) {
    const std::string& address = zone->lease->lease().address;
    if (!zone->home && !address.empty() && address != options_.inner_address)
      addresses.push_back(address);
  }
  transport_->SendToAll(addresses, notice);
}

// A table of hundreds of ranges changes by a few: followers that have the one
// before need only these.
KindUpdate ZoneTeam::Compact(ViewKind kind, const KindUpdate& update) {
  if (kind != ViewKind::kRangeTables) return update;
  KindUpdate compact = update;
  KeepLatest(compact.objects);
  for (StoredObject& object : compact.objects) {
    if (object.deleted) continue;
    auto read = DecodeRangeTable(object.name, object.revision, object.content);
    if (!read.has_value()) continue;  // The view's own reading logs it.
    const auto before = sent_tables_.find(object.name);
    if (!update.full && before != sent_tables_.end())
      object.content =
          EncodeRangeTableStep(StepBetween(before->second, read.value()));
    sent_tables_[object.name] = std::move(read.value());
  }
  return compact;
}

ViewUpdate ZoneTeam::MakeUpdate(ViewKind kind, const KindUpdate& update) const {
  ViewUpdate message;
  message.process = options_.process;
  message.kind = static_cast<uint8_t>(kind);
  message.full = update.full;
  message.base = update.base;
  message.revision = update.revision;
  const MonotonicTime back_at = view_.store_reachable_since(kind);
  if (back_at != kNever)
    message.store_back_ms_ago = ToMilliseconds(loop_.timers().now() - back_at);
  for (const StoredObject& object : update.objects) {
    message.objects.push_back(
        {object.name, object.revision, object.deleted, object.content.dump()});
  }
  return message;
}

bool ZoneTeam::HasBases(const KindUpdate& update) const {
  return std::all_of(update.objects.begin(), update.objects.end(),
                     [this](const StoredObject& object) {
                       const auto base = StepBase(object.content);
                       if (object.deleted || !base.has_value()) return true;
                       const RangeTable* table = view_.table(object.name);
                       // A step holds for each version on its way; its writer
                       // may have told of some of them already.
                       return table != nullptr && table->revision >= *base;
                     });
}

void ZoneTeam::OnViewUpdate(const ViewUpdate& message) {
  if (message.process != home().lease->lease().process ||
      message.kind >= kViewKinds) {
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
      log_.Request("update.malformed", {{"process", message.process},
                                        {"object", object.name},
                                        {"revision", object.revision}});
      return;
    }
    update.objects.push_back(
        {object.name, object.revision, object.deleted, std::move(content)});
  }
  const auto kind = static_cast<ViewKind>(message.kind);
  if (!view_.fed()) return;
  // Steps that were taken already may lack the table that they started from.
  if (update.revision <= view_.Revisions().at(message.kind)) return;
  const MonotonicTime back_at =
      message.store_back_ms_ago < 0
          ? kNever
          : loop_.timers().now() -
                std::chrono::milliseconds(message.store_back_ms_ago);
  const bool whole = kind != ViewKind::kRangeTables || HasBases(update);
  if (whole && view_.ApplyFed(kind, update, back_at)) {
    // The proof that it is the newest comes with an answer to a question only.
    if (kind == ViewKind::kConfiguration) home().lease->AskHolder();
    return;
  }
  // A step is missing: asks for the whole.
  resync_ = true;
  home().lease->AskHolder();
  resync_ = false;
}

void ZoneTeam::OnHello(const ZoneHello& hello) {
  const MonotonicTime now = loop_.timers().now();
  Follower& follower = followers_[hello.address];
  follower.seen_at = now;
  const auto zone = zones_.find(hello.zone);
  ZoneStatus status;
  status.zone = hello.zone;
  status.process = options_.process;
  if (zone != zones_.end()) status = zone->second->lease->OnHello(hello);
  const bool wants_feed = hello.zone == options_.zone && hello.home &&
                          hello.revisions.size() == kViewKinds;
  follower.wants_feed = wants_feed;
  status.feeding = wants_feed && Feeding();
  if (status.feeding) DescribeFeed(hello, status);
  if (wants_feed && follower.hellos++ % kHellosPerPeerList == 0) {
    for (const auto& [address, peer] : followers_) {
      if (peer.wants_feed && status.peers.size() < kMostPeersTold)
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
  if (!status.feeding) return;
  const FeedDecision decision =
      DecideFeed(follower, hello.revisions, status.revisions, hello.resync, now,
                 kResendPause);
  if (decision.reconnect)
    transport_->Disconnect(transport_->ConnectionTo(hello.address));
  for (size_t kind = 0; kind < kViewKinds; ++kind) {
    if (!decision.send_whole.at(kind)) continue;
    const auto viewed = static_cast<ViewKind>(kind);
    transport_->Send(transport_->ConnectionTo(hello.address),
                     MakeUpdate(viewed, view_.Snapshot(viewed)));
  }
}

void ZoneTeam::DescribeFeed(const ZoneHello& hello, ZoneStatus& status) const {
  const MonotonicTime now = loop_.timers().now();
  status.revisions = view_.Revisions();
  status.hello_sent_at_ms = hello.sent_at_ms;
  for (size_t kind = 0; kind < kViewKinds; ++kind) {
    const MonotonicTime current_at =
        view_.current_at(static_cast<ViewKind>(kind));
    status.ages_ms.push_back(
        current_at == kNever ? -1 : ToMilliseconds(now - current_at));
  }
  const MonotonicTime back_at =
      view_.store_reachable_since(ViewKind::kRegistry);
  if (back_at != kNever)
    status.store_back_ms_ago = ToMilliseconds(now - back_at);
}

FeedDecision DecideFeed(Follower& follower, const std::vector<uint64_t>& copies,
                        const std::vector<uint64_t>& newest, bool resync,
                        MonotonicTime now, Duration resend_pause) {
  FeedDecision decision;
  const bool first = !follower.sent_any;
  for (size_t kind = 0; kind < kViewKinds; ++kind) {
    CopyLag& lag = follower.lags.at(kind);
    const bool lags =
        LagsFor(lag, copies[kind], newest[kind], now, resend_pause);
    if (copies[kind] >= newest[kind] || !(lags || first || resync)) continue;
    decision.send_whole.at(kind) = true;
    decision.reconnect |= lags;
    lag = {};
    follower.sent_any = true;
  }
  return decision;
}

bool LagsFor(CopyLag& lag, uint64_t copy, uint64_t newest, MonotonicTime now,
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

// Counted from when this host asked: the answer may have waited for either.
void ZoneTeam::TakeEvidence(const ZoneStatus& status) {
  const MonotonicTime asked_at(
      std::chrono::milliseconds(status.hello_sent_at_ms));
  const std::vector<uint64_t> own = view_.Revisions();
  const size_t kinds =
      std::min({own.size(), status.revisions.size(), status.ages_ms.size()});
  for (size_t kind = 0; kind < kinds; ++kind) {
    if (status.ages_ms[kind] < 0 || own[kind] < status.revisions[kind])
      continue;
    view_.NoteCurrent(
        static_cast<ViewKind>(kind),
        asked_at - std::chrono::milliseconds(status.ages_ms[kind]));
  }
  if (status.lease_age_ms >= 0) {
    view_.NoteWrite(status.lease_revision,
                    asked_at - std::chrono::milliseconds(status.lease_age_ms));
  }
  view_.NoteStoreReachable(
      status.store_back_ms_ago < 0
          ? kNever
          : loop_.timers().now() -
                std::chrono::milliseconds(status.store_back_ms_ago));
}

void ZoneTeam::OnStatus(const ZoneStatus& status) {
  const auto zone = zones_.find(status.zone);
  if (zone == zones_.end()) return;
  if (zone->second->home && !status.peers.empty()) {
    peers_ = {status.peers.begin(), status.peers.end()};
    other_holders_ = {status.other_holders.begin(), status.other_holders.end()};
  }
  if (zone->second->home && status.active && status.feeding &&
      status.process == zone->second->lease->lease().process) {
    const MonotonicTime now = loop_.timers().now();
    const std::vector<uint64_t> own = view_.Revisions();
    bool lags = false;
    for (size_t kind = 0; kind < std::min(own.size(), status.revisions.size());
         ++kind) {
      lags |= LagsFor(own_lags_.at(kind), own[kind], status.revisions[kind],
                      now, kFeedSilence);
    }
    // A feed that does not arrive is none.
    fed_at_ = lags ? kNever : now;
    TakeEvidence(status);
    view_.SetFed(!lags && !home().lease->active(),
                 lags ? "changes do not arrive" : "the holder feeds");
  } else if (zone->second->home &&
             status.process == zone->second->lease->lease().process) {
    // Does not wait for silence when the holder itself says that it cannot. One
    // that has stopped has a successor soon, who announces itself.
    fed_at_ = status.active
                  ? kNever
                  : std::min(fed_at_, loop_.timers().now() - kFeedSilence +
                                          kSuccessorWait);
    CheckFeed();
  }
  zone->second->lease->OnStatus(status);
}

}  // namespace mimosadeal
