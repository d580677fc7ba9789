// A small deployment for the scripts of the second review: the daemon in
// processes of its own, with the command and the settings of the deploy file,
// on loopback addresses. The store, the workers and the clients are stand-ins
// in this process.
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
#include "net/event_loop.h"
#include "net/exchange_client.h"

namespace mimosadeal {

struct SmallHost {
  std::string name;
  std::string zone;
  std::string settings_path;
  SocketAddress callers;
  SocketAddress readiness;
  ChildProcess process;
};

// What a client got. `status` is 0 while it waits and -1 if its connection
// ended without an answer.
struct ClientAnswer {
  std::string request_id;
  std::string host;
  std::string method;
  int key = -1;
  MonotonicTime sent_at = kNever;
  MonotonicTime answered_at = kNever;
  int status = 0;
  HttpHeaders headers;
  std::string body;
};

// A client that keeps its connection and sends its next request when it has the
// answer to the one before.
struct KeptClient {
  std::string host;
  std::unique_ptr<ExchangeClient> client;
  MonotonicTime next_at = kNever;
};

// Exit codes of a case.
inline constexpr int kRuleHeld = 0;
inline constexpr int kRuleBroken = 1;
inline constexpr int kCouldNotRun = 2;

class SmallDeployment {
 public:
  // `daemon` is the program of the deploy file; `directory` takes settings and
  // logs.
  SmallDeployment(std::string daemon, std::string directory);
  ~SmallDeployment();
  SmallDeployment(const SmallDeployment&) = delete;
  SmallDeployment& operator=(const SmallDeployment&) = delete;

  // A service divided by key, "yardbook", one without keys, "depositdesk", and
  // routes to both.
  static nlohmann::json Configuration(int version);
  // Starts a worker, or starts it again under its id and address.
  DeploymentUpstream& AddWorker(const std::string& id,
                                const std::string& service,
                                const std::string& zone, int number,
                                Duration work, Duration registration_delay);
  void CrashWorker(const std::string& id);
  // Starts a machine's process, or starts it again.
  SmallHost& AddHost(const std::string& name, const std::string& zone);
  // Returns whether every host is ready before the limit.
  bool WaitUntilReady(Duration limit);
  bool IsReady(const SmallHost& host);

  std::shared_ptr<ClientAnswer> Send(const SmallHost& host,
                                     const std::string& method,
                                     const std::string& target, int key,
                                     Duration deadline);
  // Opens clients at the host that send requests that may not be repeated to
  // the service divided by key, one after the other.
  void AddKeptClients(const std::string& host, int count);
  // Number of requests that began at a worker and that were sent on a kept
  // connection which ended without an answer. All workers of AddWorker are
  // sound.
  int CountLost() const;
  bool RunUntil(const std::function<bool()>& done, Duration limit);
  void RunFor(Duration time);
  MonotonicTime now() { return loop_.timers().now(); }
  // Returns the worker that holds the key, or an empty text.
  std::string HolderOf(int key) const;
  // Writes what was sent, answered, run and found to `path`.
  void WriteRecord(const std::string& path,
                   const std::vector<std::string>& findings) const;

  EventLoop& loop() { return loop_; }
  DeploymentStore& store() { return *store_; }
  DeploymentRecord& record() { return record_; }
  std::map<std::string, std::unique_ptr<SmallHost>>& hosts() { return hosts_; }
  std::map<std::string, std::unique_ptr<DeploymentUpstream>>& workers() {
    return workers_;
  }
  // A line about the disruption, for the record.
  void Note(const std::string& text);

 private:
  std::string Ip(int network, int number) const;
  void UpdatePeers();
  // Ends the case as one that could not run.
  [[noreturn]] void GiveUp();
  void SendKept(KeptClient& kept);

  EventLoop loop_;
  std::string daemon_;
  std::string directory_;
  int first_octet_ = 0;
  MonotonicTime started_at_ = kNever;
  std::unique_ptr<DeploymentStore> store_;
  DeploymentRecord record_;
  std::map<std::string, std::unique_ptr<DeploymentUpstream>> workers_;
  std::map<std::string, std::unique_ptr<SmallHost>> hosts_;
  std::vector<std::unique_ptr<ExchangeClient>> clients_;
  std::vector<std::shared_ptr<ClientAnswer>> answers_;
  std::vector<std::unique_ptr<KeptClient>> kept_clients_;
  // Ids of the requests whose kept connection ended without an answer.
  std::vector<std::string> ended_unanswered_;
  std::vector<std::string> notes_;
  int next_host_ = 0;
  int next_request_ = 0;
};

}  // namespace mimosadeal
