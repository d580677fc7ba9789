// Stand-in for one upstream of the platform: it registers itself in the store,
// holds keys by grants with generations, runs requests in slots, and records
// the requests that it ran.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "common/error.h"
#include "net/exchange_server.h"

namespace mimosadeal {

class DeploymentStore;
class EventLoop;

struct DeploymentUpstreamOptions {
  std::string id;
  std::string service;
  std::string zone;
  SocketAddress address;
  int slots = 2;
  size_t max_queued = 8;  // Requests that wait for a slot.
  bool keyed = true;
  Duration work = std::chrono::milliseconds(20);  // Time to run a request.
  // The upstream is cold for this long after its start.
  Duration cold_time{};
  // Requests that may arrive within any second while the upstream is cold.
  double cold_allowed = 0;
  // From a report to its arrival in the store.
  Duration report_delay{};
};

// A request that an upstream accepted.
struct UpstreamRun {
  std::string request_id;
  std::string upstream;
  int key = -1;  // -1 without a key.
  std::string method;
  std::string target;
  std::string body;
  int64_t time_left_ms = -1;        // As sent by the host; -1 if it sent none.
  MonotonicTime began_at = kNever;  // kNever if it has not started.
  MonotonicTime ended_at = kNever;  // kNever if it is not complete.
};

// Requests that all upstreams of a test accepted, and violations of exclusive
// key ownership that they detected.
struct DeploymentRecord {
  std::vector<UpstreamRun> runs;
  std::vector<std::string> violations;
  // By key: the upstream incarnation that the key was last granted to, and the
  // highest generation of its grants.
  std::map<int, std::pair<std::string, uint64_t>> last_holder;
};

struct UpstreamFaults {
  // Resets the connection of a request that finds slots and queue full, instead
  // of refusing it.
  bool reset_when_full = false;
  // Runs requests and closes the connection without a response.
  bool lose_responses = false;
  // Neither runs nor responds to this many of the next requests of callers.
  int requests_to_ignore = 0;
  // Neither applies grants nor responds to them.
  bool ignore_grants = false;
  // Applies grants, or refuses them, this long after their arrival.
  Duration grant_delay{};
  // Time that passes while the clock that measures holds counts one second.
  double clock_factor = 1;
  // Neither applies releases nor responds to them.
  bool ignore_releases = false;
  // Crashes on a request whose target contains "poison".
  bool crash_on_poison = false;
  // Announces in each response that it leaves.
  bool announce_leaving = false;
  // If not empty, refuses every request of a caller and asks for a rest of this
  // many seconds.
  std::string rest_seconds;
  // If not empty, returned as handover with each release.
  std::string handover;
};

class DeploymentUpstream {
 public:
  // Errors: kIo when the address cannot be listened on.
  static Result<std::unique_ptr<DeploymentUpstream>> Start(
      EventLoop& loop, DeploymentStore& store, DeploymentRecord& record,
      DeploymentUpstreamOptions options);
  ~DeploymentUpstream();
  DeploymentUpstream(const DeploymentUpstream&) = delete;
  DeploymentUpstream& operator=(const DeploymentUpstream&) = delete;

  // States in each response from now on that all hosts together may send this
  // many requests per second. An empty text ends the limit.
  void StateLimit(const std::string& per_second);
  // The upstream is cold for this long from now on, and says so in its
  // registration.
  void BecomeCold(Duration time);
  // Registers the upstream in the store with this state.
  void Report(const std::string& state);
  // Returns whether the upstream holds the key now.
  bool Holds(int key) const;
  const DeploymentUpstreamOptions& options() const { return options_; }
  UpstreamFaults& faults() { return faults_; }
  int64_t incarnation() const { return incarnation_; }
  void SetWork(Duration work) { options_.work = work; }
  bool crashed() const { return server_ == nullptr; }
  // Most requests that arrived within a second while the upstream was cold.
  size_t most_while_cold() const { return most_while_cold_; }
  int running() const { return running_; }
  // When requests arrived for keys that the upstream did not hold.
  const std::vector<MonotonicTime>& misdirected() const { return misdirected_; }
  // When releases arrived.
  const std::vector<MonotonicTime>& releases() const { return releases_; }
  // Number of grants that arrived.
  int grants() const { return grants_; }
  // Number of requests refused because of UpstreamFaults::rest_seconds.
  int refused_requests() const { return refused_requests_; }
  // Number of requests that found slots and queue full.
  int overruns() const { return overruns_; }
  // Most requests that were in slots and queue at once.
  size_t most_held() const { return most_held_; }
  // Sets all upstreams of the test, among which each checks that no other holds
  // its keys at the same time.
  static void SetPeers(std::vector<DeploymentUpstream*> peers);

