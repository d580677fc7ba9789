// Measures service by rank at normal load, in a flood of the least urgent
// lookups, and in a flood of the most urgent holds. It compares the default
// scheduling policy with two baselines, each on its own deployment.

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <unistd.h>

#include <cstdio>
#include <filesystem>
#include <fstream>
#include <nlohmann/json.hpp>

#include "bench_layouts.h"
#include "load_run.h"

ABSL_FLAG(int, hosts_per_zone, 2, "Entry hosts in each of the three zones.");
ABSL_FLAG(int, upstreams_per_zone, 3,
          "Upstreams in each of the three zones, with 2 slots each.");
ABSL_FLAG(int64_t, work_us, 20000,
          "Mean time in microseconds that an upstream takes to run a request.");
ABSL_FLAG(
    double, calm_load, 0.5,
    "Offered load outside of floods, as a fraction of the capacity of the "
    "slots.");
ABSL_FLAG(double, flood_factor, 10,
          "Multiplier of the rate of the class that floods.");
ABSL_FLAG(int, seconds, 6, "Length of each phase in seconds.");
ABSL_FLAG(uint64_t, seed, 1, "Seed of arrivals and keys.");
ABSL_FLAG(std::vector<std::string>, policies,
          std::vector<std::string>({"shares", "strict", "first-come"}),
          "Scheduling policies to measure.");
ABSL_FLAG(std::string, output, "", "File for the results as JSON.");

namespace mimosadeal {
namespace {

constexpr int kZones = 3;
constexpr int kSlots = 2;
constexpr double kMicrosecondsPerSecond = 1e6;

LoadPlan MakePlan(double calm_rate) {
  const Duration length = std::chrono::seconds(absl::GetFlag(FLAGS_seconds));
  const double factor = absl::GetFlag(FLAGS_flood_factor);
  LoadPlan plan;
  plan.classes = YardbookClasses(calm_rate);
  plan.phases = {{"warm-up", std::chrono::seconds(2), {}},
                 {"calm", length, {}},
                 {"lookups x" + std::to_string(static_cast<int>(factor)),
                  length,
                  {{"lookups", factor}}},
                 {"after", std::chrono::seconds(2), {}},
                 {"holds x" + std::to_string(static_cast<int>(factor)),
                  length,
                  {{"holds", factor}}},
                 {"after 2", std::chrono::seconds(2), {}}};
  plan.seed = absl::GetFlag(FLAGS_seed);
  return plan;
}

void PrintWorth(const nlohmann::json& phases) {
  for (const auto& phase : phases) {
    double worth = 0;
    double in_target = 0;
    for (const auto& counts : phase["classes"]) {
      worth += counts["worth"].get<double>();
      in_target += counts["in_target"].get<double>();
    }
    const double seconds = phase["seconds"].get<double>();
    std::printf("%-12s worth/s %9.1f   served in target/s %8.1f\n",
                phase["phase"].get<std::string>().c_str(), worth / seconds,
                in_target / seconds);
  }
}

nlohmann::json MeasurePolicy(const std::string& policy, uint16_t network) {
  std::string directory = "/tmp/mimosadeal-flood-XXXXXX";
  if (mkdtemp(directory.data()) == nullptr) return nullptr;
  const int upstreams = absl::GetFlag(FLAGS_upstreams_per_zone);
  const int64_t work_us = absl::GetFlag(FLAGS_work_us);
  const double capacity = kZones * upstreams * kSlots * kMicrosecondsPerSecond /
                          static_cast<double>(work_us);
  HttpExchange client;
  TestDeployment deployment(DefaultPrograms(),
                            YardbookLayout(absl::GetFlag(FLAGS_hosts_per_zone),
                                           upstreams, work_us, policy),
                            directory, network);
  if (!deployment.Start(client) ||
      !deployment.WaitUntilOwned(client, std::chrono::seconds(20))) {
    std::fprintf(stderr, "the deployment did not start; see %s\n",
                 directory.c_str());
    return nullptr;
  }
  std::vector<std::string> hosts;
  for (const EntryHost& host : deployment.hosts())
    hosts.push_back(host.callers);
  LoadRun run(client, MakePlan(capacity * absl::GetFlag(FLAGS_calm_load)),
              [&] { return hosts; });
  run.Run([](const LoadPhase&) {});
  const nlohmann::json phases = LoadJson(run);
  std::printf("policy %s; the slots have a capacity of %.0f requests/s\n%s",
              policy.c_str(), capacity, LoadTable(run).c_str());
  PrintWorth(phases);
  std::printf("\n");
  std::fflush(stdout);
  std::filesystem::remove_all(directory);
  return {{"policy", policy}, {"capacity", capacity}, {"phases", phases}};
}

int Run() {
  nlohmann::json results = nlohmann::json::array();
  auto network = static_cast<uint16_t>(getpid() * 16);
  for (const std::string& policy : absl::GetFlag(FLAGS_policies)) {
    const nlohmann::json result = MeasurePolicy(policy, network++);
    if (result.is_null()) return 1;
    results.push_back(result);
  }
  const std::string path = absl::GetFlag(FLAGS_output);
  if (!path.empty()) std::ofstream(path) << results.dump(1) << "\n";
  return 0;
}

}  // namespace
}  // namespace mimosadeal

int main(int argc, char** argv) {
  absl::ParseCommandLine(argc, argv);
  return mimosadeal::Run();
}
