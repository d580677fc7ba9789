// Tests of encoding and decoding the messages between entry hosts, also with
// randomly changed bytes.
#include "inner/messages.h"

#include <CppUTest/TestHarness.h>

#include <cstdio>
#include <map>
#include <string>
#include <vector>

#include "common/ids.h"
#include "inner/load_reports.h"
#include "inner/move_messages.h"
#include "ownership/ownership_table.h"

namespace mimosadeal {
namespace {

constexpr uint64_t kSeed = 20261204;
constexpr int kMutations = 100000;

struct Sample {
  MessageType type;
  std::string body;
};

template <typename Message>
Sample MakeSample(const Message& message) {
  return {Message::kType, EncodeBody(message)};
}

std::vector<Sample> MakeSamples() {
  LeaseRequest lease;
  lease.host = "entry-a1.12345678";
  lease.upstreams = {{"u1", {1, 2}, 1, 500}, {"u2", {1, 2}, 2, 0}};
  DispatchRequest request;
  request.service = "yard";
  request.headers = {{"accept", "text/plain"}};
  request.body = std::string(100, 'b');
  DispatchReply reply;
  reply.headers = {{"content-type", "text/plain"}};
  LedgerUpdate update;
  update.records.resize(3);
  LedgerFetch fetch;
  fetch.shards = {{"yard", 1}, {"yard", 2}};
  LedgerEntries entries;
  entries.records.resize(2);
  ZoneHello hello;
  hello.zone = "north";
  hello.revisions = {1, 2, 3};
  ZoneStatus status;
  status.revisions = {1, 2, 3};
  status.peers = {"10.1.0.10:7720", "10.1.0.11:7720"};
  LoadReport load;
  load.cells = {1, 2};
  load.busy_ms = {10, 20};
  load.upstreams = {"u1"};
  RelayOffer offer;
  offer.services = {"yard"};
  offer.hosts = {"10.1.0.10:7720"};
  RelayRequest relayed;
  relayed.headers = {{"accept", "text/plain"}};
  relayed.body = "body";
  RelayReply relay_reply;
  relay_reply.headers = {{"content-type", "text/plain"}};
  ViewUpdate view;
  view.objects = {{"u1", 7, false, "{}"}};
  RoomDemand room_demand;
  room_demand.borrower = "host-1";
  room_demand.loans = {{"u1", 1, 2, 5000}};
  room_demand.times = {{"u1", 200000}};
  RoomLoan room_loan;
  room_loan.borrower = "host-1";
  room_loan.loans = {{"u1", 1, 2, 5000}};
  return {
      MakeSample(hello),
      MakeSample(status),
      MakeSample(load),
      MakeSample(view),
      MakeSample(CrashReport{}),
      MakeSample(LeavingReport{"u1", 1, 2}),
      MakeSample(LimitReport{"u1", 1, {true, 1.4, 5}, 2}),
      MakeSample(PermitRequest{
          7, "10.1.0.10:7720", "u1", 1, "north", 2, 200, {true, 1.4, 5}, 1}),
      MakeSample(ColdPermitRequest{
          {7, "10.1.0.10:7720", "u1", 1, "north", 2, 200, {false, 0, -1}, 1},
          2900}),
      MakeSample(ColdReport{"u1", 2900, 2}),
      MakeSample(PermitReply{7, true, 900, {true, 1.4, 5}}),
      MakeSample(RelayProbe{"10.1.0.10:7720", "north"}),
      MakeSample(offer),
      MakeSample(relayed),
      MakeSample(relay_reply),
      MakeSample(RelayCancel{7}),
      MakeSample(room_demand),
      MakeSample(room_loan),
      MakeSample(OwnerContention{"u1", 1, 900, 2}),
      MakeSample(OwnerPlaceRequest{
          {7, "10.1.0.10:7720", "u1", 1, "north", 2, 200, {false, 0, -1}, 1},
          0,
          900,
          300,
          1900,
          150000}),
      MakeSample(
          OwnerPlaceNotice{7, "10.1.0.10:7720", "u1", 1, "north", 1, 2, 4, 0}),
      MakeSample(MoveNotice{"yard", {{100, 199, "u1", 7}}, 1000, 2}),
      MakeSample(LeaseNotice{"north", 9, "h", "p", "a", 3}),
      MakeSample(TableStepNotice{"yard", 9, "{}", 1}),
      MakeSample(ChangeNotice{1, 9}),
      MakeSample(Hello{"h"}),
      MakeSample(lease),
      MakeSample(LeaseReply{}),
      MakeSample(ControllerNotice{}),
      MakeSample(TableRequest{}),
      MakeSample(TableReply{"table"}),
      MakeSample(ConfigurationRequest{}),
      MakeSample(ConfigurationReply{"{}"}),
      MakeSample(request),
      MakeSample(reply),
      MakeSample(DispatchCancel{}),
      MakeSample(update),
      MakeSample(LedgerAck{}),
      MakeSample(fetch),
      MakeSample(entries)};
}

// Randomly changes, truncates or inserts up to four times.
std::string Mutate(std::string body, Random& random) {
  const uint64_t changes = 1 + random.Below(4);
  for (uint64_t i = 0; i < changes && !body.empty(); ++i) {
    const size_t at = random.Below(body.size());
    switch (random.Below(4)) {
      case 0:
        body[at] = static_cast<char>(random.Next());
        break;
      case 1:
        body.erase(at);
        break;
      case 2:
        body.insert(at, 1, static_cast<char>(random.Next()));
        break;
      default:
        body[at] = '\xFF';
    }
  }
  return body;
}

TEST_GROUP(Messages){};

TEST(Messages, EveryMessageIsDecoded) {
  for (const Sample& sample : MakeSamples())
    CHECK_TRUE(CheckBody(sample.type, sample.body).has_value());
}

TEST(Messages, ATruncatedMessageOrOneWithBytesLeftOverIsAnError) {
  for (const Sample& sample : MakeSamples()) {
    for (size_t length = 0; length < sample.body.size(); ++length) {
      CHECK_FALSE(CheckBody(sample.type,
                            std::string_view(sample.body).substr(0, length))
                      .has_value());
    }
    CHECK_FALSE(CheckBody(sample.type, sample.body + "x").has_value());
  }
}

TEST(Messages, AHugeLengthIsAnErrorBeforeMemoryIsAllocated) {
  const std::string body = std::string(8, '\xFF') + std::string(16, '\0');
  CHECK_FALSE(DecodeBody<Hello>(body).has_value());
  CHECK_FALSE(DecodeBody<TableReply>(body).has_value());
  CHECK_FALSE(DecodeBody<LedgerFetch>(body).has_value());
}

// An element of a message that counts how many of it were made.
struct CountedElement {
  inline static size_t made = 0;
  std::string text;

