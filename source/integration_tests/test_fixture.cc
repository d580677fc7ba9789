#include "test_fixture.h"

#include <CppUTest/TestHarness.h>
#include <unistd.h>

#include <cstdlib>
#include <filesystem>
#include <utility>

namespace mimosadeal {
namespace {

constexpr Duration kStartLimit = std::chrono::seconds(20);
constexpr Duration kRequestTimeout = std::chrono::seconds(10);

// Leases are longer than the defaults, so that they do not expire on a busy
// machine.
const std::vector<std::string> kTestSettings = {
    "leases.ttl_ms=900",
    "leases.renew_ms=150",
    "leases.promise_ttl_ms=1200",
    "leases.controller_silence_ms=700",
    "leases.grant_ttl_ms=900",
    "leases.grant_renew_ms=150",
    "leases.upstream_silence_ms=700",
    "requests.owner_wait_ms=5000",
    "platform.poll_ms=300",
    "requests.default_deadline_ms=8000",
    "log.level=debug"};

uint16_t NextNetwork() {
  static uint16_t count = 0;
  return static_cast<uint16_t>(getpid() * 16 + count++);
}

}  // namespace

nlohmann::json YardConfiguration(const std::vector<std::string>& zones,
                                 int slots, bool checks_grants) {
  return {{"services",
           {{"yard",
             {{"key_path_segment", 2},
              {"shards", 64},
              {"zones", zones},
              {"slots", slots},
              {"connections", 300},
              {"upstreams_check_grants", checks_grants},
              {"default_rank", "lookups"},
              {"ranks",
               {{"holds",
                 {{"order", 0},
                  {"target_ms", 5000},
                  {"worth", 10},
                  {"share", 0.5}}},
                {"lookups",
                 {{"order", 1},
                  {"target_ms", 5000},
                  {"worth", 1},
                  {"share", 0.2}}}}},
              {"rules",
               {{{"method", "GET"},
                 {"path", "/lots"},
                 {"rank", "lookups"},
                 {"idempotent", true}},
                {{"method", "POST"},
                 {"path", "/lots"},
                 {"rank", "holds"},
                 {"idempotent", false}}}}}}}}};
}

DeploymentLayout YardLayout(const std::vector<std::string>& zones,
                            int hosts_per_zone, int upstreams_per_zone) {
  DeploymentLayout layout;
  layout.zones = zones;
  layout.hosts_per_zone = hosts_per_zone;
  layout.services = {ServiceLayout{"yard", upstreams_per_zone, 2, true, 1000}};
  layout.settings = kTestSettings;
  layout.configuration = YardConfiguration(zones, 2, true);
  return layout;
}

TestFixture::TestFixture(DeploymentLayout layout) {
  const char* base = std::getenv("MIMOSADEAL_TEST_DIRECTORY");
  std::string pattern =
      std::string(base == nullptr ? "/tmp" : base) + "/mimosadeal-test-XXXXXX";
  if (mkdtemp(pattern.data()) == nullptr) std::abort();
  directory_ = pattern;
  deployment_ = std::make_unique<TestDeployment>(
      DefaultPrograms(), std::move(layout), directory_, NextNetwork());
}

TestFixture::~TestFixture() {
  deployment_.reset();
  // Logs and records of a failed test are kept.
  const bool failed = UtestShell::getCurrent()->hasFailed();
  if (failed) {
    std::fprintf(stderr, "logs and records are in %s\n", directory_.c_str());
    return;
  }
  std::filesystem::remove_all(directory_);
}

void TestFixture::Start() {
  CHECK_TRUE(deployment_->Start(client_));
  CHECK_TRUE(deployment_->WaitUntilOwned(client_, kStartLimit));
}

ClientRequest MakeLookup(const std::string& key, const std::string& query) {
  return ClientRequest{
      "GET", "/yard/lots/" + key + query, {}, "", kRequestTimeout};
}

ClientRequest MakeHold(const std::string& key, const std::string& id,
                       const std::string& query) {
  ClientRequest request{"POST",
                        "/yard/lots/" + key + query,
                        {},
                        "hold of " + key + " by " + id,
                        kRequestTimeout};
  request.headers.push_back({"idempotency-key", id});
  return request;
}

ClientResponse TestFixture::Lookup(const EntryHost& host,
                                   const std::string& key,
                                   const std::string& query) {
  return client_.Call(host.callers, MakeLookup(key, query));
}

ClientResponse TestFixture::Hold(const EntryHost& host, const std::string& key,
                                 const std::string& id,
                                 const std::string& query) {
  return client_.Call(host.callers, MakeHold(key, id, query));
}

std::vector<Execution> TestFixture::Executions() {
  return ReadExecutions(deployment_->RecordPaths("yard"));
}

void TestFixture::CheckRecords() {
  CheckNone(FindSharedOwnership(Executions()));
  CheckNone(FindRepetitions(Executions()));
}

void CheckNone(const std::vector<std::string>& violations) {
  if (violations.empty()) return;
  const std::string text = std::to_string(violations.size()) +
                           " violations, the first: " + violations.front();
  FAIL(text.c_str());
}

}  // namespace mimosadeal
