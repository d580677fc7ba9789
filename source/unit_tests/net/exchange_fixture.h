// Fixture of the tests of ExchangeServer and ExchangeClient: a server, and
// peers and callers that send raw bytes, on loopback sockets.
#pragma once

#include <CppUTest/TestHarness.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "net/event_loop.h"
#include "net/exchange_client.h"
#include "net/exchange_server.h"
#include "net/fd_watch.h"

namespace mimosadeal {

inline const SocketAddress kExchangeAddress{"127.0.4.1", 18461};
inline constexpr HttpMessageLimits kExchangeLimits = {16 * 1024,
                                                      4 * 1024 * 1024};

// Appends what has arrived to `received`. Returns what recv(2) returned last: 0
// at the end of the connection, else -1.
inline ssize_t AppendAvailable(int fd, std::string& received) {
  std::array<char, 4096> bytes{};
  ssize_t count = 1;
  while (count > 0) {
    count = recv(fd, bytes.data(), bytes.size(), MSG_DONTWAIT);
    if (count > 0) received.append(bytes.data(), static_cast<size_t>(count));
  }
  return count;
}

class ExchangeTest : public Utest {
 public:
  EventLoop loop{{128, 16, 4096}};
  std::unique_ptr<ExchangeServer> server;
  std::vector<std::pair<ExchangeId, HttpRequest>> requests;
  std::vector<ExchangeId> abandoned;

  void StartServer() {
    HttpServerHandlers handlers;
    handlers.on_request = [this](ExchangeId id, HttpRequest&& request) {
      requests.emplace_back(id, std::move(request));
    };
    handlers.on_abandoned = [this](ExchangeId id) { abandoned.push_back(id); };
    handlers.make_refusal = [](int status, const std::string&) {
      HttpResponse response;
      response.status = status;
      return response;
    };
    ExchangeServerLimits limits{kExchangeLimits,
                                std::chrono::milliseconds(1000),
                                std::chrono::milliseconds(5000), 64};
    auto made = ExchangeServer::Listen(loop, kExchangeAddress, limits,
                                       std::move(handlers));
    CHECK(made.has_value());
    server = std::move(made.value());
  }

  // Runs the loop until `done` returns true, for at most two seconds.
  bool RunUntil(const std::function<bool()>& done) {
    bool late = false;
    const TimerId timer =
        loop.timers().After(std::chrono::seconds(2), [&late] { late = true; });
    while (!done() && !late) loop.RunOnce();
    loop.timers().Cancel(timer);
    return done();
  }

  HttpResponse Ok(const std::string& id, const std::string& body) {
    HttpResponse response;
    response.headers = {{"x-request-id", id}};
    response.body = body;
    return response;
  }

  // A peer of ExchangeClient that accepts one connection and collects what it
  // receives.
  struct RawPeer {
    int listener = -1;
    int fd = -1;
    std::string received;
    bool ended = false;

    explicit RawPeer(int listening) : listener(listening) {}
    ~RawPeer() {
      if (fd >= 0) close(fd);
      close(listener);
    }
    // Accepts the connection if it is waiting, and reads what has arrived.
    void ReadAvailable() {
      if (fd < 0) fd = accept4(listener, nullptr, nullptr, SOCK_NONBLOCK);
      if (fd < 0) return;
      const ssize_t count = AppendAvailable(fd, received);
      ended = count == 0 || (errno != EAGAIN && errno != EWOULDBLOCK);
    }
    // Returns false if the connection has failed.
    bool Send(const std::string& text) {
      return send(fd, text.data(), text.size(), MSG_NOSIGNAL | MSG_DONTWAIT) >=
                 0 ||
             errno == EAGAIN;
    }
  };

  // Runs one iteration of the loop that waits for at most 1 ms.
  void RunIteration() {
    loop.timers().After(std::chrono::milliseconds(1), [] {});
    loop.RunOnce();
  }