  CountedElement() { ++made; }
  template <class Archive>
  void serialize(Archive& archive) {
    archive(text);
  }
};

// Guards against memory for the elements that a forged count states: each takes
// many times the bytes that the message needs for it.
TEST(Messages, AForgedCountTakesNoMemoryForElementsThatDoNotCome) {
  constexpr uint32_t count = 100'000;
  std::string body;
  WireOutputArchive out(body);
  out(count, std::string("only"));
  body.append(count, '\xFF');
  std::vector<CountedElement> elements;
  CountedElement::made = 0;
  WireInputArchive objects(body);
  CHECK_THROWS(cereal::Exception, objects(elements));
  CHECK(CountedElement::made <= 2);
  std::vector<uint64_t> numbers;
  WireInputArchive values(body);
  CHECK_THROWS(cereal::Exception, values(numbers));
  LONGS_EQUAL(0, numbers.capacity());
}

// Guards against an encoding that hosts of another build do not read: counts
// have four bytes, and elements follow each other without padding.
TEST(Messages, TheEncodingOfListsIsThatOfFormerBuilds) {
  const std::string numbers_bytes("\2\0\0\0\7\0\0\0\0\0\0\0\1\2\0\0\0\0\0\0",
                                  20);
  const std::vector<uint64_t> numbers = {7, 0x201};
  CHECK(EncodeBody(numbers) == numbers_bytes);
  CHECK(DecodeBody<std::vector<uint64_t>>(numbers_bytes).value() == numbers);
  const std::string texts_bytes("\2\0\0\0\1\0\0\0a\2\0\0\0bc", 15);
  const std::vector<std::string> texts = {"a", "bc"};
  CHECK(EncodeBody(texts) == texts_bytes);
  CHECK(DecodeBody<std::vector<std::string>>(texts_bytes).value() == texts);
}

// A forged message must not crash a decoder. The sanitizer build also detects
// accesses beyond its buffers.
// Hosts of the former build decode what is sent in two parts.
TEST(Messages, ALastFieldThatIsSentByItselfChangesNoByte) {
  RelayRequest request;
  request.id = 7;
  request.headers = {{"name", "value"}};
  for (const std::string& body : {std::string(), std::string("body")}) {
    request.body.clear();
    const std::string parts = EncodeBodyBefore(request, body.size()) + body;
    request.body = body;
    CHECK(parts == EncodeBody(request));
    LONGS_EQUAL(7, PeekRelayId(parts).value());
  }
}

TEST(Messages, RandomBytesNeverCrashADecoder) {
  Random random(kSeed);
  const std::vector<Sample> samples = MakeSamples();
  int decoded = 0;
  for (int i = 0; i < kMutations; ++i) {
    const Sample& sample = samples[random.Below(samples.size())];
    if (CheckBody(sample.type, Mutate(sample.body, random)).has_value())
      ++decoded;
  }
  // Messages with changed numbers and texts are still valid. The test is
  // meaningful only if both results occur.
  CHECK_TRUE(decoded > 0 && decoded < kMutations);
}

// Load pattern: a zone of 40 hosts sends requests for 700 cells to 100
// upstreams in half a second. Load that is missing from the reports would be
// unknown when key ranges are planned.
TEST(Messages, LoadReportsContainEverythingInSmallDatagrams) {
  std::map<uint16_t, uint32_t> cells;
  for (uint16_t cell = 0; cell < 700; ++cell) cells[cell * 5] = cell + 1;
  std::map<std::string, SpeedSample> speeds;
  for (int i = 0; i < 100; ++i)
    speeds["i-0123456" + std::to_string(i)] = {100.0 + i, 200.0 + i};
  LoadReport report_template;
  report_template.host = "front-ct-valley-south-31";
  report_template.service = "yard";
  report_template.forward = true;

  std::map<uint16_t, uint32_t> reported;
  std::map<std::string, uint32_t> taken;
  for (const LoadReport& report :
       MakeLoadReports(report_template, cells, speeds)) {
    CHECK(EncodeBody(report).size() < 1400);
    CHECK(report.service == report_template.service &&
          report.host == report_template.host);
    CHECK(report.forward);
    for (size_t i = 0; i < report.cells.size(); ++i)
      reported[report.cells[i]] = report.busy_ms.at(i);
    for (size_t i = 0; i < report.upstreams.size(); ++i)
      taken[report.upstreams[i]] = report.taken_ms.at(i);
  }
  CHECK(reported == cells);
  LONGS_EQUAL(100, taken.size());
  LONGS_EQUAL(205, taken.at("i-01234565"));
}

}  // namespace
}  // namespace mimosadeal
