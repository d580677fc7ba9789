// Tests of decoding what the platform's store may send besides sound objects:
// odd entries of other writers, and eras that cannot be read.
#include <CppUTest/TestHarness.h>

#include "platform/store_codec.h"
#include "platform/upstream_codec.h"

namespace mimosadeal::platform {
namespace {

constexpr char kRegistration[] =
    R"({"service":"yard","address":"10.1.0.9:8080","zone":"north",)"
    R"("version":"v1","slots":2,"state":"ready","warmupLeft":"250ms",)"
    R"("seq":4,"born":1767225600000})";

HttpResponse Response(int status, std::string body = "") {
  HttpResponse response;
  response.status = status;
  response.body = std::move(body);
  return response;
}

TEST_GROUP(PlatformOddInput) { StoreProtocol store = MakeStoreProtocol(); };

// Guards against a list that seems complete after a page without a readable
// object: all objects on later pages would count as removed.
TEST(PlatformOddInput, APageOfUnreadableObjectsIsNotTheLastOne) {
  const auto page = store.read_page(
      Response(
          200,
          R"({"items":[{"metadata":{"name":"a","rev":"x"}}],"more":true,"asOf":9})"),
      SIZE_MAX);
  CHECK(page.has_value());
  CHECK(page.value().objects.empty());
  STRCMP_EQUAL("a", page.value().next.c_str());
  CHECK(store
            .read_page(Response(200, R"({"items":[{}],"more":true,"asOf":9})"),
                       SIZE_MAX)
            .error()
            .code == ErrorCode::kMalformed);
}

// Guards against a list that ends at a page none of whose names can be read.
// The next page is the one after all names that continue the readable part.
TEST(PlatformOddInput, AListGoesOnAfterANameThatCannotBeRead) {
  const auto next = [this](const std::string& name) {
    const auto page = store.read_page(
        Response(200, R"({"items":[{"metadata":{"name":)" + name +
                          R"(,"rev":1}}],"more":true,"asOf":9})"),
        SIZE_MAX);
    return page.has_value() ? page.value().next : "(malformed)";
  };
  STRCMP_EQUAL("\xff", next("\"\xff\"").c_str());
  STRCMP_EQUAL("ab\xff", next("\"ab\xe2\x82\"").c_str());
  STRCMP_EQUAL("a\"/\\\xff", next(R"("a\"\/\\\ud800x")").c_str());
  STRCMP_EQUAL("aA\n\xff", next(R"("a\u0041\n\u00e9)"
                                "\xff\"")
                               .c_str());
  STRCMP_EQUAL("a\x01z", next("\"a\x01z\"").c_str());
  for (const char* name : {"7", "null", "\"\"", R"("a\x")", R"("a\u00")", "[]"})
    STRCMP_EQUAL_TEXT("(malformed)", next(name).c_str(), name);
}

// Guards against one odd object, of another writer, that makes a whole list
// unreadable or ends the process.
TEST(PlatformOddInput, OneUnreadableObjectHidesNoOthers) {
  const std::string nested(400000, '[');
  const std::string closed(400000, ']');
  const std::string deep = R"({"a":)" + nested + closed + R"(,"b":"]}"})";
  for (const std::string& odd :
       {deep, std::string(R"({"slots":1e999})"), std::string("-1e999"),
        std::string(R"({"address":"10.1.0.9:99999","service":"[[\"{"})")}) {
    const std::string object =
        R"({"metadata":{"name":"odd","rev":5},"spec":)" + odd + "}";
    const std::string other = R"({"metadata":{"name":"b","rev":6},"spec":)" +
                              std::string(kRegistration) + "}";
    const auto page =
        store.read_page(Response(200, R"({"items":[)" + object + "," + other +
                                          R"(],"asOf":9})"),
                        SIZE_MAX);
    CHECK(page.has_value());
    LONGS_EQUAL(2, page.value().objects.size());
    StoredObject copy = page.value().objects[0];
    CHECK(copy.content.dump().size() < 1000);
    CHECK_FALSE(ReadRegistration(copy).has_value());
    CHECK(ReadRegistration(page.value().objects[1]).has_value());
    const auto changes = store.read_changes(
        Response(200, R"({"events":[{"object":)" + object + R"(},{"object":)" +
                          other + R"(}],"asOf":9})"),
        SIZE_MAX);
    CHECK(changes.has_value());
    LONGS_EQUAL(2, changes.value().changes.size());
  }
}

TEST(PlatformOddInput, AnEraIsReadOnlyFromOneNumber) {
  HttpResponse response = Response(410);
  CHECK(store.read_era(response).error().code == ErrorCode::kNotFound);
  response.headers = {{"store-era", "7"}};
  LONGS_EQUAL(7, store.read_era(response).value());
  for (const char* value : {"", "-1", "x", "7x", "1e3", "99999999999"}) {
    response.headers = {{"store-era", value}};
    CHECK_TEXT(store.read_era(response).error().code == ErrorCode::kMalformed,
               value);
  }
  response.headers = {{"store-era", "7"}, {"store-era", "7"}};
  CHECK(store.read_era(response).error().code == ErrorCode::kMalformed);
}

}  // namespace
}  // namespace mimosadeal::platform
