// Tests of FdWatch.
#include "net/fd_watch.h"

#include <CppUTest/TestHarness.h>
#include <fcntl.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <string>

#include "net/event_loop.h"

namespace mimosadeal {
namespace {

constexpr size_t kBytes = 2 * 1024 * 1024;
constexpr int kMaxIterations = 20000;

TEST_GROUP(FdWatch) { EventLoop loop{{64, 16, 4096}}; };

// libwebsockets ignores a request for a writable callback that is made during
// this callback. FdWatch::RunWritableCallback defers such a request, or the
// writer would stop after its first call.
TEST(FdWatch, AWriterThatRequestsFurtherCallbacksSendsEverything) {
  std::array<int, 2> sockets{};
  CHECK_EQUAL(
      0, socketpair(AF_UNIX, SOCK_STREAM | SOCK_NONBLOCK, 0, sockets.data()));
  const std::string bytes(kBytes, 'x');
  size_t sent = 0;
  size_t received = 0;
  std::unique_ptr<FdWatch> writer;
  writer = std::make_unique<FdWatch>(
      loop, sockets[0],
      FdWatch::Callbacks{[] {},
                         [&] {
                           const ssize_t count =
                               send(sockets[0], bytes.data() + sent,
                                    kBytes - sent, MSG_NOSIGNAL);
                           if (count > 0) sent += static_cast<size_t>(count);
                           if (sent < kBytes) writer->RequestWritable();
                         }});
  FdWatch reader(loop, sockets[1],
                 {[&] {
                    std::array<char, 64 * 1024> buffer;
                    const ssize_t count =
                        recv(sockets[1], buffer.data(), buffer.size(), 0);
                    if (count > 0) received += static_cast<size_t>(count);
                  },
                  nullptr});
  bool late = false;
  loop.timers().After(std::chrono::seconds(5), [&] { late = true; });
  writer->RequestWritable();
  for (int i = 0; i < kMaxIterations && received < kBytes && !late; ++i)
    loop.RunOnce();
  CHECK_EQUAL(kBytes, received);
}

// Guards against the use of another connection's descriptor: libwebsockets
// closes a descriptor with an error but no input by itself, and the kernel
// gives its number to the next one.
TEST(FdWatch, ADescriptorThatLibwebsocketsClosesIsReportedAndNotNamedAnyMore) {
  std::array<int, 2> ends{};
  CHECK_EQUAL(0, pipe2(ends.data(), O_NONBLOCK | O_CLOEXEC));
  int closed = 0;
  FdWatch writer(loop, ends[1], {[] {}, nullptr, [&](int) { ++closed; }});
  loop.timers().Every(std::chrono::milliseconds(5), [] {});
  loop.RunOnce();
  close(ends[0]);
  for (int i = 0; i < 10 && closed == 0; ++i) loop.RunOnce();
  CHECK_EQUAL(1, closed);
  CHECK_EQUAL(-1, writer.fd());
  writer.RequestWritable();
  loop.RunOnce();
  CHECK_EQUAL(1, closed);
}

}  // namespace
}  // namespace mimosadeal
