#include "inner/inner_transport.h"

#include <CppUTest/TestHarness.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <functional>
#include <list>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "net/event_loop.h"
#include "net/tcp_stream.h"

namespace mimosadeal {
namespace {

const SocketAddress kAddress = {"127.0.0.1", 18931};
constexpr int kMaxIterations = 100;
// More than the kernel takes for a peer that does not read.
constexpr size_t kLongBodyBytes = 16 * 1024 * 1024;
// Within this time a transfer that stopped is given up.
constexpr Duration kStallLimit = std::chrono::seconds(8);
constexpr int kSmallReceiveBuffer = 4096;
// Of an ordinary network. With loopback's own the kernel takes more.
constexpr int kSegmentBytes = 1400;

// An address to which connections open, and which reads nothing by itself.
class UnreadPeer {
 public:
  explicit UnreadPeer(uint16_t number) {
    address_ = {kAddress.ip, static_cast<uint16_t>(kAddress.port + number)};
    const auto listening = ListenTcp(address_);
    CHECK(listening.has_value());
    listening_ = listening.value();
    setsockopt(listening_, SOL_SOCKET, SO_RCVBUF, &kSmallReceiveBuffer,
               sizeof(kSmallReceiveBuffer));
    setsockopt(listening_, IPPROTO_TCP, TCP_MAXSEG, &kSegmentBytes,
               sizeof(kSegmentBytes));
  }
  ~UnreadPeer() {
    close(listening_);
    if (fd_ >= 0) close(fd_);
  }
  UnreadPeer(const UnreadPeer&) = delete;
  UnreadPeer& operator=(const UnreadPeer&) = delete;

  const SocketAddress& address() const { return address_; }
  // Returns how much it read of what has arrived.
  size_t Read() {
    if (fd_ < 0) fd_ = accept4(listening_, nullptr, nullptr, SOCK_NONBLOCK);
    std::array<char, 65536> buffer;
    const ssize_t count = recv(fd_, buffer.data(), buffer.size(), 0);
    return count > 0 ? static_cast<size_t>(count) : 0;
  }

