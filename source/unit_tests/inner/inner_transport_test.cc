#include "inner/inner_transport.h"

#include <CppUTest/TestHarness.h>

#include "net/event_loop.h"
#include "net/tcp_stream.h"

namespace mimosadeal {
namespace {

const SocketAddress kAddress = {"127.0.0.1", 18931};
constexpr int kMaxIterations = 100;

TEST_GROUP(InnerTransport){};

// The transport looked the connection up when its failure was reported, and
// ended the process.
TEST(InnerTransport,
     AConnectionThatFailedMayBeDisconnectedBeforeThatIsReported) {
  EventLoop loop({64, 16, 8192});
  std::unique_ptr<InnerTransport> transport;
  int disconnected = 0;
  InnerTransportOptions options;
  options.address = kAddress;
  options.limits = {1024, 64 * 1024};
  InnerTransportHandlers handlers;
  handlers.on_frame = [&](ConnectionId id, const Frame&) {
    loop.Post([&transport, id] { transport->Disconnect(id); });
  };
  handlers.on_datagram = [](const Frame&) {};
  handlers.on_disconnected = [&disconnected](ConnectionId) { ++disconnected; };
  auto made = InnerTransport::Listen(loop, options, std::move(handlers));
  CHECK(made.has_value());
  transport = std::move(made.value());
  TcpStreamHandlers peer;
  peer.on_data = [](std::string_view) {};
  peer.on_end = [](StreamEnd) {};
  auto stream = TcpStream::Connect(loop, kAddress, std::move(peer));
  CHECK(stream.has_value());
  std::string bytes;
  AppendFrame(MessageType::kHello, EncodeBody(Hello{"peer"}), bytes);
  stream.value()->Write(bytes + "no frame at all");
  const auto tick = loop.timers().Every(std::chrono::milliseconds(5), [] {});
  for (int i = 0; i < kMaxIterations && disconnected == 0; ++i) loop.RunOnce();
  for (int i = 0; i < 3; ++i) loop.RunOnce();
  loop.timers().Cancel(tick);
  LONGS_EQUAL(1, disconnected);
}

}  // namespace
}  // namespace mimosadeal
