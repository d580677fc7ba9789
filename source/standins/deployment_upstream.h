// A stand-in of one upstream of the users' platform: it registers itself, holds
// keys by fenced grants, runs requests in slots, and records what it ran.
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
  bool keyed = true;
  Duration work = std::chrono::milliseconds(20);
};

struct UpstreamRun {
  std::string request_id;
  std::string upstream;
  int key = -1;
  std::string method;
  std::string target;
  std::string body;
  int64_t time_left_ms = -1;
  MonotonicTime began_at = kNever;
  MonotonicTime ended_at = kNever;  // kNever while it runs, or when it was cut.
};

// What all upstreams of a test record, and the promises that were broken.
struct DeploymentRecord {
  std::vector<UpstreamRun> runs;
  std::vector<std::string> violations;
  // By key: the upstream life that last held it, and with which generation.
  std::map<int, std::pair<std::string, uint64_t>> last_holder;
};

struct UpstreamFaults {
  bool lose_responses = false;    // Runs requests and closes the connection.
  bool ignore_grants = false;     // Takes grants and answers none.
  bool ignore_releases = false;   // Neither takes nor answers releases.
  bool crash_on_poison = false;   // Ends when a target holds "poison".
  bool announce_leaving = false;  // Says in each answer that it leaves.
  // Turns every request away and asks for a rest of so many seconds; empty for
  // none.
  std::string rest_seconds;
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

  void Report(const std::string& state);
  // Whether it holds the key now.
  bool Holds(int key) const;
  const DeploymentUpstreamOptions& options() const { return options_; }
  UpstreamFaults& faults() { return faults_; }
  int64_t incarnation() const { return incarnation_; }
  void SetWork(Duration work) { options_.work = work; }
  bool crashed() const { return server_ == nullptr; }
  int running() const { return running_; }
  // Requests turned away under UpstreamFaults::rest_seconds.
  int refused_requests() const { return refused_requests_; }
  // All upstreams of the test, to tell whether two hold a key at once.
  static void SetPeers(std::vector<DeploymentUpstream*> peers);

 private:
  struct Hold {
    int last = 0;
    uint64_t generation = 0;
    MonotonicTime until = kNever;
  };
  struct Waiting {
    ExchangeId exchange = 0;
    size_t run = 0;
  };
  struct Release {
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
  void OnRelease(ExchangeId id, const std::string& body);
  void OnWork(ExchangeId id, HttpRequest&& request);
  void StartNext();
  void Finish(ExchangeId exchange, size_t run);
  void AnswerReleases();
  void Respond(ExchangeId id, int status, HttpHeaders headers,
               std::string body = "");
  bool WorksOn(int first, int last) const;

  EventLoop& loop_;
  DeploymentStore& store_;
  DeploymentRecord& record_;
  DeploymentUpstreamOptions options_;
  int64_t incarnation_ = 0;
  UpstreamFaults faults_;
  std::unique_ptr<ExchangeServer> server_;
  // Expires with the upstream, for work that ends later.
  std::shared_ptr<char> alive_ = std::make_shared<char>();
  int running_ = 0;
  int refused_requests_ = 0;
  std::map<int, Hold> holds_;     // By first key.
  std::map<int, uint64_t> seen_;  // Highest generation, by key.
  std::deque<Waiting> waiting_;
  std::map<ExchangeId, size_t> running_runs_;
  std::vector<Release> releases_;
};

}  // namespace mimosadeal
