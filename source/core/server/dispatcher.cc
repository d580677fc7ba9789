#include "server/dispatcher.h"

#include <algorithm>
#include <utility>

#include "common/ids.h"
#include "common/log.h"
#include "net/event_loop.h"
#include "requests/dispatch_reply.h"

namespace mimosadeal {
namespace {

constexpr Duration kLedgerFetchTimeout = std::chrono::milliseconds(400);
constexpr Duration kReplicaRetryDelay = std::chrono::milliseconds(50);
// Retry-after times are lengthened by up to this fraction, so that refused
// callers do not retry simultaneously.
constexpr double kRetryJitter = 0.5;

LedgerLimits LimitsOf(const Settings& settings) {
  return {static_cast<size_t>(settings.ledger_entries),
          static_cast<size_t>(settings.ledger_response_bytes),
          settings.ledger_retention};
}

uint64_t FlowOf(const DispatchRequest& message) {
  return HashText(message.tenant, message.shard);
}

size_t RankIndex(const SchedulerState& scheduler, const std::string& rank) {
  for (size_t i = 0; i < scheduler.ranks.size(); ++i) {
    if (scheduler.ranks[i].name == rank) return i;
  }
  // An unknown rank, such as one that was just removed from the configuration,
  // is treated as the least urgent.
  return scheduler.ranks.size() - 1;
}

}  // namespace

Dispatcher::Dispatcher(Environment environment)
    : environment_(std::move(environment)),
      ledger_(LimitsOf(environment_.settings)),
      replication_(environment_.loop, environment_.transport, ledger_,
                   {environment_.process, LimitsOf(environment_.settings),
                    kReplicaRetryDelay}),
      fetcher_(environment_.loop, environment_.transport, ledger_,
               {environment_.process, kLedgerFetchTimeout,
                environment_.settings.ledger_retention},
               [this] { RetryRequestsAwaitingLedger(); }) {}

Dispatcher::~Dispatcher() = default;

Duration Dispatcher::LeaseLeft() const {
  // Reads the clock directly: after the process was suspended, the event loop's
  // cached time may still lie before the end of an expired lease.
  return std::max<Duration>(environment_.member.lease_until - BootClock::now(),
                            Duration::zero());
}

void Dispatcher::OnConfiguration(const Configuration& configuration) {
  configuration_ = configuration;
  for (auto& [id, upstream] : upstreams_) {
    const auto service = configuration_.services.find(upstream.service);
    if (service == configuration_.services.end()) continue;
    for (const WaitingRequest& removed :
         Reconfigure(upstream.scheduler, service->second)) {
      FinishUnsent(removed.ticket, DispatchStatus::kRefused,
                   "the rank was removed", kMinRetryAfter);
    }
    upstream.link->EnsureConnections(service->second.slots);
  }
  OnTable(table_);
}

void Dispatcher::OnTable(const OwnershipTable& table) {
  table_ = table;
  for (const TableUpstream& entry : table_.upstreams) {
    const bool is_dispatcher = entry.dispatcher == environment_.process;
    const auto known_upstream = upstreams_.find(entry.id);
    const auto service = configuration_.services.find(entry.service);
    if (service == configuration_.services.end()) continue;
    if (known_upstream == upstreams_.end() && !is_dispatcher) continue;
    const auto address = ParseSocketAddress(
        RouteAddress(environment_.settings.routes, entry.address));
    if (!address.has_value()) continue;
    Upstream& upstream = upstreams_[entry.id];
    if (upstream.link == nullptr ||
        !(upstream.link->options().address == address.value())) {
      const ServiceConfiguration& settings = service->second;
      FailSentRequests(entry.id);
      UpstreamLinkOptions options;
      options.process = environment_.process;
      options.upstream = entry.id;
      options.service = entry.service;
      options.address = address.value();
      options.checks_grants = settings.upstreams_check_grants;
      options.divided_by_key = settings.divided_by_key;
      options.slots = settings.slots;
      options.max_response_bytes =
          static_cast<size_t>(environment_.settings.max_response_bytes);
      options.timing = environment_.member.timing;
      upstream.link =
          std::make_unique<UpstreamLink>(environment_.loop, std::move(options));
      upstream.link->set_on_change([this] {
        if (on_change_) on_change_();
      });
      upstream.service = entry.service;
      upstream.scheduler = MakeScheduler(
          settings,
          static_cast<size_t>(environment_.settings.max_queue_per_upstream),
          environment_.loop.timers().now());
      upstream.scheduler.policy =
          ValueOf(kSchedulingPolicyNames, environment_.settings.scheduling)
              .value_or(SchedulingPolicy::kShares);
    }
    ShardSet shards = is_dispatcher ? OwnedShards(table_, entry)
                                    : ShardSet(service->second.shards);
    upstream.link->SetAssignment(table_.version, std::move(shards),
                                 is_dispatcher);
    upstream.link->Renew(LeaseLeft());
  }
  replication_.OnTable(table_);
  const uint64_t lapses = environment_.member.lapses;
  fetcher_.OnTable(
      table_, lapses != lapses_at_table_ || LeaseLeft() <= Duration::zero());
  lapses_at_table_ = lapses;
  RejectRevokedRequests();
}

bool Dispatcher::Serves(const std::string& service, uint32_t shard) const {
  const TableUpstream* owner = OwnerOf(table_, service, shard);
  return owner != nullptr && owner->dispatcher == environment_.process &&
         LeaseLeft() > Duration::zero();
}

Dispatcher::Upstream* Dispatcher::UpstreamFor(const DispatchRequest& message) {
  const MonotonicTime now = environment_.loop.timers().now();
  const TableUpstream* owner = OwnerOf(table_, message.service, message.shard);
  if (owner == nullptr || owner->dispatcher != environment_.process)
    return nullptr;
  const auto found = upstreams_.find(owner->id);
  if (found == upstreams_.end()) return nullptr;
  const auto service = configuration_.services.find(message.service);
  if (service == configuration_.services.end()) return nullptr;
  if (service->second.divided_by_key) return &found->second;
  // The service is not divided by key, so any upstream of this host may run the
  // request. Choose the one with the fewest queued and running requests.
  Upstream* best = nullptr;
  for (auto& [id, upstream] : upstreams_) {
    if (upstream.service != message.service ||
        !upstream.link->MayRun(message.shard, now))
      continue;
    const size_t load =
        WaitingCount(upstream.scheduler) + upstream.link->in_flight();
    if (best == nullptr ||
        load < WaitingCount(best->scheduler) + best->link->in_flight())
      best = &upstream;
  }
  return best == nullptr ? &found->second : best;
}

void Dispatcher::Submit(uint64_t handle, DispatchRequest request,
                        ReplyCallback reply) {
  Request& added = requests_[handle];
  const MonotonicTime now = environment_.loop.timers().now();
  added.message = std::move(request);
  added.reply = std::move(reply);
  added.waiting.ticket = handle;
  added.waiting.arrived = now;
  added.waiting.deadline =
      now + std::chrono::microseconds(added.message.time_left_us);
  Admit(handle);
}

void Dispatcher::Admit(uint64_t handle) {
  const DispatchRequest& message = requests_.at(handle).message;
  if (!Serves(message.service, message.shard)) {
    FinishUnsent(handle, DispatchStatus::kNoOwner,
                 "this host does not serve the key now", Duration::zero());
    return;
  }
  if (IsRecordedInLedger(message) && !CheckLedger(handle)) return;
  Enqueue(handle);
}

void Dispatcher::Enqueue(uint64_t handle) {
  Request& request = requests_.at(handle);
  const MonotonicTime now = environment_.loop.timers().now();
  Upstream* upstream = UpstreamFor(request.message);
  if (upstream == nullptr) {
    RemoveLedgerEntry(request.message);
    FinishUnsent(handle, DispatchStatus::kNoOwner,
                 "the key's upstream is not known here", Duration::zero());
    return;
  }
  request.upstream = upstream->link->upstream();
  request.waiting.rank = RankIndex(upstream->scheduler, request.message.rank);
  request.waiting.flow = FlowOf(request.message);
  const AdmissionResult verdict =
      TryEnqueue(upstream->scheduler, request.waiting, now);
  if (!verdict.admitted) {
    if (IsRecordedInLedger(request.message))
      ledger_.Remove(request.message.service, request.message.id);
    FinishUnsent(handle, DispatchStatus::kRefused,
                 "the request could not be served in time",
                 verdict.retry_after);
    return;
  }
  request.stage = Stage::kQueued;
  const std::string upstream_id = request.upstream;
  if (IsRecordedInLedger(request.message)) {
    const LedgerRecord* record =
        ledger_.Find(request.message.service, request.message.id);
    replication_.Replicate(*record, [this, handle] { OnReplicated(handle); });
  }
  SendWaiting(upstream_id);
}

void Dispatcher::OnReplicated(uint64_t handle) {
  const auto found = requests_.find(handle);
  if (found == requests_.end()) return;
  Request& request = found->second;
  request.replicated = true;
  if (request.stage == Stage::kAwaitingReplica)
    SendNow(handle, upstreams_.at(request.upstream));
}

void Dispatcher::FinishUnsent(uint64_t handle, DispatchStatus status,
                              const std::string& detail, Duration retry_after) {
  DispatchReply reply =
      MakeDispatchReply(status, RequestOutcome::kNotRun, detail);
  if (retry_after > Duration::zero()) {
    const double jitter =
        1.0 + kRetryJitter * static_cast<double>(HashText("", handle) % 1000) /
                  1000.0;
    const auto milliseconds = static_cast<double>(
        ToMilliseconds(std::max(retry_after, kMinRetryAfter)));
    reply.retry_after_ms = static_cast<int32_t>(milliseconds * jitter);
  }
  Finish(handle, std::move(reply));
}

void Dispatcher::Finish(uint64_t handle, DispatchReply reply) {
  const auto found = requests_.find(handle);
  if (found == requests_.end()) return;
  const Request request = std::move(found->second);
  requests_.erase(found);
  if (!request.reply_dropped) request.reply(std::move(reply));
  if (IsRecordedInLedger(request.message) && request.stage != Stage::kDuplicate)
    ReadmitDuplicates(request.message);
}

void Dispatcher::Cancel(uint64_t handle) {
  const auto found = requests_.find(handle);
  if (found == requests_.end()) return;
  Request& request = found->second;
  request.reply_dropped = true;
  switch (request.stage) {
    case Stage::kQueued:
      RemoveWaiting(upstreams_.at(request.upstream).scheduler, request.waiting);
      RemoveLedgerEntry(request.message);
      FinishUnsent(handle, DispatchStatus::kRefused, "", Duration::zero());
      return;
    case Stage::kAwaitingLedger:
    case Stage::kDuplicate:
      FinishUnsent(handle, DispatchStatus::kRefused, "", Duration::zero());
      return;
    case Stage::kAwaitingReplica:
      return;  // It already holds a slot, so it continues.
    case Stage::kSent:
      // A non-idempotent request runs to its end, so that its outcome is known
      // when the caller repeats it.
      if (!request.message.idempotent) return;
      upstreams_.at(request.upstream)
          .link->Abort(request.message.id + "." + std::to_string(handle));
      return;
  }
}

// Unsent requests are returned to their ingress host before this host's ledger
// is transferred: the next dispatcher treats every request that is still
// recorded as one that may have run.
void Dispatcher::RejectRevokedRequests() {
  std::vector<uint64_t> revoked;
  for (const auto& [handle, request] : requests_) {
    if (request.stage == Stage::kSent || request.stage == Stage::kDuplicate)
      continue;
    if (!Serves(request.message.service, request.message.shard))
      revoked.push_back(handle);
  }
  for (const uint64_t handle : revoked) {
    const auto found = requests_.find(handle);
    if (found == requests_.end()) continue;
    const Request& request = found->second;
    if (request.stage == Stage::kQueued)
      RemoveWaiting(upstreams_.at(request.upstream).scheduler, request.waiting);
    if (request.stage == Stage::kAwaitingReplica) ReleaseSlot(request, false);
    if (request.stage != Stage::kAwaitingLedger)
      RemoveLedgerEntry(request.message);
    FinishUnsent(handle, DispatchStatus::kNoOwner,
                 "the key moved to another upstream", Duration::zero());
  }
}

void Dispatcher::Tick() {
  const MonotonicTime now = environment_.loop.timers().now();
  const Duration lease_left = LeaseLeft();
  std::vector<uint64_t> expired;
  for (auto& [id, upstream] : upstreams_) {
    upstream.link->Renew(lease_left);
    for (const WaitingRequest& request : RemoveExpired(upstream.scheduler, now))
      expired.push_back(request.ticket);
  }
  for (const auto& [handle, request] : requests_) {
    const bool is_waiting = request.stage == Stage::kAwaitingLedger ||
                            request.stage == Stage::kDuplicate ||
                            request.stage == Stage::kAwaitingReplica;
    if (is_waiting && request.waiting.deadline <= now)
      expired.push_back(handle);
  }
  for (const uint64_t handle : expired) {
    const auto found = requests_.find(handle);
    if (found == requests_.end()) continue;
    const Request& request = found->second;
    if (request.stage == Stage::kDuplicate) {
      Finish(handle,
             MakeDispatchReply(
                 DispatchStatus::kDeadline, RequestOutcome::kUnknown,
                 "the deadline passed while an earlier request with this "
                 "id was running"));
      continue;
    }
    if (request.stage == Stage::kAwaitingReplica) ReleaseSlot(request, false);
    if (request.stage != Stage::kAwaitingLedger)
      RemoveLedgerEntry(request.message);
    FinishUnsent(handle, DispatchStatus::kDeadline,
                 "the deadline passed before the request was sent",
                 kMinRetryAfter);
  }
  ledger_.Expire(now);
}

std::vector<UpstreamReport> Dispatcher::Reports() {
  std::vector<UpstreamReport> reports;
  const MonotonicTime now = environment_.loop.timers().now();
  for (auto it = upstreams_.begin(); it != upstreams_.end();) {
    const TableUpstream* entry = FindUpstream(table_, it->first);
    const bool reassigned = entry != nullptr && !entry->dispatcher.empty() &&
                            entry->dispatcher != environment_.process;
    // The next dispatcher is in place, so the controller has received this
    // host's final report on the upstream.
    if (reassigned && it->second.link->in_flight() == 0 &&
        WaitingCount(it->second.scheduler) == 0) {
      it = upstreams_.erase(it);
      continue;
    }
    reports.push_back(it->second.link->Report(now));
    ++it;
  }
  return reports;
}

}  // namespace mimosadeal
