// The store turns away the holder of a zone's lease for 2 s, again and again,
// one host at a time, while upstreams are added and taken away.
//
// OWNER: two upstreams that are up hold the same keys for over half a second.
#include <algorithm>

#include "kit.h"

namespace mimosadeal::review {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration kDeadline = seconds(5);
constexpr Duration kRefused = seconds(2);
constexpr Duration kBetween = milliseconds(3600);
constexpr Duration kPlanned = milliseconds(4000);
constexpr Duration kDrain = milliseconds(2500);
constexpr Duration kLongestOverlap = milliseconds(500);
constexpr Duration kLength = seconds(95);
constexpr int kKeys = 65536;
constexpr int kKeyStep = 64;
constexpr int kHotSpan = kKeys / 8;
constexpr Duration kPause = milliseconds(28);  // Between requests.
constexpr int kRequestsPerHotSpan = 89;        // Of 2.5 s.
constexpr int kUpstreams = 20;
constexpr int kChanged = 5;
const std::vector<std::string> kZones = {"north", "mid", "south", "east",
                                         "west"};

class Scenario {
 public:
  explicit Scenario(const std::string& directory)
      : kit_(directory, 67'108'864) {}

  int Run() {
    kit_.link_store = true;
    for (int i = 0; i < kUpstreams; ++i) AddUpstream();
    for (const std::string& zone : kZones) {
      kit_.StartHost(zone + "-1", zone);
      kit_.StartHost(zone + "-2", zone);
    }
    const bool started = kit_.RunUntil(
        [&] { return kit_.EveryKeyIsHeld() && kit_.AllReady(); }, seconds(20));
    if (!started) {
      kit_.Record("the deployment did not start");
      return kNotRun;
    }
    kit_.loop.timers().Every(kPause, [this] { SendRequest(); });
    kit_.loop.timers().Every(milliseconds(20), [this] { CheckOwners(); });
    kit_.loop.timers().Every(kPlanned, [this] { ChangeUpstreams(); });
    if (WithTrouble())
      kit_.loop.timers().Every(kBetween, [this] { RefuseHolder(); });
    kit_.RunUntil([this] { return violations_ > 0; }, kLength);
    kit_.RunFor(seconds(2));
    kit_.RecordRuns();
    for (const std::string& violation : kit_.record.violations)
      kit_.Record("seen at the begin of a request: " + violation);
    kit_.Record("times that the store turned a holder away: " +
                std::to_string(refusals_));
    kit_.Record("OWNER: " + std::to_string(violations_) +
                " pairs of upstreams held the same keys for over 500 ms;"
                " allowed: 0");
    return violations_ > 0 ? kBroken : kHeld;
  }

 private:
  void AddUpstream() {
    const int number = ++next_upstream_;
    kit_.AddUpstream("yard-" + std::to_string(number), "yard",
                     kZones[static_cast<size_t>(number) % kZones.size()],
                     number)
        .SetWork(milliseconds(700));
  }

  // Adds 25 in 100 of the upstreams, or drains 20 in 100 and ends them.
  void ChangeUpstreams() {
    add_next_ = !add_next_;
    if (add_next_) {
      for (int i = 0; i < kChanged; ++i) AddUpstream();
      return;
    }
    for (int i = 0; i < kChanged; ++i) {
      const std::string id = "yard-" + std::to_string(++last_drained_);
      kit_.Record("upstream " + id + " reports that it is draining");
      kit_.upstreams.at(id)->Report("draining");
      kit_.loop.timers().After(kDrain, [this, id] { kit_.RemoveUpstream(id); });
    }
  }

  void RefuseHolder() {
    const std::string& zone =
        kZones[static_cast<size_t>(refusals_++) % kZones.size()];
    const nlohmann::json* lease = kit_.store->Find("zone-leases", zone);
    if (lease == nullptr) return;
    const std::string name = (*lease)["spec"]["holder"].get<std::string>();
    kit_.Record("the store turns " + name + " away, which holds the lease of " +
                zone);
    LinkFaults faults;
    faults.connecting = LinkConnecting::kRefused;
    faults.reset_open = true;
    kit_.hosts.at(name)->store_link->SetFaults(faults);
    kit_.loop.timers().After(kRefused, [this, name] {
      kit_.hosts.at(name)->store_link->SetFaults({});
      kit_.Record("the store serves " + name + " again");
    });
  }

  void SendRequest() {
    std::erase_if(open_, [](const Caller& it) { return !it.client->busy(); });
    auto host = kit_.hosts.begin();
    std::advance(host, next_request_ % static_cast<int>(kit_.hosts.size()));
    open_.push_back(kit_.MakeCaller(*host->second));
    // An eighth of the keys, another one every 2.5 s, gets more than half.
    const int hot_first = next_request_ / kRequestsPerHotSpan * 3 * kHotSpan;
    const int offset = next_request_ * 7919;
    const int key = next_request_ % 3 == 0
                        ? offset % kKeys
                        : (hot_first + offset % kHotSpan) % kKeys;
    kit_.Send(open_.back(), "POST", "/hold/" + std::to_string(next_request_),
              key, "one", kDeadline);
    ++next_request_;
  }

  void CheckOwners() {
    const MonotonicTime now = kit_.loop.timers().now();
    std::map<std::pair<std::string, std::string>, int> both;
    for (int key = 0; key < kKeys; key += kKeyStep) {
      std::string holder;
      for (const auto& [id, upstream] : kit_.upstreams) {
        if (!upstream->Holds(key)) continue;
        if (!holder.empty()) both.try_emplace({holder, id}, key);
        holder = id;
      }
    }
    std::erase_if(since_,
                  [&](const auto& it) { return !both.contains(it.first); });
    for (const auto& [pair, key] : both) {
      const auto [found, is_new] = since_.try_emplace(pair, now);
      if (is_new) {
        kit_.Record(pair.first + " and " + pair.second + " both hold key " +
                    std::to_string(key));
      }
      if (now - found->second <= kLongestOverlap) continue;
      found->second = kForever;
      ++violations_;
      kit_.Record("OWNER: " + pair.first + " and " + pair.second +
                  " have both held key " + std::to_string(key) +
                  " for over 500 ms");
    }
  }

  Kit kit_;
  int next_upstream_ = 0;
  int last_drained_ = 0;
  bool add_next_ = false;
  int refusals_ = 0;
  int next_request_ = 0;
  int violations_ = 0;
  std::vector<Caller> open_;
  std::map<std::pair<std::string, std::string>, MonotonicTime> since_;
};

}  // namespace
}  // namespace mimosadeal::review

int main(int argc, char** argv) {
  if (argc != 2) return mimosadeal::review::kNotRun;
  mimosadeal::review::Scenario scenario(argv[1]);
  return scenario.Run();
}
