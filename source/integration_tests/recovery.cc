#include "recovery.h"

#include <algorithm>
#include <array>

#include "common/enum_names.h"

namespace mimosadeal {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::array<const char*, 3> kZones = {"medina", "sakiet", "thyna"};
constexpr int kKeys = 65536;
constexpr Duration kStartLimit = seconds(20);
constexpr Duration kCalmTime = seconds(3);
// A registration goes after three reports that did not come.
constexpr Duration kRegistrationLifetime = milliseconds(4500);
// Requests later than this after the return must be served.
constexpr Duration kRecoveryDeadline = seconds(15);
// Time after the deadline for which requests are counted.
constexpr Duration kLateTime = seconds(3);
// A trial ends when all requests were served for this long.
constexpr Duration kServedTime = seconds(2);
constexpr double kQuarter = 0.25;
constexpr double kNearlyAll = 0.9;
constexpr Duration kStep = milliseconds(20);

constexpr EnumNames<StoreTrouble, 9> kStoreTroubleNames = {{
    {StoreTrouble::kNone, "none"},
    {StoreTrouble::kSilent, "silent"},
    {StoreTrouble::kRefuses, "refuses"},
    {StoreTrouble::kSlow, "slow"},
    {StoreTrouble::kLosesResponses, "loses responses"},
    {StoreTrouble::kWritesLate, "writes late"},
    {StoreTrouble::kCompacted, "compacted"},
    {StoreTrouble::kResets, "resets"},
    {StoreTrouble::kRestored, "restored"},
}};

constexpr EnumNames<UpstreamsEnd, 4> kUpstreamsEndNames = {{
    {UpstreamsEnd::kNone, "stay"},
    {UpstreamsEnd::kSameIds, "same ids"},
    {UpstreamsEnd::kNewIds, "new ids"},
    {UpstreamsEnd::kNewIdsInPlace, "new ids in place"},
}};

constexpr EnumNames<PathsCut, 4> kPathsCutNames = {{
    {PathsCut::kNone, "none"},
    {PathsCut::kOneHost, "one host"},
    {PathsCut::kOneZone, "one zone"},
    {PathsCut::kAll, "all"},
}};

constexpr EnumNames<UpstreamCut, 4> kCutNames = {{
    {UpstreamCut::kNone, "none"},
    {UpstreamCut::kSilent, "silent"},
    {UpstreamCut::kRefused, "refused"},
    {UpstreamCut::kNewOnly, "new only"},
}};

Duration Between(Random& random, int64_t least_ms, int64_t most_ms) {
  return milliseconds(least_ms +
                      static_cast<int64_t>(random.Below(
                          static_cast<uint64_t>(most_ms - least_ms + 1))));
}

void PlanPaths(Random& random, RecoveryPlan& plan) {
  constexpr std::array<UpstreamCut, 3> cuts = {
      UpstreamCut::kSilent, UpstreamCut::kRefused, UpstreamCut::kNewOnly};
  plan.paths = static_cast<PathsCut>(random.Below(4));
  plan.cut = cuts.at(random.Below(cuts.size()));
  plan.store_cut = random.Below(3) == 0;
  plan.cut_begins = -Between(random, 0, 6000);
  plan.cut_ends = plan.down + Between(random, -500, 12000);
}

}  // namespace

RecoveryPlan MakeRecoveryPlan(uint64_t seed, bool full) {
  Random random(seed);
  RecoveryPlan plan;
  plan.hosts = full ? 21 : 6;
  plan.keyed = full ? 23 : 6;
  plan.unkeyed = full ? 6 : 2;
  plan.change_before = Between(random, 0, 500);
  plan.down = Between(random, 500, 2000);
  plan.spread = random.Below(3) == 0 ? Between(random, 300, 4000)
                                     : Between(random, 0, 300);
  plan.store = static_cast<StoreTrouble>(random.Below(9));
  plan.store_begins = -Between(random, 0, 1500);
  plan.store_ends = plan.down + Between(random, -300, 4000);
  if (random.Below(2) == 0)
    plan.upstreams = static_cast<UpstreamsEnd>(random.Below(4));
  plan.upstreams_back = std::max<Duration>(
      milliseconds(100), plan.down + Between(random, -1500, 3000));
  if (random.Below(3) == 0) plan.killed_again = 1 + random.Below(plan.hosts);
  if (random.Below(4) == 0) plan.lost = 1 + random.Below(2);
  if (random.Below(3) == 0) plan.leaving = 1 + random.Below(2);
  if (random.Below(3) == 0) plan.added = 1 + random.Below(2);
  plan.same_request = random.Below(3) == 0;
  plan.odd_entries = random.Below(3) == 0;
  plan.page = random.Below(2) == 0 ? 2 : 500;
  // Each host has a link to each upstream, which a large deployment has no
  // descriptors for.
  if (!full && random.Below(2) == 0) PlanPaths(random, plan);
  return plan;
}

