// A small deployment for the scripts of the review: the platform's store, the
// upstreams and the callers in this process, and real entry hosts as child
// processes, all on loopback addresses.
#pragma once

#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "child_process.h"
#include "deployment_store.h"
#include "deployment_upstream.h"
#include "fault_links.h"
#include "net/event_loop.h"
#include "net/exchange_client.h"

namespace mimosadeal::review {

// Exit codes of a script.
inline constexpr int kHeld = 0;
inline constexpr int kBroken = 1;
inline constexpr int kNotRun = 2;

// One entry host.
struct Host {
  std::string name;
  std::string zone;
  std::string ip;
  std::string settings_path;
  ChildProcess process;
  // Between the host and the store, if Kit::link_store was set.
  std::unique_ptr<FaultLink> store_link;
  SocketAddress callers() const { return {ip, 18161}; }
  SocketAddress readiness() const { return {ip, 18167}; }
};

// One attempt of a caller.
struct Attempt {
  std::string id;
  std::string host;
  bool kept = false;  // Sent on a connection that had carried others.
  MonotonicTime sent_at = kNever;
  MonotonicTime ended_at = kNever;  // kNever while no end was seen.
  int status = 0;  // 0 before the end; -1 if the connection ended unanswered.
  ClientFailure failure = ClientFailure::kNone;
  std::string proof;  // Its X-Response-Signature.
};

// A caller with one connection, which it keeps between requests.
struct Caller {
  SocketAddress address;
  std::string host;
  std::unique_ptr<ExchangeClient> client;
};

class Kit {
 public:
  // `directory` gets record.txt. `max_body_bytes` is the limit in the
  // configuration.
  Kit(std::string directory, int64_t max_body_bytes);
  ~Kit();

  // An address of this run's loopback network.
  std::string Ip(int network, int number) const;
  // Adds an upstream that registers itself.
  DeploymentUpstream& AddUpstream(const std::string& id,
                                  const std::string& service,
                                  const std::string& zone, int number,
                                  int slots = 2);
  // Ends an upstream; its registration goes.
  void RemoveUpstream(const std::string& id);
  // Starts an entry host, or starts it again after its end.
  Host& StartHost(const std::string& name, const std::string& zone);
  bool Ready(const Host& host);
  bool AllReady();
  // Whether upstreams hold every key of the keyed service.
  bool EveryKeyIsHeld() const;

  bool RunUntil(const std::function<bool()>& done, Duration limit);
  void RunFor(Duration time);

  Caller MakeCaller(const Host& host);
  // Sends a request on the caller's connection.
  std::shared_ptr<Attempt> Send(Caller& caller, const std::string& method,
                                const std::string& target, int key,
                                std::string body, Duration deadline);
  void Record(const std::string& line);
  // Writes what the upstreams ran to the record.
  void RecordRuns();
  // Number of runs of the request that an upstream began.
  int Runs(const std::string& id) const;

  EventLoop loop;
  std::unique_ptr<DeploymentStore> store;
  // Whether each host gets a link of its own to the store.
  bool link_store = false;
  // Where hosts reach the store; a proxy may be in between.
  SocketAddress store_address;
  DeploymentRecord record;
  std::map<std::string, std::unique_ptr<DeploymentUpstream>> upstreams;
  std::map<std::string, std::unique_ptr<Host>> hosts;
  std::vector<std::shared_ptr<Attempt>> attempts;
  std::string temporary;  // A folder for settings and logs.

 private:
  void UpdatePeers();
  nlohmann::json Configuration(int64_t max_body_bytes) const;

  std::string directory_;
  int network_ = 0;
  int lock_ = -1;
  int next_host_ = 0;
  int next_request_ = 0;
  MonotonicTime started_at_ = kNever;
  std::ofstream record_file_;
};

// Whether the script runs with its disruption: false with TROUBLE=0.
bool WithTrouble();

}  // namespace mimosadeal::review
