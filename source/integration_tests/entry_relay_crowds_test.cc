// Tests of entry hosts on an object-store deployment: crowds of callers whose
// requests go through another host must not end either process, use up its
// memory or its descriptors, or cost other requests their answers.
//
// They check only what does not depend on the speed of the machine.
#include <CppUTest/TestHarness.h>
#include <sys/socket.h>
#include <unistd.h>

#include <csignal>
#include <string>

#include "entry_crowds.h"
#include "entry_fixture.h"
#include "inner/frame.h"
#include "inner/messages.h"
#include "net/tcp_stream.h"

namespace mimosadeal {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// The memory and descriptors of each host.
constexpr size_t kHostMemoryMb = 64;
constexpr size_t kHostDescriptors = 256;
constexpr size_t kMaxBodyBytes = 24 * 1024 * 1024;
constexpr size_t kMaxResponseBytes = 4 * 1024 * 1024;
// Just below and above what a connection between two hosts queues.
constexpr size_t kFittingBytes = 1'900'000;
constexpr size_t kLongResponseBytes = 3'000'000;
constexpr size_t kResponseBytes = 1'000'000;

constexpr int kLargeSenders = 3;
constexpr int kSendersPerHost = 12;
constexpr int kReadersPerHost = 40;
constexpr int kReadersPerStep = 4;  // Started at once.
constexpr Duration kSenderInterval = milliseconds(200);
constexpr Duration kCrowdTime = seconds(6);
constexpr Duration kStallTime = seconds(4);
// Time after which a host that lost its paths has to serve its callers again.
constexpr Duration kNoticeTime = seconds(5);
// Time after which a message that stopped arriving has to give back its room.
constexpr Duration kSilentFrameTime = seconds(12);
// Whose messages of kFittingBytes take all the room that there is for them.
constexpr int kSilentPeers = 8;

// Of a response. 65,536 is the most that a host reads.
constexpr size_t kLongHeaderBytes = 60'000;
// Requests to a host whose replies, kept, take more than its memory, and how
// many of them it gets at once.
constexpr int kUnreadRequests = 1600;
constexpr int kUnreadAtOnce = 32;
constexpr Duration kUnreadInterval = milliseconds(60);
// More responses than it may keep.
constexpr int kMinUnread = 100;

SocketAddress InnerAddress(const EntryProcess& host) {
  return {host.callers.ip, 18413};  // See EntryFixture::AddHost.
}

// An upstream of the service "desk" to which connections open, and which never
// reads.
class SilentUpstream {
 public:
  SilentUpstream(EntryFixture& fixture, SocketAddress address)
      : fixture_(fixture), address_(std::move(address)) {
    const auto listening = ListenTcp(address_);
    CHECK(listening.has_value());
    fd_ = listening.value();
    setsockopt(fd_, SOL_SOCKET, SO_RCVBUF, &kSmallReceiveBuffer,
               sizeof(kSmallReceiveBuffer));
  }
  ~SilentUpstream() { close(fd_); }
  SilentUpstream(const SilentUpstream&) = delete;
  SilentUpstream& operator=(const SilentUpstream&) = delete;

  void Register() { RegisterDesk(fixture_, "silent-1", address_); }

 private:
  EntryFixture& fixture_;
  SocketAddress address_;
  int fd_ = -1;
};

// Another host, which sends requests to the upstream "large-1" and reads no
// replies.
class UnreadingHost {
 public:
  explicit UnreadingHost(SocketAddress helper) : helper_(std::move(helper)) {
    Connect();
  }
  ~UnreadingHost() { close(fd_); }
  UnreadingHost(const UnreadingHost&) = delete;
  UnreadingHost& operator=(const UnreadingHost&) = delete;

  void SendRequest() {
    const std::string id = "unread-" + std::to_string(++sent_);
    RelayRequest request;
    request.id = sent_;
    request.upstream = "large-1";
    request.incarnation = 1;
    request.request_id = id;
    request.fingerprint = sent_;
    request.timeout_ms = kTimeoutMs;
    request.send_within_ms = kTimeoutMs;
    request.method = "GET";
    request.target = "/price/unread";
    request.headers = {{"host", "lots.example"},
                       {"x-request-id", id},
                       {"x-request-deadline-ms", std::to_string(kTimeoutMs)}};
    std::string frame;
    AppendFrame(RelayRequest::kType, EncodeBody(request), frame);
    if (send(fd_, frame.data(), frame.size(), MSG_NOSIGNAL | MSG_DONTWAIT) ==
        static_cast<ssize_t>(frame.size())) {
      return;
    }
    close(fd_);  // The helper closed it, as it is not read.
    Connect();
  }

 private:
  static constexpr uint32_t kTimeoutMs = 5000;