 private:
  SocketAddress address_;
  int listening_ = -1;
  int fd_ = -1;
};

std::unique_ptr<InnerTransport> ListenForBodies(
    EventLoop& loop, uint16_t number, std::vector<ConnectionId>& disconnected) {
  InnerTransportOptions options;
  options.address = {kAddress.ip,
                     static_cast<uint16_t>(kAddress.port + number)};
  options.limits = {2 * kLongBodyBytes, 2 * kLongBodyBytes};
  InnerTransportHandlers handlers;
  handlers.on_frame = [](ConnectionId, const Frame&) {};
  handlers.on_datagram = [](const Frame&) {};
  handlers.on_disconnected = [&](ConnectionId id) {
    disconnected.push_back(id);
  };
  auto made = InnerTransport::Listen(loop, options, std::move(handlers));
  CHECK(made.has_value());
  return std::move(made.value());
}

void RunUntil(EventLoop& loop, const std::function<bool()>& done,
              Duration limit) {
  const MonotonicTime end = loop.timers().now() + limit;
  const auto tick = loop.timers().Every(std::chrono::milliseconds(5), [] {});
  while (!done() && loop.timers().now() < end) loop.RunOnce();
  loop.timers().Cancel(tick);
}

InnerTransportOptions OptionsFor(uint16_t number) {
  InnerTransportOptions options;
  options.address = {kAddress.ip,
                     static_cast<uint16_t>(kAddress.port + number)};
  options.limits = {1024 * 1024, 64 * 1024};
  return options;
}

// Returns a connection to the address that ignores what it receives.
std::unique_ptr<TcpStream> ConnectPeer(EventLoop& loop,
                                       const SocketAddress& address) {
  auto stream = TcpStream::Connect(
      loop, address, {nullptr, [](std::string_view) {}, [](StreamEnd) {}});
  CHECK(stream.has_value());
  return std::move(stream.value());
}

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
  auto stream = ConnectPeer(loop, options.address);
  std::string bytes;
  AppendFrame(MessageType::kHello, EncodeBody(Hello{"peer"}), bytes);
  stream->Write(bytes + "no frame at all");
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
  const InnerTransportOptions options = OptionsFor(1);
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
  auto stream = ConnectPeer(loop, options.address);
  std::string bytes;
  for (const size_t length : {10, 300'000, 20, 200'000, 30})
    AppendFrame(MessageType::kRelayRequest, std::string(length, 'x'), bytes);
  stream->Write(bytes);
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
  const InnerTransportOptions options = OptionsFor(2);
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
  auto stream = ConnectPeer(loop, options.address);
  std::string bytes;
  AppendFrame(MessageType::kHello, EncodeBody(Hello{"peer"}), bytes);
  stream->Write(bytes);
  const auto tick = loop.timers().Every(std::chrono::milliseconds(5), [] {});
  for (int i = 0; i < kMaxIterations && reports.empty(); ++i) loop.RunOnce();
  AppendFrame(MessageType::kRelayRequest, std::string(300'000, 'x'), bytes);
  bytes.resize(bytes.size() - 290'000);
  loop.timers().After(Duration::zero(), [&] {
    stream->Write(bytes);
    made.value()->Disconnect(connection);
  });
  for (int i = 0; i < 5; ++i) loop.RunOnce();
  loop.timers().Cancel(tick);
  CHECK(reports == std::vector<std::string>({"frame", "disconnected"}));
}

// Bodies that were queued to a peer that read nothing were kept until it read
// again.
TEST(InnerTransport, BodiesForAPeerThatReadsNothingAreReleased) {
  EventLoop loop({64, 16, 8192});
  UnreadPeer peer(3);
  std::vector<ConnectionId> disconnected;
  auto made = ListenForBodies(loop, 4, disconnected);
  const ConnectionId id = made->ConnectionTo(peer.address().ToString());
  auto body = std::make_shared<const std::string>(kLongBodyBytes, 'x');
  const std::weak_ptr<const std::string> queued = body;
  CHECK(made->SendShared(id, RelayRequest{}, body, FrameLimit::kBacklog));
  body.reset();
  RunUntil(
      loop, [&] { return queued.expired(); }, kStallLimit);
  CHECK(queued.expired());
  CHECK(disconnected == std::vector<ConnectionId>({id}));
}

// A host that was frozen must not lose the short messages that were queued for
// it meanwhile.
TEST(InnerTransport, ShortMessagesForAPeerThatReadsNothingAreKept) {
  constexpr size_t messages = 4000;
  EventLoop loop({64, 16, 8192});
  UnreadPeer peer(5);
  std::vector<ConnectionId> disconnected;
  auto made = ListenForBodies(loop, 6, disconnected);
  const ConnectionId id = made->ConnectionTo(peer.address().ToString());
  const Hello message{std::string(1000, 'x')};
  for (size_t i = 0; i < messages; ++i) CHECK(made->Send(id, message));
  RunUntil(
      loop, [] { return false; }, kStallLimit);
  CHECK(disconnected.empty());
  const size_t expected =
      kFrameHeaderBytes + EncodeBody(Hello{}).size() +
      messages * (kFrameHeaderBytes + EncodeBody(message).size());
  size_t read = 0;
  RunUntil(
      loop, [&] { return (read += peer.Read()) == expected; }, kStallLimit);
  LONGS_EQUAL(expected, read);
}

// As above, if it was frozen in the midst of a long message. That this host was
// frozen itself shows nothing of the peer.
TEST(InnerTransport, ALongFrameThatStopsArrivingIsGivenUpAndTheNextOneRead) {
  EventLoop loop({64, 16, 8192});
  std::vector<size_t> silent;
  std::vector<size_t> read;
  int disconnected = 0;
  const InnerTransportOptions options = OptionsFor(7);
  InnerTransportHandlers handlers;
  handlers.on_frame = [&](ConnectionId, const Frame& frame) {
    read.push_back(frame.body.size());
  };
  handlers.on_datagram = [](const Frame&) {};
  handlers.on_disconnected = [&](ConnectionId) { ++disconnected; };
  handlers.on_silent_frame = [&](ConnectionId, const FrameStart& start,
                                 std::string_view begun) {
    LONGS_EQUAL(100, begun.size());
    silent.push_back(start.body_bytes);
    return start.body_bytes == 300'000;
  };
  auto made = InnerTransport::Listen(loop, options, std::move(handlers));
  CHECK(made.has_value());
  std::list<std::unique_ptr<TcpStream>> peers;
  std::list<std::string> rests;
  for (const size_t length : {300'000, 200'000}) {
    auto stream = ConnectPeer(loop, options.address);
    std::string bytes;
    AppendFrame(MessageType::kRelayRequest, std::string(length, 'x'), bytes);
    AppendFrame(MessageType::kRelayRequest, std::string(length / 1000, 'x'),
                bytes);
    const size_t begun = kFrameHeaderBytes + 100;
    stream->Write(bytes.substr(0, begun));
    peers.push_back(std::move(stream));
    rests.push_back(bytes.substr(begun));
  }
  RunUntil(
      loop, [] { return false; }, std::chrono::seconds(1));
  std::this_thread::sleep_for(kStallLimit);
  RunUntil(
      loop, [] { return false; }, std::chrono::seconds(1));
  CHECK(silent.empty());
  RunUntil(
      loop, [&] { return silent.size() == 2; }, kStallLimit);
  std::sort(silent.begin(), silent.end());
  CHECK(silent == std::vector<size_t>({200'000, 300'000}));
  for (const auto& peer : peers) {
    peer->Write(rests.front());
    rests.pop_front();
  }
  RunUntil(
      loop, [&] { return read.size() == 3; }, kStallLimit);
  std::sort(read.begin(), read.end());
  CHECK(read == std::vector<size_t>({200, 300, 200'000}));
  LONGS_EQUAL(0, disconnected);
}

}  // namespace
}  // namespace mimosadeal
