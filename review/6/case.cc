// Crashes the busiest worker while busy keys are being moved away from it, and
// starts it again under its id. Checks that no life of a worker takes a key
// with a generation number that another life had.
//
//   review-2-case-6 DAEMON DIRECTORY RECORD   (TROUBLE=0: without the crashes)
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <string>
#include <vector>

#include "common/ids.h"
#include "small_deployment.h"

namespace mimosadeal {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int kKeys = 65536;
constexpr int kWorkersPerZone = 4;
constexpr Duration kWork = milliseconds(100);
constexpr Duration kRequestInterval = milliseconds(9);
constexpr Duration kClientDeadline = milliseconds(2000);
// As hot_key on goalha-gw: share 0.35, 200 keys.
constexpr double kHotShare = 0.35;
constexpr int kHotKeys = 200;
constexpr Duration kHotTime = milliseconds(3000);
// From the start of a hot time to the crash.
constexpr uint64_t kEarliestCrash = 1000;
constexpr uint64_t kLatestCrash = 1800;
constexpr Duration kDownTime = milliseconds(1000);
// From the start of a worker to its registration; below a heartbeat (870 ms).
constexpr Duration kRegistrationDelay = milliseconds(500);
constexpr Duration kLength = seconds(95);
constexpr uint64_t kSeed = 1;

int Run(const std::string& daemon, const std::string& directory,
        const std::string& record_path) {
  const char* trouble = std::getenv("TROUBLE");
  const bool crashes = trouble == nullptr || std::string(trouble) != "0";
  SmallDeployment deployment(daemon, directory);
  const std::vector<std::string> zones = {"north", "mid", "south"};
  std::map<std::string, std::pair<std::string, int>> places;
  int number = 0;
  for (const std::string& zone : zones) {
    for (int i = 1; i <= kWorkersPerZone; ++i) {
      const std::string id = "y-" + zone + "-" + std::to_string(i);
      places[id] = {zone, ++number};
      deployment.AddWorker(id, "yardbook", zone, number, kWork, {});
    }
  }
  for (const std::string& zone : zones)
    deployment.AddHost("front-" + zone, zone);
  if (!deployment.WaitUntilReady(seconds(15))) return kCouldNotRun;
  const bool held = deployment.RunUntil(
      [&] {
        for (int key = 0; key < kKeys; key += 512) {
          if (deployment.HolderOf(key).empty()) return false;
        }
        return true;
      },
      seconds(15));
  if (!held) return kCouldNotRun;

  Random random(kSeed);
  const MonotonicTime end = deployment.now() + kLength - seconds(15);
  MonotonicTime next_hot = deployment.now();
  MonotonicTime crash_at = kForever;
  int hot_first = 0;
  std::vector<std::shared_ptr<ClientAnswer>> answers;
  size_t next_host = 0;
  while (deployment.now() < end) {
    if (deployment.now() >= next_hot) {
      hot_first = static_cast<int>(random.Below(kKeys - kHotKeys));
      next_hot += kHotTime;
      crash_at = deployment.now() +
                 milliseconds(kEarliestCrash +
                              random.Below(kLatestCrash - kEarliestCrash));
      deployment.Note("the busy keys begin at " + std::to_string(hot_first));
    }
    if (crashes && deployment.now() >= crash_at) {
      crash_at = kForever;
      const std::string id = deployment.HolderOf(hot_first);
      if (!id.empty()) {
        deployment.Note(id + " crashes");
        deployment.CrashWorker(id);
        deployment.loop().timers().After(kDownTime, [&deployment, &places, id] {
          const auto& [zone, place] = places.at(id);
          deployment.AddWorker(id, "yardbook", zone, place, kWork,
                               kRegistrationDelay);
          deployment.Note(id + " is back");
        });
      }
    }
    const bool hot = random.Unit() < kHotShare;
    const int key = hot ? hot_first + static_cast<int>(random.Below(kHotKeys))
                        : static_cast<int>(random.Below(kKeys));
    const std::string& zone = zones[next_host++ % zones.size()];
    const bool unsafe = random.Below(4) == 0;
    answers.push_back(deployment.Send(
        *deployment.hosts().at("front-" + zone), unsafe ? "POST" : "GET",
        (unsafe ? "/hold/" : "/lookup/") + std::to_string(answers.size()), key,
        kClientDeadline));
    deployment.RunFor(kRequestInterval);
  }
  deployment.RunFor(seconds(3));
  std::vector<std::string> findings = deployment.record().violations;
  deployment.WriteRecord(record_path, findings);
  size_t served = 0;
  for (const auto& answer : answers) served += answer->status == 200 ? 1 : 0;
  std::printf("%zu requests, %zu served, %zu findings\n", answers.size(),
              served, findings.size());
  if (!findings.empty()) std::printf("first: %s\n", findings.front().c_str());
  return findings.empty() ? kRuleHeld : kRuleBroken;
}

}  // namespace
}  // namespace mimosadeal

int main(int argc, char** argv) {
  if (argc != 4) return mimosadeal::kCouldNotRun;
  return mimosadeal::Run(argv[1], argv[2], argv[3]);
}
