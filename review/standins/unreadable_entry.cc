// Another writer puts an entry into the registry whose text can't be read. Then
// the processes of all hosts are killed and start again.
//
// RECOVER: of the requests sent later than `recover` after the hosts are back,
// less than a quarter is served, though a quarter or more was before.
#include <algorithm>
#include <cstdlib>

#include "byte_proxy.h"
#include "kit.h"

namespace mimosadeal::review {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration kRecover = seconds(15);
constexpr Duration kDrain = seconds(2);
constexpr Duration kDeadline = seconds(4);
constexpr Duration kPause = milliseconds(100);
// Stands in the store for the text of the entry, and is replaced on its way.
constexpr char kPlaceholder[] = "UNREAD";

// A JSON string with half of a surrogate pair, or bytes that are no UTF-8.
std::string UnreadableText() {
  const char* variant = std::getenv("VARIANT");
  const bool raw = variant != nullptr && std::string(variant) == "raw";
  return raw ? "\xff\xfe\xfa\xff\xfe\xfa" : "\\ud800";
}

// Of the requests sent from `from` to `until`, the share that was served.
double ServedShare(const Kit& kit, MonotonicTime from, MonotonicTime until,
                   int& sent) {
  int served = 0;
  sent = 0;
  for (const auto& attempt : kit.attempts) {
    if (attempt->sent_at < from || attempt->sent_at >= until) continue;
    ++sent;
    if (attempt->status == 200) ++served;
  }
  return sent == 0 ? 0 : static_cast<double>(served) / sent;
}

int Run(const std::string& directory) {
  Kit kit(directory, 67'108'864);
  const SocketAddress front{kit.Ip(1, 2), 18400};
  auto proxy = ByteProxy::Open(kit.loop, front, kit.store_address);
  if (!proxy.has_value()) return kNotRun;
  proxy.value()->Replace(kPlaceholder, UnreadableText());
  kit.store_address = front;
  kit.AddUpstream("yard-1", "yard", "north", 1);
  kit.AddUpstream("yard-2", "yard", "north", 2);
  kit.AddUpstream("desk-1", "desk", "north", 3);
  DeploymentUpstream& leaving = kit.AddUpstream("desk-2", "desk", "north", 4);
  const auto start_hosts = [&kit] {
    for (const char* name : {"host-1", "host-2", "host-3"})
      kit.StartHost(name, "north");
  };
  start_hosts();
  const bool started = kit.RunUntil(
      [&] { return kit.EveryKeyIsHeld() && kit.AllReady(); }, seconds(20));
  if (!started) {
    kit.Record("the deployment did not start");
    return kNotRun;
  }

  int next = 0;
  std::vector<Caller> open;
  kit.loop.timers().Every(kPause, [&] {
    std::erase_if(open, [](const Caller& it) { return !it.client->busy(); });
    auto host = kit.hosts.begin();
    std::advance(host, next % static_cast<int>(kit.hosts.size()));
    open.push_back(kit.MakeCaller(*host->second));
    const bool keyed = next / 3 % 2 == 0;
    kit.Send(open.back(), "GET",
             (keyed ? "/lookup/" : "/price/") + std::to_string(next),
             next * 997 % 65536, "", kDeadline);
    ++next;
  });
  const MonotonicTime begin = kit.loop.timers().now();
  kit.RunFor(seconds(5));
  if (WithTrouble()) {
    kit.Record("another writer puts the entry other-1 into the registry");
    kit.store->Put("servers", "other-1",
                   {{"service", kPlaceholder}, {"state", "ready"}});
  }
  kit.RunFor(seconds(1));
  const MonotonicTime left_at = kit.loop.timers().now();
  kit.Record("desk-2 reports that it is draining");
  leaving.Report("draining");
  kit.RunFor(seconds(6));

  const MonotonicTime killed_at = kit.loop.timers().now();
  for (const auto& [name, host] : kit.hosts) {
    kit.Record("host " + name + " is killed");
    host->process.Kill();
  }
  kit.RunFor(seconds(1));
  start_hosts();
  const MonotonicTime back_at = kit.loop.timers().now();
  kit.RunFor(kRecover);
  kit.Record("15 s have passed since the hosts are back");
  kit.RunFor(seconds(10));
  const MonotonicTime end = kit.loop.timers().now();
  kit.RunFor(kDeadline);

  int sent_before = 0;
  int sent_after = 0;
  const double before = ServedShare(kit, begin, killed_at, sent_before);
  const double after = ServedShare(kit, back_at + kRecover, end, sent_after);
  const auto late = std::count_if(
      kit.record.runs.begin(), kit.record.runs.end(),
      [&](const UpstreamRun& run) {
        return run.upstream == "desk-2" && run.began_at != kNever &&
               run.began_at > left_at + kDrain && run.began_at < killed_at;
      });
  kit.RecordRuns();
  kit.Record("answers of the store that held the entry: " +
             std::to_string(proxy.value()->replaced()));
  kit.Record("before the kill: " + std::to_string(sent_before) +
             " sent, served share " + std::to_string(before));
  kit.Record("later than 15 s after the hosts are back: " +
             std::to_string(sent_after) + " sent, served share " +
             std::to_string(after) + "; RECOVER asks for 0.25");
  kit.Record("for information (DRAIN): " + std::to_string(late) +
             " requests began at desk-2 later than 2 s after its report and"
             " before the kill");
  if (before < 0.25) return kNotRun;
  return after < 0.25 ? kBroken : kHeld;
}

}  // namespace
}  // namespace mimosadeal::review

int main(int argc, char** argv) {
  if (argc != 2) return mimosadeal::review::kNotRun;
  return mimosadeal::review::Run(argv[1]);
}
