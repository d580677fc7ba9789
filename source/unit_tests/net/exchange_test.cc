// Tests of the data path's HTTP server and client against sockets on loopback.
#include <CppUTest/TestHarness.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <memory>
#include <string>
#include <vector>

#include "net/event_loop.h"
#include "net/exchange_client.h"
#include "net/exchange_server.h"
#include "net/fd_watch.h"

namespace mimosadeal {
namespace {

using std::chrono::milliseconds;

const SocketAddress kAddress{"127.0.4.1", 18461};
constexpr HttpTextLimits kText = {16 * 1024, 4 * 1024 * 1024};

TEST_GROUP(Exchange) {
  EventLoop loop{{128, 16, 4096}};
  std::unique_ptr<ExchangeServer> server;
  std::vector<std::pair<ExchangeId, HttpRequest>> requests;
  std::vector<ExchangeId> abandoned;

  void Serve() {
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
    ExchangeServerLimits limits{kText, milliseconds(1000), milliseconds(5000),
                                64};
    auto made =
        ExchangeServer::Listen(loop, kAddress, limits, std::move(handlers));
    CHECK(made.has_value());
    server = std::move(made.value());
  }

  // Runs the loop until `done` or for two seconds.
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

  ExchangeRequest Ask(const std::string& id) {
    ExchangeRequest request;
    request.method = "GET";
    request.target = "/" + id;
    request.headers = {{"host", "h"}};
    request.timeout = milliseconds(1500);
    request.is_answer = [id](const HttpResponse& response) {
      return FindHeader(response.headers, "x-request-id") == id;
    };
    return request;
  }
};

TEST(Exchange, LargeBodiesTravelWholeOnOneKeptConnection) {
  Serve();
  ExchangeClient client(loop, kAddress, kText);
  const std::string large(1024 * 1024, 'x');
  for (int i = 0; i < 3; ++i) {
    ExchangeRequest request = Ask("a");
    request.method = "POST";
    request.body = large;
    std::string answer;
    client.Start(std::move(request), [&answer](ExchangeResult result) {
      answer = result.response.body;
    });
    const size_t wanted = static_cast<size_t>(i) + 1;
    CHECK(RunUntil([&] { return requests.size() == wanted; }));
    CHECK(requests.back().second.body == large);
    server->Respond(requests.back().first, Ok("a", large));
    CHECK(RunUntil([&] { return answer.size() == large.size(); }));
    CHECK(client.reusable());
  }
  LONGS_EQUAL(1, server->connection_count());
}

TEST(Exchange, PipelinedRequestsAreAnsweredInTheirOrder) {
  Serve();
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

TEST(Exchange, ACallerThatLeavesIsNoticedWhileItsRequestWaits) {
  Serve();
  ExchangeClient client(loop, kAddress, kText);
  client.Start(Ask("a"), [](ExchangeResult) {});
  CHECK(RunUntil([&] { return requests.size() == 1; }));
  client.Abort();
  CHECK(RunUntil([&] { return abandoned.size() == 1; }));
  server->Respond(requests[0].first, Ok("a", "late"));
}

// A host that is behind reads both at once, and must not begin the work.
TEST(Exchange, ARequestWhoseCallerHasLeftAlreadyIsNotHandedOver) {
  Serve();
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

// What was written to a connection that is cut stays in the kernel, and would
// reach the upstream when the cut ends.
TEST(Exchange, AGivenUpRequestIsNotDeliveredLater) {
  const auto listener = ListenTcp(kAddress);
  CHECK(listener.has_value());
  ExchangeClient client(loop, kAddress, kText);
  ExchangeRequest request = Ask("a");
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

TEST(Exchange, AnAnswerOfAnotherRequestIsDropped) {
  Serve();
  ExchangeClient client(loop, kAddress, kText);
  std::string answer;
  client.Start(Ask("a"), [&answer](ExchangeResult result) {
    answer = result.response.body;
  });
  CHECK(RunUntil([&] { return requests.size() == 1; }));
  server->Respond(requests[0].first, Ok("old", "foreign"));
  CHECK_FALSE(RunUntil([&] { return !answer.empty(); }));
}

TEST(Exchange, ARefusedConnectionHasWrittenNothing) {
  ExchangeClient client(loop, {"127.0.4.1", 1}, kText);
  ExchangeResult got;
  bool done = false;
  client.Start(Ask("a"), [&](ExchangeResult result) {
    got = std::move(result);
    done = true;
  });
  CHECK(RunUntil([&] { return done; }));
  CHECK(got.failure == ClientFailure::kNotConnected);
  CHECK(got.end == StreamEnd::kRefused);
  CHECK_FALSE(got.request_written);
}

TEST(Exchange, AConnectionThatEndsUnderARequestMayHaveRunIt) {
  Serve();
  ExchangeClient client(loop, kAddress, kText);
  ExchangeResult got;
  bool done = false;
  client.Start(Ask("a"), [&](ExchangeResult result) {
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

// A peer that accepts each connection and resets it at once, as one above its
// limit of connections does.
TEST(Exchange, AConnectionResetOnAcceptanceHasCarriedNothingIfAwaited) {
  const int listener = ListenTcp(kAddress).value();
  ExchangeClient client(loop, kAddress, kText);
  ExchangeResult got;
  bool done = false;
  ExchangeRequest request = Ask("a");
  request.await_acceptance = true;
  client.Start(std::move(request), [&](ExchangeResult result) {
    got = std::move(result);
    done = true;
  });
  // The client knows of its connection before the peer resets it.
  CHECK(RunUntil([&] { return client.connected(); }));
  const int accepted = accept(listener, nullptr, nullptr);
  const linger at_once = {1, 0};
  setsockopt(accepted, SOL_SOCKET, SO_LINGER, &at_once, sizeof(at_once));
  close(accepted);
  CHECK(RunUntil([&] { return done; }));
  close(listener);
  CHECK(got.failure == ClientFailure::kNotConnected);
  CHECK_FALSE(got.request_written);
  CHECK_FALSE(got.reused);
}

TEST(Exchange, AnAwaitedConnectionCarriesItsRequestAndIsReused) {
  Serve();
  ExchangeClient client(loop, kAddress, kText);
  for (int i = 0; i < 2; ++i) {
    ExchangeRequest request = Ask("a");
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

TEST(Exchange, AnIdleConnectionThatEndsIsKnownAsLost) {
  Serve();
  ExchangeClient client(loop, kAddress, kText);
  bool done = false;
  client.Start(Ask("a"), [&done](ExchangeResult) { done = true; });
  CHECK(RunUntil([&] { return requests.size() == 1; }));
  server->Respond(requests[0].first, Ok("a", ""));
  CHECK(RunUntil([&] { return done; }));
  CHECK_FALSE(client.lost_while_idle());
  server->CloseIdle();
  CHECK(RunUntil([&] { return client.lost_while_idle(); }));
  CHECK_FALSE(client.reusable());
}

TEST(Exchange, AStoppingServerAnswersAndTakesNoMore) {
  Serve();
  ExchangeClient client(loop, kAddress, kText);
  bool done = false;
  client.Start(Ask("a"), [&done](ExchangeResult) { done = true; });
  CHECK(RunUntil([&] { return requests.size() == 1; }));
  server->StopKeepAlive();
  server->StopAccepting();
  server->Respond(requests[0].first, Ok("a", ""));
  CHECK(RunUntil([&] { return done; }));
  CHECK_FALSE(client.reusable());
  ExchangeClient other(loop, kAddress, kText);
  ExchangeResult got;
  done = false;
  other.Start(Ask("b"), [&](ExchangeResult result) {
    got = std::move(result);
    done = true;
  });
  CHECK(RunUntil([&] { return done; }));
  CHECK(got.failure == ClientFailure::kNotConnected);
}

}  // namespace
}  // namespace mimosadeal
