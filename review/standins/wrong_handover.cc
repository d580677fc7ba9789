// An upstream that owns keys leaves. In one of its answers, that to a release,
// it hands out wrong bytes.
//
// LOST: a request from a kept connection was passed on to a sound upstream and
// its connection ended without an answer, more than three times. A process that
// ends by itself counts as running all the while.
#include <algorithm>

#include "byte_proxy.h"
#include "kit.h"

namespace mimosadeal::review {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration kDeadline = seconds(5);
constexpr Duration kWork = milliseconds(200);
// `garble` spoils 0.02 of the answers of 0.35 of the upstreams for 5.5 s at
// most. Here it is one answer of one upstream in eight.
constexpr int kUpstreams = 8;
constexpr int kCallersPerHost = 10;
constexpr int kAllowed = 3;
constexpr char kHandover[] = "h-yard-1";
constexpr char kWrongBytes[] = "\x9e\xff\x80\xc3\x28\xa0\xa1\xf8";

int Run(const std::string& directory) {
  Kit kit(directory, 67'108'864);
  for (int i = 1; i <= kUpstreams; ++i) {
    kit.AddUpstream("yard-" + std::to_string(i), "yard", "north", i)
        .SetWork(kWork);
  }
  DeploymentUpstream& leaving = *kit.upstreams.at("yard-1");
  const SocketAddress front{kit.Ip(4, 1), 18401};
  auto proxy = ByteProxy::Open(kit.loop, front, leaving.options().address);
  if (!proxy.has_value()) return kNotRun;
  const auto report = [&](const char* state, int number) {
    kit.store->Put("servers", "yard-1",
                   {{"service", "yard"},
                    {"address", front.ToString()},
                    {"zone", "north"},
                    {"version", "v1"},
                    {"slots", leaving.options().slots},
                    {"state", state},
                    {"warmupLeft", "0ms"},
                    {"seq", number},
                    {"born", leaving.incarnation()}});
  };
  report("ready", 2);
  for (const char* name : {"host-1", "host-2"}) kit.StartHost(name, "north");
  const bool started = kit.RunUntil(
      [&] { return kit.EveryKeyIsHeld() && kit.AllReady(); }, seconds(20));
  if (!started) {
    kit.Record("the deployment did not start");
    return kNotRun;
  }

  // The platform starts a process again that has ended.
  int ends = 0;
  std::map<std::string, bool> down;
  kit.loop.timers().Every(milliseconds(10), [&] {
    for (const auto& [name, host] : kit.hosts) {
      int code = 0;
      if (down[name] || !host->process.TryWait(code)) continue;
      kit.Record("the process of " + name +
                 " ended by itself, exit code or -1 for a signal: " +
                 std::to_string(code));
      ++ends;
      down[name] = true;
      kit.loop.timers().After(milliseconds(500), [&, name = name] {
        kit.StartHost(name, "north");
        down[name] = false;
      });
    }
  });
  std::vector<Caller> callers;
  for (const auto& [name, host] : kit.hosts) {
    for (int i = 0; i < kCallersPerHost; ++i)
      callers.push_back(kit.MakeCaller(*host));
  }
  int next = 0;
  kit.loop.timers().Every(milliseconds(20), [&] {
    for (Caller& caller : callers) {
      if (down[caller.host] || caller.client->busy()) continue;
      kit.Send(caller, "POST", "/hold/" + std::to_string(next),
               next * 7919 % 65536, "one", kDeadline);
      ++next;
    }
  });
  kit.RunFor(seconds(6));
  const auto count_runs = [&] {
    return std::count_if(
        kit.record.runs.begin(), kit.record.runs.end(),
        [](const UpstreamRun& run) { return run.upstream == "yard-1"; });
  };
  const auto before = count_runs();
  kit.RunFor(seconds(5));
  const auto answers = count_runs() - before;
  kit.Record("yard-1 reports that it is draining");
  // One answer is wrong; all others are right.
  if (WithTrouble()) proxy.value()->Replace(kHandover, kWrongBytes, 1, 1);
  report("draining", 3);
  kit.RunFor(seconds(10));

  int lost = 0;
  for (const auto& attempt : kit.attempts) {
    const bool unanswered = attempt->kept && attempt->status == -1;
    if (!unanswered) continue;
    const auto run = std::find_if(
        kit.record.runs.begin(), kit.record.runs.end(),
        [&](const UpstreamRun& it) { return it.request_id == attempt->id; });
    if (run == kit.record.runs.end() || run->upstream == "yard-1") continue;
    kit.Record("lost: " + attempt->id + ", passed on to " + run->upstream);
    ++lost;
  }
  kit.RecordRuns();
  kit.Record("yard-1 began " + std::to_string(answers) +
             " requests in the 5 s before; answers with wrong bytes: " +
             std::to_string(proxy.value()->replaced()) +
             ", processes that ended: " + std::to_string(ends));
  kit.Record("LOST: " + std::to_string(lost) +
             " requests of kept connections were passed on to a sound upstream"
             " and got no answer; allowed: " +
             std::to_string(kAllowed));
  if (WithTrouble() && proxy.value()->replaced() == 0) return kNotRun;
  return lost > kAllowed ? kBroken : kHeld;
}

}  // namespace
}  // namespace mimosadeal::review

int main(int argc, char** argv) {
  if (argc != 2) return mimosadeal::review::kNotRun;
  return mimosadeal::review::Run(argv[1]);
}