std::string DescribePlan(const RecoveryPlan& plan) {
  const auto ms = [](Duration time) {
    return std::to_string(ToMilliseconds(time));
  };
  std::string text =
      std::to_string(plan.hosts) + " hosts, change " + ms(plan.change_before) +
      " ms before, down " + ms(plan.down) + " ms, spread " + ms(plan.spread) +
      " ms, " + std::to_string(plan.killed_again) + " killed again, " +
      std::to_string(plan.lost) + " lost; store " +
      std::string(NameOf(kStoreTroubleNames, plan.store)) + " from " +
      ms(plan.store_begins) + " to " + ms(plan.store_ends) +
      " ms; upstreams: " +
      std::string(NameOf(kUpstreamsEndNames, plan.upstreams)) + ", back at " +
      ms(plan.upstreams_back) + " ms, " + std::to_string(plan.leaving) +
      " leave, " + std::to_string(plan.added) + " added";
  if (plan.paths != PathsCut::kNone) {
    text += "; paths of " + std::string(NameOf(kPathsCutNames, plan.paths)) +
            " cut (" + std::string(NameOf(kCutNames, plan.cut)) + ") from " +
            ms(plan.cut_begins) + " to " + ms(plan.cut_ends) + " ms" +
            (plan.store_cut ? ", and from the store" : "");
  }
  return text + (plan.same_request ? "; same request" : "") +
         (plan.odd_entries ? "; odd entries" : "") + "; pages of " +
         std::to_string(plan.page);
}

Recovery::Recovery(EntryFixture& fixture, uint64_t seed, RecoveryPlan plan)
    : fixture_(fixture), random_(seed + 1'000'000), plan_(plan) {}

std::string Recovery::ZoneOf(int number) const {
  return kZones.at(static_cast<size_t>(number) % kZones.size());
}

DeploymentUpstream& Recovery::AddUpstream(const std::string& id,
                                          const std::string& service,
                                          int place) {
  DeploymentUpstreamOptions options;
  options.id = id;
  options.service = service;
  options.zone = ZoneOf(place);
  options.slots = 4;
  options.max_queued = 16;
  options.work = milliseconds(service == "yard" ? 61 : 43);
  places_[id] = place;
  return fixture_.AddUpstream(std::move(options), place + 1);
}

void Recovery::StartDeployment() {
  nlohmann::json configuration = fixture_.Configuration(1);
  // The time budgets of the deployment's callers, which are shorter than the
  // routes' usual timeout.
  for (nlohmann::json& route : configuration["virtualHosts"][0]["paths"]) {
    route["timeout"] = "600ms";
    route["targetLatency"] = "200ms";
  }
  fixture_.store->Put("config", "main", configuration);
  fixture_.store->faults().max_page_objects = plan_.page;
  if (plan_.odd_entries) {
    for (const char* name : {"a&b", "a+b", "a#b", "a%41", "a b", "a=b", "z&z"})
      fixture_.store->Put("servers", name, {{"service", "elsewhere"}});
    fixture_.store->Put("servers", "other-1", {{"service", "(unreadable)"}});
  }
  for (int i = 0; i < plan_.keyed; ++i)
    AddUpstream("yard-" + std::to_string(i + 1), "yard", next_place_++);
  for (int i = 0; i < plan_.unkeyed; ++i)
    AddUpstream("desk-" + std::to_string(i + 1), "desk", next_place_++);
  fixture_.link_upstreams = plan_.paths != PathsCut::kNone;
  for (int i = 0; i < plan_.hosts; ++i) {
    const std::string name = "host-" + std::to_string(i + 1);
    fixture_.extra_settings[name] =
        "[limits]\ncpu_share = 0.14\nlink_mbps = 700\nmemory_mb = 182\n";
    fixture_.AddHost(name, ZoneOf(i));
  }
  CHECK(fixture_.RunUntil([this] { return fixture_.EveryKeyIsHeld(); },
                          kStartLimit));
  for (const auto& entry : fixture_.hosts) {
    CHECK(fixture_.RunUntil([&] { return fixture_.Ready(*entry.second); },
                            kStartLimit));
  }
}

void Recovery::At(Duration after, std::function<void()> action) {
  actions_.emplace(fault_at_ + after, std::move(action));
  calm_at_ = std::max(calm_at_, fault_at_ + after);
}

void Recovery::ReturnAt(Duration after, std::function<void()> action) {
  returned_at_ = std::max(returned_at_, fault_at_ + after);
  At(after, std::move(action));
}

