// Demo program: starts a small Connecticut Valley deployment on loopback, sends
// mixed requests through it, prints the results and the addresses of the pages,
// and stops all processes.

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <unistd.h>

#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <nlohmann/json.hpp>

#include "load_run.h"
#include "test_deployment.h"

ABSL_FLAG(std::string, configuration,
          "examples/connecticut-valley/configuration.json",
          "Configuration document to start with.");
ABSL_FLAG(int, seconds, 8, "Time in seconds for which to send requests.");
ABSL_FLAG(
    int, linger_seconds, 0,
    "Time in seconds for which the deployment keeps running afterwards, so "
    "that its pages can be read.");

namespace mimosadeal {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int64_t kWorkTimeMicroseconds = 10000;

LoadClass MakeClass(const char* name, const char* method, const char* path,
                    double rate, int target_ms, double worth) {
  LoadClass load_class;
  load_class.name = name;
  load_class.method = method;
  load_class.path = path;
  load_class.needs_id = load_class.method == "POST";
  if (load_class.method != "GET") load_class.body = "{}";
  load_class.rate = rate;
  load_class.target = milliseconds(target_ms);
  load_class.deadline = 2 * load_class.target;
  load_class.worth = worth;
  return load_class;
}

LoadPlan MakePlan() {
  LoadPlan plan;
  plan.classes = {
      MakeClass("holds", "POST", "/yardbook/lots/{key}", 60, 250, 20),
      MakeClass("changes", "PUT", "/yardbook/lots/{key}", 60, 500, 5),
      MakeClass("lookups", "GET", "/yardbook/lots/{key}", 150, 1000, 1),
      MakeClass("charges", "POST", "/depositdesk/charges", 40, 500, 50),
      MakeClass("refunds", "POST", "/depositdesk/refunds", 20, 2000, 10),
      MakeClass("reports", "GET", "/depositdesk/reports", 20, 5000, 1)};
  plan.phases = {{"mixed load", seconds(absl::GetFlag(FLAGS_seconds)), {}}};
  return plan;
}

void PrintPages(TestDeployment& deployment, HttpExchange& client) {
  std::printf("\nAddresses of the pages of each entry host:\n");
  for (const EntryHost& host : deployment.hosts()) {
    std::printf(
        "  %-15s callers http://%s/SERVICE/...  operators http://%s  (/status "
        "/configuration /metrics "
        "/healthz /readyz /owner/SERVICE/KEY)\n",
        host.id.c_str(), host.callers.c_str(), host.operators.c_str());
  }
  const EntryHost& first = deployment.hosts().front();
  const ClientResponse owner = client.Call(
      first.operators, {"GET", "/owner/yardbook/17", {}, "", seconds(2)});
  std::printf("\nmimosactl --host %s owner yardbook 17 would print:\n%s",
              first.operators.c_str(), owner.body.c_str());
}

int Run() {
  std::ifstream file(absl::GetFlag(FLAGS_configuration));
  DeploymentLayout layout;
  layout.configuration = nlohmann::json::parse(file, nullptr, false);
  if (!layout.configuration.is_object()) {
    std::fprintf(stderr, "%s cannot be read as JSON\n",
                 absl::GetFlag(FLAGS_configuration).c_str());
    return 1;
  }
  layout.zones = {"north", "middle", "south"};
  layout.hosts_per_zone = 2;
  layout.services = {
      ServiceLayout{"yardbook", 2, 2, true, kWorkTimeMicroseconds},
      ServiceLayout{"depositdesk", 1, 2, true, kWorkTimeMicroseconds}};
  std::string directory = "/tmp/mimosadeal-demo-XXXXXX";
  if (mkdtemp(directory.data()) == nullptr) return 1;
  HttpExchange client;
  TestDeployment deployment(DefaultPrograms(), layout, directory,
                            static_cast<uint16_t>(getpid() * 16));
  std::printf(
      "Starting 6 entry hosts in 3 availability zones, 9 upstreams and the "
      "platform...\n");
  std::fflush(stdout);
  if (!deployment.Start(client) ||
      !deployment.WaitUntilOwned(client, seconds(20))) {
    std::fprintf(stderr, "the deployment did not start; its logs are in %s\n",
                 directory.c_str());
    return 1;
  }
  std::vector<std::string> hosts;
  for (const EntryHost& host : deployment.hosts())
    hosts.push_back(host.callers);
  LoadRun run(client, MakePlan(), [&] { return hosts; });
  run.Run([](const LoadPhase&) {});
  std::printf("\n%s", LoadTable(run).c_str());
  PrintPages(deployment, client);
  std::fflush(stdout);
  client.RunFor(seconds(absl::GetFlag(FLAGS_linger_seconds)));
  std::filesystem::remove_all(directory);
  std::printf("\nAll processes have stopped.\n");
  return 0;
}

}  // namespace
}  // namespace mimosadeal

int main(int argc, char** argv) {
  absl::ParseCommandLine(argc, argv);
  return mimosadeal::Run();
}
