// Tests of malformed input on every port. The host must respond with an error
// or close the connection, and keep serving.

#include <CppUTest/TestHarness.h>
#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <string>

#include "common/ids.h"
#include "inner/frame.h"
#include "inner/messages.h"
#include "net/socket_address.h"
#include "test_fixture.h"

namespace mimosadeal {
namespace {

using std::chrono::seconds;

constexpr uint64_t kSeed = 99;

// A blocking connection that sends raw bytes.
class RawConnection {
 public:
  explicit RawConnection(const std::string& address) {
    const NativeAddress native =
        ToNative(ParseSocketAddress(address).value()).value();
    fd_ = socket(AF_INET, SOCK_STREAM, 0);
    timeval timeout{12, 0};
    setsockopt(fd_, SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof(timeout));
    connected_ =
        connect(fd_, reinterpret_cast<const sockaddr*>(&native.storage),
                native.length) == 0;
  }
  ~RawConnection() { close(fd_); }
  RawConnection(const RawConnection&) = delete;
  RawConnection& operator=(const RawConnection&) = delete;

  bool connected() const { return connected_; }
  void Send(const std::string& data) {
    (void)!send(fd_, data.data(), data.size(), MSG_NOSIGNAL);
  }

  // Returns what arrives until the host closes the connection. `closed` is
  // false if the host sends nothing for 12 s instead.
  std::string ReadToEnd(bool& closed) {
    std::string all;
    char buffer[4096];
    while (true) {
      const ssize_t count = recv(fd_, buffer, sizeof(buffer), 0);
      if (count <= 0) {
        closed = count == 0 || (errno != EAGAIN && errno != EWOULDBLOCK);
        return all;
      }
      all.append(buffer, static_cast<size_t>(count));
      if (all.size() > 1000000) return all;
    }
  }