 private:
  // Held keys, from the key in `holds_` to `last`.
  struct Hold {
    int last = 0;
    uint64_t generation = 0;
    MonotonicTime until = kNever;
  };
  struct QueuedRequest {
    ExchangeId exchange = 0;
    size_t run = 0;
  };
  struct PendingRelease {
    ExchangeId exchange = 0;
    int first = 0;
    int last = 0;
  };

  DeploymentUpstream(EventLoop& loop, DeploymentStore& store,
                     DeploymentRecord& record,
                     DeploymentUpstreamOptions options);
  void OnRequest(ExchangeId id, HttpRequest&& request);
  void OnAbandoned(ExchangeId id);
  void OnGrant(ExchangeId id, const std::string& body);
  void ApplyGrant(ExchangeId id, const std::string& body,
                  MonotonicTime arrived_at);
  void OnRelease(ExchangeId id, const std::string& body);
  void OnCallerRequest(ExchangeId id, HttpRequest&& request);
  void StartNext();
  void Finish(ExchangeId exchange, size_t run);
  // Responds to releases none of whose keys has a running request.
  void CompleteReleases();
  void Respond(ExchangeId id, int status, HttpHeaders headers,
               std::string body = "");
  // Records the arrival of a caller's request, and a violation if more arrived
  // than the limit allows.
  void CheckLimit();
  // The same for the requests that a cold upstream takes.
  void CheckCold();
  // Repeats the registration while the upstream is cold, as its content changes
  // with each report.
  void RepeatReport();
  // Returns whether a request with a key from `first` to `last` is running.
  bool IsRunningKeyIn(int first, int last) const;

  EventLoop& loop_;
  DeploymentStore& store_;
  DeploymentRecord& record_;
  DeploymentUpstreamOptions options_;
  int64_t incarnation_ = 0;
  int reports_ = 0;  // Sent by this incarnation.
  UpstreamFaults faults_;
  std::unique_ptr<ExchangeServer> server_;
  // Expires with this object, so that timers that fire later do not use it.
  std::shared_ptr<char> alive_ = std::make_shared<char>();
  int running_ = 0;
  std::vector<MonotonicTime> misdirected_;
  std::vector<MonotonicTime> releases_;
  int grants_ = 0;
  int refused_requests_ = 0;
  int overruns_ = 0;
  size_t most_held_ = 0;
  std::map<int, Hold> holds_;  // By first key.
  // By key, of grants and releases.
  std::map<int, uint64_t> highest_generations_;
  std::deque<QueuedRequest> queue_;
  std::map<ExchangeId, size_t> running_requests_;  // Indices of `runs`.
  std::vector<PendingRelease> pending_releases_;
  std::string limit_;  // Empty while the upstream states none.
  // When a response first stated the limit; kNever before.
  MonotonicTime limit_stated_at_ = kNever;
  std::deque<MonotonicTime> arrivals_;  // While the limit is stated.
  std::string state_ = "ready";         // As last reported.
  MonotonicTime cold_until_ = kNever;
  std::deque<MonotonicTime> cold_arrivals_;  // Of the last second, while cold.
  size_t most_while_cold_ = 0;
};

}  // namespace mimosadeal
