// Measures ownership: how long keys have no available owner after losses, how
// many shards move, how they are balanced, the calls to the platform, and the
// cost of control on each host.

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <unistd.h>

#include <algorithm>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <map>
#include <nlohmann/json.hpp>

#include "bench_layouts.h"
#include "load_run.h"
#include "process_usage.h"

ABSL_FLAG(int, hosts_per_zone, 7, "Entry hosts in each of the three zones.");
ABSL_FLAG(int, upstreams_per_zone, 10, "Upstreams in each of the three zones.");
ABSL_FLAG(int, keys, 300, "Number of keys to probe.");
ABSL_FLAG(int, quiet_seconds, 10,
          "Length in seconds of the measurement of control traffic.");
ABSL_FLAG(std::string, output, "", "File for the results as JSON.");

namespace mimosadeal {
namespace {

using Json = nlohmann::json;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration kProbeInterval = milliseconds(1);
constexpr Duration kProbeTimeout = milliseconds(5000);
constexpr Duration kObservationTime = seconds(4);

// Sends a probe for every key in turn, continuously, to hosts that stay up. A
// probe waits until its key is served, so the longest latency of the probes of
// a key is the time that the key has no owner.
class Prober {
 public:
  Prober(HttpExchange& client, std::vector<std::string> hosts)
      : client_(client), hosts_(std::move(hosts)) {}

  void Start() {
    timer_ =
        client_.loop().timers().Every(kProbeInterval, [this] { SendNext(); });
  }

  void Stop() {
    client_.loop().timers().Cancel(timer_);
    client_.RunUntil([this] { return client_.in_flight() == 0; }, seconds(10));
  }

  void Reset() {
    longest_.clear();
    failures_ = 0;
  }

  // Returns the longest latency of each key, in microseconds.
  std::vector<uint32_t> Waits() const {
    std::vector<uint32_t> waits;
    for (const auto& [key, wait] : longest_) waits.push_back(wait);
    return waits;
  }
  int failures() const { return failures_; }

 private:
  void SendNext() {
    const std::string key = std::to_string(
        next_ % static_cast<uint64_t>(absl::GetFlag(FLAGS_keys)));
    const std::string& host = hosts_[next_ % hosts_.size()];
    ++next_;
    const MonotonicTime sent = BootClock::now();
    client_.Start(host,
                  {"GET",
                   "/yardbook/lots/" + key + "?work_us=100",
                   {},
                   "",
                   kProbeTimeout},
                  [this, key, sent](const ClientResponse& response) {
                    const auto wait = static_cast<uint32_t>(
                        ToMicroseconds(BootClock::now() - sent));
                    if (response.status != 200) ++failures_;
                    uint32_t& longest = longest_[key];
                    longest = std::max(longest, wait);
                  });
  }

  HttpExchange& client_;
  std::vector<std::string> hosts_;
  TimerId timer_ = kNoTimer;
  uint64_t next_ = 0;
  std::map<std::string, uint32_t> longest_;
  int failures_ = 0;
};

// Returns the number of shards of each upstream, by its id, according to the
// table of `host`.
std::map<std::string, size_t> ShardsOf(TestDeployment& deployment,
                                       HttpExchange& client,
                                       const EntryHost& host) {
  std::map<std::string, size_t> shards;
  const Json status = deployment.Status(client, host);
  for (const Json& upstream : status["upstreams"])
    shards[upstream["id"]] = upstream["shards"].get<size_t>();
  return shards;
}

// Returns how many shards upstreams gained from `before` to `after`.
size_t CountMoved(const std::map<std::string, size_t>& before,
                  const std::map<std::string, size_t>& after) {
  size_t gained = 0;
  for (const auto& [id, count] : after) {
    const auto found = before.find(id);
    const size_t earlier = found == before.end() ? 0 : found->second;
    if (count > earlier) gained += count - earlier;
  }
  return gained;
}

// Returns the greatest number of shards of an upstream, divided by the mean
// over all owners. Returns 0 without owners.
double Imbalance(const std::map<std::string, size_t>& shards) {
  size_t total = 0;
  size_t greatest = 0;
  size_t owners = 0;
  for (const auto& [id, count] : shards) {
    if (count == 0) continue;
    ++owners;
    total += count;
    greatest = std::max(greatest, count);
  }
  return owners == 0
             ? 0
             : static_cast<double>(greatest) * static_cast<double>(owners) /
                   static_cast<double>(total);
}

class Bench {
 public:
  int Run();