 private:
  int fd_ = -1;
  bool connected_ = false;
};

TEST_GROUP(BadInput){};

// Sends `data` on a new connection and returns the response's status line.
std::string StatusLineOf(const std::string& address, const std::string& data) {
  RawConnection connection(address);
  connection.Send(data);
  bool closed = false;
  const std::string response = connection.ReadToEnd(closed);
  return response.substr(0, response.find('\r'));
}

void CheckStillServes(TestFixture& fixture) {
  for (const EntryHost& host : fixture.deployment().hosts()) {
    LONGS_EQUAL(200, fixture.Lookup(host, "1").status);
  }
}

TEST(BadInput, MalformedHttpIsRefusedOrClosed) {
  TestFixture fixture(YardLayout({"a"}, 2, 1));
  fixture.Start();
  const std::string& callers = fixture.deployment().hosts()[0].callers;
  const std::string close = "Connection: close\r\n\r\n";
  STRCMP_CONTAINS(
      "404",
      StatusLineOf(callers, "GET /nothing HTTP/1.1\r\nHost: x\r\n" + close)
          .c_str());
  STRCMP_CONTAINS(
      "411", StatusLineOf(
                 callers,
                 "POST /yard/lots/1 HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: "
                 "chunked\r\n" +
                     close)
                 .c_str());
  STRCMP_CONTAINS(
      "413",
      StatusLineOf(callers,
                   "POST /yard/lots/1 HTTP/1.1\r\nHost: x\r\nContent-Length: "
                   "999999999\r\n" +
                       close)
          .c_str());
  STRCMP_CONTAINS(
      "400",
      StatusLineOf(callers,
                   "POST /yard/lots/1 HTTP/1.1\r\nHost: x\r\nContent-Length: "
                   "many\r\n" +
                       close)
          .c_str());
  // These bytes are not HTTP, so the host closes the connection.
  for (const std::string& data :
       {std::string("\x01\x02\x03\x04garbage\r\n\r\n"),
        std::string(100000, 'x')}) {
    RawConnection connection(callers);
    connection.Send(data);
    bool closed = false;
    connection.ReadToEnd(closed);
    CHECK_TRUE(closed);
  }
  CheckStillServes(fixture);
}

TEST(BadInput, ACallerThatSendsSlowlyIsDisconnected) {
  TestFixture fixture(YardLayout({"a"}, 1, 1));
  fixture.Start();
  RawConnection half_headers(fixture.deployment().hosts()[0].callers);
  half_headers.Send("GET /yard/lots/1 HTTP/1.1\r\nHost: x\r\n");
  RawConnection half_body(fixture.deployment().hosts()[0].callers);
  half_body.Send(
      "POST /yard/lots/1 HTTP/1.1\r\nHost: x\r\nIdempotency-Key: "
      "k\r\nContent-Length: 100\r\n\r\nhalf");
  bool closed = false;
  half_headers.ReadToEnd(closed);
  CHECK_TRUE(closed);
  half_body.ReadToEnd(closed);
  CHECK_TRUE(closed);
  CheckStillServes(fixture);
}

TEST(BadInput, GarbageOnTheInnerPortsIsDropped) {
  TestFixture fixture(YardLayout({"a"}, 2, 1));
  fixture.Start();
  const std::string& inner = fixture.deployment().hosts()[0].inner;
  Random random(kSeed);
  std::string wrong_version;
  AppendFrame(MessageType::kHello, EncodeBody(Hello{"h"}), wrong_version);
  wrong_version[2] = 9;
  std::string huge_length;
  AppendFrame(MessageType::kHello, EncodeBody(Hello{"h"}), huge_length);
  huge_length[7] = '\x7F';
  std::string bad_body;
  AppendFrame(MessageType::kTableReply, "\xFF\xFF\xFF\xFFxx", bad_body);
  for (const std::string& data : {std::string("GET / HTTP/1.1\r\n\r\n"),
                                  wrong_version, huge_length, bad_body}) {
    RawConnection connection(inner);
    connection.Send(data);
    bool closed = false;
    connection.ReadToEnd(closed);
    CHECK_TRUE(closed);
  }
  // Datagrams with a valid header and a random body.
  const int udp = socket(AF_INET, SOCK_DGRAM, 0);
  const NativeAddress native =
      ToNative(ParseSocketAddress(inner).value()).value();
  for (int i = 0; i < 2000; ++i) {
    std::string body(random.Below(200), '\0');
    for (char& c : body) c = static_cast<char>(random.Next());
    std::string frame;
    AppendFrame(static_cast<MessageType>(2 + random.Below(3)), body, frame);
    sendto(udp, frame.data(), frame.size(), 0,
           reinterpret_cast<const sockaddr*>(&native.storage), native.length);
  }
  close(udp);
  CheckStillServes(fixture);
}

TEST(BadInput, TheOperatorsInterfaceReportsInvalidRequests) {
  TestFixture fixture(YardLayout({"a"}, 1, 1));
  fixture.Start();
  const std::string& operators = fixture.deployment().hosts()[0].operators;
  ClientRequest patch{"PATCH", "/configuration", {}, "{}", seconds(2)};
  LONGS_EQUAL(428, fixture.client().Call(operators, patch).status);
  patch.headers = {{"if-match", "1"}};
  LONGS_EQUAL(428, fixture.client().Call(operators, patch).status);
  patch.headers.push_back({"mimosa-patch-id", "x"});
  patch.body = "not JSON";
  LONGS_EQUAL(400, fixture.client().Call(operators, patch).status);
  LONGS_EQUAL(404, fixture.client()
                       .Call(operators, {"GET", "/nowhere", {}, "", seconds(2)})
                       .status);
  LONGS_EQUAL(
      404, fixture.client()
               .Call(operators, {"GET", "/owner/nothing/1", {}, "", seconds(2)})
               .status);
  LONGS_EQUAL(405,
              fixture.client()
                  .Call(operators, {"POST", "/status", {}, "x", seconds(2)})
                  .status);
}

}  // namespace
}  // namespace mimosadeal
