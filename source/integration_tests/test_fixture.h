// What the integration tests share: a small deployment, requests to it, and the
// checks on records.
#pragma once

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "execution_record.h"
#include "http_exchange.h"
#include "test_deployment.h"

namespace mimosadeal {

// A service "yard" divided by key and two ranks of work, for a deployment of
// `zones`.
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

  // Starts everything and waits until every key has an owner. Fails the test
  // otherwise.
  void Start();

  // Sends an idempotent lookup of `key` to `host`.
  ClientResponse Lookup(const EntryHost& host, const std::string& key,
                        const std::string& query = "");
  // Sends a non-idempotent hold of `key` with `id` to `host`.
  ClientResponse Hold(const EntryHost& host, const std::string& key,
                      const std::string& id, const std::string& query = "");

  std::vector<Execution> Executions();
  // Fails the test unless the records show one owner for each shard and no id
  // run twice.
  void CheckRecords();

 private:
  std::string directory_;
  HttpExchange client_;
  std::unique_ptr<TestDeployment> deployment_;
};

ClientRequest MakeLookup(const std::string& key, const std::string& query);
ClientRequest MakeHold(const std::string& key, const std::string& id,
                       const std::string& query);

// Fails the test with the first of `faults`, if there is one.
void CheckNone(const std::vector<std::string>& faults);

}  // namespace mimosadeal
