// Tests of the subset of upstreams that each host prefers.
#include "balance/upstream_preference.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <list>
#include <map>
#include <set>

namespace mimosadeal {
namespace {

constexpr int kHosts = 295;
constexpr int kUpstreams = 150;
constexpr int kZones = 5;

TEST_GROUP(UpstreamPreference) {
  std::list<ListedUpstream> listed;
  std::vector<const ListedUpstream*> serving;

  void Add(const std::string& id, const std::string& zone) {
    ListedUpstream upstream;
    upstream.record.id = id;
    upstream.record.zone = zone;
    listed.push_back(upstream);
    serving.push_back(&listed.back());
  }

  void AddMany() {
    for (int i = 0; i < kUpstreams; ++i)
      Add("u" + std::to_string(i), "zone-" + std::to_string(i % kZones));
  }

  std::set<std::string> PreferredIds(int host) {
    std::set<std::string> ids;
    for (const ListedUpstream* upstream :
         PreferredUpstreams(serving, "host-" + std::to_string(host),
                            "zone-" + std::to_string(host % kZones)))
      ids.insert(upstream->record.id);
    return ids;
  }
};

TEST(UpstreamPreference, AllUpstreamsArePreferredIfThereAreFew) {
  for (int i = 0; i < 7; ++i) Add("u" + std::to_string(i), "zone-0");
  Add("far", "zone-1");
  LONGS_EQUAL(8, PreferredIds(0).size());
}

// Guards against idle connections that expire between requests, and against
// uneven load: 295 hosts send a few requests per second each to a service of
// 150 upstreams. Each host must keep using the same upstreams, and no upstream
// may be preferred by many more hosts than another.
TEST(UpstreamPreference, ManyHostsSpreadOverManyUpstreams) {
  AddMany();
  std::map<std::string, int> hosts_of;
  for (int host = 0; host < kHosts; ++host) {
    const std::set<std::string> preferred = PreferredIds(host);
    LONGS_EQUAL(kPreferredInZone + kPreferredInOtherZones, preferred.size());
    CHECK(preferred == PreferredIds(host));
    for (const std::string& id : preferred) ++hosts_of[id];
  }
  LONGS_EQUAL(kUpstreams, hosts_of.size());
  constexpr double mean = static_cast<double>(kHosts) *
                          (kPreferredInZone + kPreferredInOtherZones) /
                          kUpstreams;
  for (const auto& [id, hosts] : hosts_of) {
    CHECK(hosts > mean / 2);
    CHECK(hosts < mean * 2);
  }
}

TEST(UpstreamPreference, RemovingAnUpstreamKeepsTheOtherPreferences) {
  AddMany();
  std::vector<std::set<std::string>> before;
  for (int host = 0; host < kHosts; ++host)
    before.push_back(PreferredIds(host));
  const std::string removed_id = serving.back()->record.id;
  serving.pop_back();
  for (int host = 0; host < kHosts; ++host) {
    const std::set<std::string> after = PreferredIds(host);
    std::set<std::string>& old = before[static_cast<size_t>(host)];
    const size_t changed = old.erase(removed_id);
    CHECK(std::includes(after.begin(), after.end(), old.begin(), old.end()));
    LONGS_EQUAL(old.size() + changed, after.size());
  }
}

}  // namespace
}  // namespace mimosadeal
