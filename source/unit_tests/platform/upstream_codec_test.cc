// Tests of reading registrations and upstreams' responses, and of the requests
// that upstreams get.
#include "platform/upstream_codec.h"

#include <CppUTest/TestHarness.h>

#include "codec_samples.h"
#include "platform/json_fields.h"

namespace mimosadeal::platform {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

TEST_GROUP(PlatformUpstream){};

TEST(PlatformUpstream, ReadsARegistration) {
  const auto read = ReadRegistration(Registration(kRegistration));
  CHECK(read.has_value());
  STRCMP_EQUAL("i-1", read.value().id.c_str());
  STRCMP_EQUAL("10.1.0.9:8080", read.value().address.ToString().c_str());
  LONGS_EQUAL(2, read.value().slots);
  CHECK(read.value().warmup_left == Duration(milliseconds(250)));
  CHECK(read.value().incarnation == 1767225600000);
}

TEST(PlatformUpstream, AnInvalidRegistrationIsRejected) {
  for (
      const char* text :
      {"[]", "3", "{}", R"({"service":"yard"})",
       R"({"service":"yard","address":"x","zone":"n","slots":2,"state":"ready"})",
       R"({"service":"yard","address":"1.2.3.4:5","zone":"n","slots":"2","state":"ready"})",
       R"({"service":"yard","address":"1.2.3.4:5","zone":"n","slots":2,"state":"odd"})",
       R"({"service":"yard","address":"1.2.3.4:5","zone":"n","slots":0,"state":"ready"})"}) {
    CHECK_FALSE(ReadRegistration(Registration(text)).has_value());
  }
}

TEST(PlatformUpstream, ARegistrationWithANumberOutOfRangeIsRejected) {
  const auto with = [](const std::string& field, const std::string& value) {
    std::string text = kRegistration;
    return text.replace(text.find(field), field.size(), value);
  };
  for (const char* slots :
       {"4294967296", "-1", "1e9", "99999999999999999999"}) {
    CHECK_TEXT(!ReadRegistration(
                    Registration(with(R"("slots":2)",
                                      std::string(R"("slots":)") + slots)))
                    .has_value(),
               slots);
  }
  for (const char* port : {":0", ":-1", ":65536", ":99999999999"})
    CHECK_TEXT(!ReadRegistration(Registration(with(":8080", port))).has_value(),
               port);
}

// Guards against a zone that is read as another place where it stands in a
// path.
TEST(PlatformUpstream, AZoneThatIsNoNameIsRejected) {
  const auto in_zone = [](const std::string& zone) {
    std::string text = kRegistration;
    const std::string field = R"("zone":"north")";
    return ReadRegistration(Registration(text.replace(
        text.find(field), field.size(), R"("zone":")" + zone + "\"")));
  };
  for (const std::string& zone :
       {std::string(), std::string("."), std::string(".."), std::string("/"),
        std::string("a/b"), std::string("../x"), std::string(R"(a\u0000)"),
        std::string(R"(a\nb)"), std::string(R"(\u007f)"),
        std::string(257, 'z')}) {
    CHECK_TEXT(!in_zone(zone).has_value(), zone.c_str());
  }
  for (const std::string& zone :
       {std::string("..."), std::string(".north"), std::string("a.b"),
        std::string("north 1"), std::string("a&b+c#d%41"),
        std::string(R"(\u00e9)"), std::string(256, 'z')}) {
    CHECK_TEXT(in_zone(zone).has_value(), zone.c_str());
  }
}

TEST(PlatformUpstream, ARequestCarriesTheUpstreamAndTheTimeLeft) {
  CallerRequest request;
  request.id = "9c41";
  request.method = "GET";
  request.target = "/a/1?x=%2F";
  const ExchangeRequest sent =
      WriteUpstreamRequest(request, milliseconds(450), "i-1");
  STRCMP_EQUAL("/a/1?x=%2F", sent.target.c_str());
  STRCMP_EQUAL(
      "450",
      std::string(FindHeader(sent.headers, "x-request-deadline-ms")).c_str());
  STRCMP_EQUAL(
      "i-1",
      std::string(FindHeader(sent.headers, "x-target-instance")).c_str());
}

