// Tests of entry hosts on an object-store deployment: crowds of callers that
// nobody controls must not end a host's process, use up its memory or its
// descriptors, or keep it from serving an ordinary request afterwards.
//
// They check only what does not depend on the speed of the machine.
#include "entry_crowds.h"

#include <CppUTest/TestHarness.h>

#include <string>

#include "entry_fixture.h"

namespace mimosadeal {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// The memory and descriptors of the host under test.
constexpr size_t kHostMemoryMb = 64;
constexpr size_t kHostDescriptors = 256;
// Largest body in the test's configuration, and of one response.
constexpr size_t kMaxBodyBytes = 4 * 1024 * 1024;
constexpr size_t kResponseBytes = 1'000'000;

// The crowds. Their bodies, and the responses, are far above the host's memory
// in sum; one body is far below it.
constexpr int kSenders = 40;
constexpr int kCompleteSenders = 4;  // Of kSenders, where most stop short.
constexpr int kReaders = 100;
constexpr int kReadersPerStep = 4;  // Started at once.
// More than the connections that a host with kHostDescriptors accepts.
constexpr int kSilentSenders = 200;
constexpr Duration kCrowdTime = seconds(6);
// Fewer than the connections that a host with kHostDescriptors accepts. Each
// request that waits takes a connection to an upstream too.
constexpr int kWaitingSenders = 124;
// Header lines of 4 bytes each, together below the header's limit.
constexpr int kHeaderLines = 3900;
constexpr int kHeadSenders = 120;
// As kHeaderLines, of a response.
constexpr size_t kResponseLines = 16'000;
// A host with these accepts as many callers, for each MB of its memory, as one
// of the smallest size, which has 112 MB and 2870 descriptors.
constexpr size_t kDescriptorsOfSmallHosts = 2025;
constexpr int kIdleSenders = 1100;
// Of an ordinary size, sent whole.
constexpr size_t kMediumBodyBytes = 60'000;
// The most that a host may keep of one body, less 2 MB.
constexpr size_t kLoneBodyBytes = size_t{36} * 1024 * 1024;
constexpr size_t kLonePieceBytes = 12'000;  // It takes about 6 s.
constexpr char kChunked[] = "transfer-encoding: chunked\r\n";
constexpr char kLoneBodyLength[] = "content-length: 37748736\r\n";
constexpr char kLoneChunk[] = "2400000\r\n";  // As one chunk.
constexpr char kLastChunk[] = "\r\n0\r\n\r\n";
// Longer than it takes to send it, so that it waits behind the request.
constexpr Duration kWorkBeforeLoneBody = seconds(3);
constexpr Duration kServingTime = seconds(20);
constexpr int kSendersBesideLoneBody = 40;
constexpr int kReadersBesideLoneBody = 80;
// Between callers that send two requests at once.
constexpr Duration kPipelineInterval = milliseconds(200);

constexpr size_t kSmallPieceBytes = 1000;

class EntryCrowdsTest : public EntryTest {
 public:
  void StartDeployment(Duration work, size_t response_bytes) {
    nlohmann::json configuration = fixture.Configuration(1);
    configuration["limits"]["maxBodyBytes"] = max_body_bytes_;
    fixture.extra_settings["host-1"] =
        "[limits]\nmemory_mb = " + std::to_string(kHostMemoryMb) +
        "\nmax_descriptors = " + std::to_string(host_descriptors_) + "\n";
    fixture.store->Put("config", "main", configuration);
    for (int i = 1; i <= 4; ++i) {
      fixture.AddUpstream("yard-" + std::to_string(i), "yard",
                          i <= 2 ? "north" : "south", i);
    }
    SocketAddress address = fixture.upstreams.at("yard-1")->options().address;
    ++address.port;
    large_ = std::make_unique<LargeUpstream>(
        fixture, address, work, response_bytes, 2 * max_body_bytes_);
    fixture.StartHosts(2);
    fixture.RunFor(kChangeDeadline);
  }

  // The crowd's connections are still open. The host must be alive, have kept
  // to its memory and descriptors, and serve one ordinary request.
  void CheckHostHolds() {
    int exit_code = 0;
    CHECK_TEXT(!Host(1).process.TryWait(exit_code), "the host has ended");
    const size_t peak = PeakMemoryKb(Host(1));
    CHECK_TEXT(peak > 0 && peak <= kHostMemoryMb * 1024,
               ("peak of " + std::to_string(peak) + " kB").c_str());
    const size_t open = OpenDescriptors(Host(1));
    CHECK_TEXT(open > 0 && open <= host_descriptors_,
               (std::to_string(open) + " descriptors").c_str());
    const int key = OwnedKey("yard-1");
    CheckServed(fixture.SendAndWait(Host(1), "GET", "/lookup/a", key));
    fixture.CheckRecord();
  }

