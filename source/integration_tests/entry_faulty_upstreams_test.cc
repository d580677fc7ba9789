// Tests of entry hosts on an object-store deployment: upstreams that send bytes
// outside the protocol must not end a host's process.
#include <CppUTest/TestHarness.h>

#include <fstream>
#include <list>
#include <string>

#include "entry_fixture.h"
#include "net/fd_watch.h"
#include "net/tcp_stream.h"
#include "resetting_upstream.h"

namespace mimosadeal {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// The memory of the smallest hosts.
constexpr size_t kSmallestHostKb = 112 * 1024;
constexpr size_t kChunkBytes = 64 * 1024;
constexpr size_t kMaxQueuedBytes = 256 * 1024;
constexpr int kParallelRequests = 100;
// More than the kernel takes at once, so that a reset meets a send.
constexpr size_t kUploadBytes = size_t{16} * 1024 * 1024;
constexpr int kUploads = 20;

// An upstream that responds to every request with the same bytes without end,
// or with `max_bytes` of them and then nothing more.
class EndlessUpstream {
 public:
  EndlessUpstream(EventLoop& loop, const SocketAddress& address,
                  std::string begin, size_t max_bytes)
      : loop_(loop), begin_(std::move(begin)), max_bytes_(max_bytes) {
    listener_ = std::make_unique<FdWatch>(
        loop_, ListenTcp(address).value(),
        FdWatch::Callbacks{[this] { OnAcceptable(); }, nullptr});
    timer_ = loop_.timers().Every(milliseconds(2), [this] { Pump(); });
  }
  ~EndlessUpstream() { loop_.timers().Cancel(timer_); }
  EndlessUpstream(const EndlessUpstream&) = delete;
  EndlessUpstream& operator=(const EndlessUpstream&) = delete;

  int responses() const { return responses_; }

 private:
  struct Connection {
    std::unique_ptr<TcpStream> stream;
    bool responding = false;
    bool ended = false;
    size_t sent = 0;
  };

  void OnAcceptable() {
    const int fd = accept4(listener_->fd(), nullptr, nullptr,
                           SOCK_NONBLOCK | SOCK_CLOEXEC);
    if (fd < 0) return;
    Connection& connection = connections_.emplace_back();
    connection.stream = std::make_unique<TcpStream>(
        loop_, fd,
        TcpStreamHandlers{
            nullptr,
            [this, &connection](std::string_view) {
              if (connection.responding) return;
              connection.responding = true;
              ++responses_;
              connection.stream->Write(begin_);
            },
            [&connection](StreamEnd) { connection.ended = true; }});
  }

  void Pump() {
    std::erase_if(connections_, [](const Connection& connection) {
      return connection.ended;
    });
    for (Connection& connection : connections_) {
      if (!connection.responding || connection.sent >= max_bytes_ ||
          connection.stream->queued_bytes() > kMaxQueuedBytes) {
        continue;
      }
      const size_t count = std::min(kChunkBytes, max_bytes_ - connection.sent);
      connection.sent += count;
      connection.stream->Write(std::string(count, 'x'));
    }
  }

  EventLoop& loop_;
  std::string begin_;
  size_t max_bytes_;
  std::unique_ptr<FdWatch> listener_;
  std::list<Connection> connections_;
  uint64_t timer_ = 0;
  int responses_ = 0;
};

// An upstream that responds with a status line of the test, and then closes the
// connection.
class OddUpstream {
 public:
  OddUpstream(EventLoop& loop, const SocketAddress& address) : loop_(loop) {
    listener_ = std::make_unique<FdWatch>(
        loop_, ListenTcp(address).value(),
        FdWatch::Callbacks{[this] { OnAcceptable(); }, nullptr});
  }

  void Answer(std::string status_line, std::string framing,
              std::string signature_line = "x-response-signature: s\r\n") {
    status_line_ = std::move(status_line);
    framing_ = std::move(framing);
    signature_line_ = std::move(signature_line);
  }
  int requests() const { return requests_; }