TEST(PlatformUpstream, AResponseWithAnotherRequestIdIsRejected) {
  CallerRequest request;
  request.id = "9c41";
  const ExchangeRequest sent =
      WriteUpstreamRequest(request, milliseconds(450), "i-1");
  HttpResponse response = Response(200);
  response.headers = {{"x-request-id", "other"}};
  CHECK_FALSE(sent.accepts_response(response, false));
  response.headers = {{"x-request-id", "9c41"}};
  CHECK(sent.accepts_response(response, false));
  CHECK(sent.accepts_response(response, true));
  CHECK_FALSE(sent.accepts_response(Response(200), false));
  CHECK(sent.accepts_response(Response(503), false));
  // On a reused connection it may be a duplicate refusal of an earlier request.
  CHECK_FALSE(sent.accepts_response(Response(503), true));
}

TEST(PlatformUpstream, OnlyTheLeavingHeaderMarksAnUpstreamAsLeaving) {
  HttpResponse closing = Response(200);
  closing.headers = {{"connection", "close"}};
  CHECK_FALSE(ReadCommandReply(closing).leaving);
  CHECK_FALSE(ReadUpstreamResponse(std::move(closing)).leaving);
  HttpResponse leaving = Response(200);
  leaving.headers = {{"server-leaving", "1"}};
  CHECK(ReadCommandReply(leaving).leaving);
  const UpstreamResponse answer = ReadUpstreamResponse(std::move(leaving));
  CHECK(answer.leaving);
  LONGS_EQUAL(0, answer.response.headers.size());
}

TEST(PlatformUpstream, ARestIsReadOnlyFromRefusalsAndLimited) {
  const auto rest_of = [this](int status, const char* seconds, bool not_run) {
    HttpResponse response = Response(status);
    response.headers = {{"retry-after", seconds}};
    if (not_run) response.headers.push_back({"x-not-executed", "1"});
    return ReadUpstreamResponse(std::move(response)).rest;
  };
  CHECK(rest_of(503, "1.5", true) == Duration(milliseconds(1500)));
  CHECK(rest_of(503, "1e300", true) == Duration(seconds(60)));
  for (const char* wrong : {"", "-1", "0", "soon", "nan"})
    CHECK_FALSE(rest_of(503, wrong, true).has_value());
  CHECK_FALSE(rest_of(429, "2", true).has_value());
  CHECK_FALSE(rest_of(503, "2", false).has_value());
}

TEST(PlatformUpstream, ALimitIsReadOnlyFromOneDecimalNumber) {
  const auto limit_of = [this](std::initializer_list<const char*> values) {
    HttpResponse response = Response(200);
    for (const char* value : values)
      response.headers.push_back({"server-limit", value});
    return ReadUpstreamResponse(std::move(response)).limit;
  };
  CHECK(limit_of({"1.4"}).per_second == 1.4);
  CHECK(limit_of({"0"}).per_second == 0.0);
  CHECK(limit_of({"20"}).malformed.empty());
  CHECK_FALSE(limit_of({}).per_second.has_value());
  CHECK(limit_of({}).malformed.empty());
  for (const char* wrong : {"", "-1", "-0", "nan", "inf", "1e999", "1e2", "0x2",
                            "1.4 ", "1,4", "1.4, 2", "few"}) {
    CHECK_FALSE(limit_of({wrong}).per_second.has_value());
    CHECK_FALSE(limit_of({wrong}).malformed.empty());
  }
  CHECK_FALSE(limit_of({"1.4", "1.4"}).per_second.has_value());
  CHECK_FALSE(limit_of({"1.4", "1.4"}).malformed.empty());
  const std::string endless(10000, '9');
  CHECK(limit_of({endless.c_str()}).malformed.size() < 100);
}

TEST(PlatformUpstream, OnlyAnExplicitHeaderOr421MeansNotRun) {
  HttpResponse shed = Response(503);
  shed.headers = {{"x-not-executed", "1"}};
  CHECK(ReadUpstreamResponse(std::move(shed)).kind == ResponseKind::kNotRun);
  CHECK(ReadUpstreamResponse(Response(421)).kind == ResponseKind::kMisdirected);
  // A 503 without the header may have run, but tells callers that it has not.
  for (const int status : {503, 429, 408}) {
    const UpstreamResponse answer = ReadUpstreamResponse(Response(status));
    CHECK(answer.kind == ResponseKind::kUpstreamResponse);
    LONGS_EQUAL(502, answer.response.status);
  }
  LONGS_EQUAL(500, ReadUpstreamResponse(Response(500)).response.status);
}

