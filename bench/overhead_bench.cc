// Measures the overhead of an entry host that is both ingress and dispatcher:
// compares throughput and latency through it with those of direct requests to
// the upstream stand-in, and of a relay that makes no decisions.

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <unistd.h>

#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <nlohmann/json.hpp>

#include "load_run.h"
#include "process_usage.h"
#include "test_deployment.h"

ABSL_FLAG(int, seconds, 5, "Length of each measurement in seconds.");
ABSL_FLAG(int, connections, 32, "Requests kept in flight for throughput.");
ABSL_FLAG(double, half_load, 3300,
          "Requests per second for the latency measurement.");
ABSL_FLAG(int, slots, 16, "Slots of the upstream stand-in.");
ABSL_FLAG(std::string, relay, MIMOSADEAL_BENCH_RELAY,
          "Path of the relay program.");
ABSL_FLAG(std::string, output, "", "File for the results as JSON.");

namespace mimosadeal {
namespace {

using std::chrono::seconds;

struct Measurement {
  double requests_per_second = 0;
  double processor_seconds = 0;  // Of the entry host or relay.
  double requests_per_core_second = 0;
  uint32_t p50_us = 0;
  uint32_t p99_us = 0;
};

ClientRequest MakeRequest(uint64_t number, const std::string& prefix) {
  return {"GET",
          prefix + "/lots/" + std::to_string(number % 1000) + "?work_us=0",
          {},
          "",
          seconds(5)};
}

// Measures throughput with a constant number of requests in flight.
Measurement MeasureThroughput(HttpExchange& client, const std::string& address,
                              const std::string& prefix, pid_t pid) {
  uint64_t completed = 0;
  uint64_t sent = 0;
  bool stopping = false;
  std::function<void()> send = [&] {
    client.Start(address, MakeRequest(sent++, prefix),
                 [&](const ClientResponse& response) {
                   if (response.status == 200) ++completed;
                   if (!stopping) send();
                 });
  };
  for (int i = 0; i < absl::GetFlag(FLAGS_connections); ++i) send();
  client.RunFor(seconds(1));
  const uint64_t completed_before = completed;
  const double processor_before = pid > 0 ? ProcessorSeconds(pid) : 0;
  const Duration length = seconds(absl::GetFlag(FLAGS_seconds));
  client.RunFor(length);
  Measurement measured;
  measured.requests_per_second =
      static_cast<double>(completed - completed_before) / ToSeconds(length);
  if (pid > 0) {
    measured.processor_seconds = ProcessorSeconds(pid) - processor_before;
    measured.requests_per_core_second =
        static_cast<double>(completed - completed_before) /
        measured.processor_seconds;
  }
  stopping = true;
  client.RunUntil([&] { return client.in_flight() == 0; }, seconds(5));
  return measured;
}

// Measures latency at a constant mean rate, counted from the time at which each
// request was due.
void MeasureLatency(HttpExchange& client, const std::string& address,
                    const std::string& prefix, Measurement& measured) {
  LoadPlan plan;
  LoadClass load_class;
  load_class.name = "get";
  load_class.path = prefix + "/lots/{key}?work_us=0";
  load_class.rate = absl::GetFlag(FLAGS_half_load);
  load_class.deadline = seconds(1);
  load_class.target = seconds(1);
  plan.classes = {load_class};
  plan.phases = {{"warm-up", seconds(1), {}},
                 {"measured", seconds(absl::GetFlag(FLAGS_seconds)), {}}};
  LoadRun run(client, plan, [&] { return std::vector<std::string>{address}; });
  run.Run([](const LoadPhase&) {});
  const LoadCounts& counts = run.counts().at("measured").at("get");
  measured.p50_us = Percentile(counts.latencies_us, 0.5);
  measured.p99_us = Percentile(counts.latencies_us, 0.99);
}

nlohmann::json ToJson(const Measurement& measured) {
  return {{"requests_per_second", measured.requests_per_second},
          {"requests_per_core_second", measured.requests_per_core_second},
          {"p50_us", measured.p50_us},
          {"p99_us", measured.p99_us}};
}

void Print(const char* name, const Measurement& measured) {
  std::printf(
      "%-22s %9.0f requests/s %9.0f requests per core second, p50 %6.3f ms, "
      "p99 %6.3f ms\n",
      name, measured.requests_per_second, measured.requests_per_core_second,
      measured.p50_us / 1000.0, measured.p99_us / 1000.0);
}

DeploymentLayout Layout() {
  const int slots = absl::GetFlag(FLAGS_slots);
  DeploymentLayout layout;
  layout.hosts_per_zone = 1;
  layout.services = {ServiceLayout{"yard", 1, slots, true, 0}};
  layout.configuration = {
      {"services",
       {{"yard",
         {{"key_path_segment", 2},
          {"shards", 64},
          {"zones", {"a"}},
          {"slots", slots},
          {"default_rank", "lookups"},
          {"ranks", {{"lookups", {{"target_ms", 5000}}}}}}}}}};
  return layout;
}

int Run() {
  std::string directory = "/tmp/mimosadeal-overhead-XXXXXX";
  if (mkdtemp(directory.data()) == nullptr) return 1;
  HttpExchange client;
  const auto network = static_cast<uint16_t>(getpid() * 16);
  TestDeployment deployment(DefaultPrograms(), Layout(), directory, network);
  if (!deployment.Start(client) ||
      !deployment.WaitUntilOwned(client, seconds(20)))
    return 1;
  const EntryHost& host = deployment.hosts()[0];
  // A second upstream, which does not check grants, for direct and relayed
  // requests.
  const std::string upstream = "127.250.250.1:9100";
  const std::string relay = "127.250.250.2:8080";
  ChildProcess upstream_process(
      DefaultPrograms().upstream,
      {"--address=" + upstream, "--checks_grants=false", "--work_us=0",
       "--slots=" + std::to_string(absl::GetFlag(FLAGS_slots))},
      directory + "/straight.log");
  ChildProcess relay_process(
      absl::GetFlag(FLAGS_relay),
      {"--address=" + relay, "--target=" + upstream,
       "--connections=" + std::to_string(absl::GetFlag(FLAGS_slots))},
      directory + "/relay.log");
  client.RunFor(seconds(1));
  Measurement straight = MeasureThroughput(client, upstream, "", 0);
  Measurement relayed =
      MeasureThroughput(client, relay, "", relay_process.pid());
  Measurement routed =
      MeasureThroughput(client, host.callers, "/yard", host.process.pid());
  MeasureLatency(client, upstream, "", straight);
  MeasureLatency(client, relay, "", relayed);
  MeasureLatency(client, host.callers, "/yard", routed);
  const int64_t memory_before = ResidentKilobytes(host.process.pid());
  MeasureThroughput(client, host.callers, "/yard", host.process.pid());
  const int64_t memory_after = ResidentKilobytes(host.process.pid());

  Print("straight", straight);
  Print("bare relay", relayed);
  Print("ingress and dispatcher", routed);
  std::printf(
      "throughput per core against the bare relay: %.2f\n",
      routed.requests_per_core_second / relayed.requests_per_core_second);
  std::printf("added latency at %.0f requests/s: p50 %.3f ms, p99 %.3f ms\n",
              absl::GetFlag(FLAGS_half_load),
              (static_cast<double>(routed.p50_us) - straight.p50_us) / 1000.0,
              (static_cast<double>(routed.p99_us) - straight.p99_us) / 1000.0);
  std::printf("resident memory %lld kB, after a further run %lld kB\n",
              static_cast<long long>(memory_before),
              static_cast<long long>(memory_after));
  const std::string path = absl::GetFlag(FLAGS_output);
  if (!path.empty()) {
    std::ofstream(path) << nlohmann::json{{"straight", ToJson(straight)},
                                          {"relay", ToJson(relayed)},
                                          {"routed", ToJson(routed)},
                                          {"resident_kb",
                                           {memory_before, memory_after}}}
                               .dump(1)
                        << "\n";
  }
  std::filesystem::remove_all(directory);
  return 0;
}

}  // namespace
}  // namespace mimosadeal

int main(int argc, char** argv) {
  absl::ParseCommandLine(argc, argv);
  return mimosadeal::Run();
}