 private:
  struct Connection {
    std::unique_ptr<TcpStream> stream;
    std::string received;
  };

  void OnAcceptable() {
    const int fd = accept4(listener_->fd(), nullptr, nullptr,
                           SOCK_NONBLOCK | SOCK_CLOEXEC);
    if (fd < 0) return;
    Connection& connection = connections_.emplace_back();
    connection.stream = std::make_unique<TcpStream>(
        loop_, fd,
        TcpStreamHandlers{nullptr,
                          [this, &connection](std::string_view bytes) {
                            connection.received += bytes;
                            Respond(connection);
                          },
                          [](StreamEnd) {}});
  }

  void Respond(Connection& connection) {
    constexpr std::string_view name = "x-request-id: ";
    const size_t begin = connection.received.find(name);
    if (!connection.received.ends_with("\r\n\r\none") ||
        begin == std::string::npos) {
      return;
    }
    const size_t end = connection.received.find("\r\n", begin);
    const std::string id_line =
        connection.received.substr(begin, end - begin) + "\r\n";
    connection.received.clear();
    ++requests_;
    connection.stream->Write(status_line_ + "\r\n" + id_line + signature_line_ +
                             framing_ + "\r\nran");
    connection.stream->FinishWriting();
  }

  EventLoop& loop_;
  std::string status_line_;
  std::string framing_;
  std::string signature_line_;
  std::unique_ptr<FdWatch> listener_;
  std::list<Connection> connections_;
  int requests_ = 0;
};

class EntryFaultyTest : public EntryTest {
 public:
  // The peak of the host's memory in use.
  static size_t PeakMemoryKb(const EntryProcess& host) {
    std::ifstream status("/proc/" + std::to_string(host.process.pid()) +
                         "/status");
    std::string word;
    while (status >> word) {
      size_t kilobytes = 0;
      if (word == "VmHWM:" && status >> kilobytes) return kilobytes;
    }
    return 0;
  }

  // Fails the test if a host has ended by itself.
  void CheckHostsRun() {
    for (const auto& [name, host] : fixture.hosts) {
      int exit_code = 0;
      CHECK_TEXT(!host->process.TryWait(exit_code),
                 (name + " has ended").c_str());
    }
  }

  // Starts the default deployment with one upstream of the service without keys
  // that the test provides. Returns its address.
  SocketAddress StartWithOtherUpstream() {
    fixture.StartDefaultDeployment(2);
    fixture.CrashUpstream("desk-1");
    fixture.CrashUpstream("desk-2");
    fixture.store->Remove("servers", "desk-1");
    fixture.store->Remove("servers", "desk-2");
    SocketAddress address = fixture.upstreams.at("yard-1")->options().address;
    ++address.port;
    fixture.store->Put("servers", "odd-1",
                       {{"service", "desk"},
                        {"address", address.ToString()},
                        {"zone", "north"},
                        {"version", "v1"},
                        {"slots", 4},
                        {"state", "ready"},
                        {"warmupLeft", "0ms"},
                        {"seq", 1},
                        {"born", 1}});
    return address;
  }

  std::unique_ptr<OddUpstream> StartWithOddUpstream() {
    const SocketAddress address = StartWithOtherUpstream();
    auto odd = std::make_unique<OddUpstream>(fixture.loop, address);
    fixture.RunFor(kChangeDeadline);
    return odd;
  }

