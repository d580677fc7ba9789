#include "inner/inner_transport.h"

#include <CppUTest/TestHarness.h>

#include <string>
#include <vector>

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

// A frame that found no room ended the connection and what else was on it.
TEST(InnerTransport, AFrameThatIsNotReadIsDroppedAndTheNextOneRead) {
  EventLoop loop({64, 16, 8192});
  std::vector<size_t> announced;
  std::vector<size_t> read;
  InnerTransportOptions options;
  options.address = {kAddress.ip, static_cast<uint16_t>(kAddress.port + 1)};
  options.limits = {1024 * 1024, 64 * 1024};
  InnerTransportHandlers handlers;
  handlers.on_frame = [&](ConnectionId, const Frame& frame) {
    read.push_back(frame.body.size());
  };
  handlers.on_datagram = [](const Frame&) {};
  handlers.on_disconnected = [](ConnectionId) {};
  handlers.on_long_frame = [&](ConnectionId, const FrameStart& start,
                               std::string_view) {
    announced.push_back(start.body_bytes);
    return std::optional<bool>(start.body_bytes != 300'000);
  };
  auto made = InnerTransport::Listen(loop, options, std::move(handlers));
  CHECK(made.has_value());
  TcpStreamHandlers peer;
  peer.on_data = [](std::string_view) {};
  peer.on_end = [](StreamEnd) {};
  auto stream = TcpStream::Connect(loop, options.address, std::move(peer));
  CHECK(stream.has_value());
  std::string bytes;
  for (const size_t length : {10, 300'000, 20, 200'000, 30})
    AppendFrame(MessageType::kRelayRequest, std::string(length, 'x'), bytes);
  stream.value()->Write(bytes);
  const auto tick = loop.timers().Every(std::chrono::milliseconds(5), [] {});
  for (int i = 0; i < kMaxIterations && read.size() < 4; ++i) loop.RunOnce();
  loop.timers().Cancel(tick);
  CHECK(announced == std::vector<size_t>({300'000, 200'000}));
  CHECK(read == std::vector<size_t>({10, 20, 200'000, 30}));
}

// A connection was read once more after it had been disconnected: what was held
// for a long frame that began then stayed held.
TEST(InnerTransport, AConnectionThatWasDisconnectedReportsNothingMore) {
  EventLoop loop({64, 16, 8192});
  std::vector<std::string> reports;
  ConnectionId connection = kNoConnection;
  InnerTransportOptions options;
  options.address = {kAddress.ip, static_cast<uint16_t>(kAddress.port + 2)};
  options.limits = {1024 * 1024, 64 * 1024};
  InnerTransportHandlers handlers;
  handlers.on_frame = [&](ConnectionId id, const Frame&) {
    connection = id;
    reports.emplace_back("frame");
  };
  handlers.on_datagram = [](const Frame&) {};
  handlers.on_disconnected = [&](ConnectionId) {
    reports.emplace_back("disconnected");
  };
  handlers.on_long_frame = [&](ConnectionId, const FrameStart&,
                               std::string_view) {
    reports.emplace_back("long frame");
    return std::optional<bool>(true);
  };
  auto made = InnerTransport::Listen(loop, options, std::move(handlers));
  CHECK(made.has_value());
  TcpStreamHandlers peer;
  peer.on_data = [](std::string_view) {};
  peer.on_end = [](StreamEnd) {};
  auto stream = TcpStream::Connect(loop, options.address, std::move(peer));
  CHECK(stream.has_value());
  std::string bytes;
  AppendFrame(MessageType::kHello, EncodeBody(Hello{"peer"}), bytes);
  stream.value()->Write(bytes);
  const auto tick = loop.timers().Every(std::chrono::milliseconds(5), [] {});
  for (int i = 0; i < kMaxIterations && reports.empty(); ++i) loop.RunOnce();
  AppendFrame(MessageType::kRelayRequest, std::string(300'000, 'x'), bytes);
  bytes.resize(bytes.size() - 290'000);
  loop.timers().After(Duration::zero(), [&] {
    stream.value()->Write(bytes);
    made.value()->Disconnect(connection);
  });
  for (int i = 0; i < 5; ++i) loop.RunOnce();
  loop.timers().Cancel(tick);
  CHECK(reports == std::vector<std::string>({"frame", "disconnected"}));
}

}  // namespace
}  // namespace mimosadeal
