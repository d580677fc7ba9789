// Tests of entries of other writers that cannot be read: each costs itself
// only, in pages, in changes and by itself.
#include <CppUTest/TestHarness.h>

#include <cstdint>
#include <string>
#include <vector>

#include "platform/json_slices.h"
#include "platform/store_codec.h"
#include "platform/upstream_codec.h"

namespace mimosadeal::platform {
namespace {

constexpr char kRegistration[] =
    R"({"service":"yard","address":"10.1.0.9:8080","zone":"north",)"
    R"("version":"v1","slots":2,"state":"ready","warmupLeft":"250ms",)"
    R"("seq":4,"born":1767225600000})";

HttpResponse Response(std::string body) {
  HttpResponse response;
  response.status = 200;
  response.body = std::move(body);
  return response;
}

std::string Object(const std::string& name, int revision,
                   const std::string& spec) {
  return R"({"metadata":{"name":")" + name + R"(","rev":)" +
         std::to_string(revision) + R"(},"spec":)" + spec + "}";
}

// Replaces the first appearance of `field` in a sound registration.
std::string With(const std::string& field, const std::string& text) {
  std::string registration = kRegistration;
  return registration.replace(registration.find(field), field.size(), text);
}

// Values that cannot be decoded, as their JSON text.
std::vector<std::string> UnreadableValues() {
  return {
      R"("\ud800")",               // The first half of a surrogate pair.
      R"("\udc00")",               // The second half.
      R"("\ud800\u0041")",         // A half before another character.
      R"("\ud800\ud800")",         // Two first halves.
      "\"\xff\xfe\"",              // No UTF-8.
      "\"\xc0\xaf\"",              // An overlong form.
      "\"\xe2\x82\"",              // A cut character.
      "\"\xed\xa0\x80\"",          // A surrogate in UTF-8.
      "\"\xf4\x90\x80\x80\"",      // Beyond Unicode.
      std::string("\"a\0b\"", 5),  // NUL.
      "\"\x01\"",                  // Another control character.
      "\"a\nb\"",                  // A line break.
      R"("\x41")",                 // An unknown escape.
      R"("\u12")",                 // A cut escape.
      "\xff\xfe\xfa",              // Bytes outside a string.
      "NaN",
      "nul",
      "",
      "{]",  // No values.
      R"({"a":1,})",
      "01",
      "1e",  // Malformed ones.
  };
}

TEST_GROUP(PlatformUnreadable) {
  StoreProtocol store = MakeStoreProtocol();

  // Checks that two sound entries around `odd` are read, and returns what was
  // read of `odd`: its one object, or none if it was left out.
  std::vector<StoredObject> ReadBetweenOthers(const std::string& odd) {
    const std::string before = Object("a", 4, kRegistration);
    const std::string after = Object("z", 6, kRegistration);
    const auto page =
        store.read_page(Response(R"({"items":[)" + before + "," + odd + "," +
                                 after + R"(],"more":true,"asOf":9})"),
                        SIZE_MAX);
    const auto changes = store.read_changes(
        Response(R"({"events":[{"removed":false,"object":)" + before +
                 R"(},{"removed":true,"object":)" + odd + R"(},{"object":)" +
                 after + R"(}],"asOf":9})"),
        SIZE_MAX);
    CHECK_TEXT(page.has_value(), odd.c_str());
    CHECK_TEXT(changes.has_value(), odd.c_str());
    const std::vector<StoredObject>& objects = page.value().objects;
    const std::vector<StoredObject>& changed = changes.value().changes;
    LONGS_EQUAL(9, page.value().store_revision);
    LONGS_EQUAL(9, changes.value().store_revision);
    STRCMP_EQUAL("z", page.value().next.c_str());
    LONGS_EQUAL(3, objects.size() + page.value().unreadable);
    LONGS_EQUAL(3, changed.size() + changes.value().unreadable);
    LONGS_EQUAL(objects.size(), changed.size());
    CHECK(ReadRegistration(objects.front()).has_value());
    CHECK(ReadRegistration(objects.back()).has_value());
    if (objects.size() != 3) return {};
    CHECK(changed[1].deleted);
    CHECK_FALSE(changed[2].deleted);
    STRCMP_EQUAL(objects[1].name.c_str(), changed[1].name.c_str());
    return {objects[1]};
  }
};

// Guards against one entry that makes every page and watch of its kind
// unreadable, so that no host that starts becomes ready.
TEST(PlatformUnreadable, AValueThatCannotBeDecodedCostsItsEntryOnly) {
  for (const std::string& value : UnreadableValues()) {
    for (const std::string& spec :
         {value, With(R"("yard")", value), With(R"("v1")", value),
          R"({"a":[1,{"b":)" + value + "}]}"}) {
      const auto odd = ReadBetweenOthers(Object("odd-1", 5, spec));
      LONGS_EQUAL_TEXT(1, odd.size(), spec.c_str());
      STRCMP_EQUAL("odd-1", odd[0].name.c_str());
      LONGS_EQUAL(5, odd[0].revision);
      CHECK_TEXT(odd[0].content.is_null(), spec.c_str());
      CHECK_TEXT(!ReadRegistration(odd[0]).has_value(), spec.c_str());
    }
  }
}

TEST(PlatformUnreadable, AMemberNameThatCannotBeDecodedCostsItsEntryOnly) {
  for (const char* name : {R"("\ud800")", "\"\xff\""}) {
    const auto odd =
        ReadBetweenOthers(Object("odd-1", 5, "{" + std::string(name) + ":1}"));
    LONGS_EQUAL(1, odd.size());
    CHECK_FALSE(ReadRegistration(odd[0]).has_value());
  }
}

TEST(PlatformUnreadable, AnObjectByItselfKeepsItsRevision) {
  const auto read =
      store.read_object(Response(Object("north", 7, R"({"holder":"\ud800"})")));
  CHECK(read.has_value());
  LONGS_EQUAL(7, read.value().revision);
  CHECK(read.value().content.is_null());
}

// An object without a name or a revision cannot be kept. It is counted.
TEST(PlatformUnreadable, AnEntryWithoutAReadableNameOrRevisionIsLeftOut) {
  for (const char* metadata :
       {R"({"name":"\ud800","rev":5})", R"({"name":7,"rev":5})", R"({"rev":5})",
        R"({"name":"x"})", R"({"name":"x","rev":-1})",
        R"({"name":"x","rev":1e999})", R"({"name":"x","rev":"5"})",
        R"({"name":"x","rev":18446744073709551615})", "[]", "7", "\xff"}) {
    LONGS_EQUAL_TEXT(0,
                     ReadBetweenOthers(R"({"spec":{},"metadata":)" +
                                       std::string(metadata) + "}")
                         .size(),
                     metadata);
  }
  for (const char* odd : {"7", "null", "[]", "{}", "\xff\xfe", ""})
    LONGS_EQUAL_TEXT(0, ReadBetweenOthers(odd).size(), odd);
}

TEST(PlatformUnreadable, OtherMembersOfAnEntryMayBeUnreadable) {
  const auto odd = ReadBetweenOthers(
      R"({"metadata":{"finalizers":["\ud800"],"name":"odd-1","rev":5},)"
      R"("status":"\ud800","spec":)" +
      std::string(kRegistration) + "}");
  LONGS_EQUAL(1, odd.size());
  CHECK(ReadRegistration(odd[0]).has_value());
}

// Guards against a list that seems complete: all objects on later pages would
// count as removed.
TEST(PlatformUnreadable, APageThatDoesNotTellWhetherMoreFollowIsMalformed) {
  for (const char* more : {"7", "\"yes\"", "\"\\ud800\"", "\xff", "null"}) {
    CHECK_TEXT(store.read_page(Response(R"({"items":[],"asOf":9,"more":)" +
                                        std::string(more) + "}"),
                               SIZE_MAX)
                       .error()
                       .code == ErrorCode::kMalformed,
               more);
  }
}

// As with most libraries, the last one counts.
TEST(PlatformUnreadable, OfMembersWithOneNameTheLastCounts) {
  const auto odd = ReadBetweenOthers(
      R"({"metadata":{"name":"x","name":"odd-1","rev":1,"rev":5},"spec":7,)"
      R"("spec":)" +
      With(R"("yard")", R"("desk","service":"yard")") + "}");
  LONGS_EQUAL(1, odd.size());
  STRCMP_EQUAL("odd-1", odd[0].name.c_str());
  LONGS_EQUAL(5, odd[0].revision);
  STRCMP_EQUAL("yard", ReadRegistration(odd[0]).value().service.c_str());
}

TEST(PlatformUnreadable, AContentBeyondTheLimitIsNotDecoded) {
  const std::string large = R"({"a":")" + std::string(1000, 'x') + R"("})";
  const auto page = store.read_page(
      Response(R"({"items":[)" + Object("odd-1", 5, large) + "," +
               Object("b", 6, kRegistration) + R"(],"asOf":9})"),
      500);
  LONGS_EQUAL(2, page.value().objects.size());
  CHECK(page.value().objects[0].content.is_null());
  CHECK(ReadRegistration(page.value().objects[1]).has_value());
}

// "Fields missing or of another type" name no upstream; so does one out of
// range.
TEST(PlatformUnreadable, ARegistrationWithAFieldOfAnotherTypeNamesNoUpstream) {
  for (const auto& [field, text] :
       std::vector<std::pair<std::string, std::string>>{
           {R"("born":1767225600000)", R"("born":"1767225600000")"},
           {R"("born":1767225600000)", R"("born":1.5)"},
           {R"("born":1767225600000)", R"("born":18446744073709551615)"},
           {R"("born":1767225600000)", R"("born":1e999)"},
           {R"("born":1767225600000)", R"("born":null)"},
           {R"("seq":4)", R"("seq":"4")"},
           {R"("seq":4)", R"("seq":[4])"},
           {R"("yard")", "7"},
           {R"("north")", "{}"},
           {R"("10.1.0.9:8080")", R"("10.1.0.9\u0000:8080")"},
           {R"("10.1.0.9:8080")", R"("10.1.0.9:8080\u0000")"},
           {R"("ready")", R"("ready\u0000")"}}) {
    const auto odd = ReadBetweenOthers(Object("odd-1", 5, With(field, text)));
    CHECK_TEXT(!ReadRegistration(odd.at(0)).has_value(), text.c_str());
  }
}

// Guards against headers that another writer adds to requests: the id is a
// header's value.
TEST(PlatformUnreadable, ANameThatNoHeaderCanCarryNamesNoUpstream) {
  for (const std::string& name :
       {std::string("i-1\\r\\nx-evil: 1"), std::string("i-1\\u0000"),
        std::string("i 1"), std::string(), std::string(300, 'i')}) {
    const auto odd = ReadBetweenOthers(Object(name, 5, kRegistration));
    LONGS_EQUAL(1, odd.size());
    CHECK_TEXT(!ReadRegistration(odd[0]).has_value(), name.c_str());
  }
  const auto sound = ReadBetweenOthers(Object("i-7f3a91c2", 5, kRegistration));
  CHECK(ReadRegistration(sound.at(0)).has_value());
}

TEST(PlatformUnreadable, TextThatDoesNotShowItsPartsIsNotSplit) {
  for (const char* text : {"", "{", "}", "[", "]", "{]", "{\"a\"}", "{\"a\":1",
                           "{\"a\":1,}", "{\"a", "{\"a\":1} x", "{a:1}", "7"}) {
    CHECK_TEXT(!SplitJsonObject(text).has_value(), text);
  }
  for (const char* text :
       {"", "[", "[1", "[1,", "[1} x", "[1] x", "{}", "[\"]"})
    CHECK_TEXT(!SplitJsonArray(text).has_value(), text);
  LONGS_EQUAL(0, SplitJsonObject(" { } ").value().size());
  LONGS_EQUAL(0, SplitJsonArray(" [ ] ").value().size());
  const auto members =
      SplitJsonObject(R"( {"a" : [1,{"b":"]}\""}] , "\u0062":2 } )");
  LONGS_EQUAL(2, members.value().size());
  STRCMP_EQUAL("b", members.value()[1].name.c_str());
  LONGS_EQUAL(2, SplitJsonArray(members.value()[0].value).value().size());
}

}  // namespace
}  // namespace mimosadeal::platform
