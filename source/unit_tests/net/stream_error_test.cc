// Tests of connections for which poll(2) reports an error without input, as for
// a reset that arrives while the loop polls. Timestamps in the error queue of
// the socket bring this about at a known moment.
#include <CppUTest/TestHarness.h>
#include <arpa/inet.h>
#include <linux/errqueue.h>
#include <linux/net_tstamp.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <memory>
#include <string>

#include "inner/peer_connection.h"
#include "net/event_loop.h"
#include "net/tcp_stream.h"

namespace mimosadeal {
namespace {

constexpr int kMaxIterations = 50;
constexpr size_t kMoreThanTheKernelTakes = 32 * 1024 * 1024;

// The two ends of a TCP connection; the test owns both descriptors.
struct TcpPair {
  TcpPair() {
    const int listener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t length = sizeof(address);
    auto* raw = reinterpret_cast<sockaddr*>(&address);
    CHECK_EQUAL(0, bind(listener, raw, length));
    CHECK_EQUAL(0, listen(listener, 1));
    getsockname(listener, raw, &length);
    near = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    CHECK_EQUAL(0, connect(near, raw, length));
    far = accept4(listener, nullptr, nullptr, SOCK_CLOEXEC | SOCK_NONBLOCK);
    close(listener);
  }

  int near = -1;
  int far = -1;
};

// Makes the next bytes that are sent on `fd` leave an entry in its error queue.
void RaiseErrorOnSend(int fd) {
  const int flags = SOF_TIMESTAMPING_TX_SCHED | SOF_TIMESTAMPING_TX_SOFTWARE |
                    SOF_TIMESTAMPING_SOFTWARE;
  CHECK_EQUAL(
      0, setsockopt(fd, SOL_SOCKET, SO_TIMESTAMPING, &flags, sizeof(flags)));
}

std::string ReadAvailable(int fd) {
  std::array<char, 256> buffer;
  const ssize_t count = recv(fd, buffer.data(), buffer.size(), MSG_DONTWAIT);
  return count > 0 ? std::string(buffer.data(), static_cast<size_t>(count))
                   : std::string();
}

// A stream, with what was received and how it ended.
struct ReadingStream {
  ReadingStream(EventLoop& loop, int fd)
      : stream(loop, fd,
               {nullptr, [this](std::string_view bytes) { received += bytes; },
                [this](StreamEnd end) {
                  ended = true;
                  how = end;
                }}) {}

  std::string received;
  bool ended = false;
  StreamEnd how = StreamEnd::kNone;
  TcpStream stream;
};

// Resets the connection.
void Reset(int fd) {
  const linger reset_on_close = {1, 0};
  setsockopt(fd, SOL_SOCKET, SO_LINGER, &reset_on_close,
             sizeof(reset_on_close));
  close(fd);
}

TEST_GROUP(StreamError) {
  EventLoop loop{{64, 16, 4096}};

  void RunUntil(const bool& done) {
    bool late = false;
    loop.timers().After(std::chrono::seconds(2), [&late] { late = true; });
    for (int i = 0; i < kMaxIterations && !done && !late; ++i) {
      loop.timers().After(std::chrono::milliseconds(2), [] {});
      loop.RunOnce();
    }
  }
};

// Guards against requests that reach another caller: a stream must not send on
// the number of its closed descriptor, which belongs to another connection.
TEST(StreamError, AStreamClosedByTheLoopEndsAndSendsNothingOnItsFormerNumber) {
  TcpPair connection;
  RaiseErrorOnSend(connection.near);
  bool ended = false;
  TcpStream stream(loop, connection.near,
                   {nullptr, [](std::string_view) {},
                    [&ended](StreamEnd) { ended = true; }});
  stream.Write("first");
  RunUntil(ended);
  const TcpPair next;
  stream.Write("POST /grant");
  STRCMP_EQUAL("", ReadAvailable(next.far).c_str());
  STRCMP_EQUAL("", ReadAvailable(next.near).c_str());
  CHECK(ended);
  CHECK(stream.PeerHasClosed());
  for (const int fd : {next.near, next.far, connection.far}) close(fd);
}

// Guards against a part of a response that passes for a whole one: a send that
// fails takes the reset's error, and the stream then seems to end in order.
TEST(StreamError, AResetThatASendHasMetIsNoOrderlyEnd) {
  TcpPair connection;
  ReadingStream near(loop, connection.near);
  CHECK_EQUAL(4, send(connection.far, "part", 4, MSG_NOSIGNAL));
  Reset(connection.far);
  near.stream.Write("first");
  near.stream.Write("second");
  RunUntil(near.ended);
  STRCMP_EQUAL("reset", std::string(StreamEndName(near.how)).c_str());
  STRCMP_EQUAL("part", near.received.c_str());
}

// Guards against a complete response that is lost: the peer responds to a long
// request early, and resets the connection on which more is to be sent.
TEST(StreamError, WhatArrivedBeforeAResetIsReadAlthoughOutputIsQueued) {
  TcpPair connection;
  ReadingStream near(loop, connection.near);
  near.stream.Write(std::string(kMoreThanTheKernelTakes, 'x'));
  CHECK(near.stream.queued_bytes() > 0);
  CHECK_EQUAL(5, send(connection.far, "whole", 5, MSG_NOSIGNAL));
  Reset(connection.far);
  RunUntil(near.ended);
  STRCMP_EQUAL("whole", near.received.c_str());
  STRCMP_EQUAL("reset", std::string(StreamEndName(near.how)).c_str());
}

// Guards against a connection to another host that stays in use although
// nothing is sent on it any more.
TEST(StreamError, APeerConnectionClosedByTheLoopIsReportedAsClosed) {
  TcpPair connection;
  RaiseErrorOnSend(connection.near);
  bool closed = false;
  PeerConnection peer(
      loop, connection.near, {4096, 4096},
      {[](const Frame&) {}, [&closed](const Error&) { closed = true; }});
  CHECK(peer.Send(MessageType::kHello, "first"));
  RunUntil(closed);
  CHECK(closed);
  CHECK_FALSE(peer.Send(MessageType::kHello, "second"));
  close(connection.far);
}

// Guards against grants that arrive after their host has given them up: the
// kernel sent what was left until the loop closed the socket.
TEST(StreamError, NothingIsSentAfterAStreamThatDiscardsItsOutputHasEnded) {
  TcpPair connection;
  ReadingStream near(loop, connection.near);
  near.stream.DiscardUnsentOnClose();
  near.stream.Write(std::string(kMoreThanTheKernelTakes, 'x'));
  CHECK_EQUAL(0, shutdown(connection.far, SHUT_WR));
  RunUntil(near.ended);
  CHECK(near.ended);
  std::array<char, 4096> buffer;
  ssize_t count = 0;
  do {
    count = recv(connection.far, buffer.data(), buffer.size(), MSG_DONTWAIT);
  } while (count > 0);
  LONGS_EQUAL(-1, count);
  LONGS_EQUAL(ECONNRESET, errno);
  close(connection.far);
}

// A host that has stopped must not go on sending for the default of 2 s.
TEST(StreamError, TheKernelLimitsTheDelivery) {
  TcpPair connection;
  ReadingStream near(loop, connection.near);
  near.stream.LimitDelivery(std::chrono::milliseconds(700));
  unsigned limit_ms = 0;
  socklen_t length = sizeof(limit_ms);
  CHECK_EQUAL(0, getsockopt(connection.near, IPPROTO_TCP, TCP_USER_TIMEOUT,
                            &limit_ms, &length));
  LONGS_EQUAL(700, limit_ms);
  close(connection.far);
}

}  // namespace
}  // namespace mimosadeal
