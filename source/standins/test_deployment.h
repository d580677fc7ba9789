// Complete deployment as processes on loopback: platform stand-in, entry hosts,
// upstream stand-ins, and optionally a fault proxy between them.
#pragma once

#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "child_process.h"
#include "http_exchange.h"
#include "platform/platform_host.h"

namespace mimosadeal {

// Paths of the programs; see DefaultPrograms.
struct ProgramPaths {
  std::string daemon;
  std::string platform;
  std::string upstream;
  std::string faults;
};

struct ServiceLayout {
  std::string name;
  int upstreams_per_zone = 2;
  int slots = 2;
  bool checks_grants = true;
  int64_t work_us = 1000;
};

struct DeploymentLayout {
  std::vector<std::string> zones = {"a"};
  int hosts_per_zone = 3;
  std::vector<ServiceLayout> services;
  bool fault_proxy = false;
  int64_t host_list_lag_ms = 0;
  // Additional settings of every entry host, as "section.name=value".
  std::vector<std::string> settings;
  nlohmann::json configuration;
};

struct EntryHost {
  std::string id;
  std::string zone;
  std::string callers;
  std::string operators;
  std::string inner;
  std::string settings_path;
  ChildProcess process;
};

struct UpstreamHost {
  std::string id;
  std::string zone;
  std::string service;
  std::string address;
  std::string record_path;
  std::vector<std::string> arguments;
  ChildProcess process;
  HostState state = HostState::kLive;
};

class TestDeployment {
 public:
  // `directory` must exist; settings, logs and records are written to it.
  // `network` determines the loopback addresses, so that deployments can run in
  // parallel.
  TestDeployment(ProgramPaths programs, DeploymentLayout layout,
                 std::string directory, uint16_t network);
  ~TestDeployment();

  // Starts all processes and applies the configuration. Returns false on
  // failure.
  bool Start(HttpExchange& client);
  // Waits until every shard has an owner according to each zone's status.
  // Returns false on timeout.
  bool WaitUntilOwned(HttpExchange& client, Duration limit);

  std::vector<EntryHost>& hosts() { return hosts_; }
  std::vector<UpstreamHost>& upstreams() { return upstreams_; }
  EntryHost& Host(const std::string& id);
  UpstreamHost& Upstream(const std::string& id);
  const std::string& platform_address() const { return platform_address_; }

  void StartHost(EntryHost& host);
  void StartUpstream(UpstreamHost& upstream);
  ChildProcess& platform() { return platform_; }

  // Sends the current list of hosts to the platform.
  void PublishHosts(HttpExchange& client);
  void SetPlatformFaults(HttpExchange& client, const nlohmann::json& faults);
  // Sets the faults of the link from `from` to `to`, which are ids of hosts or
  // upstreams, or "platform".
  void SetLinkFaults(HttpExchange& client, const std::string& from,
                     const std::string& to, const nlohmann::json& faults);
  // Starts or ends a partition between the two, in both directions.
  void SetPartition(HttpExchange& client, const std::string& one,
                    const std::string& other, bool partitioned);

  nlohmann::json Status(HttpExchange& client, const EntryHost& host);
  // Returns the host id of the current controller of `zone`, or an empty text.
  std::string ControllerOf(HttpExchange& client, const std::string& zone);

  std::vector<std::string> RecordPaths(const std::string& service) const;

 private:
  // Returns the address whose last byte is `number`.
  std::string Ip(int number) const;
  void AssignAddresses();
  void AssignLinks();
  void WriteSettings(EntryHost& host);
  std::string PlatformAddressFor(const std::string& from) const;

  ProgramPaths programs_;
  DeploymentLayout layout_;
  std::string directory_;
  uint16_t network_;
  std::string platform_address_;
  std::string faults_address_;
  ChildProcess platform_;
  ChildProcess faults_;
  std::vector<EntryHost> hosts_;
  std::vector<UpstreamHost> upstreams_;
  // Listening address of each link, by "from->to".
  std::map<std::string, std::string> links_;
};

// Returns the paths of the programs in this build.
ProgramPaths DefaultPrograms();

}  // namespace mimosadeal