  // Sends requests in parallel to a service with an upstream that responds
  // without end, for two deadlines. The host must stay within the memory of the
  // smallest hosts and serve other requests meanwhile.
  void CheckMemoryHolds(const std::string& begin, size_t max_bytes) {
    fixture.StartDefaultDeployment(2);
    SocketAddress address = fixture.upstreams.at("desk-1")->options().address;
    ++address.port;
    EndlessUpstream faulty(fixture.loop, address, begin, max_bytes);
    fixture.store->Put("servers", "endless-1",
                       {{"service", "desk"},
                        {"address", address.ToString()},
                        {"zone", "north"},
                        {"version", "v1"},
                        {"slots", 2 * kParallelRequests},
                        {"state", "ready"},
                        {"warmupLeft", "0ms"},
                        {"seq", 1},
                        {"born", 1}});
    fixture.RunFor(kChangeDeadline);
    const int key = OwnedKey("yard-1");
    const MonotonicTime end = fixture.loop.timers().now() + seconds(4);
    std::list<std::shared_ptr<CallerResponse>> open;
    while (fixture.loop.timers().now() < end) {
      std::erase_if(open,
                    [](const auto& response) { return response->status != 0; });
      while (open.size() < kParallelRequests)
        open.push_back(fixture.Start(Host(1), "GET", "/price/a", -1));
      CheckServed(fixture.SendAndWait(Host(1), "GET", "/lookup/a", key));
      fixture.RunFor(milliseconds(20));
    }
    CheckHostsRun();
    CHECK(faulty.responses() > kParallelRequests / 2);
    const size_t peak = PeakMemoryKb(Host(1));
    CHECK_TEXT(peak > 0 && peak <= kSmallestHostKb,
               ("peak of " + std::to_string(peak) + " kB").c_str());
    fixture.CheckRecord();
  }
};

TEST_GROUP_BASE(EntryFaulty, EntryFaultyTest){};

// Guards against the end of the lease holder's process, with the requests of
// all its callers: an owner returns a handover that is no UTF-8 with a release.
TEST(EntryFaulty, ALeaseHolderSurvivesAHandoverThatIsNoText) {
  fixture.StartDefaultDeployment(3);
  for (const auto& [name, upstream] : fixture.upstreams)
    upstream->faults().handover = "\x9e\x80";
  fixture.upstreams.at("yard-1")->Report("draining");
  fixture.upstreams.at("yard-3")->Report("draining");
  const bool moved = fixture.RunUntil(
      [this] { return OwnedKey("yard-1") < 0 && OwnedKey("yard-3") < 0; },
      seconds(6));
  CheckHostsRun();
  CHECK(moved);
  CHECK(fixture.RunUntil([this] { return fixture.EveryKeyIsHeld(); },
                         seconds(4)));
  CHECK(fixture.RunUntil(
      [this] { return CountFailures("GET", "/lookup/") == 0; }, seconds(4)));
  fixture.CheckRecord();
}

// Guards against a host that keeps what a faulty upstream sends without end,
// and is killed for its use of memory.
TEST(EntryFaulty, ResponseHeadsWithoutEndDoNotExhaustTheHostsMemory) {
  CheckMemoryHolds("HTTP/1.1 200 OK\r\nx-endless: ", SIZE_MAX);
}

TEST(EntryFaulty, ResponseBodiesWithoutEndDoNotExhaustTheHostsMemory) {
  CheckMemoryHolds("HTTP/1.1 200 OK\r\ncontent-type: text/plain\r\n\r\n",
                   SIZE_MAX);
}

TEST(EntryFaulty, ChunkedBodiesWithoutEndDoNotExhaustTheHostsMemory) {
  CheckMemoryHolds(
      "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n7fffffff\r\n",
      SIZE_MAX);
}

// Bodies that stay below the limit of one response are kept until the deadline,
// many at a time.
TEST(EntryFaulty, ManyUnfinishedResponsesDoNotExhaustTheHostsMemory) {
  CheckMemoryHolds("HTTP/1.1 200 OK\r\ncontent-type: text/plain\r\n\r\n",
                   900 * 1024);
}

// Guards against the end of the process that reads a response, with the
// requests of all its callers, by a stated length that no body has.
TEST(EntryFaulty, AnAbsurdStatedLengthEndsNoProcess) {
  const auto odd = StartWithOddUpstream();
  for (const char* framing : {"content-length: 9223372036854775807\r\n",
                              "content-length: 18446744073709551615\r\n",
                              "content-length: 1099511627776\r\n",
                              "transfer-encoding: chunked\r\n\r\n"
                              "7fffffffffffffff\r\n"}) {
    odd->Answer("HTTP/1.1 200 OK", framing);
    const int before = odd->requests();
    const CallerResponse response =
        fixture.SendAndWait(Host(1), "POST", "/charge/a", -1, "one");
    CheckHostsRun();
    LONGS_EQUAL_TEXT(before + 1, odd->requests(), framing);
    LONGS_EQUAL_TEXT(502, response.status, framing);
  }
}

// Guards against a status that is none, which callers got as an answer. The
// upstream may have run the request.
TEST(EntryFaulty, AStatusThatIsNoneIsNotHandedToCallers) {
  const auto odd = StartWithOddUpstream();
  for (const char* status_line :
       {"HTTP/1.1 000 None", "HTTP/1.1 099 Low", "HTTP/1.1 600 High",
        "HTTP/1.1 999 High", "HTTP/1.1 20 OK", "HTTP/1.1 2000 OK",
        "HTTP/1.1 abc OK", "HTTP/1.1", "HTTP/1.1 101 Switching Protocols",
        "HTTP/1.1 103 Early Hints"}) {
    for (const char* framing : {"content-length: 3\r\n", ""}) {
      odd->Answer(status_line, framing);
      const int before = odd->requests();
      const CallerResponse response =
          fixture.SendAndWait(Host(1), "POST", "/charge/a", -1, "one");
      CHECK_TEXT(odd->requests() > before, status_line);
      LONGS_EQUAL_TEXT(502, response.status, status_line);
    }
  }
  CheckHostsRun();
}

// Guards against a success without its proof, which callers got as an answer.
// The upstream may have run the request, so one that is not idempotent is sent
// once and the caller is not told that it has not run.
TEST(EntryFaulty, ASuccessWithoutItsProofIsNotHandedToCallers) {
  const auto odd = StartWithOddUpstream();
  const auto check = [&](const char* status_line, const char* signature_line,
                         int expected) {
    odd->Answer(status_line, "content-length: 3\r\n", signature_line);
    const int before = odd->requests();
    const CallerResponse response =
        fixture.SendAndWait(Host(1), "POST", "/charge/a", -1, "one");
    LONGS_EQUAL_TEXT(before + 1, odd->requests(), signature_line);
    LONGS_EQUAL_TEXT(expected, response.status, status_line);
  };
  for (const char* signature_line :
       {"", "x-response-signature: \r\n", "x-resqonse-signature: s\r\n",
        "x-response-signature: s\r\nx-response-signature: t\r\n",
        "x-response-signature: s\r\nx-not-executed: 1\r\n"}) {
    check("HTTP/1.1 200 OK", signature_line, 502);
    check("HTTP/1.1 201 Created", signature_line, 502);
  }
  check("HTTP/1.1 200 OK", "x-response-signature: s\r\n", 200);
  check("HTTP/1.1 500 Internal Server Error", "", 500);
  check("HTTP/1.1 404 Not Found", "", 404);
  CheckHostsRun();
}

// Guards against a part of a response that callers got as a whole one: the
// upstream reset the connection while a long body was being sent to it.
TEST(EntryFaulty, AResponseThatAResetCutsDuringAnUploadIsNotHandedToCallers) {
  const SocketAddress address = StartWithOtherUpstream();
  const ResettingUpstream upstream(address);
  nlohmann::json configuration = fixture.Configuration(2);
  configuration["limits"]["maxBodyBytes"] = kUploadBytes;
  fixture.store->Put("config", "main", configuration);
  fixture.RunFor(kChangeDeadline);
  const std::string body(kUploadBytes, 'x');
  for (int i = 0; i < kUploads; ++i) {
    const CallerResponse response =
        fixture.SendAndWait(Host(1), "POST", "/charge/a", -1, body, seconds(5));
    LONGS_EQUAL(502, response.status);
    LONGS_EQUAL(i + 1, upstream.responses());
  }
  CheckHostsRun();
}

}  // namespace
}  // namespace mimosadeal