void Recovery::ScheduleFaults() {
  // All that begins before the final fault does so within this time.
  fault_at_ = Now() + seconds(6);
  At(-plan_.change_before, [this] {
    nlohmann::json newer = fixture_.store->Find("config", "main")->at("spec");
    newer["version"] = "r2";
    newer["virtualHosts"][0]["paths"][3]["pathPrefix"] = "/newer/";
    fixture_.store->Put("config", "main", newer);
  });
  for (int i = 0; i < plan_.added; ++i) {
    At(-Between(random_, 0, 1500), [this] {
      const std::string id = "yard-" + std::to_string(100 + next_place_);
      AddUpstream(id, "yard", next_place_++);
    });
  }
  for (int i = 0; i < plan_.leaving; ++i) {
    const std::string id = "yard-" + std::to_string(i + 1);
    const Duration begins = -Between(random_, 0, 1500);
    At(begins, [this, id] { fixture_.upstreams.at(id)->Report("draining"); });
    if (plan_.upstreams != UpstreamsEnd::kNone) continue;
    At(begins + seconds(4), [this, id] {
      fixture_.store->Remove("servers", id);
      fixture_.CrashUpstream(id);
    });
  }
  ScheduleStoreTrouble();
  if (plan_.paths != PathsCut::kNone) {
    At(plan_.cut_begins, [this] { SetPathsCut(true); });
    At(plan_.cut_ends, [this] { SetPathsCut(false); });
  }
  ScheduleUpstreams();
  ScheduleHosts();
}

void Recovery::ScheduleStoreTrouble() {
  if (plan_.store == StoreTrouble::kNone) return;
  if (plan_.store == StoreTrouble::kRestored)
    At(-seconds(5), [this] { fixture_.store->TakeCopy(); });
  At(plan_.store_begins, [this] { SetStoreTrouble(true); });
  At(plan_.store_ends, [this] { SetStoreTrouble(false); });
}

void Recovery::SetStoreTrouble(bool on) {
  StoreFaults& faults = fixture_.store->faults();
  constexpr int all = 1'000'000;
  switch (plan_.store) {
    case StoreTrouble::kNone:
      return;
    case StoreTrouble::kSilent:
      faults.silent = on;
      if (on) fixture_.store->CancelWatches();
      return;
    case StoreTrouble::kRefuses:
      faults.refuse = on;
      if (on) fixture_.store->CancelWatches();
      return;
    case StoreTrouble::kSlow:
      faults.delay = on ? Between(random_, 100, 400) : Duration::zero();
      return;
    case StoreTrouble::kLosesResponses:
      faults.lose_write_responses = on ? all : 0;
      return;
    case StoreTrouble::kWritesLate:
      faults.late_writes = on ? all : 0;
      faults.late_write_delay = Between(random_, 500, 4000);
      return;
    case StoreTrouble::kCompacted:
      fixture_.store->Compact();
      fixture_.store->CancelWatches();
      return;
    case StoreTrouble::kResets:
      fixture_.store->CancelWatches();
      for (const auto& [name, host] : fixture_.hosts) {
        LinkFaults link;
        link.reset_open = true;
        host->store_link->SetFaults(link);
      }
      return;
    case StoreTrouble::kRestored:
      faults.refuse = on;
      fixture_.store->CancelWatches();
      if (on) return;
      fixture_.store->RestoreCopy();
      fixture_.store->RewriteLost();
      return;
  }
}

void Recovery::SetPathsCut(bool on) {
  for (const auto& [name, host] : fixture_.hosts) {
    const bool chosen =
        plan_.paths == PathsCut::kAll ||
        (plan_.paths == PathsCut::kOneZone && host->zone == kZones[0]) ||
        (plan_.paths == PathsCut::kOneHost && name == "host-1");
    if (!chosen) continue;
    fixture_.SetUpstreamPartition(name, on ? plan_.cut : UpstreamCut::kNone);
    if (plan_.store_cut) fixture_.SetStorePartition(name, on);
  }
}

void Recovery::ScheduleUpstreams() {
  if (plan_.upstreams == UpstreamsEnd::kNone) return;
  At(Duration::zero(), [this] { EndUpstreams(); });
  ReturnAt(plan_.upstreams_back, [this] { ReturnUpstreams(); });
  if (plan_.upstreams == UpstreamsEnd::kSameIds) return;
  At(kRegistrationLifetime, [this] {
    for (const DeploymentUpstreamOptions& options : ended_)
      fixture_.store->Remove("servers", options.id);
  });
}

void Recovery::EndUpstreams() {
  for (const auto& [id, upstream] : fixture_.upstreams)
    ended_.push_back(upstream->options());
  for (const DeploymentUpstreamOptions& options : ended_)
    fixture_.CrashUpstream(options.id);
}

void Recovery::ReturnUpstreams() {
  const bool new_ids = plan_.upstreams != UpstreamsEnd::kSameIds;
  for (const DeploymentUpstreamOptions& options : ended_) {
    const bool moved = plan_.upstreams == UpstreamsEnd::kNewIds;
    const int place = places_.at(options.id);
    AddUpstream(options.id + (new_ids ? "-b" : ""), options.service,
                moved ? place + 3 * plan_.keyed + 3 * plan_.unkeyed : place);
  }
}