  // Sends the request to a peer that responds with `head`, and then runs `more`
  // in each iteration of the loop until the exchange ends. Returns its result.
  ExchangeResult RequestFromPeer(ExchangeRequest request,
                                 const std::string& head,
                                 const std::function<void(RawPeer&)>& more) {
    RawPeer peer(ListenTcp(kExchangeAddress).value());
    ExchangeClient client(loop, kExchangeAddress, kExchangeLimits);
    ExchangeResult got;
    bool done = false;
    client.Start(std::move(request), [&](ExchangeResult result) {
      got = std::move(result);
      done = true;
    });
    CHECK(RunUntil([&] {
      peer.ReadAvailable();
      RunIteration();
      return !peer.received.empty();
    }));
    peer.Send(head);
    const TimerId tick =
        loop.timers().Every(std::chrono::milliseconds(1), [] {});
    CHECK(RunUntil([&] {
      more(peer);
      return done;
    }));
    loop.timers().Cancel(tick);
    return got;
  }

  // Sends a request to a peer that responds with `head` and then repeats `more`
  // without end. Returns the result of the exchange, and checks that the client
  // closes the connection after a limited number of bytes.
  ExchangeResult RequestFromEndlessPeer(const std::string& head,
                                        const std::string& more) {
    constexpr HttpMessageLimits small = {4 * 1024, 64 * 1024};
    constexpr size_t most_bytes = 8 * 1024 * 1024;
    RawPeer peer(ListenTcp(kExchangeAddress).value());
    ExchangeClient client(loop, kExchangeAddress, small);
    ExchangeResult got;
    bool done = false;
    client.Start(MakeRequest("a"), [&](ExchangeResult result) {
      got = std::move(result);
      done = true;
    });
    CHECK(RunUntil([&] {
      peer.ReadAvailable();
      RunIteration();
      return !peer.received.empty();
    }));
    peer.Send(head);
    size_t bytes_sent = 0;
    while (!done && bytes_sent < most_bytes) {
      if (!peer.Send(more)) break;
      bytes_sent += more.size();
      RunIteration();
    }
    CHECK(RunUntil([&] {
      RunIteration();
      return done;
    }));
    // The kernel's buffers add to the client's limits.
    CHECK(bytes_sent < most_bytes);
    CHECK_FALSE(client.reusable());
    return got;
  }

  // A caller of ExchangeServer that sends raw bytes and collects what it
  // receives.
  struct RawCaller {
    int fd;
    std::string received;
    bool ended = false;

    explicit RawCaller(int connected) : fd(connected) {}
    ~RawCaller() { close(fd); }
    void ReadAvailable() {
      const ssize_t count = AppendAvailable(fd, received);
      ended = ended || count == 0;
    }
    // As ReadAvailable, after at most `limit` for bytes to arrive. Returns
    // whether any did.
    bool ReadAvailableWithin(std::chrono::milliseconds limit) {
      const size_t before = received.size();
      pollfd waiting = {fd, POLLIN, 0};
      poll(&waiting, 1, static_cast<int>(limit.count()));
      ReadAvailable();
      return received.size() > before;
    }
    void Send(const std::string& text) {
      send(fd, text.data(), text.size(), MSG_NOSIGNAL);
    }
    size_t Responses() const {
      size_t count = 0;
      for (size_t at = received.find("HTTP/1.1 "); at != std::string::npos;
           at = received.find("HTTP/1.1 ", at + 1)) {
        ++count;
      }
      return count;
    }
  };

  // Returns `count` requests, every third of which has a body of `body` bytes.
  static std::string Pipelined(int count, size_t body) {
    std::string text;
    for (int i = 0; i < count; ++i) {
      const size_t length = i % 3 == 1 ? body : 0;
      text += (length == 0 ? "GET" : "PUT") + std::string(" /") +
              std::to_string(i) + " HTTP/1.1\r\nHost: h\r\ncontent-length: " +
              std::to_string(length) + "\r\n\r\n" + std::string(length, 'b');
    }
    return text;
  }

  ExchangeRequest MakeRequest(const std::string& id) {
    ExchangeRequest request;
    request.method = "GET";
    request.target = "/" + id;
    request.headers = {{"host", "h"}};
    request.timeout = std::chrono::milliseconds(1500);
    request.accepts_response = [id](const HttpResponse& response, bool) {
      return FindHeader(response.headers, "x-request-id") == id;
    };
    return request;
  }
};

}  // namespace mimosadeal
