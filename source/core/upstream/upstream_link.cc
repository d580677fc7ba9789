#include "upstream/upstream_link.h"

#include <algorithm>
#include <utility>

#include "common/log.h"
#include "net/event_loop.h"
#include "upstream/upstream_protocol.h"

namespace mimosadeal {
namespace {

// Connections refused in a row after which the upstream counts as unreachable.
// A single one may be due to a restart.
constexpr int kRefusalsUntilUnreachable = 2;
constexpr size_t kMaxGrantResponseBytes = 4096;

HttpClientOptions ConnectionOptions(const UpstreamLinkOptions& options) {
  return {options.address,
          options.max_response_bytes,
          {kRequestIdHeader, kOutcomeHeader}};
}

}  // namespace

UpstreamLink::UpstreamLink(EventLoop& loop, UpstreamLinkOptions options)
    : loop_(loop), options_(std::move(options)) {
  EnsureConnections(options_.slots);
  control_ = std::make_unique<HttpClientConnection>(
      loop_, HttpClientOptions{options_.address, kMaxGrantResponseBytes, {}});
}

UpstreamLink::~UpstreamLink() = default;

void UpstreamLink::EnsureConnections(int slots) {
  while (slots_.size() < static_cast<size_t>(slots)) {
    slots_.emplace_back().connection = std::make_unique<HttpClientConnection>(
        loop_, ConnectionOptions(options_));
  }
}

void UpstreamLink::SetAssignment(const TableVersion& version, ShardSet shards,
                                 bool dispatching) {
  version_ = version;
  assigned_ = std::move(shards);
  dispatching_ = dispatching;
  ++revision_;
  granted_shards_ = ShardsToGrant();
  renew_immediately_ = true;
  UpdateApplied(loop_.timers().now());
}

void UpstreamLink::Renew(Duration lease_left) {
  lease_left_ = lease_left;
  UpdateApplied(loop_.timers().now());
  const UpstreamHealth health_now = health(loop_.timers().now());
  if (health_now != reported_health_) {
    Log(LogPart::kUpstream)
        .info(
            "Upstream {} is {}.", options_.upstream,
            health_now == UpstreamHealth::kHealthy ? "healthy" : "unreachable");
    reported_health_ = health_now;
    if (on_change_) on_change_();
  }
  if (health_now == UpstreamHealth::kUnreachable) AbortRequestsInFlight();
  // After this host has lost the assignment, grants are renewed until the
  // requests in flight have finished.
  if ((!dispatching_ && applied_ >= version_) || control_->busy()) return;
  const MonotonicTime now = loop_.timers().now();
  if (now < next_renewal_at_ && !renew_immediately_) return;
  next_renewal_at_ = now + options_.timing.grant_renew;
  if (first_probe_at_ == kNever) first_probe_at_ = now;
  renew_immediately_ = false;
  if (options_.checks_grants) {
    if (lease_left > Duration::zero()) SendGrant(lease_left);
  } else {
    SendProbe();
  }
}

void UpstreamLink::AbortRequestsInFlight() {
  for (Slot& slot : slots_) {
    if (!slot.request_id.empty()) slot.connection->Abort();
  }
}

void UpstreamLink::SendGrant(Duration lease_left) {
  // Read from the clock, because the event loop's cached time may be outdated
  // and the lease may have ended since.
  const MonotonicTime now = BootClock::now();
  GrantToSend grant = PrepareGrant(tracker_, options_.timing, revision_,
                                   granted_shards_, lease_left, now);
  GrantBody body;
  body.holder = options_.process;
  body.service = options_.service;
  body.version = version_;
  body.revision = grant.revision;
  body.shards = grant.shards;
  body.shard_count = static_cast<uint32_t>(grant.shards.Size());
  body.ttl = grant.ttl;
  body.token = grant.token;
  OnGrantSent(tracker_, options_.timing, grant);
  ClientRequest request{"PUT",
                        kGrantPath,
                        {{"content-type", "application/json"}},
                        EncodeGrant(body),
                        options_.timing.upstream_silence};
  control_->Start(std::move(request), [this, grant = std::move(grant)](
                                          const ClientResponse& response) {
    OnControlResponse(grant, response);
  });
}

void UpstreamLink::SendProbe() {
  ClientRequest request{
      "GET", kHealthPath, {}, "", options_.timing.upstream_silence};
  control_->Start(std::move(request), [this](const ClientResponse& response) {
    OnControlResponse(GrantToSend{}, response);
  });
}

void UpstreamLink::OnControlResponse(const GrantToSend& grant,
                                     const ClientResponse& response) {
  const MonotonicTime now = loop_.timers().now();
  if (response.failure != ClientFailure::kNone) {
    const bool refused = response.failure == ClientFailure::kNotConnected;
    consecutive_refusals_ = refused ? consecutive_refusals_ + 1 : 0;
    return;
  }
  consecutive_refusals_ = 0;
  last_response_at_ = now;
  if (options_.checks_grants) {
    const auto result = DecodeGrantResponse(response.body);
    if (!result.has_value()) return;
    const bool had_token = !grant.token.empty();
    OnGrantAnswered(tracker_, options_.timing, grant, result.value().accepted,
                    result.value().token, now);
    if (!result.value().accepted && !had_token) renew_immediately_ = true;
  }
  UpdateApplied(now);
  if (reported_health_ != UpstreamHealth::kHealthy) {
    reported_health_ = UpstreamHealth::kHealthy;
    Log(LogPart::kUpstream).info("Upstream {} is healthy.", options_.upstream);
    if (on_change_) on_change_();
  }
  if (renew_immediately_) Renew(lease_left_);
}

bool UpstreamLink::MayRun(uint32_t shard, MonotonicTime now) const {
  if (!dispatching_ || health(now) == UpstreamHealth::kUnreachable)
    return false;
  if (options_.divided_by_key && !assigned_.Contains(shard)) return false;
  if (!options_.checks_grants) return true;
  return options_.divided_by_key ? GrantHolds(tracker_, shard, now)
                                 : now < tracker_.held_until;
}

bool UpstreamLink::HasFreeConnection() const {
  return std::any_of(slots_.begin(), slots_.end(),
                     [](const Slot& slot) { return slot.request_id.empty(); });
}

void UpstreamLink::Send(uint32_t shard, const std::string& request_id,
                        ClientRequest request, ResultCallback callback) {
  const auto free =
      std::find_if(slots_.begin(), slots_.end(),
                   [](const Slot& slot) { return slot.request_id.empty(); });
  Slot& slot = *free;
  slot.request_id = request_id;
  slot.shard = shard;
  request.headers.push_back({kRequestIdHeader, request_id});
  request.headers.push_back({kShardHeader, std::to_string(shard)});
  request.headers.push_back({kHolderHeader, options_.process});
  request.headers.push_back(
      {kTimeLeftHeader, std::to_string(ToMilliseconds(request.timeout))});
  slot.connection->Start(std::move(request), [this, &slot, request_id,
                                              callback = std::move(callback)](
                                                 ClientResponse response) {
    OnResult(slot, request_id, std::move(response), callback);
  });
}

void UpstreamLink::OnResult(Slot& slot, const std::string& request_id,
                            ClientResponse response,
                            const ResultCallback& callback) {
  slot.request_id.clear();
  UpstreamRequestResult result;
  const bool answered = response.failure == ClientFailure::kNone;
  const bool id_matches =
      FindHeader(response.headers, kRequestIdHeader) == request_id;
  if (!response.request_written) {
    result.outcome = RequestOutcome::kNotRun;
  } else if (answered && id_matches) {
    result.complete = true;
    const bool rejected =
        FindHeader(response.headers, kOutcomeHeader) == "not run";
    result.outcome = rejected ? RequestOutcome::kNotRun : RequestOutcome::kRan;
  } else if (answered) {
    // The response belongs to another request, so the connection is out of sync
    // and is replaced.
    Log(LogPart::kUpstream)
        .error("Upstream {} responded with the id of another request.",
               options_.upstream);
    slot.connection = std::make_unique<HttpClientConnection>(
        loop_, ConnectionOptions(options_));
  }
  result.connection_broke = response.failure == ClientFailure::kClosed;
  result.silent = response.failure == ClientFailure::kAborted &&
                  health(loop_.timers().now()) == UpstreamHealth::kUnreachable;
  result.response = std::move(response);
  UpdateApplied(loop_.timers().now());
  if (renew_immediately_) Renew(lease_left_);
  callback(std::move(result));
}

void UpstreamLink::Abort(const std::string& request_id) {
  for (Slot& slot : slots_) {
    if (slot.request_id == request_id) slot.connection->Abort();
  }
}

ShardSet UpstreamLink::ShardsToGrant() const {
  ShardSet shards_to_grant = assigned_;
  for (const Slot& slot : slots_) {
    if (!slot.request_id.empty()) shards_to_grant.Add(slot.shard);
  }
  return shards_to_grant;
}

void UpstreamLink::UpdateApplied(MonotonicTime now) {
  if (applied_ >= version_) return;
  ShardSet shards_to_grant = ShardsToGrant();
  if (shards_to_grant != granted_shards_) {
    granted_shards_ = std::move(shards_to_grant);
    ++revision_;
    renew_immediately_ = true;
  }
  // An upstream without a grant stops running requests, so none of those sent
  // to it are still running.
  const bool all_grants_ended =
      options_.checks_grants && AllGrantsEnded(tracker_, now);
  if (!all_grants_ended) {
    const bool requests_running = options_.divided_by_key
                                      ? granted_shards_ != assigned_
                                      : !dispatching_ && in_flight() > 0;
    if (requests_running) return;
    if (options_.checks_grants && !OlderGrantsEnded(tracker_, revision_, now))
      return;
  }
  applied_ = version_;
  if (on_change_) on_change_();
}

UpstreamReport UpstreamLink::Report(MonotonicTime now) {
  UpdateApplied(now);
  UpstreamReport report;
  report.upstream = options_.upstream;
  report.applied = applied_;
  report.health = static_cast<uint8_t>(health(now));
  report.load_permille =
      static_cast<uint32_t>(in_flight() * 1000 / slots_.size());
  return report;
}

UpstreamHealth UpstreamLink::health(MonotonicTime now) const {
  if (consecutive_refusals_ >= kRefusalsUntilUnreachable)
    return UpstreamHealth::kUnreachable;
  if (last_response_at_ == kNever) {
    const bool probed_long_enough =
        first_probe_at_ != kNever &&
        now - first_probe_at_ >= options_.timing.upstream_silence;
    return probed_long_enough ? UpstreamHealth::kUnreachable
                              : UpstreamHealth::kUnknown;
  }
  const bool silent =
      now - last_response_at_ >= options_.timing.upstream_silence;
  return silent ? UpstreamHealth::kUnreachable : UpstreamHealth::kHealthy;
}

size_t UpstreamLink::in_flight() const {
  return static_cast<size_t>(
      std::count_if(slots_.begin(), slots_.end(),
                    [](const Slot& slot) { return !slot.request_id.empty(); }));
}

}  // namespace mimosadeal
