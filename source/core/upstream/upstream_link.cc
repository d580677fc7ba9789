#include "upstream/upstream_link.h"

#include <algorithm>
#include <utility>

#include "common/log.h"
#include "net/event_loop.h"
#include "upstream/upstream_protocol.h"

namespace mimosadeal {
namespace {

// A refused connection may be one restart; two in a row are a loss.
constexpr int kRefusalsOfLostUpstream = 2;
constexpr size_t kMaxGrantAnswerBytes = 4096;

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
      loop_, HttpClientOptions{options_.address, kMaxGrantAnswerBytes, {}});
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
  content_ = GrantContent();
  renew_at_once_ = true;
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
  if (health_now == UpstreamHealth::kUnreachable) AbandonSilent();
  // After the loss of the assignment, grants go on until what was running has
  // finished.
  if ((!dispatching_ && applied_ >= version_) || control_->busy()) return;
  const MonotonicTime now = loop_.timers().now();
  if (now < next_renewal_ && !renew_at_once_) return;
  next_renewal_ = now + options_.timing.grant_renew;
  if (first_probe_ == kNever) first_probe_ = now;
  renew_at_once_ = false;
  if (options_.checks_grants) {
    if (lease_left > Duration::zero()) SendGrant(lease_left);
  } else {
    SendProbe();
  }
}

void UpstreamLink::AbandonSilent() {
  for (Slot& slot : slots_) {
    if (!slot.request_id.empty()) slot.connection->Abort();
  }
}

void UpstreamLink::SendGrant(Duration lease_left) {
  // The clock is read anew: the loop's time may be older than the lease's end
  // by now.
  const MonotonicTime now = BootClock::now();
  GrantToSend grant = PrepareGrant(tracker_, options_.timing, revision_,
                                   content_, lease_left, now);
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
    OnControlAnswer(grant, response);
  });
}

void UpstreamLink::SendProbe() {
  ClientRequest request{
      "GET", kHealthPath, {}, "", options_.timing.upstream_silence};
  control_->Start(std::move(request), [this](const ClientResponse& response) {
    OnControlAnswer(GrantToSend{}, response);
  });
}

void UpstreamLink::OnControlAnswer(const GrantToSend& grant,
                                   const ClientResponse& response) {
  const MonotonicTime now = loop_.timers().now();
  if (response.failure != ClientFailure::kNone) {
    const bool refused = response.failure == ClientFailure::kNotConnected;
    refused_connections_ = refused ? refused_connections_ + 1 : 0;
    return;
  }
  refused_connections_ = 0;
  last_answer_ = now;
  if (options_.checks_grants) {
    const auto answer = DecodeGrantResponse(response.body);
    if (!answer.has_value()) return;
    const bool had_token = !grant.token.empty();
    OnGrantAnswered(tracker_, options_.timing, grant, answer.value().accepted,
                    answer.value().token, now);
    if (!answer.value().accepted && !had_token) renew_at_once_ = true;
  }
  UpdateApplied(now);
  if (reported_health_ != UpstreamHealth::kHealthy) {
    reported_health_ = UpstreamHealth::kHealthy;
    Log(LogPart::kUpstream).info("Upstream {} is healthy.", options_.upstream);
    if (on_change_) on_change_();
  }
  if (renew_at_once_) Renew(lease_left_);
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
    OnAnswer(slot, request_id, std::move(response), callback);
  });
}

void UpstreamLink::OnAnswer(Slot& slot, const std::string& request_id,
                            ClientResponse response,
                            const ResultCallback& callback) {
  slot.request_id.clear();
  UpstreamRequestResult answer;
  const bool answered = response.failure == ClientFailure::kNone;
  const bool own = FindHeader(response.headers, kRequestIdHeader) == request_id;
  if (!response.request_written) {
    answer.outcome = RequestOutcome::kNotRun;
  } else if (answered && own) {
    answer.complete = true;
    const bool refused_unrun =
        FindHeader(response.headers, kOutcomeHeader) == "not run";
    answer.outcome =
        refused_unrun ? RequestOutcome::kNotRun : RequestOutcome::kRan;
  } else if (answered) {
    // Another request's answer: nothing on this connection can be trusted any
    // more.
    Log(LogPart::kUpstream)
        .error("Upstream {} answered with another request's id.",
               options_.upstream);
    slot.connection = std::make_unique<HttpClientConnection>(
        loop_, ConnectionOptions(options_));
  }
  answer.connection_broke = response.failure == ClientFailure::kClosed;
  answer.silent = response.failure == ClientFailure::kAborted &&
                  health(loop_.timers().now()) == UpstreamHealth::kUnreachable;
  answer.response = std::move(response);
  UpdateApplied(loop_.timers().now());
  if (renew_at_once_) Renew(lease_left_);
  callback(std::move(answer));
}

void UpstreamLink::Abort(const std::string& request_id) {
  for (Slot& slot : slots_) {
    if (slot.request_id == request_id) slot.connection->Abort();
  }
}

ShardSet UpstreamLink::GrantContent() const {
  ShardSet content = assigned_;
  for (const Slot& slot : slots_) {
    if (!slot.request_id.empty()) content.Add(slot.shard);
  }
  return content;
}

void UpstreamLink::UpdateApplied(MonotonicTime now) {
  if (applied_ >= version_) return;
  ShardSet content = GrantContent();
  if (content != content_) {
    content_ = std::move(content);
    ++revision_;
    renew_at_once_ = true;
  }
  // An upstream without a grant stops its own work, so what it was sent runs no
  // more.
  const bool checked_end =
      options_.checks_grants && AllGrantsEnded(tracker_, now);
  if (!checked_end) {
    const bool work_runs = options_.divided_by_key
                               ? content_ != assigned_
                               : !dispatching_ && in_flight() > 0;
    if (work_runs) return;
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
  if (refused_connections_ >= kRefusalsOfLostUpstream)
    return UpstreamHealth::kUnreachable;
  if (last_answer_ == kNever) {
    const bool tried_long =
        first_probe_ != kNever &&
        now - first_probe_ >= options_.timing.upstream_silence;
    return tried_long ? UpstreamHealth::kUnreachable : UpstreamHealth::kUnknown;
  }
  const bool silent = now - last_answer_ >= options_.timing.upstream_silence;
  return silent ? UpstreamHealth::kUnreachable : UpstreamHealth::kHealthy;
}

size_t UpstreamLink::in_flight() const {
  return static_cast<size_t>(
      std::count_if(slots_.begin(), slots_.end(),
                    [](const Slot& slot) { return !slot.request_id.empty(); }));
}

}  // namespace mimosadeal
