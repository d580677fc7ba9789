// An upstream hands out wrong bytes: in some of its answers, the name of the
// header with its proof is spoilt.
//
// MIXED: a caller gets a success without the upstream's X-Response-Signature.
#include <algorithm>
#include <cctype>

#include "byte_proxy.h"
#include "kit.h"

namespace mimosadeal::review {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration kDeadline = seconds(4);
constexpr char kProof[] = "x-response-signature";
constexpr char kSpoilt[] = "x-resqonse-signature";
// The largest dose of `garble` at the site: 0.35 of the upstreams, 0.02 of
// their answers, 5.5 s. Here one of three upstreams, one answer in 50, 5 s.
constexpr int kUpstreams = 3;
constexpr int kOneIn = 50;
constexpr Duration kGarbled = seconds(5);
constexpr Duration kCalm = seconds(6);

int Run(const std::string& directory) {
  Kit kit(directory, 67'108'864);
  DeploymentUpstream& faulty = kit.AddUpstream("desk-1", "desk", "north", 1);
  for (int i = 2; i <= kUpstreams; ++i)
    kit.AddUpstream("desk-" + std::to_string(i), "desk", "north", i);
  const SocketAddress front{kit.Ip(4, 1), 18401};
  auto proxy = ByteProxy::Open(kit.loop, front, faulty.options().address);
  if (!proxy.has_value()) return kNotRun;
  kit.store->Put("servers", "desk-1",
                 {{"service", "desk"},
                  {"address", front.ToString()},
                  {"zone", "north"},
                  {"version", "v1"},
                  {"slots", faulty.options().slots},
                  {"state", "ready"},
                  {"warmupLeft", "0ms"},
                  {"seq", 2},
                  {"born", faulty.incarnation()}});
  for (const char* name : {"host-1", "host-2"}) kit.StartHost(name, "north");
  if (!kit.RunUntil([&] { return kit.AllReady(); }, seconds(20))) {
    kit.Record("the hosts did not become ready");
    return kNotRun;
  }
  std::vector<Caller> callers;
  for (const auto& [name, host] : kit.hosts) {
    callers.push_back(kit.MakeCaller(*host));
    callers.push_back(kit.MakeCaller(*host));
  }
  int next = 0;
  kit.loop.timers().Every(milliseconds(10), [&] {
    for (size_t i = 0; i < callers.size(); ++i) {
      if (callers[i].client->busy()) continue;
      const bool safe = i % 2 == 0;
      kit.Send(callers[i], safe ? "GET" : "POST",
               (safe ? "/price/" : "/charge/") + std::to_string(next), -1,
               safe ? "" : "one", kDeadline);
      ++next;
    }
  });
  kit.RunFor(kCalm);
  kit.Record("desk-1 begins to hand out wrong bytes, if this is the trouble");
  if (WithTrouble()) proxy.value()->Replace(kProof, kSpoilt, kOneIn);
  kit.RunFor(kGarbled);
  proxy.value()->Replace("", "");
  kit.Record("desk-1 is sound again");
  kit.RunFor(kCalm);

  int served = 0;
  int without = 0;
  for (const auto& attempt : kit.attempts) {
    if (attempt->status < 200 || attempt->status > 299) continue;
    ++served;
    if (!attempt->proof.empty()) continue;
    ++without;
    kit.Record("success without the proof: " + attempt->id);
  }
  kit.RecordRuns();
  kit.Record("answers with the spoilt name: " +
             std::to_string(proxy.value()->replaced()));
  kit.Record("MIXED: " + std::to_string(without) + " of " +
             std::to_string(served) +
             " successes came without X-Response-Signature; allowed: 0");
  if (served == 0 || (WithTrouble() && proxy.value()->replaced() == 0))
    return kNotRun;
  return without > 0 ? kBroken : kHeld;
}

}  // namespace
}  // namespace mimosadeal::review

int main(int argc, char** argv) {
  if (argc != 2) return mimosadeal::review::kNotRun;
  return mimosadeal::review::Run(argv[1]);
}