TEST(PlatformUpstream, HopAndRouterHeadersAreNotForwarded) {
  HttpResponse response = Response(200, "body");
  response.headers = {
      {"x-response-signature", "s"}, {"x-server-load", "3,1,8"},
      {"server-limit", "1.4"},       {"connection", "close"},
      {"content-length", "4"},       {"content-type", "text/plain"}};
  const UpstreamResponse answer = ReadUpstreamResponse(std::move(response));
  LONGS_EQUAL(2, answer.response.headers.size());
  LONGS_EQUAL(3, answer.load->running);
  LONGS_EQUAL(8, answer.load->slots);
  CHECK_FALSE(answer.leaving);
}

TEST(PlatformUpstream, ALoadReportMayStateHowLongWorkTakes) {
  const auto factor_of = [](const char* load) {
    HttpResponse response = Response(200, "body");
    response.headers = {{"x-server-load", load}};
    return ReadUpstreamResponse(std::move(response)).load->work_time_factor;
  };
  DOUBLES_EQUAL(1, factor_of("3,1,8"), 0);
  DOUBLES_EQUAL(2.5, factor_of("3,1,8,250"), 0);
  DOUBLES_EQUAL(1, factor_of("3,1,8,-4"), 0);
  DOUBLES_EQUAL(1, factor_of("3,1,8,x"), 0);
}

TEST(PlatformUpstream, AResponseWithAContentEncodingIsNotForwarded) {
  HttpResponse response = Response(200, "body");
  response.headers = {{"content-encoding", "gzip"}};
  CHECK(ReadUpstreamResponse(std::move(response)).kind ==
        ResponseKind::kCorrupt);
}

// Guards against the end of the lease holder's process: a handover that is no
// UTF-8 cannot be stored in the range table or sent with a grant.
TEST(PlatformUpstream, AHandoverThatIsNoTextIsDropped) {
  HttpResponse response = Response(200);
  response.headers = {{"x-handover", "\x9e\xff"}};
  const CommandReply reply = ReadCommandReply(response);
  CHECK(reply.outcome == CommandOutcome::kDone);
  CHECK(reply.handover_unreadable);
  STRCMP_EQUAL("", reply.handover.c_str());
  response.headers = {{"x-handover", "\xc3\xa4"}};
  CHECK_FALSE(ReadCommandReply(response).handover_unreadable);
  STRCMP_EQUAL("\xc3\xa4", ReadCommandReply(response).handover.c_str());
  const ExchangeRequest grant =
      WriteGrant({0, 1, 1, seconds(4), "\x9e"}, "i-1");
  CHECK(nlohmann::json::parse(grant.body)["handover"].is_string());
}

TEST(PlatformUpstream, EncodesCommandsAndDecodesReplies) {
  const ExchangeRequest grant =
      WriteGrant({4096, 8191, 12, seconds(4), "5c0e"}, "i-1");
  const auto body = nlohmann::json::parse(grant.body);
  LONGS_EQUAL(4096, body["from"].get<int>());
  LONGS_EQUAL(8191, body["target"].get<int>());
  LONGS_EQUAL(12, body["fence"].get<int>());
  STRCMP_EQUAL("4000ms", body["hold_time"].get<std::string>().c_str());
  STRCMP_EQUAL("5c0e", body["handover"].get<std::string>().c_str());
  CHECK(ReadCommandReply(Response(200)).outcome == CommandOutcome::kDone);
  CHECK(ReadCommandReply(Response(409)).outcome == CommandOutcome::kFenced);
  CHECK(ReadCommandReply(Response(421)).outcome ==
        CommandOutcome::kOtherUpstream);
  CHECK(ReadCommandReply(Response(404)).outcome ==
        CommandOutcome::kOtherUpstream);
  CHECK(ReadCommandReply(Response(503)).outcome == CommandOutcome::kRefused);
}

}  // namespace
}  // namespace mimosadeal::platform
