#include "test_deployment.h"

#include <csignal>
#include <cstdlib>
#include <fstream>
#include <utility>

namespace mimosadeal {
namespace {

using Json = nlohmann::json;

constexpr int kCallersPort = 8080;
constexpr int kOperatorsPort = 8081;
constexpr int kInnerPort = 7000;
constexpr int kUpstreamPort = 9100;
constexpr int kPlatformPort = 9000;
constexpr int kFaultsPort = 9200;
constexpr int kFirstLinkPort = 20000;

// Last bytes of the loopback addresses.
constexpr int kPlatformNumber = 1;
constexpr int kFaultsNumber = 2;
constexpr int kFirstHostNumber = 10;
constexpr int kFirstUpstreamNumber = 100;

constexpr Duration kStartLimit = std::chrono::seconds(15);
constexpr Duration kCallTimeout = std::chrono::seconds(2);

std::string LinkName(const std::string& from, const std::string& to) {
  return from + "->" + to;
}

}  // namespace

ProgramPaths DefaultPrograms() {
  return {MIMOSADEAL_DAEMON, MIMOSADEAL_STANDIN_PLATFORM,
          MIMOSADEAL_STANDIN_UPSTREAM, MIMOSADEAL_STANDIN_FAULTS};
}

TestDeployment::TestDeployment(ProgramPaths programs, DeploymentLayout layout,
                               std::string directory, uint16_t network)
    : programs_(std::move(programs)),
      layout_(std::move(layout)),
      directory_(std::move(directory)),
      network_(network) {
  AssignAddresses();
}

TestDeployment::~TestDeployment() {
  // SIGKILL also ends processes that are stopped by SIGSTOP.
  for (EntryHost& host : hosts_) host.process.Kill();
  for (UpstreamHost& upstream : upstreams_) upstream.process.Kill();
  faults_.Kill();
  platform_.Kill();
}

std::string TestDeployment::Ip(int number) const {
  // 127.0.x.x is left to other programs.
  return "127." + std::to_string(1 + (network_ >> 8) % 250) + "." +
         std::to_string(network_ & 0xFF) + "." + std::to_string(number);
}

void TestDeployment::AssignAddresses() {
  platform_address_ = Ip(kPlatformNumber) + ":" + std::to_string(kPlatformPort);
  faults_address_ = Ip(kFaultsNumber) + ":" + std::to_string(kFaultsPort);
  int number = kFirstHostNumber;
  for (const std::string& zone : layout_.zones) {
    for (int i = 1; i <= layout_.hosts_per_zone; ++i) {
      EntryHost host;
      host.id = "entry-" + zone + std::to_string(i);
      host.zone = zone;
      const std::string ip = Ip(number++);
      host.callers = ip + ":" + std::to_string(kCallersPort);
      host.operators = ip + ":" + std::to_string(kOperatorsPort);
      host.inner = ip + ":" + std::to_string(kInnerPort);
      host.settings_path = directory_ + "/" + host.id + ".toml";
      hosts_.push_back(std::move(host));
    }
  }
  number = kFirstUpstreamNumber;
  for (const ServiceLayout& service : layout_.services) {
    for (const std::string& zone : layout_.zones) {
      for (int i = 1; i <= service.upstreams_per_zone; ++i) {
        UpstreamHost upstream;
        upstream.id = service.name + "-" + zone + std::to_string(i);
        upstream.zone = zone;
        upstream.service = service.name;
        upstream.address = Ip(number++) + ":" + std::to_string(kUpstreamPort);
        upstream.record_path = directory_ + "/" + upstream.id + ".record";
        upstream.arguments = {"--address=" + upstream.address,
                              "--id=" + upstream.id,
                              "--slots=" + std::to_string(service.slots),
                              std::string("--checks_grants=") +
                                  (service.checks_grants ? "true" : "false"),
                              "--work_us=" + std::to_string(service.work_us),
                              "--record=" + upstream.record_path,
                              "--seed=" + std::to_string(number)};
        upstreams_.push_back(std::move(upstream));
      }
    }
  }
  if (layout_.fault_proxy) AssignLinks();
}

// Assigns a listening address to the link from every entry host to every other,
// to each upstream of its zone and to the platform.
void TestDeployment::AssignLinks() {
  int port = kFirstLinkPort;
  const auto add = [&](const std::string& from, const std::string& to) {
    links_[LinkName(from, to)] =
        Ip(kFaultsNumber) + ":" + std::to_string(port++);
  };
  for (const EntryHost& from : hosts_) {
    for (const EntryHost& to : hosts_) {
      if (from.id != to.id) add(from.id, to.id);
    }
    for (const UpstreamHost& to : upstreams_) {
      if (from.zone == to.zone) add(from.id, to.id);
    }
    add(from.id, "platform");
  }
}

std::string TestDeployment::PlatformAddressFor(const std::string& from) const {
  const auto link = links_.find(LinkName(from, "platform"));
  return link == links_.end() ? platform_address_ : link->second;
}

void TestDeployment::WriteSettings(EntryHost& host) {
  std::ofstream file(host.settings_path);
  file << "[host]\nid = \"" << host.id << "\"\nzone = \"" << host.zone
       << "\"\ngroup = \"" << host.zone << "\"\n";
  file << "[listen]\ncallers = \"" << host.callers << "\"\noperators = \""
       << host.operators << "\"\ninner = \"" << host.inner << "\"\n";
  file << "[platform]\naddress = \"" << PlatformAddressFor(host.id) << "\"\n";
  file << "[peers]\nseeds = [";
  for (const EntryHost& other : hosts_) {
    if (other.zone == host.zone && other.id != host.id)
      file << "\"" << other.inner << "\", ";
  }
  file << "]\n[routes]\n";
  for (const EntryHost& other : hosts_) {
    const auto link = links_.find(LinkName(host.id, other.id));
    if (link != links_.end())
      file << "\"" << other.inner << "\" = \"" << link->second << "\"\n";
  }
  for (const UpstreamHost& upstream : upstreams_) {
    const auto link = links_.find(LinkName(host.id, upstream.id));
    if (link != links_.end())
      file << "\"" << upstream.address << "\" = \"" << link->second << "\"\n";
  }
}

void TestDeployment::StartHost(EntryHost& host) {
  WriteSettings(host);
  std::vector<std::string> arguments = {"--settings=" + host.settings_path};
  std::string overrides;
  for (const std::string& setting : layout_.settings)
    overrides += (overrides.empty() ? "" : ",") + setting;
  if (!overrides.empty()) arguments.push_back("--set=" + overrides);
  host.process = ChildProcess(programs_.daemon, arguments,
                              directory_ + "/" + host.id + ".log");
}

void TestDeployment::StartUpstream(UpstreamHost& upstream) {
  upstream.process = ChildProcess(programs_.upstream, upstream.arguments,
                                  directory_ + "/" + upstream.id + ".log");
}

bool TestDeployment::Start(HttpExchange& client) {
  platform_ = ChildProcess(
      programs_.platform,
      {"--address=" + platform_address_,
       "--host_list_lag_ms=" + std::to_string(layout_.host_list_lag_ms)},
      directory_ + "/platform.log");
  if (!links_.empty()) {
    std::string links;
    const auto add = [&](const std::string& from, const std::string& to,
                         const std::string& target) {
      const auto link = links_.find(LinkName(from, to));
      if (link != links_.end())
        links += (links.empty() ? "" : ",") + link->first + "=" + link->second +
                 "=" + target;
    };
    for (const EntryHost& from : hosts_) {
      for (const EntryHost& to : hosts_) add(from.id, to.id, to.inner);
      for (const UpstreamHost& to : upstreams_) add(from.id, to.id, to.address);
      add(from.id, "platform", platform_address_);
    }
    faults_ = ChildProcess(programs_.faults,
                           {"--address=" + faults_address_, "--links=" + links},
                           directory_ + "/faults.log");
  }
  for (UpstreamHost& upstream : upstreams_) StartUpstream(upstream);
  const bool platform_up = client.RunUntil(
      [&] {
        return client
                   .Call(platform_address_,
                         {"GET", "/admin/counts", {}, "", kCallTimeout})
                   .status == 200;
      },
      kStartLimit);
  if (!platform_up) return false;
  PublishHosts(client);
  // Even without a lag, the stand-in applies the list in a later iteration of
  // its loop.
  for (EntryHost& host : hosts_) StartHost(host);
  EntryHost& first = hosts_.front();
  ClientRequest patch{"PATCH",
                      "/configuration",
                      {},
                      layout_.configuration.dump(),
                      kCallTimeout};
  patch.headers = {{"if-match", "0"},
                   {"mimosa-patch-id", "initial"},
                   {"content-type", "application/merge-patch+json"}};
  return client.RunUntil(
      [&] { return client.Call(first.operators, patch).status == 200; },
      kStartLimit);
}

bool TestDeployment::WaitUntilOwned(HttpExchange& client, Duration limit) {
  return client.RunUntil(
      [&] {
        for (const std::string& zone : layout_.zones) {
          bool owned = false;
          for (const EntryHost& host : hosts_) {
            if (host.zone != zone || !host.process.running()) continue;
            const Json status = Status(client, host);
            if (!status.is_object() || !status["control"].is_object()) continue;
            size_t dispatched = 0;
            size_t shards = 0;
            for (const Json& upstream : status["upstreams"]) {
              if (upstream["dispatcher"] != "") ++dispatched;
              shards += upstream["shards"].get<size_t>();
            }
            owned = shards > 0 && dispatched == status["upstreams"].size() &&
                    status["control"]["in_transit"] == 0;
          }
          if (!owned) return false;
        }
        return true;
      },
      limit);
}

EntryHost& TestDeployment::Host(const std::string& id) {
  for (EntryHost& host : hosts_) {
    if (host.id == id) return host;
  }
  std::abort();
}

UpstreamHost& TestDeployment::Upstream(const std::string& id) {
  for (UpstreamHost& upstream : upstreams_) {
    if (upstream.id == id) return upstream;
  }
  std::abort();
}

void TestDeployment::PublishHosts(HttpExchange& client) {
  std::vector<PlatformHost> list;
  for (const EntryHost& host : hosts_) {
    list.push_back({host.id, HostKind::kEntry, HostState::kLive, host.zone,
                    host.zone, "", host.inner});
  }
  for (const UpstreamHost& upstream : upstreams_) {
    list.push_back({upstream.id, HostKind::kUpstream, upstream.state,
                    upstream.zone, "", upstream.service, upstream.address});
  }
  client.Call(platform_address_,
              {"POST", "/admin/hosts", {}, EncodeHostList(list), kCallTimeout});
}

void TestDeployment::SetPlatformFaults(HttpExchange& client,
                                       const Json& faults) {
  client.Call(platform_address_,
              {"POST", "/admin/faults", {}, faults.dump(), kCallTimeout});
}

void TestDeployment::SetLinkFaults(HttpExchange& client,
                                   const std::string& from,
                                   const std::string& to, const Json& faults) {
  client.Call(faults_address_,
              {"POST",
               "/faults?link=" + EncodePath(LinkName(from, to)),
               {},
               faults.dump(),
               kCallTimeout});
}

void TestDeployment::SetPartition(HttpExchange& client, const std::string& one,
                                  const std::string& other, bool partitioned) {
  const Json faults = {{"cut_forward", partitioned},
                       {"cut_backward", partitioned}};
  if (links_.count(LinkName(one, other)) != 0)
    SetLinkFaults(client, one, other, faults);
  if (links_.count(LinkName(other, one)) != 0)
    SetLinkFaults(client, other, one, faults);
}

Json TestDeployment::Status(HttpExchange& client, const EntryHost& host) {
  const ClientResponse response =
      client.Call(host.operators, {"GET", "/status", {}, "", kCallTimeout});
  return Json::parse(response.body, nullptr, false);
}

std::string TestDeployment::ControllerOf(HttpExchange& client,
                                         const std::string& zone) {
  for (const EntryHost& host : hosts_) {
    if (host.zone != zone || !host.process.running()) continue;
    const Json status = Status(client, host);
    if (!status.is_object() || !status["control"].is_object()) continue;
    if (status["controller"] == status["process"] &&
        status["control"]["may_move"] == true)
      return host.id;
  }
  return {};
}

std::vector<std::string> TestDeployment::RecordPaths(
    const std::string& service) const {
  std::vector<std::string> paths;
  for (const UpstreamHost& upstream : upstreams_) {
    if (upstream.service == service) paths.push_back(upstream.record_path);
  }
  return paths;
}

}  // namespace mimosadeal