void Recovery::ScheduleHosts() {
  At(Duration::zero(), [this] {
    for (const auto& [name, host] : fixture_.hosts) host->process.Signal(9);
    for (const auto& [name, host] : fixture_.hosts) host->process.Kill();
  });
  for (int i = plan_.lost; i < plan_.hosts; ++i) {
    const std::string name = "host-" + std::to_string(i + 1);
    const Duration start =
        plan_.down + Between(random_, 0, ToMilliseconds(plan_.spread));
    const auto start_host = [this, name] {
      fixture_.AddHost(name, fixture_.hosts.at(name)->zone);
    };
    ReturnAt(start, start_host);
    if (i >= plan_.lost + plan_.killed_again) continue;
    const Duration again = start + Between(random_, 0, 1500);
    At(again, [this, name] { fixture_.hosts.at(name)->process.Kill(); });
    ReturnAt(again + Between(random_, 50, 500), start_host);
  }
}

void Recovery::SendRequest() {
  // By the deployment's mix, in tenths of the requests per second of a zone.
  struct Kind {
    uint64_t weight;
    const char* method;
    const char* target;
    bool keyed;
    Duration budget;
  };
  constexpr std::array<Kind, 3> kinds = {
      {{47, "GET", "/lookup/", true, milliseconds(500)},
       {18, "POST", "/hold/", true, milliseconds(600)},
       {17, "POST", "/charge/", false, milliseconds(400)}}};
  uint64_t chosen = random_.Below(47 + 18 + 17);
  const Kind* kind = kinds.data();
  while (chosen >= kind->weight) chosen -= (kind++)->weight;
  const int host = plan_.lost + 1 +
                   static_cast<int>(random_.Below(plan_.hosts - plan_.lost));
  const int key = kind->keyed ? static_cast<int>(random_.Below(kKeys)) : -1;
  const std::string target =
      kind->target +
      (plan_.same_request ? "a" : std::to_string(++next_target_));
  sent_.push_back(
      {Now(), fixture_.Start(*fixture_.hosts.at("host-" + std::to_string(host)),
                             kind->method, target, key, "body", kind->budget)});
}

void Recovery::RunTraffic(MonotonicTime end,
                          const std::function<bool()>& done) {
  while (Now() < end && !done()) {
    SendRequest();
    fixture_.RunFor(kStep);
    while (!actions_.empty() && actions_.begin()->first <= Now()) {
      const auto action = std::move(actions_.begin()->second);
      actions_.erase(actions_.begin());
      action();
    }
  }
}

double Recovery::Served(MonotonicTime from, MonotonicTime to) const {
  int served = 0;
  int all = 0;
  for (const SentRequest& request : sent_) {
    if (request.at < from || request.at >= to) continue;
    ++all;
    served += request.response->status == 200 ? 1 : 0;
  }
  return all == 0 ? 0 : static_cast<double>(served) / all;
}

RecoveryResult Recovery::Run() {
  StartDeployment();
  const MonotonicTime began = Now();
  RunTraffic(began + kCalmTime, [] { return false; });
  ScheduleFaults();
  RunTraffic(calm_at_, [] { return false; });
  RecoveryResult result;
  result.served_before = Served(began, began + kCalmTime);
  MonotonicTime quarter_at = kNever;
  MonotonicTime all_at = kNever;
  const MonotonicTime end = calm_at_ + kRecoveryDeadline + kLateTime;
  RunTraffic(end, [&] {
    // The newest requests may still be in progress.
    const MonotonicTime to = Now() - seconds(1);
    const double served = Served(to - seconds(1), to);
    if (served < kQuarter) quarter_at = kNever;
    if (served >= kQuarter && quarter_at == kNever) quarter_at = to;
    if (served < kNearlyAll || !fixture_.EveryKeyIsHeld()) {
      all_at = kNever;
    } else if (all_at == kNever) {
      all_at = to;
    }
    return all_at != kNever && Now() >= calm_at_ + kServedTime &&
           to - all_at >= kServedTime;
  });
  // A window of a second before `to` was served.
  const auto after = [&](MonotonicTime at, MonotonicTime from) {
    return at == kNever
               ? end - from
               : std::max<Duration>(at - seconds(1) - from, Duration::zero());
  };
  result.quarter_after = after(quarter_at, calm_at_);
  result.all_after = after(all_at, calm_at_);
  result.quarter_after_return = after(quarter_at, returned_at_);
  if (Now() >= end) {
    fixture_.RunFor(seconds(1));
    result.served_late = Served(calm_at_ + kRecoveryDeadline, end);
  }
  return result;
}

}  // namespace mimosadeal
