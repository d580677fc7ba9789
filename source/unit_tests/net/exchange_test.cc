// Tests of ExchangeServer and ExchangeClient over loopback sockets.
#include "exchange_fixture.h"

namespace mimosadeal {
namespace {

using std::chrono::milliseconds;

const SocketAddress& kAddress = kExchangeAddress;
constexpr HttpMessageLimits kLimits = kExchangeLimits;

TEST_GROUP_BASE(Exchange, ExchangeTest){};

TEST(Exchange, LargeBodiesAreTransferredOnOneReusedConnection) {
  StartServer();
  ExchangeClient client(loop, kAddress, kLimits);
  const std::string large(1024 * 1024, 'x');
  for (int i = 0; i < 3; ++i) {
    ExchangeRequest request = MakeRequest("a");
    request.method = "POST";
    request.body = large;
    std::string response_body;
    client.Start(std::move(request), [&response_body](ExchangeResult result) {
      response_body = result.response.body;
    });
    const size_t wanted = static_cast<size_t>(i) + 1;
    CHECK(RunUntil([&] { return requests.size() == wanted; }));
    CHECK(requests.back().second.body == large);
    server->Respond(requests.back().first, Ok("a", large));
    CHECK(RunUntil([&] { return response_body.size() == large.size(); }));
    CHECK(client.reusable());
  }
  LONGS_EQUAL(1, server->connection_count());
}

TEST(Exchange, PipelinedRequestsGetResponsesInOrder) {
  StartServer();
  auto fd = ConnectTcp(kAddress);
  std::string received;
  FdWatch caller(loop, fd.value(),
                 {[&] {
                    std::array<char, 4096> buffer;
                    const ssize_t count =
                        recv(fd.value(), buffer.data(), buffer.size(), 0);
                    if (count > 0)
                      received.append(buffer.data(),
                                      static_cast<size_t>(count));
                  },
                  [] {}});
  loop.RunOnce();
  const std::string text =
      "GET /1 HTTP/1.1\r\nHost: h\r\n\r\nGET /2 HTTP/1.1\r\nHost: h\r\n\r\n";
  send(fd.value(), text.data(), text.size(), MSG_NOSIGNAL);
  CHECK(RunUntil([&] { return requests.size() == 1; }));
  server->Respond(requests[0].first, Ok("1", "one"));
  CHECK(RunUntil([&] { return requests.size() == 2; }));
  STRCMP_EQUAL("/2", requests[1].second.target.c_str());
  server->Respond(requests[1].first, Ok("2", "two"));
  CHECK(RunUntil([&] { return received.find("two") != std::string::npos; }));
  CHECK(received.find("one") < received.find("two"));
}

TEST(Exchange, ADisconnectIsReportedWhileTheRequestWaits) {
  StartServer();
  ExchangeClient client(loop, kAddress, kLimits);
  client.Start(MakeRequest("a"), [](ExchangeResult) {});
  CHECK(RunUntil([&] { return requests.size() == 1; }));
  client.Abort();
  CHECK(RunUntil([&] { return abandoned.size() == 1; }));
  server->Respond(requests[0].first, Ok("a", "late"));
}

// A server whose loop is late reads a request and the end of its connection in
// the same iteration. It must not start the request.
TEST(Exchange, ARequestIsNotPassedOnIfItsCallerHasDisconnected) {
  StartServer();
  const auto client = ConnectTcp(kAddress);
  CHECK(client.has_value());
  CHECK(RunUntil([&] {
    return send(client.value(), "GET /a HTTP/1.1\r\nhost: h\r\n\r\n", 28,
                MSG_NOSIGNAL) == 28;
  }));
  close(client.value());
  loop.RunOnce();
  usleep(20'000);
  for (int i = 0; i < 5; ++i) {
    loop.timers().After(milliseconds(1), [] {});
    loop.RunOnce();
  }
  LONGS_EQUAL(0, requests.size());
}

// After a network partition, the bytes of an aborted request could still be in
// the kernel's send buffer and reach the upstream when the partition ends.
TEST(Exchange, AnAbortedRequestIsNotDeliveredLater) {
  const auto listener = ListenTcp(kAddress);
  CHECK(listener.has_value());
  ExchangeClient client(loop, kAddress, kLimits);
  ExchangeRequest request = MakeRequest("a");
  request.body = std::string(1024 * 1024, 'x');
  client.Start(std::move(request), [](ExchangeResult) {});
  int peer = -1;
  CHECK(RunUntil([&] {
    if (peer < 0)
      peer = accept4(listener.value(), nullptr, nullptr, SOCK_NONBLOCK);
    return peer >= 0;
  }));
  const TimerId later = loop.timers().After(milliseconds(50), [] {});
  loop.RunOnce();
  loop.timers().Cancel(later);
  client.Abort();
  std::array<char, 4096> bytes{};
  int ended_with = -1;
  CHECK(RunUntil([&] {
    if (ended_with >= 0) return true;
    ssize_t received = 1;
    while (received > 0) received = recv(peer, bytes.data(), bytes.size(), 0);
    if (received < 0 && errno == EAGAIN) {
      loop.timers().After(milliseconds(1), [] {});
      return false;
    }
    ended_with = received < 0 ? errno : 0;
    return true;
  }));
  close(peer);
  close(listener.value());
  LONGS_EQUAL(ECONNRESET, ended_with);
}

TEST(Exchange, AResponseToAnotherRequestIsDropped) {
  StartServer();
  ExchangeClient client(loop, kAddress, kLimits);
  std::string response_body;
  client.Start(MakeRequest("a"), [&response_body](ExchangeResult result) {
    response_body = result.response.body;
  });
  CHECK(RunUntil([&] { return requests.size() == 1; }));
  server->Respond(requests[0].first, Ok("old", "foreign"));
  CHECK_FALSE(RunUntil([&] { return !response_body.empty(); }));
}

TEST(Exchange, ARefusedConnectionReportsNothingWritten) {
  ExchangeClient client(loop, {"127.0.4.1", 1}, kLimits);
  ExchangeResult got;
  bool done = false;
  client.Start(MakeRequest("a"), [&](ExchangeResult result) {
    got = std::move(result);
    done = true;
  });
  CHECK(RunUntil([&] { return done; }));
  CHECK(got.failure == ClientFailure::kNotConnected);
  CHECK(got.end == StreamEnd::kRefused);
  CHECK_FALSE(got.request_written);
}

TEST(Exchange, AConnectionClosedDuringARequestReportsItAsWritten) {
  StartServer();
  ExchangeClient client(loop, kAddress, kLimits);
  ExchangeResult got;
  bool done = false;
  client.Start(MakeRequest("a"), [&](ExchangeResult result) {
    got = std::move(result);
    done = true;
  });
  CHECK(RunUntil([&] { return requests.size() == 1; }));
  server->Drop(requests[0].first);
  CHECK(RunUntil([&] { return done; }));
  CHECK(got.failure == ClientFailure::kClosed);
  CHECK(got.request_written);
  CHECK_FALSE(got.response_started);
}

// The peer accepts each connection and resets it at once, like a server that
// has reached its limit of connections.
TEST(Exchange, AResetOnAcceptanceReportsNothingWrittenIfAwaited) {
  const int listener = ListenTcp(kAddress).value();
  ExchangeClient client(loop, kAddress, kLimits);
  ExchangeResult got;
  bool done = false;
  ExchangeRequest request = MakeRequest("a");
  request.await_acceptance = true;
  client.Start(std::move(request), [&](ExchangeResult result) {
    got = std::move(result);
    done = true;
  });
  // The client's connection is established before the peer resets it.
  CHECK(RunUntil([&] { return client.connected(); }));
  const int accepted = accept(listener, nullptr, nullptr);
  const linger reset_on_close = {1, 0};
  setsockopt(accepted, SOL_SOCKET, SO_LINGER, &reset_on_close,
             sizeof(reset_on_close));
  close(accepted);
  CHECK(RunUntil([&] { return done; }));
  close(listener);
  CHECK(got.failure == ClientFailure::kNotConnected);
  CHECK_FALSE(got.request_written);
  CHECK_FALSE(got.reused);
}

// The upstream may leave while the client waits for the acceptance of its
// connection. The request must not be sent then.
TEST(Exchange, ARequestIsNotSentAfterItsSendByTime) {
  StartServer();
  ExchangeClient client(loop, kAddress, kLimits);
  ExchangeResult got;
  bool done = false;
  ExchangeRequest request = MakeRequest("a");
  request.await_acceptance = true;
  request.send_by = loop.timers().now();
  client.Start(std::move(request), [&](ExchangeResult result) {
    got = std::move(result);
    done = true;
  });
  RunUntil([&] { return done || !requests.empty(); });
  LONGS_EQUAL(0, requests.size());
  CHECK(done);
  CHECK(got.failure == ClientFailure::kTimeout);
  CHECK_FALSE(got.request_written);
  CHECK(got.sent_at == kNever);
}

TEST(Exchange, AConnectionWithAwaitedAcceptanceIsReused) {
  StartServer();
  ExchangeClient client(loop, kAddress, kLimits);
  for (int i = 0; i < 2; ++i) {
    ExchangeRequest request = MakeRequest("a");
    request.await_acceptance = true;
    ExchangeResult got;
    bool done = false;
    client.Start(std::move(request), [&](ExchangeResult result) {
      got = std::move(result);
      done = true;
    });
    const size_t wanted = static_cast<size_t>(i) + 1;
    CHECK(RunUntil([&] { return requests.size() == wanted; }));
    server->Respond(requests.back().first, Ok("a", "whole"));
    CHECK(RunUntil([&] { return done; }));
    CHECK(got.failure == ClientFailure::kNone);
    CHECK(got.reused == (i == 1));
  }
}

TEST(Exchange, AnIdleConnectionThatIsClosedIsReportedAsLost) {
  StartServer();
  ExchangeClient client(loop, kAddress, kLimits);
  bool done = false;
  client.Start(MakeRequest("a"), [&done](ExchangeResult) { done = true; });
  CHECK(RunUntil([&] { return requests.size() == 1; }));
  server->Respond(requests[0].first, Ok("a", ""));
  CHECK(RunUntil([&] { return done; }));
  CHECK_FALSE(client.lost_while_idle());
  server->CloseIdle();
  CHECK(RunUntil([&] { return client.lost_while_idle(); }));
  CHECK_FALSE(client.reusable());
}

TEST(Exchange, AStoppingServerRespondsAndAcceptsNoMoreConnections) {
  StartServer();
  ExchangeClient client(loop, kAddress, kLimits);
  bool done = false;
  client.Start(MakeRequest("a"), [&done](ExchangeResult) { done = true; });
  CHECK(RunUntil([&] { return requests.size() == 1; }));
  server->StopKeepAlive();
  server->StopAccepting();
  server->Respond(requests[0].first, Ok("a", ""));
  CHECK(RunUntil([&] { return done; }));
  CHECK_FALSE(client.reusable());
  ExchangeClient other(loop, kAddress, kLimits);
  ExchangeResult got;
  done = false;
  other.Start(MakeRequest("b"), [&](ExchangeResult result) {
    got = std::move(result);
    done = true;
  });
  CHECK(RunUntil([&] { return done; }));
  CHECK(got.failure == ClientFailure::kNotConnected);
}

TEST(Exchange, SixteenPipelinedRequestsAreHandledOneByOneInOrder) {
  StartServer();
  for (const int count : {2, 3, 16}) {
    requests.clear();
    RawCaller caller(ConnectTcp(kAddress).value());
    RunIteration();
    caller.Send(Pipelined(count, 20'000));
    for (int i = 0; i < count; ++i) {
      const size_t wanted = static_cast<size_t>(i) + 1;
      CHECK(RunUntil([&] {
        RunIteration();
        return requests.size() >= wanted;
      }));
      // No request is passed on before the response to the previous one.
      LONGS_EQUAL(wanted, requests.size());
      STRCMP_EQUAL(("/" + std::to_string(i)).c_str(),
                   requests.back().second.target.c_str());
      LONGS_EQUAL(i % 3 == 1 ? 20'000 : 0, requests.back().second.body.size());
      server->Respond(requests.back().first, Ok(std::to_string(i), "ok"));
    }
    CHECK(RunUntil([&] {
      caller.ReadAvailable();
      RunIteration();
      return caller.Responses() == static_cast<size_t>(count);
    }));
    size_t at = 0;
    for (int i = 0; i < count; ++i) {
      at = caller.received.find("x-request-id: " + std::to_string(i) + "\r\n",
                                at);
      CHECK(at != std::string::npos);
    }
  }
}

TEST(Exchange, RequestsBehindAClosingResponseAreDropped) {
  StartServer();
  RawCaller caller(ConnectTcp(kAddress).value());
  RunIteration();
  std::string text = Pipelined(4, 5'000);
  const size_t second = text.find("PUT /1 HTTP/1.1\r\n") + 17;
  text.insert(second, "Connection: close\r\n");
  caller.Send(text);
  for (size_t wanted = 1; wanted <= 2; ++wanted) {
    CHECK(RunUntil([&] {
      RunIteration();
      return requests.size() == wanted;
    }));
    server->Respond(requests.back().first, Ok("a", "ok"));
  }
  CHECK(RunUntil([&] {
    caller.ReadAvailable();
    RunIteration();
    return caller.ended;
  }));
  LONGS_EQUAL(2, requests.size());
  LONGS_EQUAL(2, caller.Responses());
  CHECK(caller.received.find("connection: close") != std::string::npos);
}

TEST(Exchange, AStopDuringPipelinedRequestsCompletesTheCurrentResponse) {
  StartServer();
  RawCaller caller(ConnectTcp(kAddress).value());
  RunIteration();
  caller.Send(Pipelined(8, 5'000));
  CHECK(RunUntil([&] {
    RunIteration();
    return requests.size() == 1;
  }));
  server->StopKeepAlive();
  server->Respond(requests.back().first, Ok("a", "ok"));
  CHECK(RunUntil([&] {
    caller.ReadAvailable();
    RunIteration();
    return caller.ended;
  }));
  LONGS_EQUAL(1, requests.size());
  LONGS_EQUAL(1, caller.Responses());
}

// A refusal may have no request id. A late duplicate of it must not be taken
// for the response to the next request on the connection, which the upstream
// runs. Without a response, the result has the default status 200.
TEST(Exchange, ADuplicateRefusalIsNotTheNextRequestsResponse) {
  RawPeer peer(ListenTcp(kAddress).value());
  ExchangeClient client(loop, kAddress, kLimits);
  const std::string refusal =
      "HTTP/1.1 503 Busy\r\nx-not-executed: 1\r\ncontent-length: 0\r\n\r\n";
  std::vector<int> statuses;
  for (const bool reused : {false, true}) {
    ExchangeRequest request = MakeRequest("a");
    request.accepts_response = [](const HttpResponse& response,
                                  bool connection_reused) {
      return !connection_reused && response.status == 503;
    };
    request.timeout = milliseconds(100);
    client.Start(std::move(request), [&statuses](ExchangeResult result) {
      statuses.push_back(result.response.status);
    });
    const size_t wanted = statuses.size() + 1;
    const size_t before = peer.received.size();
    CHECK(RunUntil([&] {
      peer.ReadAvailable();
      RunIteration();
      return peer.received.size() > before;
    }));
    peer.Send(refusal);
    CHECK(RunUntil([&] {
      RunIteration();
      return statuses.size() == wanted;
    }));
    LONGS_EQUAL(reused ? 200 : 503, statuses.back());
  }
}

TEST(Exchange, ARequestCanRequireANewConnection) {
  StartServer();
  ExchangeClient client(loop, kAddress, kLimits);
  for (size_t wanted = 1; wanted <= 2; ++wanted) {
    ExchangeRequest request = MakeRequest("a");
    request.require_new_connection = true;
    bool done = false;
    bool reused = true;
    client.Start(std::move(request), [&](ExchangeResult result) {
      done = true;
      reused = result.reused;
    });
    CHECK(RunUntil([&] { return requests.size() == wanted; }));
    server->Respond(requests.back().first, Ok("a", ""));
    CHECK(RunUntil([&] { return done; }));
    CHECK_FALSE(reused);
  }
}

TEST(Exchange, AnOpenedConnectionCarriesTheNextRequest) {
  StartServer();
  ExchangeClient client(loop, kAddress, kLimits);
  int opened = -1;
  client.Open(milliseconds(500), [&](bool connected) { opened = connected; });
  CHECK(RunUntil([&] { return opened >= 0; }));
  LONGS_EQUAL(1, opened);
  bool done = false;
  client.Start(MakeRequest("a"), [&done](ExchangeResult) { done = true; });
  CHECK(RunUntil([&] { return requests.size() == 1; }));
  server->Respond(requests[0].first, Ok("a", ""));
  CHECK(RunUntil([&] { return done; }));
  LONGS_EQUAL(1, server->connection_count());
}

TEST(Exchange, AFailureToOpenAConnectionIsReportedOnce) {
  ExchangeClient client(loop, {"127.0.4.1", 1}, kLimits);
  int reports = 0;
  client.Open(milliseconds(500), [&](bool connected) {
    CHECK_FALSE(connected);
    ++reports;
  });
  CHECK(RunUntil([&] { return reports > 0; }));
  RunIteration();
  LONGS_EQUAL(1, reports);
}

// When a server stops, the kernel may hold established connections that the
// server has not accepted yet. The stop must not reset them.
TEST(Exchange, AStopAcceptsTheConnectionsThatWait) {
  StartServer();
  std::vector<std::unique_ptr<RawCaller>> callers;
  for (int i = 0; i < 100; ++i) {
    callers.push_back(
        std::make_unique<RawCaller>(ConnectTcp(kAddress).value()));
  }
  usleep(20'000);
  server->StopKeepAlive();
  server->StopAccepting();
  // The server's limit is 64 connections, so it closed those above it.
  for (int i = 0; i < 60; ++i)
    callers[static_cast<size_t>(i)]->Send("GET /a HTTP/1.1\r\nHost: h\r\n\r\n");
  usleep(20'000);
  server->CloseIdle();
  CHECK(RunUntil([&] {
    RunIteration();
    return requests.size() == 60;
  }));
  for (const auto& [id, request] : requests) server->Respond(id, Ok("a", "ok"));
  CHECK(RunUntil([&] {
    RunIteration();
    for (int i = 0; i < 60; ++i)
      callers[static_cast<size_t>(i)]->ReadAvailable();
    return std::all_of(callers.begin(), callers.begin() + 60,
                       [](const auto& caller) { return caller->ended; });
  }));
  for (int i = 0; i < 60; ++i)
    LONGS_EQUAL(1, callers[static_cast<size_t>(i)]->Responses());
}

}  // namespace
}  // namespace mimosadeal
