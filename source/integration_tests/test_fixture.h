// Fixture of integration tests on the platform deployment: a small deployment,
// requests to it, and checks on the records of its upstreams.
#pragma once

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "execution_record.h"
#include "http_exchange.h"
#include "test_deployment.h"

namespace mimosadeal {

// Returns a configuration of the keyed service "yard" in `zones`, with the
// ranks "holds" and "lookups".
nlohmann::json YardConfiguration(const std::vector<std::string>& zones,
                                 int slots, bool checks_grants);

DeploymentLayout YardLayout(const std::vector<std::string>& zones,
                            int hosts_per_zone, int upstreams_per_zone);

class TestFixture {
 public:
  explicit TestFixture(DeploymentLayout layout);
  ~TestFixture();

  HttpExchange& client() { return client_; }
  TestDeployment& deployment() { return *deployment_; }

  // Starts all processes and waits until every key has an owner. Fails the test
  // on a timeout.
  void Start();

  // Sends an idempotent lookup of `key` to `host`.
  ClientResponse Lookup(const EntryHost& host, const std::string& key,
                        const std::string& query = "");
  // Sends a non-idempotent hold of `key` with `id` to `host`.
  ClientResponse Hold(const EntryHost& host, const std::string& key,
                      const std::string& id, const std::string& query = "");

  std::vector<Execution> Executions();
  // Fails the test if two upstreams ran requests of one shard at the same time,
  // or an id ran more than once.
  void CheckRecords();

 private:
  std::string directory_;
  HttpExchange client_;
  std::unique_ptr<TestDeployment> deployment_;
};

ClientRequest MakeLookup(const std::string& key, const std::string& query);
ClientRequest MakeHold(const std::string& key, const std::string& id,
                       const std::string& query);

// Fails the test with the first of `violations`, if there is one.
void CheckNone(const std::vector<std::string>& violations);

}  // namespace mimosadeal
