// Tests of encoding and decoding the platform's protocol, also with mutated
// input.
#include <CppUTest/TestHarness.h>

#include <cmath>

#include "codec_samples.h"
#include "common/ids.h"
#include "platform/bounds_codec.h"
#include "platform/caller_codec.h"
#include "platform/configuration_codec.h"
#include "platform/deployment.h"
#include "platform/json_fields.h"
#include "platform/store_codec.h"
#include "platform/upstream_codec.h"

namespace mimosadeal::platform {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

TEST_GROUP(PlatformTime){};

TEST(PlatformTime, ReadsDurationsWithUnits) {
  CHECK(ParseDuration("1500ms") == Duration(milliseconds(1500)));
  CHECK(ParseDuration("2.5s") == Duration(milliseconds(2500)));
  CHECK_FALSE(ParseDuration("15").has_value());
  CHECK_FALSE(ParseDuration("-1s").has_value());
  CHECK_FALSE(ParseDuration("1e300s").has_value());
  CHECK_FALSE(ParseDuration("nans").has_value());
  STRCMP_EQUAL("4000ms", FormatDuration(seconds(4)).c_str());
}

TEST_GROUP(PlatformConfiguration){};

TEST(PlatformConfiguration, ReadsRoutesServicesAndLimits) {
  const auto read = ReadConfiguration(nlohmann::json::parse(kConfiguration));
  CHECK(read.has_value());
  const RouteTable& table = read.value();
  LONGS_EQUAL(12, table.version);
  CHECK(table.services.at("yard").keyed);
  CHECK_FALSE(table.services.at("desk").keyed);
  LONGS_EQUAL(1000, table.limits.max_body_bytes);
  const Route* hold = FindRoute(table, "lots.example", "/a/b/1");
  CHECK(hold->idempotency == Idempotency::kNonIdempotent);
  CHECK(hold->timeout == Duration(milliseconds(2500)));
  LONGS_EQUAL(1, hold->max_upstreams);
  const Route* lookup = FindRoute(table, "lots.example", "/a/1");
  CHECK(lookup->idempotency == Idempotency::kIdempotent);
  LONGS_EQUAL(2, lookup->weighted_services.size());
  DOUBLES_EQUAL(10, lookup->weighted_services[1].weight, 0);
}

TEST(PlatformConfiguration, RequestsOfAnUnknownKindAreNotIdempotent) {
  nlohmann::json content = nlohmann::json::parse(kConfiguration);
  content["virtualHosts"][0]["paths"][0]["kind"] = "new";
  const auto read = ReadConfiguration(content);
  CHECK(FindRoute(read.value(), "lots.example", "/a/1")->idempotency ==
        Idempotency::kNonIdempotent);
}

// They were cast: 0 attempts refused every request, -1 allowed any number.
TEST(PlatformConfiguration, WholeNumbersOutOfRangeAreIgnored) {
  nlohmann::json content = nlohmann::json::parse(kConfiguration);
  for (const nlohmann::json& number :
       nlohmann::json::array({-1, 0, 4294967299, 18446744073709551615ULL})) {
    content["virtualHosts"][0]["paths"][0]["maxAttempts"] = number;
    const auto read = ReadConfiguration(content);
    LONGS_EQUAL(1,
                FindRoute(read.value(), "lots.example", "/a/1")->max_upstreams);
  }
  content["limits"]["maxBodyBytes"] = -1;
  LONGS_EQUAL(1024 * 1024,
              ReadConfiguration(content).value().limits.max_body_bytes);
}

TEST(PlatformConfiguration, TheErrorNamesTheMissingField) {
  nlohmann::json content = nlohmann::json::parse(kConfiguration);
  content["virtualHosts"][0]["paths"][0].erase("timeout");
  const auto read = ReadConfiguration(content);
  CHECK_FALSE(read.has_value());
  STRCMP_CONTAINS("timeout", read.error().message.c_str());
}

TEST(PlatformConfiguration, ReadsBounds) {
  const auto read = ReadBounds(
      "drain=2500ms,holdMax=10000ms,budgetSlack=141,"
      "retryBudgetRatio=0.2,unknown=x");
  CHECK(read.has_value());
  CHECK(read.value().drain == Duration(milliseconds(2500)));
  DOUBLES_EQUAL(141, read.value().retry_allowance, 0);
  CHECK_FALSE(ReadBounds("drain=soon").has_value());
  CHECK_FALSE(read.value().evacuation.has_value());
  CHECK_FALSE(read.value().scarce_room);
}

TEST(PlatformConfiguration, ReadsBoundsOnColdAndEvacuatedUpstreams) {
  const auto read = ReadBounds(
      "coldOver=1.5,coldSlack=8,evac=5000ms,base=in-force,"
      "pool=in-force");
  CHECK(read.has_value());
  DOUBLES_EQUAL(1.5, read.value().cold_ratio, 0);
  DOUBLES_EQUAL(8, read.value().cold_allowance, 0);
  CHECK(read.value().evacuation == Duration(milliseconds(5000)));
  CHECK(read.value().scarce_room);
  CHECK_FALSE(ReadBounds("evac=soon").has_value());
}

// The settings template passed values only, so that no bound took effect.
TEST(PlatformConfiguration, ABoundWithoutANameIsAnError) {
  CHECK_FALSE(ReadBounds("3s,2s,3000ms").has_value());
  CHECK(ReadBounds("").has_value());
}

// No host started: one of the rules is named like a bound.
TEST(PlatformConfiguration, ARuleInForceThatIsNamedLikeABoundIsNoBound) {
  const auto read = ReadBounds("drain=2500ms,drain=in-force,config=in-force");
  CHECK(read.has_value());
  CHECK(read.value().drain == Duration(milliseconds(2500)));
  CHECK_FALSE(read.value().scarce_room);
}

// A host did not start, as it read the rule for the bound.
TEST(PlatformConfiguration, ARuleInForceMayHaveTheNameOfABound) {
  const auto read = ReadBounds("drain=2500ms,drain=in-force,pool=in-force");
  CHECK(read.has_value());
  CHECK(read.value().drain == Duration(milliseconds(2500)));
  CHECK(read.value().scarce_room);
}

TEST(PlatformConfiguration, AColdRateThatIsNoNumberIsNone) {
  nlohmann::json content = nlohmann::json::parse(kConfiguration);
  content["services"][0]["warmupPerS"] = "many";
  const std::string name = content["services"][0]["name"];
  const auto odd = ReadConfiguration(content);
  DOUBLES_EQUAL(0, odd.value().services.at(name).warmup_requests_per_second, 0);
  content["services"][0]["warmupPerS"] = 4.5;
  content["services"][0]["warmup"] = "3s";
  const auto read = ReadConfiguration(content);
  const ServiceConfig& service = read.value().services.at(name);
  DOUBLES_EQUAL(4.5, service.warmup_requests_per_second, 0);
  CHECK(service.warmup_time == Duration(milliseconds(3000)));
}

TEST_GROUP(PlatformCaller){
    HttpRequest Request(HttpHeaders headers){HttpRequest request;
request.method = "GET";
request.target = "/a/1";
request.path = "/a/1";
request.headers = std::move(headers);
return request;
}  // namespace
};  // namespace mimosadeal::platform

TEST(PlatformCaller, ReadsIdKeyAndDeadline) {
  const auto read = ReadCallerRequest(Request({{"host", "lots.example"},
                                               {"x-request-id", "9c41"},
                                               {"x-request-deadline-ms", "500"},
                                               {"x-shard-key", "65535"},
                                               {"connection", "close"},
                                               {"x-other", "kept"}}));
  CHECK(read.has_value());
  STRCMP_EQUAL("9c41", read.value().id.c_str());
  LONGS_EQUAL(65535, *read.value().key);
  CHECK(*read.value().time_left == Duration(milliseconds(500)));
  CHECK(FindHeader(read.value().headers, "connection").empty());
  CHECK(FindHeader(read.value().headers, "x-request-deadline-ms").empty());
  CHECK(FindHeader(read.value().headers, "x-other") == "kept");
}

// Guards against a deadline that overflows and so has passed on arrival.
TEST(PlatformCaller, AnAbsurdDeadlineIsFarAway) {
  for (const char* deadline :
       {"9223372036854775807", "9223372036854775", "100000000"}) {
    const auto read =
        ReadCallerRequest(Request({{"x-request-deadline-ms", deadline}}));
    CHECK(*read.value().time_left == std::chrono::hours(24));
  }
}

TEST(PlatformCaller, AnInvalidKeyIsMalformed) {
  for (const char* key : {"65536", "-1", "12a", "9999999999999999999"})
    CHECK_FALSE(ReadCallerRequest(Request({{"x-shard-key", key}})).has_value());
}

TEST(PlatformCaller, OnlyRefusalsOfRequestsThatHaveNotRunHaveStatus503) {
  LONGS_EQUAL(503, WriteRefusal({RefusalReason::kOverloaded, "i", {}}).status);
  LONGS_EQUAL(502, WriteRefusal({RefusalReason::kLostAnswer, "i", {}}).status);
  LONGS_EQUAL(504, WriteRefusal({RefusalReason::kTimeout, "i", {}}).status);
  LONGS_EQUAL(503,
              WriteRefusal({RefusalReason::kNoConfiguration, "i", {}}).status);
  const HttpResponse response = WriteRefusal(
      {RefusalReason::kOverloaded, "i", Duration(milliseconds(250))});
  CHECK(FindHeader(response.headers, "retry-after") == "0.250");
}

TEST_GROUP(PlatformStore) { StoreProtocol store = MakeStoreProtocol(); };

TEST(PlatformStore, ReadsPagesAndChanges) {
  const auto page = store.read_page(Response(200, kList), SIZE_MAX);
  LONGS_EQUAL(2, page.value().objects.size());
  STRCMP_EQUAL("b", page.value().next.c_str());
  LONGS_EQUAL(9, page.value().store_revision);
  const auto changes = store.read_changes(Response(200, kChanges), SIZE_MAX);
  CHECK(changes.value().changes[0].deleted);
}

TEST(PlatformStore, MapsStatusesToErrors) {
  CHECK(store.read_changes(Response(410), SIZE_MAX).error().code ==
        ErrorCode::kNotFound);
  CHECK(store.read_object(Response(409)).error().code == ErrorCode::kConflict);
  CHECK(store.read_object(Response(429)).error().code ==
        ErrorCode::kUnavailable);
  CHECK(store.read_page(Response(200, "{"), SIZE_MAX).error().code ==
        ErrorCode::kMalformed);
}

TEST(PlatformStore, TheFirstWriteCreatesAndLaterOnesAreConditional) {
  STRCMP_EQUAL("POST", store.write({"k", "n", 0, {}}).method.c_str());
  const ExchangeRequest put = store.write({"k", "n", 7, {{"a", 1}}});
  STRCMP_EQUAL("PUT", put.method.c_str());
  STRCMP_EQUAL("/mimosadeal/objects/k/n", put.target.c_str());
  LONGS_EQUAL(7, nlohmann::json::parse(put.body)["metadata"]["rev"].get<int>());
}

// Guards against the end of the process: text from outside that is no UTF-8
// makes the JSON library's dump() throw.
TEST(PlatformStore, AnObjectWithBytesThatAreNoTextIsWrittenWithoutThem) {
  const ExchangeRequest put =
      store.write({"k", "n", 7, {{"handover", "5c\x9e"}}});
  STRCMP_EQUAL("5c\xef\xbf\xbd",
               nlohmann::json::parse(put.body)["spec"]["handover"]
                   .get<std::string>()
                   .c_str());
}

// Changes, removes and repeats bytes of valid messages. The decoders must
// return, and what they accept must be in range.
TEST_GROUP(PlatformMutations){
    static std::string Mutate(std::string text, Random& random){
        const uint64_t changes = 1 + random.Below(4);
for (uint64_t i = 0; i < changes && !text.empty(); ++i) {
  const size_t at = random.Below(text.size());
  switch (random.Below(4)) {
    case 0:
      text[at] = static_cast<char>(random.Below(256));
      break;
    case 1:
      text.erase(at, 1 + random.Below(8));
      break;
    case 2:
      text.insert(at, text.substr(at, 1 + random.Below(8)));
      break;
    default:
      text[at] = "0123456789{}[]\",:-.e"[random.Below(20)];
  }
}
return text;
}

static HttpHeader MutatedHeader(const std::string& line, Random& random) {
  const std::string text = random.Below(2) == 0 ? line : Mutate(line, random);
  const size_t colon = std::min(text.find(": "), text.size());
  return {text.substr(0, colon),
          colon == text.size() ? "" : text.substr(colon + 2)};
}
}
;

TEST(PlatformMutations, DecodersHandleMutatedInput) {
  constexpr uint64_t seed = 20261204;
  constexpr int rounds = 100000;
  Random random(seed);
  const StoreProtocol store = MakeStoreProtocol();
  int accepted = 0;
  for (int i = 0; i < rounds; ++i) {
    const auto configuration = ParseJson(Mutate(kConfiguration, random));
    if (configuration.has_value() &&
        ReadConfiguration(*configuration).has_value()) {
      ++accepted;
    }
    const auto registration = ParseJson(Mutate(kRegistration, random));
    if (registration.has_value()) {
      StoredObject object;
      object.content = *registration;
      const auto read = ReadRegistration(object);
      if (read.has_value()) CHECK(read.value().slots >= 1);
    }
    const auto page =
        store.read_page(Response(200, Mutate(kList, random)), SIZE_MAX);
    if (page.has_value()) CHECK(page.value().objects.size() <= 3);
    const auto changes =
        store.read_changes(Response(200, Mutate(kChanges, random)), SIZE_MAX);
    if (changes.has_value()) CHECK(changes.value().changes.size() <= 2);
    HttpResponse answer = Response(random.Below(2) == 0 ? 503 : 200);
    for (const char* header :
         {"x-not-executed: 1", "x-server-load: 3,1,8", "retry-after: 1.5",
          "server-leaving: 1", "server-limit: 1.4", "content-encoding: gzip",
          "x-request-id: 9c41"})
      answer.headers.push_back(MutatedHeader(header, random));
    ReadCommandReply(answer);
    const UpstreamResponse read = ReadUpstreamResponse(std::move(answer));
    if (read.rest.has_value()) {
      CHECK(*read.rest > Duration::zero() && *read.rest <= seconds(60));
    }
    if (read.limit.per_second.has_value()) {
      CHECK(std::isfinite(*read.limit.per_second) &&
            *read.limit.per_second >= 0);
    }
    HttpRequest request;
    request.method = "GET";
    request.target = Mutate("/a/1?x=%2F", random);
    for (const char* header : {"host: lots.example", "x-request-id: 9c41",
                               "x-request-deadline-ms: 500",
                               "x-shard-key: 65535", "connection: close"})
      request.headers.push_back(MutatedHeader(header, random));
    const auto caller = ReadCallerRequest(std::move(request));
    if (caller.has_value() && caller.value().key.has_value())
      CHECK(*caller.value().key >= 0 && *caller.value().key <= 65535);
    ReadBounds(Mutate("drain=2000ms,grace=6s,budgetSlack=141", random))
        .has_value();
  }
  CHECK(accepted > 0);
}

}  // namespace
}  // namespace mimosadeal::platform
