// Fixture for tests of the object-store deployment. The store and the upstreams
// are stand-ins on one event loop in this process. Entry hosts are real
// processes.
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
  std::unique_ptr<FaultLink> store_link;  // From the host to the store.
  // To each upstream, by its id; see EntryFixture::link_upstreams.
  std::map<std::string, std::unique_ptr<FaultLink>> upstream_links;
  ChildProcess process;
};

// How a partition between a host and all upstreams shows.
enum class UpstreamCut : uint8_t {
  kNone,
  kSilent,   // Connections are silent, and new ones hang.
  kRefused,  // Connections are reset, and new ones are refused.
  kNewOnly,  // Connections live on, and new ones are refused.
};

struct CallerResponse {
  bool received = false;
  int status = 0;  // 0 while the request is in progress, -1 if it failed.
  HttpHeaders headers;
  std::string body;
};

class EntryFixture {
 public:
  EntryFixture();
  ~EntryFixture();
  EntryFixture(const EntryFixture&) = delete;
  EntryFixture& operator=(const EntryFixture&) = delete;

  // Returns a configuration with a keyed service "yard", a service without
  // keys, "desk", and routes to both.
  nlohmann::json Configuration(int version) const;
  DeploymentUpstream& AddUpstream(const std::string& id,
                                  const std::string& service,
                                  const std::string& zone, int index);
  // As AddUpstream; the upstream is cold for a while, as after any start while
  // there is traffic. Its registration arrives `report_delay` later.
  DeploymentUpstream& AddColdUpstream(const std::string& id,
                                      const std::string& service,
                                      const std::string& zone, int index,
                                      Duration report_delay);
  DeploymentUpstream& AddUpstream(DeploymentUpstreamOptions options, int index);
  // Stops an upstream without notice, so that its address refuses connections.
  void CrashUpstream(const std::string& id);
  EntryProcess& AddHost(const std::string& name, const std::string& zone);
  // Starts or ends a partition between the host and the store.
  void SetStorePartition(const std::string& host, bool partitioned);
  // Starts or ends a partition between the host and all upstreams.
  void SetUpstreamPartition(const std::string& host, UpstreamCut cut);
  // Returns the host that holds the zone's lease according to the store.
  std::string LeaseHolder(const std::string& zone) const;
  // Starts four keyed upstreams, two others and `hosts` hosts in two zones.
  // Waits until every host is ready and every key has an owner.
  void StartDefaultDeployment(int hosts);
  // The same with many ranges of equal length, which alternate between the four
  // keyed upstreams.
  void StartWithManyRanges(int hosts);
  void AddDefaultUpstreams();
  // Starts hosts in the two zones alternately. Waits until every host is ready
  // and every key has an owner.
  void StartHosts(int hosts);

  // Runs the loop until `done` returns true, for at most `limit`. Returns the
  // last result of `done`.
  bool RunUntil(const std::function<bool()>& done, Duration limit);
  void RunFor(Duration time);
  // Sends a request and runs the loop until it is complete.
  CallerResponse SendAndWait(const EntryProcess& host,
                             const std::string& method,
                             const std::string& target, int key,
                             const std::string& body = "",
                             Duration deadline = std::chrono::seconds(2));
  // Sends a request and returns its response, which is filled in later.
  std::shared_ptr<CallerResponse> Start(
      const EntryProcess& host, const std::string& method,
      const std::string& target, int key, const std::string& body = "",
      Duration deadline = std::chrono::seconds(2));
  // Closes the connection of the request started last.
  void AbortLastRequest();
  bool Ready(const EntryProcess& host);
  bool EveryKeyIsHeld() const;
  std::string HostLog(const std::string& name) const;
  // Holds the hosts' settings files and logs.
  const std::string& directory() const { return directory_; }
  // Fails the test if an upstream recorded a violation, or if a request with a
  // method other than GET ran more than once.
  void CheckRecord();

  EventLoop loop;
  DeploymentRecord record;
  std::unique_ptr<DeploymentStore> store;
  std::map<std::string, std::unique_ptr<DeploymentUpstream>> upstreams;
  std::map<std::string, std::unique_ptr<EntryProcess>> hosts;
  std::string last_request_id;
  // Gives each host that is added from now on links to the upstreams that there
  // are, so that it can be partitioned from them.
  bool link_upstreams = false;
  // Appended to the bounds of hosts that are added from now on, as
  // ",NAME=VALUE".
  std::string extra_bounds;
  // Requests per second that cold upstreams take from all hosts together; 0 if
  // the deployment states no bound. To be set before the start.
  double cold_rate = 0;
  // Appended to the settings file of a host, by the host's name.
  std::map<std::string, std::string> extra_settings;

 private:
  DeploymentUpstream& StartUpstream(const std::string& id,
                                    const std::string& service,
                                    const std::string& zone, int index,
                                    Duration cold_time, Duration report_delay);
  void UpdatePeers();
  // Opens the host's links to the upstreams, and returns its settings for them.
  std::string LinkUpstreams(EntryProcess& host);

  std::string directory_;
  SocketAddress store_address_;
  int next_request_ = 0;
  int next_host_ = 0;
  std::vector<std::unique_ptr<ExchangeClient>> clients_;
};

// The length, in keys, of each range of StartWithManyRanges.
inline constexpr int kKeysOfManyRanges = 2048;

// How long upstreams are cold after their start, and how many requests may
// reach a cold one within a second: this multiple of its rate, plus a number.
inline constexpr Duration kColdTime = std::chrono::seconds(3);
inline constexpr double kColdRatio = 1.5;
inline constexpr double kColdAllowance = 8;

// A change must be in force at every host within this time after the store
// acknowledged it.
inline constexpr Duration kChangeDeadline = std::chrono::seconds(2);

// Base class of the test groups for entry hosts.
class EntryTest : public Utest {
 public:
  EntryFixture fixture;

  EntryProcess& Host(int index);
  // Returns a key that the upstream holds, or -1.
  int OwnedKey(const std::string& upstream);
  // Returns how many times upstreams began to run the request.
  size_t RunCount(const std::string& id);
  // Checks that an upstream sent this response to the last request.
  void CheckServed(const CallerResponse& caller_response);
  // Writes a configuration with this version, and the path prefix "/newer/" in
  // place of "/price/".
  void PutNewRoute(int version);
  // Sends requests for keys from the whole key space to every host. Returns the
  // number of requests that failed.
  int CountFailures(const std::string& method, const std::string& prefix);
  void NoteFailure(const std::string& request,
                   const CallerResponse& caller_response);

  // A line for each request that CountFailures and NoteFailure counted.
  std::vector<std::string> failed_requests;
};

}  // namespace mimosadeal
