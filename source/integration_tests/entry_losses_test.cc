// Tests of entry hosts on an object-store deployment that lose the store, their
// lease holder or other hosts.
#include <CppUTest/TestHarness.h>

#include "entry_fixture.h"

namespace mimosadeal {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// The platform's bound on the time from the return of all hosts until most
// requests are served.
constexpr Duration kRecoveryDeadline = seconds(15);

// A host takes over a zone without hosts after 4 s of silence and at most 1 s
// more.
constexpr Duration kZoneTakeoverTime = seconds(6);

TEST_GROUP_BASE(EntryLosses, EntryTest){};

void RestartAllHosts(EntryFixture& fixture) {
  for (const auto& [name, host] : fixture.hosts) host->process.Kill();
  fixture.RunFor(milliseconds(1000));
  for (const auto& [name, host] : fixture.hosts)
    fixture.AddHost(name, host->zone);
}

// Returns a registration with all fields, at an address where nobody listens.
nlohmann::json Registration(const std::string& service,
                            const std::string& zone) {
  return {{"service", service}, {"address", "127.0.9.9:9"},
          {"zone", zone},       {"version", "v1"},
          {"slots", 2},         {"state", "ready"},
          {"seq", 1},           {"born", 1767225600000}};
}

TEST(EntryLosses, RequestsAreServedWhileTheStoreDoesNotRespond) {
  fixture.StartDefaultDeployment(3);
  fixture.store->faults().silent = true;
  fixture.store->CancelWatches();
  const MonotonicTime end = fixture.loop.timers().now() + seconds(9);
  while (fixture.loop.timers().now() < end) {
    LONGS_EQUAL(0, CountFailures("GET", "/lookup/"));
    LONGS_EQUAL(0, CountFailures("POST", "/hold/"));
  }
  fixture.store->faults().silent = false;
  fixture.RunFor(seconds(4));
  CHECK(fixture.EveryKeyIsHeld());
  fixture.CheckRecord();
}

// Once the store is back, a host must be up to date within 3 s. After that the
// platform enforces its bounds again.
TEST(EntryLosses, AConfigurationWrittenDuringAnOutageIsInForceSoonAfterIt) {
  fixture.StartDefaultDeployment(3);
  fixture.store->faults().silent = true;
  fixture.store->CancelWatches();
  fixture.RunFor(seconds(5));
  nlohmann::json newer = fixture.Configuration(5);
  newer["virtualHosts"][0]["paths"][3]["pathPrefix"] = "/newer/";
  fixture.store->Put("config", "main", newer);
  fixture.store->faults().silent = false;
  fixture.RunFor(milliseconds(2700));
  for (int host = 1; host <= 3; ++host)
    CheckServed(fixture.SendAndWait(Host(host), "GET", "/newer/a", -1));
}

// A host that cannot reach the store can learn of the change only from the feed
// of its lease holder.
TEST(EntryLosses, AHostPartitionedFromTheStoreReceivesAChangeFromItsFeed) {
  fixture.StartDefaultDeployment(4);
  const std::string holder = fixture.LeaseHolder("north");
  const std::string partitioned = holder == "host-1" ? "host-3" : "host-1";
  fixture.SetStorePartition(partitioned, true);
  fixture.RunFor(seconds(3));
  PutNewRoute(5);
  fixture.RunFor(kChangeDeadline);
  for (const auto& [name, host] : fixture.hosts)
    CheckServed(fixture.SendAndWait(*host, "GET", "/newer/a", -1));
}

// The followers must detect that the holder's feed no longer brings changes,
// and read the store themselves.
TEST(EntryLosses, AChangeReachesTheFollowersOfAPartitionedLeaseHolder) {
  fixture.StartDefaultDeployment(4);
  const std::string holder = fixture.LeaseHolder("north");
  const std::string other = holder == "host-1" ? "host-3" : "host-1";
  fixture.SetStorePartition(holder, true);
  PutNewRoute(5);
  fixture.RunFor(kChangeDeadline);
  CheckServed(
      fixture.SendAndWait(*fixture.hosts.at(other), "GET", "/newer/a", -1));
  fixture.RunFor(seconds(5));
  fixture.SetStorePartition(holder, false);
  fixture.RunFor(kChangeDeadline);
  CheckServed(
      fixture.SendAndWait(*fixture.hosts.at(holder), "GET", "/newer/a", -1));
  fixture.CheckRecord();
}

// A host with neither the store nor a feed misses all changes. It must learn
// them within kChangeDeadline after the partition ends.
TEST(EntryLosses, AHostLearnsMissedChangesAfterAPartition) {
  fixture.StartDefaultDeployment(4);
  const std::string holder = fixture.LeaseHolder("north");
  const std::string partitioned = holder == "host-1" ? "host-3" : "host-1";
  fixture.SetStorePartition(partitioned, true);
  fixture.hosts.at(holder)->process.Kill();
  fixture.RunFor(milliseconds(300));
  PutNewRoute(5);
  fixture.upstreams.at("desk-1")->Report("draining");
  fixture.RunFor(seconds(9));
  fixture.SetStorePartition(partitioned, false);
  fixture.RunFor(kChangeDeadline);
  const EntryProcess& host = *fixture.hosts.at(partitioned);
  CheckServed(fixture.SendAndWait(host, "GET", "/newer/a", -1));
  const size_t before = fixture.record.runs.size();
  for (int i = 0; i < 10; ++i)
    CheckServed(fixture.SendAndWait(host, "GET", "/newer/a", -1));
  for (size_t i = before; i < fixture.record.runs.size(); ++i)
    CHECK(fixture.record.runs[i].upstream != "desk-1");
  fixture.CheckRecord();
}

TEST(EntryLosses, LostResponsesOfTheStoreToWritesBreakNoPromise) {
  fixture.StartDefaultDeployment(3);
  for (int i = 0; i < 6; ++i) {
    fixture.store->faults().lose_write_responses = 2;
    if (i == 2) fixture.upstreams.at("yard-4")->Report("draining");
    fixture.RunFor(milliseconds(700));
  }
  fixture.store->faults().lose_write_responses = 0;
  fixture.RunFor(seconds(3));
  CHECK(fixture.EveryKeyIsHeld());
  LONGS_EQUAL(0, CountFailures("GET", "/lookup/"));
  fixture.CheckRecord();
}

TEST(EntryLosses, AHostReadsTheStoreAgainAfterItsHistoryWasCompacted) {
  fixture.StartDefaultDeployment(2);
  fixture.store->Compact();
  fixture.store->CancelWatches();
  nlohmann::json newer = fixture.Configuration(5);
  newer["virtualHosts"][0]["paths"][3]["pathPrefix"] = "/newer/";
  fixture.store->Put("config", "main", newer);
  fixture.RunFor(kChangeDeadline);
  for (int host = 1; host <= 2; ++host)
    CheckServed(fixture.SendAndWait(Host(host), "GET", "/newer/a", -1));
}

TEST(EntryLosses, EveryKeyStaysServedWhenALeaseHolderCrashes) {
  fixture.StartDefaultDeployment(4);
  Host(1).process.Kill();
  fixture.hosts.erase("host-1");
  const MonotonicTime end = fixture.loop.timers().now() + seconds(8);
  while (fixture.loop.timers().now() < end)
    LONGS_EQUAL(0, CountFailures("GET", "/lookup/"));
  CHECK(fixture.EveryKeyIsHeld());
  fixture.CheckRecord();
}

TEST(EntryLosses, EveryKeyIsServedAgainAfterAllHostsCrashed) {
  fixture.StartDefaultDeployment(3);
  for (const auto& [name, host] : fixture.hosts) host->process.Kill();
  fixture.RunFor(milliseconds(1000));
  for (const auto& [name, host] : fixture.hosts)
    fixture.AddHost(name, host->zone);
  CHECK(fixture.RunUntil([&] { return CountFailures("GET", "/lookup/") == 0; },
                         seconds(8)));
  CHECK(fixture.EveryKeyIsHeld());
  fixture.CheckRecord();
}

// Guards against one entry of another writer that hides the whole registry: no
// host that started anew became ready, and none heard of later changes. The
// stand-in sends "(unreadable)" as a string that cannot be decoded.
TEST(EntryLosses, AnEntryThatCannotBeReadHidesNoOthers) {
  fixture.StartDefaultDeployment(2);
  for (const char* kind : {"servers", "range-tables", "config"})
    fixture.store->Put(kind, "other-1", {{"service", "(unreadable)"}});
  fixture.upstreams.at("desk-1")->Report("draining");
  fixture.RunFor(kChangeDeadline);
  for (int i = 0; i < 20; ++i)
    CheckServed(fixture.SendAndWait(Host(1), "POST", "/charge/a", -1, "one"));
  for (const UpstreamRun& run : fixture.record.runs)
    CHECK(run.upstream != "desk-1");
  for (const auto& [name, host] : fixture.hosts) host->process.Kill();
  fixture.RunFor(milliseconds(1000));
  for (const auto& [name, host] : fixture.hosts)
    fixture.AddHost(name, host->zone);
  CHECK(fixture.RunUntil([&] { return CountFailures("GET", "/lookup/") == 0; },
                         seconds(8)));
  fixture.CheckRecord();
}

// Guards against hosts that never have the whole registry, because they ask for
// the page after an entry by a name that the store reads as another one.
TEST(EntryLosses, AnEntryWithAnOddNameAtAPagesEndHidesNoOthers) {
  fixture.StartDefaultDeployment(2);
  fixture.store->faults().max_page_objects = 1;
  for (const char* name : {"a&b", "a+b", "a#b", "a%41", "a b", "a=b", "z&z"})
    fixture.store->Put("servers", name, {{"service", "elsewhere"}});
  for (const auto& [name, host] : fixture.hosts) host->process.Kill();
  fixture.RunFor(milliseconds(1000));
  for (const auto& [name, host] : fixture.hosts)
    fixture.AddHost(name, host->zone);
  CHECK(fixture.RunUntil([&] { return CountFailures("GET", "/lookup/") == 0; },
                         kRecoveryDeadline));
  fixture.CheckRecord();
}

// Guards against hosts that never have the whole registry, because the name at
// the end of a page cannot be read or is not the store's.
TEST(EntryLosses, AnEntryWhoseNameIsNoTextHidesNoOthers) {
  for (const bool raw : {false, true}) {
    if (!raw) fixture.StartDefaultDeployment(2);
    fixture.store->faults().max_page_objects = 1;
    fixture.store->faults().raw_names = raw;
    for (const char* name : {"a\xff", "e\xc0\xaf", "\xff"}) {
      fixture.store->Remove("servers", name);
      fixture.store->Put("servers", name, Registration("elsewhere", "north"));
    }
    RestartAllHosts(fixture);
    CHECK_TEXT(
        fixture.RunUntil([&] { return CountFailures("GET", "/lookup/") == 0; },
                         kRecoveryDeadline),
        raw ? "as it is" : "replaced");
  }
  fixture.CheckRecord();
}

// Guards against hosts that begin the list of the registry anew with each
// response that is lost, and never have the whole.
TEST(EntryLosses, ALongRegistryIsReadWhileResponsesAreLost) {
  constexpr int entries = 20;
  fixture.StartDefaultDeployment(2);
  for (int i = 0; i < entries; ++i) {
    fixture.store->Put("servers", "other-" + std::to_string(i),
                       Registration("elsewhere", "north"));
  }
  fixture.store->faults().max_page_objects = 1;
  fixture.store->faults().lost_list_interval = 4;
  RestartAllHosts(fixture);
  CHECK(fixture.RunUntil([&] { return CountFailures("GET", "/lookup/") == 0; },
                         kRecoveryDeadline));
  fixture.CheckRecord();
}

TEST(EntryLosses, AnEntryWhoseContentIsNoRegistrationHidesNoOthers) {
  fixture.StartDefaultDeployment(2);
  fixture.store->faults().max_page_objects = 1;
  int number = 0;
  for (const char* content :
       {"7", "null", "[]", "[[]]", "\"text\"", "{}", R"({"service":"yard"})",
        R"({"service":7,"address":[],"zone":{},"slots":"2","state":null})"}) {
    fixture.store->Put("servers", "other-" + std::to_string(++number),
                       nlohmann::json::parse(content));
  }
  RestartAllHosts(fixture);
  CHECK(fixture.RunUntil([&] { return CountFailures("GET", "/lookup/") == 0; },
                         kRecoveryDeadline));
  fixture.CheckRecord();
}

// Guards against responses about the registry that cannot be read and count as
// an outage of the store, during which no host takes over a lost holder's
// lease.
TEST(EntryLosses, ALeaseIsTakenOverWhileTheRegistryCannotBeRead) {
  fixture.StartDefaultDeployment(4);
  fixture.store->faults().malformed_kind = "servers";
  fixture.store->CancelWatches();
  fixture.RunFor(kChangeDeadline);
  const std::string holder = fixture.LeaseHolder("north");
  fixture.hosts.at(holder)->process.Kill();
  CHECK(fixture.RunUntil([&] { return fixture.LeaseHolder("north") != holder; },
                         seconds(8)));
  fixture.store->faults().malformed_kind.clear();
  fixture.RunFor(kChangeDeadline);
  fixture.hosts.erase(holder);
  CHECK(fixture.RunUntil([&] { return CountFailures("GET", "/lookup/") == 0; },
                         seconds(8)));
  fixture.CheckRecord();
}

// Guards against calls to the store by a path that names another place than one
// object: hosts kept a lease for each zone that an entry named.
TEST(EntryLosses, AnEntryWhoseZoneIsNoNameMakesNoCallsToTheStore) {
  fixture.StartDefaultDeployment(2);
  int number = 0;
  for (const char* zone : {"", ".", "..", "a/b"}) {
    fixture.store->Put("servers", "other-" + std::to_string(++number),
                       Registration("desk", zone));
  }
  RestartAllHosts(fixture);
  CHECK(fixture.RunUntil([&] { return CountFailures("GET", "/lookup/") == 0; },
                         kRecoveryDeadline));
  CHECK(fixture.RunUntil([&] { return CountFailures("GET", "/price/") == 0; },
                         kRecoveryDeadline));
  fixture.RunFor(kZoneTakeoverTime);
  LONGS_EQUAL(0, fixture.store->misplaced_calls());
  LONGS_EQUAL(0, CountFailures("GET", "/lookup/"));
  fixture.CheckRecord();
}

// Guards against leases for zones that only entries of services that do not
// exist name: their renewals used up the calls that the store allows.
TEST(EntryLosses, EntriesOfUnknownServicesMakeNoZones) {
  constexpr int entries = 50;
  fixture.StartDefaultDeployment(2);
  const auto count_writes = [&] {
    const uint64_t before = fixture.store->writes();
    fixture.RunFor(seconds(4));
    return fixture.store->writes() - before;
  };
  const auto zone = [](int i) { return "zone-" + std::to_string(i); };
  const uint64_t usual = count_writes();
  for (int i = 0; i < entries; ++i) {
    fixture.store->Put("servers", "other-" + std::to_string(i),
                       Registration("elsewhere", zone(i)));
  }
  RestartAllHosts(fixture);
  CHECK(fixture.RunUntil([&] { return CountFailures("GET", "/lookup/") == 0; },
                         kRecoveryDeadline));
  fixture.RunFor(kZoneTakeoverTime);
  const uint64_t writes = count_writes();
  // The keys may move meanwhile, which takes some writes. Fifty leases take
  // hundreds.
  constexpr uint64_t table_writes = 20;
  CHECK_TEXT(
      writes <= usual + table_writes,
      (std::to_string(writes) + " writes in place of " + std::to_string(usual))
          .c_str());
  for (int i = 0; i < entries; ++i)
    CHECK(fixture.store->Find("zone-leases", zone(i)) == nullptr);
  fixture.CheckRecord();
}

TEST(EntryLosses, AZoneOfAServiceHasALeaseFromItsConfigurationOn) {
  fixture.StartDefaultDeployment(2);
  fixture.AddUpstream("desk-5", "desk", "west", 30);
  fixture.store->Put("servers", "shed-1", Registration("shed", "east"));
  const auto has_lease = [&](const std::string& zone) {
    return fixture.store->Find("zone-leases", zone) != nullptr;
  };
  CHECK(fixture.RunUntil([&] { return has_lease("west"); }, kRecoveryDeadline));
  fixture.RunFor(kZoneTakeoverTime);
  CHECK_FALSE(has_lease("east"));
  nlohmann::json configuration = fixture.Configuration(2);
  configuration["services"].push_back(
      {{"name", "shed"}, {"healthPath", "/health"}, {"maxConnections", 100}});
  fixture.store->Put("config", "main", configuration);
  CHECK(fixture.RunUntil([&] { return has_lease("east"); }, kRecoveryDeadline));
  fixture.CheckRecord();
}

// Requests that several callers send alike are in flight at several upstreams
// when these lose power, which shows nothing about the requests.
TEST(EntryLosses, PopularRequestsAreServedAfterUpstreamsLostPower) {
  constexpr int alike = 24;
  fixture.StartDefaultDeployment(2);
  for (int i = 3; i <= 6; ++i)
    fixture.AddUpstream("desk-" + std::to_string(i), "desk", "north", 10 + i);
  fixture.RunFor(seconds(1));
  std::vector<DeploymentUpstreamOptions> ended;
  for (auto& [id, upstream] : fixture.upstreams) {
    upstream->SetWork(milliseconds(500));
    if (!upstream->options().keyed) ended.push_back(upstream->options());
  }
  for (int i = 0; i < alike; ++i)
    fixture.Start(Host(1 + i % 2), "GET", "/price/popular", -1);
  fixture.RunFor(milliseconds(250));
  for (const auto& options : ended) fixture.CrashUpstream(options.id);
  fixture.RunFor(seconds(2));
  int index = 60;
  for (DeploymentUpstreamOptions& options : ended) {
    options.work = milliseconds(20);
    fixture.AddUpstream(options, ++index);
  }
  fixture.RunFor(seconds(4));
  for (int i = 0; i < 10; ++i) {
    CheckServed(
        fixture.SendAndWait(Host(1 + i % 2), "GET", "/price/other", -1));
    CheckServed(
        fixture.SendAndWait(Host(1 + i % 2), "GET", "/price/popular", -1));
  }
}

// Guards against use after free: calls to the store and to upstreams for
// another zone are still pending when the host loses that zone's lease.
// Sanitizers report the fault reliably; without them it shows only by chance.
TEST(EntryLosses, AHostThatHeldAnotherZonesLeaseSurvivesAStoreOutage) {
  fixture.StartDefaultDeployment(2);
  Host(1).process.Kill();
  fixture.hosts.erase("host-1");
  CHECK(fixture.RunUntil(
      [this] { return fixture.LeaseHolder("north") == "host-2"; },
      seconds(12)));
  fixture.RunFor(seconds(2));
  fixture.store->faults().silent = true;
  fixture.store->CancelWatches();
  fixture.RunFor(seconds(5));
  fixture.store->faults().silent = false;
  CHECK(fixture.RunUntil(
      [this] { return CountFailures("GET", "/lookup/") == 0; }, seconds(12)));
  CHECK(fixture.EveryKeyIsHeld());
  fixture.CheckRecord();
}

// The slow host is the only one of its zone when it acquires the lease.
TEST(EntryLosses, ASlowLeaseHolderYieldsToAFasterHost) {
  fixture.AddDefaultUpstreams();
  fixture.extra_settings["host-1"] = "[limits]\ncpu_share = 0.05\n";
  fixture.StartHosts(2);
  CHECK(fixture.LeaseHolder("north") == "host-1");
  fixture.AddHost("host-3", "north");
  CHECK(fixture.RunUntil(
      [this] { return fixture.LeaseHolder("north") == "host-3"; }, seconds(8)));
  for (int i = 0; i < 10; ++i) LONGS_EQUAL(0, CountFailures("GET", "/lookup/"));
  CHECK(fixture.EveryKeyIsHeld());
  fixture.CheckRecord();
}

// Guards against owners that lose all their keys for the time of a hold because
// two grants in a row stay unanswered, although they serve.
TEST(EntryLosses, AnOwnerThatLeavesTwoGrantsUnansweredKeepsItsKeys) {
  fixture.StartDefaultDeployment(2);
  fixture.RunFor(seconds(1));
  DeploymentUpstream& owner = *fixture.upstreams.at("yard-1");
  const size_t releases = owner.releases().size();
  owner.faults().ignore_grants = true;
  fixture.RunFor(seconds(2));
  owner.faults().ignore_grants = false;
  fixture.RunFor(seconds(2));
  LONGS_EQUAL(releases, owner.releases().size());
  CHECK(fixture.EveryKeyIsHeld());
  fixture.CheckRecord();
}

}  // namespace
}  // namespace mimosadeal
