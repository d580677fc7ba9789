// Takes callers' requests from their arrival to their final answer: which
// upstream gets each, what is sent again, and what is refused and when to come
// back.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "balance/crash_suspects.h"
#include "balance/retry_budget.h"
#include "common/ids.h"
#include "entry/upstream_pool.h"
#include "forwarding/deployment_protocol.h"
#include "net/http_server.h"
#include "routing/weighted_round_robin.h"

namespace mimosadeal {

class DeploymentView;
class EntryMetrics;
class EventLog;
class EventLoop;
struct ChoiceCandidate;
struct KeyRange;
struct ListedUpstream;

struct RequestFlowOptions {
  std::string host;
  std::string zone;
  RetryBudgetPolicy retry_policy;
  CrashSuspectPolicy crash_policy;
  // How long a leaving upstream may still get requests.
  Duration drain{};
  // Within which a new configuration must be in force.
  Duration configuration_apply{};
};

struct RequestFlowHandlers {
  std::function<void(ExchangeId, const HttpResponse&)> respond;
  // A request was in flight at an upstream that died.
  std::function<void(uint64_t fingerprint, const std::string& upstream_life)>
      on_crash;
  // An upstream said in an answer that it leaves.
  std::function<void(const std::string& upstream, int64_t incarnation)>
      on_leaving;
  // A request for a key was offered that should cost this much slot time.
  std::function<void(const std::string& service, int key, Duration busy)>
      on_load;
  // An upstream's answer took `taken` where a mean one takes `expected`.
  std::function<void(const std::string& service, const std::string& upstream,
                     Duration expected, Duration taken)>
      on_speed;
};

class RequestFlow {
 public:
  RequestFlow(EventLoop& loop, const DeploymentProtocol& protocol,
              const DeploymentView& view, UpstreamPool& pool,
              EntryMetrics& metrics, EventLog& log, RequestFlowOptions options,
              RequestFlowHandlers handlers);
  ~RequestFlow();
  RequestFlow(const RequestFlow&) = delete;
  RequestFlow& operator=(const RequestFlow&) = delete;

  void OnRequest(ExchangeId exchange, HttpRequest&& request);
  // The caller has gone; whatever runs for it is cancelled.
  void OnAbandoned(ExchangeId exchange);
  // Looks again at the requests that wait for an owner.
  void OnViewChanged();
  // Another host saw a crash.
  void NoteCrash(uint64_t fingerprint, const std::string& upstream_life);

  size_t pending() const { return pending_.size(); }

 private:
  struct Pending;

  void Try(Pending& pending);
  const ListedUpstream* FindOwner(Pending& pending, const KeyRange** range);
  // Returns null when none may be used; then `rest_ends` is when the first of
  // those that only rest may be used again, or kForever.
  const ListedUpstream* FindAnyUpstream(const Pending& pending,
                                        MonotonicTime& rest_ends);
  // Adds those that may be used now; see FindAnyUpstream for `rest_ends`.
  void AddCandidates(const Pending& pending,
                     const std::vector<const ListedUpstream*>& upstreams,
                     std::vector<ChoiceCandidate>& candidates,
                     MonotonicTime& rest_ends);
  const std::vector<const ListedUpstream*>& Preferred(
      const std::string& service);
  // As many as are looked at beside the preferred ones.
  std::vector<const ListedUpstream*> SomeOf(
      const std::vector<const ListedUpstream*>& serving);
  void RefuseForRest(Pending& pending, MonotonicTime rest_ends);
  // Until when requests may be sent to the upstream.
  MonotonicTime UsableUntil(const ListedUpstream& upstream) const;
  void Send(Pending& pending, const ListedUpstream& upstream);
  // Logs a request that was sent to an upstream known to leave, as it was
  // listed when this host chose it at `chosen_at`.
  void LogSentToLeaving(const Pending& pending, const ListedUpstream& upstream,
                        MonotonicTime chosen_at, const ExchangeResult& result);
  void Hold(Pending& pending, RefusalReason reason, Duration look_again);
  void OnResult(ExchangeId exchange, const UpstreamRecord& upstream,
                ExchangeResult result);
  void OnFailure(Pending& pending, const UpstreamRecord& upstream,
                 const ExchangeResult& result);
  void OnNotRun(Pending& pending, const UpstreamResponse& answer);
  void CheckForCrash(const Pending& pending, const UpstreamRecord& upstream);
  void ProbeForCrash(uint64_t fingerprint, const SocketAddress& address,
                     const std::string& life);
  void OnGiveUp(ExchangeId exchange);
  void Deliver(Pending& pending, const HttpResponse& response);
  void Refuse(Pending& pending, RefusalReason reason,
              Duration retry_after = Duration::zero());
  void Finish(Pending& pending);
  void NoteServiceTime(const Pending& pending, const UpstreamRecord& upstream,
                       Duration taken);
  // Spread, so that callers that were refused together don't return together,
  // and within what callers honour.
  Duration RetryAfter(const Pending& pending, Duration wanted);

  EventLoop& loop_;
  const DeploymentProtocol& protocol_;
  const DeploymentView& view_;
  UpstreamPool& pool_;
  EntryMetrics& metrics_;
  EventLog& log_;
  RequestFlowOptions options_;
  RequestFlowHandlers handlers_;
  Random random_;
  // By service: what one is asked for earns another no retries.
  std::map<std::string, RetryBudget> retry_budgets_;
  CrashSuspects suspects_;
  // Mean slot seconds of an answer, by route name.
  std::map<std::string, double> route_seconds_;
  // By route name, for the configuration version below.
  std::map<std::string, RoundRobinState> share_credit_;
  uint64_t share_version_ = 0;
  // By service, for the directory's version below.
  std::map<std::string, std::vector<const ListedUpstream*>> preferred_;
  uint64_t preferred_version_ = 0;
  std::map<ExchangeId, std::unique_ptr<Pending>> pending_;
};

}  // namespace mimosadeal
