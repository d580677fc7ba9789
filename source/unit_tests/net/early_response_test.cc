// Tests of ExchangeClient against an upstream that responds to a long request
// while it is still being sent, and then resets the connection.
#include <CppUTest/TestHarness.h>

#include <string>

#include "net/event_loop.h"
#include "net/exchange_client.h"
#include "net/shared_body.h"
#include "resetting_upstream.h"

namespace mimosadeal {
namespace {

using std::chrono::milliseconds;

const SocketAddress kAddress{"127.0.4.3", 18472};
constexpr HttpMessageLimits kLimits = {16 * 1024, 64 * 1024};
constexpr Duration kTestLimit = std::chrono::seconds(2);
// More than the kernel takes at once, so that the reset meets a send.
constexpr size_t kUploadBytes = 16 * 1024 * 1024;
// The reset has to arrive during a send, which takes about a millisecond.
constexpr int kUploads = 100;

TEST_GROUP(EarlyResponse) {
  EventLoop loop{{32, 8, 4096}};

  ExchangeResult Upload(const SharedBody& body) {
    ExchangeClient client(loop, kAddress, kLimits);
    ExchangeRequest request;
    request.method = "POST";
    request.target = "/scan";
    request.headers = {{"x-request-id", "a"}};
    request.shared_body = body;
    request.timeout = kTestLimit;
    ExchangeResult got;
    bool done = false;
    client.Start(std::move(request), [&](ExchangeResult result) {
      got = std::move(result);
      done = true;
    });
    while (!done) {
      loop.timers().After(milliseconds(1), [] {});
      loop.RunOnce();
    }
    return got;
  }
};

// Guards against a part of a response that a caller gets as a whole one.
TEST(EarlyResponse, AResponseWithoutALengthThatAResetCutsIsNone) {
  const ResettingUpstream upstream(kAddress);
  const SharedBody body(std::string(kUploadBytes, 'x'));
  for (int i = 0; i < kUploads; ++i) {
    const ExchangeResult result = Upload(body);
    CHECK_TEXT(result.failure != ClientFailure::kNone,
               ("upload " + std::to_string(i)).c_str());
  }
  CHECK(upstream.responses() > 0);
}

// Guards against a refusal, and with it the promise that the request has not
// run, that is lost with the connection.
TEST(EarlyResponse, AWholeRefusalBeforeAResetIsReceived) {
  const ResettingUpstream upstream(kAddress, EarlyResponse::kWholeRefusal);
  const SharedBody body(std::string(kUploadBytes, 'x'));
  for (int i = 0; i < kUploads; ++i) {
    const ExchangeResult result = Upload(body);
    const std::string upload = "upload " + std::to_string(i);
    CHECK_TEXT(result.failure == ClientFailure::kNone, upload.c_str());
    LONGS_EQUAL_TEXT(503, result.response.status, upload.c_str());
    STRCMP_EQUAL_TEXT("busy", result.response.body.c_str(), upload.c_str());
  }
}

}  // namespace
}  // namespace mimosadeal
