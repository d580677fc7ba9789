// Tests of the classification of callers' requests.
#include "requests/request_classifier.h"

#include <CppUTest/TestHarness.h>

#include <nlohmann/json.hpp>

#include "configuration/configuration_parser.h"

namespace mimosadeal {
namespace {

using std::chrono::milliseconds;

TEST_GROUP(RequestClassifier) {
  Configuration configuration =
      ParseConfiguration(nlohmann::json::parse(R"({"services": {
        "yard": {"zones": ["a"], "shards": 64, "key_path_segment": 2, "default_rank": "lookups",
                 "ranks": {"lookups": {}, "holds": {}},
                 "rules": [{"method": "POST", "path": "/lots", "rank": "holds", "idempotent": false}]},
        "desk": {"zones": ["a"], "divided_by_key": false, "default_rank": "r", "ranks": {"r": {}}}}})"),
                         1)
          .configuration;
  ClassifierLimits limits{milliseconds(5000), milliseconds(60000)};

  Classification Classify(const std::string& method, const std::string& path,
                          HttpHeaders headers = {}) {
    return ClassifyRequest(
        configuration, limits,
        HttpRequest{method, path, "", std::move(headers), ""});
  }
};

TEST(RequestClassifier, ReadsServiceKeyRankAndIdempotency) {
  const Classification get = Classify("GET", "/yard/lots/17");
  CHECK_TRUE(get.accepted && get.request.dispatch.idempotent);
  STRCMP_EQUAL("lookups", get.request.dispatch.rank.c_str());
  STRCMP_EQUAL("/lots/17", get.request.dispatch.path.c_str());
  LONGS_EQUAL(ShardOfKey(configuration.services.at("yard"), "17"),
              get.request.dispatch.shard);
  const Classification post =
      Classify("POST", "/yard/lots/17", {{"idempotency-key", "x"}});
  CHECK_TRUE(post.accepted && !post.request.dispatch.idempotent &&
             post.request.dispatch.has_key);
  STRCMP_EQUAL("holds", post.request.dispatch.rank.c_str());
}

TEST(RequestClassifier, HeadersOverrideRules) {
  const Classification result = Classify("GET", "/yard/lots/17",
                                         {{"mimosa-key", "18"},
                                          {"mimosa-rank", "holds"},
                                          {"mimosa-deadline-ms", "250"}});
  STRCMP_EQUAL("holds", result.request.dispatch.rank.c_str());
  LONGS_EQUAL(ShardOfKey(configuration.services.at("yard"), "18"),
              result.request.dispatch.shard);
  LONGS_EQUAL(250, ToMilliseconds(result.request.deadline));
}

TEST(RequestClassifier, RefusesRequestsThatCannotBeRouted) {
  LONGS_EQUAL(404, Classify("GET", "/nothing/1").problem.status);
  LONGS_EQUAL(404, Classify("GET", "/").problem.status);
  LONGS_EQUAL(400, Classify("GET", "/yard").problem.status);
  LONGS_EQUAL(400, Classify("POST", "/yard/lots/1").problem.status);
  LONGS_EQUAL(400, Classify("GET", "/yard/lots/1", {{"mimosa-rank", "none"}})
                       .problem.status);
  LONGS_EQUAL(400,
              Classify("GET", "/yard/lots/1", {{"mimosa-deadline-ms", "soon"}})
                  .problem.status);
  LONGS_EQUAL(400, Classify("POST", "/yard/lots/1",
                            {{"idempotency-key", std::string(200, 'x')}})
                       .problem.status);
}

TEST(RequestClassifier, AServiceWithoutKeysDerivesTheShardFromTheId) {
  const Classification first =
      Classify("POST", "/desk/charges", {{"idempotency-key", "x"}});
  const Classification second =
      Classify("POST", "/desk/charges", {{"idempotency-key", "x"}});
  CHECK_TRUE(first.accepted);
  LONGS_EQUAL(first.request.dispatch.shard, second.request.dispatch.shard);
}

TEST(RequestClassifier, DeadlinesAreLimited) {
  const Classification result =
      Classify("GET", "/yard/lots/17", {{"mimosa-deadline-ms", "99999999"}});
  LONGS_EQUAL(60000, ToMilliseconds(result.request.deadline));
}

}  // namespace
}  // namespace mimosadeal
