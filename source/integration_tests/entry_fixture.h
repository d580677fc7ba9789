// What the tests of the object-store deployment share: the store and upstreams
// as stand-ins on one loop in this process, and entry hosts as real processes.
#pragma once

#include <CppUTest/TestHarness.h>

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "child_process.h"
#include "deployment_store.h"
#include "deployment_upstream.h"
#include "fault_links.h"
#include "net/event_loop.h"
#include "net/exchange_client.h"

namespace mimosadeal {

struct EntryProcess {
  std::string name;
  std::string zone;
  std::string settings_path;
  SocketAddress callers;
  SocketAddress readiness;
  SocketAddress operators;
  std::unique_ptr<FaultLink> store_link;  // Its way to the store.
  ChildProcess process;
};

struct CallerResponse {
  bool received = false;
  int status = 0;
  HttpHeaders headers;
  std::string body;
};

class EntryFixture {
 public:
  EntryFixture();
  ~EntryFixture();
  EntryFixture(const EntryFixture&) = delete;
  EntryFixture& operator=(const EntryFixture&) = delete;

  // A keyed service "yard" and a plain one "desk", with routes to both.
  nlohmann::json Configuration(int version) const;
  DeploymentUpstream& AddUpstream(const std::string& id,
                                  const std::string& service,
                                  const std::string& zone, int index);
  // Ends an upstream as a crash does: its address refuses connections.
  void CrashUpstream(const std::string& id);
  EntryProcess& AddHost(const std::string& name, const std::string& zone);
  // Nothing passes between the host and the store, either way.
  void SetStorePartition(const std::string& host, bool cut);
  // The host that holds the zone's lease, as the store has it.
  std::string LeaseHolder(const std::string& zone) const;
  // Four keyed upstreams, two plain ones and `hosts` hosts in two zones; waits
  // until every host is ready and every key has an owner.
  void StartDefaultDeployment(int hosts);
  void AddDefaultUpstreams();
  // Starts hosts in both zones by turns, and waits until they serve.
  void StartHosts(int hosts);

  // Runs the loop until `done`, at most for `limit`. Returns whether it is.
  bool RunUntil(const std::function<bool()>& done, Duration limit);
  void RunFor(Duration time);
  // Sends a request and runs the loop until it is answered.
  CallerResponse SendAndWait(const EntryProcess& host,
                             const std::string& method,
                             const std::string& target, int key,
                             const std::string& body = "",
                             Duration deadline = std::chrono::seconds(2));
  // Sends a request whose answer is collected later.
  std::shared_ptr<CallerResponse> Start(
      const EntryProcess& host, const std::string& method,
      const std::string& target, int key, const std::string& body = "",
      Duration deadline = std::chrono::seconds(2));
  // Leaves before the answer to the request started last.
  void AbortLastRequest();
  bool Ready(const EntryProcess& host);
  bool EveryKeyIsHeld() const;
  std::string HostLog(const std::string& name) const;
  // Where the hosts' settings and logs are.
  const std::string& directory() const { return directory_; }
  // Fails the test when an upstream saw a promise broken, or an id ran twice.
  void CheckRecord();

  EventLoop loop;
  DeploymentRecord record;
  std::unique_ptr<DeploymentStore> store;
  std::map<std::string, std::unique_ptr<DeploymentUpstream>> upstreams;
  std::map<std::string, std::unique_ptr<EntryProcess>> hosts;
  std::string last_request_id;
  // Ends the settings file of the host of that name.
  std::map<std::string, std::string> extra_settings;

 private:
  void ShareUpstreams();

  std::string directory_;
  SocketAddress store_address_;
  int next_request_ = 0;
  int next_host_ = 0;
  std::vector<std::unique_ptr<ExchangeClient>> clients_;
};

// A change must be in force at every host within this time of the store's ack.
inline constexpr Duration kChangeDeadline = std::chrono::seconds(2);

// What the groups of tests of entry hosts share.
class EntryTest : public Utest {
 public:
  EntryFixture fixture;

  EntryProcess& Host(int index);
  // Returns a key that the upstream holds, or -1.
  int OwnedKey(const std::string& upstream);
  // How often the request began to run.
  size_t RunCount(const std::string& id);
  // The answer to the request sent last is whole, and an upstream's own.
  void CheckServed(const CallerResponse& answer);
  // Puts a configuration with "/newer/" in place of "/price/".
  void PutNewRoute(int version);
  // Asks for keys all over the key space at every host; returns the failures.
  int CountFailures(const std::string& method, const std::string& prefix);
};

}  // namespace mimosadeal