 private:
  bool Start();
  Json MeasureLoss(const std::string& name, const std::function<void()>& lose,
                   const std::function<void()>& restore);
  Json MeasureControl();
  std::string Follower() { return PickHost(false); }
  std::string Controller() {
    return deployment_->ControllerOf(client_, "north");
  }
  // Returns the standby of zone "north", or a host that is neither the standby
  // nor the controller.
  std::string PickHost(bool standby);
  // Returns a host that no measurement stops.
  const EntryHost& Observer();
  void WaitUntilRestored();

  std::string directory_;
  HttpExchange client_;
  std::unique_ptr<TestDeployment> deployment_;
};

bool Bench::Start() {
  directory_ = "/tmp/mimosadeal-ownership-XXXXXX";
  if (mkdtemp(directory_.data()) == nullptr) return false;
  DeploymentLayout layout =
      YardbookLayout(absl::GetFlag(FLAGS_hosts_per_zone),
                     absl::GetFlag(FLAGS_upstreams_per_zone), 100, "shares");
  layout.settings.push_back("requests.owner_wait_ms=4000");
  deployment_ = std::make_unique<TestDeployment>(
      DefaultPrograms(), std::move(layout), directory_,
      static_cast<uint16_t>(getpid() * 16));
  return deployment_->Start(client_) &&
         deployment_->WaitUntilOwned(client_, seconds(30));
}

std::string Bench::PickHost(bool standby) {
  const std::string controller = Controller();
  const Json status =
      deployment_->Status(client_, deployment_->Host(controller));
  const auto standby_process = status["standby"].get<std::string>();
  for (const EntryHost& host : deployment_->hosts()) {
    if (host.zone != "north" || host.id == controller ||
        host.id == Observer().id)
      continue;
    const bool is_standby = standby_process.starts_with(host.id + ".");
    if (is_standby == standby) return host.id;
  }
  return {};
}

const EntryHost& Bench::Observer() {
  // Controller and standby of zone "north" change during the measurements, and
  // with them the hosts that are neither. A host of another zone reaches the
  // same service through the hosts of "north".
  for (const EntryHost& host : deployment_->hosts()) {
    if (host.zone == "middle") return host;
  }
  std::abort();
}

void Bench::WaitUntilRestored() {
  client_.RunFor(seconds(3));
  deployment_->WaitUntilOwned(client_, seconds(20));
  client_.RunFor(seconds(1));
}

Json Bench::MeasureLoss(const std::string& name,
                        const std::function<void()>& lose,
                        const std::function<void()>& restore) {
  std::vector<std::string> hosts;
  for (const EntryHost& host : deployment_->hosts()) {
    if (host.zone != "north") hosts.push_back(host.callers);
  }
  // Tables are read from the current controller each time, since the loss may
  // be that of the previous one.
  Prober prober(client_, hosts);
  prober.Start();
  client_.RunFor(seconds(1));
  prober.Reset();
  const auto before =
      ShardsOf(*deployment_, client_, deployment_->Host(Controller()));
  lose();
  client_.RunFor(kObservationTime);
  const auto after =
      ShardsOf(*deployment_, client_, deployment_->Host(Controller()));
  prober.Stop();
  const std::vector<uint32_t> waits = prober.Waits();
  const size_t moved = CountMoved(before, after);
  Json result = {{"loss", name},
                 {"longest_wait_ms", Percentile(waits, 1.0) / 1000.0},
                 {"p99_wait_ms", Percentile(waits, 0.99) / 1000.0},
                 {"failed_probes", prober.failures()},
                 {"shards_moved", moved},
                 {"imbalance_after", Imbalance(after)}};
  std::printf(
      "%-28s longest wait of any key %7.0f ms, failed probes %3d, shards moved "
      "%4zu, imbalance %.3f\n",
      name.c_str(), Percentile(waits, 1.0) / 1000.0, prober.failures(), moved,
      Imbalance(after));
  std::fflush(stdout);
  restore();
  WaitUntilRestored();
  const auto restored =
      ShardsOf(*deployment_, client_, deployment_->Host(Controller()));
  result["shards_moved_at_return"] = CountMoved(after, restored);
  result["imbalance_at_return"] = Imbalance(restored);
  return result;
}

Json Bench::MeasureControl() {
  const Duration length = seconds(absl::GetFlag(FLAGS_quiet_seconds));
  const auto counts = [&] {
    const ClientResponse response =
        client_.Call(deployment_->platform_address(),
                     {"GET", "/admin/counts", {}, "", seconds(2)});
    return Json::parse(response.body);
  };
  const auto control_bytes = [&](const EntryHost& host) {
    const ClientResponse response =
        client_.Call(host.operators, {"GET", "/metrics", {}, "", seconds(2)});
    const std::string name = "mimosadeal_control_bytes_sent ";
    const size_t at = response.body.rfind("\n" + name);
    return at == std::string::npos
               ? 0.0
               : std::atof(response.body.c_str() + at + 1 + name.size());
  };
  const Json before = counts();
  std::map<std::string, std::pair<double, double>> start;
  for (const EntryHost& host : deployment_->hosts()) {
    start[host.id] = {ProcessorSeconds(host.process.pid()),
                      control_bytes(host)};
  }
  client_.RunFor(length);
  const Json after = counts();
  double max_processor = 0;
  double sum_processor = 0;
  double max_bytes = 0;
  double sum_bytes = 0;
  int64_t max_memory = 0;
  for (const EntryHost& host : deployment_->hosts()) {
    const double processor =
        (ProcessorSeconds(host.process.pid()) - start[host.id].first) /
        ToSeconds(length);
    const double bytes =
        (control_bytes(host) - start[host.id].second) / ToSeconds(length);
    max_processor = std::max(max_processor, processor);
    sum_processor += processor;
    max_bytes = std::max(max_bytes, bytes);
    sum_bytes += bytes;
    max_memory = std::max(max_memory, ResidentKilobytes(host.process.pid()));
  }
  const auto hosts = static_cast<double>(deployment_->hosts().size());
  const auto rate = [&](const char* name) {
    return (after[name].get<double>() - before[name].get<double>()) /
           ToSeconds(length);
  };
  Json result = {{"hosts", hosts},
                 {"platform_reads_per_second", rate("reads")},
                 {"platform_writes_per_second", rate("writes")},
                 {"watches_started_per_second", rate("watches")},
                 {"processor_share_mean", sum_processor / hosts},
                 {"processor_share_most", max_processor},
                 {"control_bytes_per_second_mean", sum_bytes / hosts},
                 {"control_bytes_per_second_most", max_bytes},
                 {"resident_kb_most", max_memory}};
  std::printf(
      "without requests, %.0f hosts: platform reads %.1f/s, writes %.1f/s, "
      "watches begun %.2f/s; a host's processor "
      "share mean %.2f%% most %.2f%%, control bytes sent mean %.0f/s most "
      "%.0f/s, resident memory most %lld kB\n",
      hosts, rate("reads"), rate("writes"), rate("watches"),
      100 * sum_processor / hosts, 100 * max_processor, sum_bytes / hosts,
      max_bytes, static_cast<long long>(max_memory));
  return result;
}

int Bench::Run() {
  if (!Start()) {
    std::fprintf(stderr, "the deployment did not start; see %s\n",
                 directory_.c_str());
    return 1;
  }
  client_.RunFor(seconds(2));
  Json results = {{"control", MeasureControl()}, {"losses", Json::array()}};
  std::string lost;
  const auto restart_host = [&] {
    deployment_->StartHost(deployment_->Host(lost));
  };
  const std::string upstream = "yardbook-north1";
  const auto restart_upstream = [&] {
    deployment_->StartUpstream(deployment_->Upstream(upstream));
  };
  if (absl::GetFlag(FLAGS_keys) > 0) {
    results["losses"].push_back(MeasureLoss(
        "upstream killed",
        [&] { deployment_->Upstream(upstream).process.Kill(); },
        restart_upstream));
    results["losses"].push_back(MeasureLoss(
        "upstream frozen",
        [&] { deployment_->Upstream(upstream).process.Signal(SIGSTOP); },
        [&] { deployment_->Upstream(upstream).process.Signal(SIGCONT); }));
    results["losses"].push_back(MeasureLoss(
        "dispatcher killed",
        [&] {
          lost = Follower();
          deployment_->Host(lost).process.Kill();
        },
        restart_host));
    results["losses"].push_back(MeasureLoss(
        "controller killed",
        [&] {
          lost = Controller();
          deployment_->Host(lost).process.Kill();
        },
        restart_host));
    results["losses"].push_back(MeasureLoss(
        "controller and upstream",
        [&] {
          lost = Controller();
          deployment_->Upstream(upstream).process.Kill();
          deployment_->Host(lost).process.Kill();
        },
        [&] {
          restart_host();
          restart_upstream();
        }));
  }
  const std::string path = absl::GetFlag(FLAGS_output);
  if (!path.empty()) std::ofstream(path) << results.dump(1) << "\n";
  deployment_.reset();
  std::filesystem::remove_all(directory_);
  return 0;
}

}  // namespace
}  // namespace mimosadeal

int main(int argc, char** argv) {
  absl::ParseCommandLine(argc, argv);
  mimosadeal::Bench bench;
  return bench.Run();
}
