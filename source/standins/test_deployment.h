// A whole deployment as processes on loopback: platform, entry hosts,
// upstreams, and optionally the fault proxy between any two of them.
#pragma once

#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "child_process.h"
#include "http_exchange.h"
#include "platform/platform_host.h"

namespace mimosadeal {

// Where the programs are; see DefaultPrograms.
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
  // Further settings of every entry host, as "section.name=value".
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
  // `directory` takes settings, logs and records; it must exist. `network` (0
  // to 65535) chooses the loopback addresses, so that deployments can run side
  // by side.
  TestDeployment(ProgramPaths programs, DeploymentLayout layout,
                 std::string directory, uint16_t network);
  ~TestDeployment();

  // Starts everything and applies the configuration. Returns false when that
  // fails.
  bool Start(HttpExchange& client);
  // Waits until every shard of the deployment has an owner, by each group's
  // table.
  bool WaitUntilOwned(HttpExchange& client, Duration limit);

  std::vector<EntryHost>& hosts() { return hosts_; }
  std::vector<UpstreamHost>& upstreams() { return upstreams_; }
  EntryHost& Host(const std::string& id);
  UpstreamHost& Upstream(const std::string& id);
  const std::string& platform_address() const { return platform_address_; }

  void StartHost(EntryHost& host);
  void StartUpstream(UpstreamHost& upstream);
  ChildProcess& platform() { return platform_; }

  // Sends the platform the present list of hosts.
  void PublishHosts(HttpExchange& client);
  void SetPlatformFaults(HttpExchange& client, const nlohmann::json& faults);
  // Sets the faults of what `from` opens and sends to `to`: ids of hosts, or
  // "platform".
  void SetLinkFaults(HttpExchange& client, const std::string& from,
                     const std::string& to, const nlohmann::json& faults);
  // Cuts, or heals, both directions between two of them.
  void SetPartition(HttpExchange& client, const std::string& one,
                    const std::string& other, bool cut);

  nlohmann::json Status(HttpExchange& client, const EntryHost& host);
  // The host id of the present controller of `zone`, or an empty text.
  std::string ControllerOf(HttpExchange& client, const std::string& zone);

  std::vector<std::string> RecordPaths(const std::string& service) const;

 private:
  std::string Ip(int number) const;
  void LayOut();
  void OpenLinks();
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
  // The listening address of each link, by "from->to".
  std::map<std::string, std::string> links_;
};

// The programs as this build made them.
ProgramPaths DefaultPrograms();

}  // namespace mimosadeal