  void Connect() {
    fd_ = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    setsockopt(fd_, SOL_SOCKET, SO_RCVBUF, &kSmallReceiveBuffer,
               sizeof(kSmallReceiveBuffer));
    setsockopt(fd_, IPPROTO_TCP, TCP_MAXSEG, &kSegmentBytes,
               sizeof(kSegmentBytes));
    const NativeAddress native = ToNative(helper_).value();
    // The kernel of the host accepts the connection, so this does not wait.
    connect(fd_, reinterpret_cast<const sockaddr*>(&native.storage),
            native.length);
  }

  SocketAddress helper_;
  int fd_ = -1;
  uint64_t sent_ = 0;
};

class EntryRelayCrowdsTest : public EntryTest {
 public:
  // Starts `hosts` hosts, of which all but the last have no paths to the
  // service "desk".
  void StartDeployment(int hosts, Duration work, size_t response_bytes) {
    nlohmann::json configuration = fixture.Configuration(1);
    configuration["limits"]["maxBodyBytes"] = kMaxBodyBytes;
    fixture.store->Put("config", "main", configuration);
    for (int i = 1; i <= 4; ++i) {
      fixture.AddUpstream("yard-" + std::to_string(i), "yard",
                          i <= 2 ? "north" : "south", i);
    }
    fixture.link_upstreams = true;
    const SocketAddress yard =
        fixture.upstreams.at("yard-1")->options().address;
    const auto beside = [&yard](int number) {
      SocketAddress address = yard;
      address.port = static_cast<uint16_t>(address.port + number);
      return address;
    };
    large_ = std::make_unique<LargeUpstream>(fixture, beside(1), work,
                                             response_bytes, kMaxBodyBytes);
    silent_ = std::make_unique<SilentUpstream>(fixture, beside(2));
    helper_ = hosts;
    for (int i = 1; i <= hosts; ++i) {
      std::string& settings =
          fixture.extra_settings["host-" + std::to_string(i)];
      if (i != helper_) {
        // Nothing listens there.
        const std::string nowhere = beside(3).ToString();
        for (const int number : {1, 2}) {
          settings +=
              "\"" + beside(number).ToString() + "\" = \"" + nowhere + "\"\n";
        }
      }
      settings +=
          "[limits]\nmemory_mb = " + std::to_string(kHostMemoryMb) +
          "\nmax_descriptors = " + std::to_string(kHostDescriptors) +
          "\nmax_response_bytes = " + std::to_string(kMaxResponseBytes) + "\n";
    }
    fixture.StartHosts(hosts);
    fixture.RunFor(kChangeDeadline);
    AwaitRelay();
  }

  // A host learns from its requests that it has no paths, and forgets it after
  // some seconds without any.
  void AwaitRelay() {
    for (int i = 1; i < helper_; ++i) {
      CHECK(fixture.RunUntil(
          [&] {
            return fixture.SendAndWait(Host(i), "GET", "/price/a", -1).status ==
                   200;
          },
          kNoticeTime));
    }
  }

  // The service has only the upstream that does not read.
  void StallUpstream() {
    fixture.store->Remove("servers", "large-1");
    silent_->Register();
    fixture.RunFor(kChangeDeadline);
  }

  void ReplaceStalledUpstream() {
    fixture.store->Remove("servers", "silent-1");
    large_->Register();
    fixture.RunFor(kChangeDeadline);
    AwaitRelay();
  }

  static SenderPlan Body(size_t bytes) {
    return {"content-length: " + std::to_string(bytes) + "\r\n", "", bytes,
            kPieceBytes, true};
  }

  // To each host without paths, one after the other, so that each gets through.
  void SendFittingBodies() {
    for (int host = 1; host < helper_; ++host)
      crowds_.emplace_back(fixture.loop, Host(host).callers);
    for (int i = 0; i < kSendersPerHost; ++i) {
      for (SenderCrowd& crowd : crowds_) crowd.Add(Body(kFittingBytes));
      fixture.RunFor(kSenderInterval);
    }
    fixture.RunFor(kCrowdTime);
    for (const SenderCrowd& crowd : crowds_) CHECK(crowd.sent() > 0);
  }

  // The crowd's connections are still open. Each host must be alive and have
  // kept to its memory and descriptors, and serve a request of its own and one
  // through the other host.
  void CheckHostsHold() {
    std::string peaks;
    bool held = true;
    for (int i = 1; i <= helper_; ++i) {
      int exit_code = 0;
      const bool ended = Host(i).process.TryWait(exit_code);
      const size_t peak = PeakMemoryKb(Host(i));
      const size_t open = OpenDescriptors(Host(i));
      held = held && !ended && peak > 0 && peak <= kHostMemoryMb * 1024 &&
             open > 0 && open <= kHostDescriptors;
      peaks += "host-" + std::to_string(i) + (ended ? " ended" : "") +
               ": peak of " + std::to_string(peak) + " kB, " +
               std::to_string(open) + " descriptors; ";
    }
    CHECK_TEXT(held, peaks.c_str());
    for (int i = 1; i <= helper_; ++i) {
      CheckServed(fixture.SendAndWait(Host(i), "GET", "/price/a", -1));
      CheckServed(
          fixture.SendAndWait(Host(i), "GET", "/lookup/a", OwnedKey("yard-1")));
    }
    fixture.CheckRecord();
  }