  // Sends the largest body, whose last byte never comes, beside bodies that
  // are not sent completely and callers that do not read.
  void SendLoneBodyBesideCrowds(const std::string& framing,
                                const std::string& begin) {
    max_body_bytes_ = kLoneBodyBytes;
    StartDeployment(milliseconds(20), kResponseBytes);
    SenderCrowd crowd(fixture.loop, Host(1).callers);
    crowd.Add({framing, begin, kLoneBodyBytes - 1, kLonePieceBytes, true});
    for (int i = 0; i < kSendersBesideLoneBody; ++i) {
      crowd.Add({"content-length: " + std::to_string(kMediumBodyBytes) + "\r\n",
                 "", kMediumBodyBytes - 1, kPieceBytes, true});
    }
    ReaderCrowd readers(fixture.loop, Host(1).callers);
    while (readers.size() < kReadersBesideLoneBody) {
      for (int i = 0; i < kReadersPerStep; ++i)
        readers.Add(readers.size() % 4 != 0);
      fixture.RunFor(milliseconds(40));
    }
    fixture.RunFor(kCrowdTime);
    CHECK(large_->responses() > 0);
    CheckServed(fixture.SendAndWait(Host(1), "POST", "/charge/a", -1,
                                    std::string(kSmallPieceBytes, 'x')));
    CheckHostHolds();
  }

  // Sends the largest body behind a request that an upstream works on.
  void SendLoneBodyBehindAnotherRequest(const std::string& framing,
                                        const std::string& begin,
                                        const std::string& end) {
    max_body_bytes_ = kLoneBodyBytes;
    StartDeployment(kWorkBeforeLoneBody, 10);
    SenderCrowd crowd(fixture.loop, Host(1).callers);
    crowd.Add({"content-length: 1\r\n", "x", kLoneBodyBytes, kPieceBytes, false,
               false, RequestHead("POST", "/charge/behind", framing) + begin,
               end});
    const bool served = fixture.RunUntil(
        [this] { return large_->responses() > 1; }, kServingTime);
    CheckHostHolds();
    CHECK(served);
  }

  // Set before StartDeployment.
  size_t host_descriptors_ = kHostDescriptors;
  size_t max_body_bytes_ = kMaxBodyBytes;
  std::unique_ptr<LargeUpstream> large_;
};

TEST_GROUP_BASE(EntryCrowds, EntryCrowdsTest){};

// One body of the largest size and one large response, in calm.
TEST(EntryCrowds, ASingleLargeRequestIsServedInCalm) {
  StartDeployment(milliseconds(20), kResponseBytes);
  const CallerResponse response =
      fixture.SendAndWait(Host(1), "POST", "/charge/a", -1,
                          std::string(kMaxBodyBytes, 'x'), seconds(5));
  CheckServed(response);
  LONGS_EQUAL(kResponseBytes, response.body.size());
  CheckHostHolds();
}

// Guards against connections that keep the memory of a body that was received
// while their former request waited for its response.
TEST(EntryCrowds, BodiesBehindAnotherRequestDoNotExhaustTheHost) {
  StartDeployment(milliseconds(150), 10);
  SenderCrowd crowd(fixture.loop, Host(1).callers);
  const std::string length =
      "content-length: " + std::to_string(kMaxBodyBytes) + "\r\n";
  for (int i = 0; i < kSenders; ++i) {
    crowd.Add({"content-length: 1\r\n",
               "x" + RequestHead("POST", "/charge/behind", length),
               kMaxBodyBytes});
    fixture.RunFor(kPipelineInterval);
  }
  fixture.RunFor(seconds(1));
  CHECK(large_->responses() > kSenders);
  CheckHostHolds();
}

// Guards against trailers that count against no limit of their own.
TEST(EntryCrowds, TrailersWithoutEndDoNotExhaustTheHost) {
  StartDeployment(milliseconds(20), 10);
  SenderCrowd crowd(fixture.loop, Host(1).callers);
  for (int i = 0; i < kSenders; ++i) {
    crowd.Add({"transfer-encoding: chunked\r\n",
               "1\r\nx\r\n0\r\nx-trailer: ", SIZE_MAX, kPieceBytes, true});
  }
  fixture.RunFor(kCrowdTime);
  CHECK(crowd.sent() > 0);
  CheckHostHolds();
}

// As above, with the extension of a chunk.
TEST(EntryCrowds, ChunkExtensionsWithoutEndDoNotExhaustTheHost) {
  StartDeployment(milliseconds(20), 10);
  SenderCrowd crowd(fixture.loop, Host(1).callers);
  for (int i = 0; i < kSenders; ++i) {
    crowd.Add({"transfer-encoding: chunked\r\n", "1;x=", SIZE_MAX, kPieceBytes,
               true});
  }
  fixture.RunFor(kCrowdTime);
  CHECK(crowd.sent() > 0);
  CheckHostHolds();
}

// Guards against bodies that are kept several times, and without a limit on
// their sum, while their requests run.
TEST(EntryCrowds, ManyLargeBodiesAtOnceDoNotExhaustTheHost) {
  StartDeployment(seconds(1), 10);
  SenderCrowd crowd(fixture.loop, Host(1).callers);
  for (int i = 0; i < kSenders; ++i) {
    crowd.Add({"content-length: " + std::to_string(kMaxBodyBytes) + "\r\n", "",
               kMaxBodyBytes, kPieceBytes, true});
  }
  fixture.RunFor(kCrowdTime);
  CHECK(crowd.sent() > 0);
  CheckHostHolds();
}

// Guards against bodies that are kept for callers that stopped sending.
TEST(EntryCrowds, LargeBodiesThatStopShortOfTheirEndDoNotExhaustTheHost) {
  StartDeployment(milliseconds(20), 10);
  SenderCrowd crowd(fixture.loop, Host(1).callers);
  for (int i = 0; i < kSenders; ++i) {
    const size_t missing = i < kCompleteSenders ? 0 : 1;
    crowd.Add({"content-length: " + std::to_string(kMaxBodyBytes) + "\r\n", "",
               kMaxBodyBytes - missing, kPieceBytes, true});
  }
  fixture.RunFor(kCrowdTime);
  CHECK(crowd.sent() > 0);
  CheckHostHolds();
}

TEST(EntryCrowds, ChunkedBodiesThatStopShortOfTheirEndDoNotExhaustTheHost) {
  StartDeployment(milliseconds(20), 10);
  SenderCrowd crowd(fixture.loop, Host(1).callers);
  for (int i = 0; i < kSenders; ++i) {
    crowd.Add({"transfer-encoding: chunked\r\n", "3fffff\r\n",
               kMaxBodyBytes - 2, kPieceBytes, true});
  }
  fixture.RunFor(kCrowdTime);
  CHECK(crowd.sent() > 0);
  CheckHostHolds();
}

// Guards against callers that take a connection each and never finish a small
// request: nothing closed them, and no other caller was accepted.
TEST(EntryCrowds, SmallBodiesThatNeverEndDoNotUseUpTheDescriptors) {
  StartDeployment(milliseconds(20), 10);
  SenderCrowd crowd(fixture.loop, Host(1).callers);
  for (int i = 0; i < kSilentSenders; ++i)
    crowd.Add({"content-length: 2000\r\n", "", 1000, kSmallPieceBytes, false});
  fixture.RunFor(kCrowdTime);
  CHECK(crowd.sent() > 0);
  CheckHostHolds();
}

// Guards against connections to upstreams that nothing limits by the host's
// descriptors: each request that no upstream answers takes one.
TEST(EntryCrowds, RequestsThatNoUpstreamAnswersDoNotUseUpTheDescriptors) {
  StartDeployment(seconds(60), 10);
  SenderCrowd crowd(fixture.loop, Host(1).callers);
  for (int i = 0; i < kWaitingSenders; ++i)
    crowd.Add({"content-length: 1\r\n", "x", 0, 0, true, true});
  fixture.RunFor(kCrowdTime);
  CheckHostHolds();
}

// Guards against heads that nothing counts while their requests wait: each
// short header line takes many times its length.
TEST(EntryCrowds, HeadsOfManyShortLinesDoNotExhaustTheHost) {
  StartDeployment(seconds(1), 10);
  std::string lines;
  for (int i = 0; i < kHeaderLines; ++i) lines += "a:\r\n";
  SenderCrowd crowd(fixture.loop, Host(1).callers);
  for (int i = 0; i < kHeadSenders; ++i)
    crowd.Add({"content-length: 1\r\n" + lines, "x", 0, 0, true, true});
  fixture.RunFor(kCrowdTime);
  CheckHostHolds();
}

// As above, for responses whose body does not come.
TEST(EntryCrowds, ResponseHeadsOfManyShortLinesDoNotExhaustTheHost) {
  host_descriptors_ = kDescriptorsOfSmallHosts;
  StartDeployment(milliseconds(20), 10);
  fixture.store->Remove("servers", "large-1");
  SocketAddress address = fixture.upstreams.at("yard-1")->options().address;
  address.port += 2;
  StallingUpstream stalling(fixture, address, kResponseLines);
  stalling.Register();
  fixture.RunFor(kChangeDeadline);
  SenderCrowd crowd(fixture.loop, Host(1).callers);
  for (int i = 0; i < kHeadSenders; ++i)
    crowd.Add({"content-length: 1\r\n", "x", 0, 0, true, true});
  fixture.RunFor(kCrowdTime);
  CHECK(stalling.responses() > 0);
  CheckHostHolds();
}

// Guards against connections that keep a buffer, counted by nothing, after the
// request that it held was answered.
TEST(EntryCrowds, BuffersOfIdleConnectionsDoNotExhaustTheHost) {
  host_descriptors_ = kDescriptorsOfSmallHosts;
  StartDeployment(milliseconds(150), 10);
  SenderCrowd crowd(fixture.loop, Host(1).callers);
  const std::string length =
      "content-length: " + std::to_string(kMediumBodyBytes) + "\r\n";
  for (int i = 0; i < kIdleSenders; ++i) {
    crowd.Add({"content-length: 1\r\n", "x", kMediumBodyBytes, kPieceBytes,
               false, false, RequestHead("POST", "/charge/behind", length)});
    if (i % kReadersPerStep == 0) fixture.RunFor(milliseconds(20));
  }
  fixture.RunFor(seconds(1));
  CHECK(large_->responses() > kIdleSenders);
  CheckHostHolds();
}

// Guards against parts of the budget that may be used up at the same time, and
// against small requests that are refused beside a large one.
TEST(EntryCrowds, TheLargestBodyBesideOtherCrowdsDoesNotExhaustTheHost) {
  SendLoneBodyBesideCrowds(kLoneBodyLength, "");
}

// Guards against a buffer that is copied into one of twice its size before the
// budget counts that.
TEST(EntryCrowds, TheLargestChunkedBodyDoesNotExhaustTheHost) {
  max_body_bytes_ = kLoneBodyBytes;
  StartDeployment(milliseconds(20), 10);
  SenderCrowd crowd(fixture.loop, Host(1).callers);
  crowd.Add({kChunked, kLoneChunk, kLoneBodyBytes, kPieceBytes, false, false,
             "", kLastChunk});
  const bool served = fixture.RunUntil(
      [this] { return large_->responses() > 0; }, kServingTime);
  CheckHostHolds();
  CHECK(served);
}

// As above.
TEST(EntryCrowds, TheLargestChunkedBodyBesideOtherCrowdsDoesNotExhaustTheHost) {
  SendLoneBodyBesideCrowds(kChunked, kLoneChunk);
}

// Guards against pipelined bytes that are copied as they grow, or kept while
// the body is copied out of them.
TEST(EntryCrowds, TheLargestBodyBehindAnotherRequestDoesNotExhaustTheHost) {
  SendLoneBodyBehindAnotherRequest(kLoneBodyLength, "", "");
}

// As above.
TEST(EntryCrowds, TheLargestChunkedBodyBehindAnotherDoesNotExhaustTheHost) {
  SendLoneBodyBehindAnotherRequest(kChunked, kLoneChunk, kLastChunk);
}

// Guards against responses that are kept, without a limit on their sum, for
// callers that do not read them.
TEST(EntryCrowds, ResponsesReadSlowlyDoNotExhaustTheHost) {
  StartDeployment(milliseconds(20), kResponseBytes);
  ReaderCrowd crowd(fixture.loop, Host(1).callers);
  while (crowd.size() < kReaders) {
    for (int i = 0; i < kReadersPerStep; ++i) crowd.Add(crowd.size() % 4 != 0);
    fixture.RunFor(milliseconds(40));
  }
  fixture.RunFor(kCrowdTime);
  CHECK(large_->responses() > 0);
  CheckHostHolds();
}

}  // namespace
}  // namespace mimosadeal