  std::unique_ptr<LargeUpstream> large_;
  std::unique_ptr<SilentUpstream> silent_;
  std::list<SenderCrowd> crowds_;
  int helper_ = 0;  // The number of the host that has its paths.
};

TEST_GROUP_BASE(EntryRelayCrowds, EntryRelayCrowdsTest){};

TEST(EntryRelayCrowds, ASingleBodyThatFitsIsServedInCalm) {
  StartDeployment(2, milliseconds(20), kResponseBytes);
  const CallerResponse response =
      fixture.SendAndWait(Host(1), "POST", "/charge/a", -1,
                          std::string(kFittingBytes, 'x'), seconds(5));
  CheckServed(response);
  LONGS_EQUAL(kResponseBytes, response.body.size());
  CheckHostsHold();
}

// Guards against copies of a body that no connection between hosts takes, and
// against giving up the other host for it.
TEST(EntryRelayCrowds, ABodyThatCannotBeRelayedIsRefusedTruthfully) {
  StartDeployment(2, milliseconds(20), 10);
  const int before = large_->responses();
  const CallerResponse response =
      fixture.SendAndWait(Host(1), "POST", "/charge/a", -1,
                          std::string(kMaxBodyBytes, 'x'), seconds(5));
  CHECK(response.status == 200 || response.status == 503);
  LONGS_EQUAL(before + (response.status == 200 ? 1 : 0), large_->responses());
  CheckHostsHold();
}

TEST(EntryRelayCrowds, BodiesThatCannotBeRelayedDoNotExhaustTheHost) {
  StartDeployment(2, milliseconds(20), 10);
  SenderCrowd crowd(fixture.loop, Host(1).callers);
  for (int i = 0; i < kLargeSenders; ++i) crowd.Add(Body(kMaxBodyBytes));
  fixture.RunFor(kCrowdTime);
  CHECK(crowd.sent() > 0);
  CheckHostsHold();
}

// Guards against bodies that a host keeps for others without a limit on their
// sum.
TEST(EntryRelayCrowds, BodiesFromSeveralHostsDoNotExhaustTheOneThatHelps) {
  StartDeployment(6, seconds(1), 10);
  SendFittingBodies();
  CheckHostsHold();
}

// As above, while the upstream reads none of them.
TEST(EntryRelayCrowds, BodiesForAStalledUpstreamDoNotExhaustTheOneThatHelps) {
  StartDeployment(6, milliseconds(20), 10);
  StallUpstream();
  SendFittingBodies();
  ReplaceStalledUpstream();
  CheckHostsHold();
}

TEST(EntryRelayCrowds, BodiesForAHostThatStallsDoNotExhaustTheOther) {
  StartDeployment(2, milliseconds(20), 10);
  SenderCrowd crowd(fixture.loop, Host(1).callers);
  for (int i = 0; i < kSendersPerHost; ++i) crowd.Add(Body(kFittingBytes));
  fixture.RunFor(kCrowdTime / 2);
  Host(helper_).process.Signal(SIGSTOP);
  fixture.RunFor(kStallTime);
  Host(helper_).process.Signal(SIGCONT);
  fixture.RunFor(kNoticeTime);
  AwaitRelay();
  CHECK(crowd.sent() > 0);
  CheckHostsHold();
}

// Guards against responses that are kept, without a limit on their sum, on
// their way to callers that do not read them.
TEST(EntryRelayCrowds, ResponsesReadSlowlyDoNotExhaustEitherHost) {
  StartDeployment(4, milliseconds(20), kResponseBytes);
  std::list<ReaderCrowd> crowds;
  for (int host = 1; host < helper_; ++host)
    crowds.emplace_back(fixture.loop, Host(host).callers);
  while (crowds.back().size() < kReadersPerHost) {
    for (ReaderCrowd& crowd : crowds) {
      for (int i = 0; i < kReadersPerStep; ++i)
        crowd.Add(crowd.size() % 4 != 0);
    }
    fixture.RunFor(milliseconds(40));
  }
  fixture.RunFor(kCrowdTime);
  CHECK(large_->responses() > 0);
  CheckHostsHold();
}

// As above, while the hosts of the callers read nothing.
TEST(EntryRelayCrowds, ResponsesForHostsThatStallDoNotExhaustTheOneThatHelps) {
  StartDeployment(6, milliseconds(500), kResponseBytes);
  std::list<ReaderCrowd> crowds;
  for (int host = 1; host < helper_; ++host) {
    ReaderCrowd& crowd = crowds.emplace_back(fixture.loop, Host(host).callers);
    for (int i = 0; i < kReadersPerStep * 2; ++i) crowd.Add(false);
  }
  fixture.RunFor(milliseconds(300));
  for (int host = 1; host < helper_; ++host) Host(host).process.Signal(SIGSTOP);
  fixture.RunFor(kStallTime);
  for (int host = 1; host < helper_; ++host) Host(host).process.Signal(SIGCONT);
  fixture.RunFor(kNoticeTime);
  AwaitRelay();
  CheckHostsHold();
}

// A response that did not fit closed the connection between the hosts, and all
// requests on it lost their answers.
TEST(EntryRelayCrowds, ALongResponseCostsNoOtherRequestItsAnswer) {
  StartDeployment(2, milliseconds(20), 10);
  large_->SetResponseBytes(kLongResponseBytes);
  fixture.SetUpstreamPartition("host-1", UpstreamCut::kRefused);
  const int key = OwnedKey("yard-1");
  CHECK(fixture.RunUntil(
      [&] {
        return fixture.SendAndWait(Host(1), "GET", "/lookup/a", key).status ==
               200;
      },
      kNoticeTime));
  for (auto& [id, upstream] : fixture.upstreams)
    upstream->SetWork(milliseconds(600));
  const auto slow =
      fixture.Start(Host(1), "POST", "/hold/a", key, "", seconds(5));
  const std::string id = fixture.last_request_id;
  CHECK(fixture.RunUntil([&] { return RunCount(id) > 0; }, seconds(1)));
  const int before = large_->responses();
  const CallerResponse response =
      fixture.SendAndWait(Host(1), "POST", "/charge/a", -1, "", seconds(5));
  LONGS_EQUAL(before + 1, large_->responses());
  CHECK(response.status == 200 || response.status == 502);
  fixture.RunUntil([&] { return slow->status != 0; }, seconds(5));
  LONGS_EQUAL(200, slow->status);
  fixture.SetUpstreamPartition("host-1", UpstreamCut::kNone);
  fixture.CheckRecord();
}

// Guards against room that stays taken by a request that stopped arriving, as
// from a host that lost power.
TEST(EntryRelayCrowds, RequestsThatStopArrivingDoNotKeepTheirRoom) {
  StartDeployment(2, milliseconds(20), 10);
  std::string begin;
  AppendFrameHeader({MessageType::kRelayRequest, kFittingBytes}, begin);
  begin.append(sizeof(RelayRequest::id) + 1, 'x');
  const SocketAddress address = InnerAddress(Host(helper_));
  int ended = 0;
  std::list<std::unique_ptr<TcpStream>> peers;
  for (int i = 0; i < kSilentPeers; ++i) {
    auto peer =
        TcpStream::Connect(fixture.loop, address,
                           TcpStreamHandlers{[] {}, [](std::string_view) {},
                                             [&ended](StreamEnd) { ++ended; }});
    CHECK(peer.has_value());
    peer.value()->Write(begin);
    peers.push_back(std::move(peer.value()));
  }
  const std::string helper = "host-" + std::to_string(helper_);
  CHECK(fixture.RunUntil(
      [&] {
        return fixture.HostLog(helper).find("relay.no-room") !=
               std::string::npos;
      },
      kNoticeTime));
  CHECK(fixture.RunUntil(
      [&] {
        fixture.RunFor(kSenderInterval);
        return fixture
                   .SendAndWait(Host(1), "POST", "/charge/a", -1,
                                std::string(kFittingBytes, 'x'), seconds(5))
                   .status == 200;
      },
      kSilentFrameTime));
  LONGS_EQUAL(0, ended);
  CheckHostsHold();
}

// Guards against heads of replies that are kept without a limit for a host that
// does not read them.
TEST(EntryRelayCrowds, HeadsOfRepliesThatAreNotReadDoNotExhaustTheHost) {
  StartDeployment(2, milliseconds(20), 10);
  large_->SetHeaderBytes(kLongHeaderBytes);
  UnreadingHost host(InnerAddress(Host(helper_)));
  const int before = large_->responses();
  for (int i = 0; i < kUnreadRequests; i += kUnreadAtOnce) {
    for (int j = 0; j < kUnreadAtOnce; ++j) host.SendRequest();
    fixture.RunFor(kUnreadInterval);
  }
  CHECK(large_->responses() - before > kMinUnread);
  large_->SetHeaderBytes(0);
  CheckHostsHold();
}

}  // namespace
}  // namespace mimosadeal
