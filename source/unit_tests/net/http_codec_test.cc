// Tests of parsing and serializing HTTP/1.1 messages.
#include "net/http_codec.h"

#include <CppUTest/TestHarness.h>

namespace mimosadeal {
namespace {

constexpr HttpMessageLimits kLimits = {1024, 64};

// Checks that responses and requests with this framing, and none or some bytes
// of a body behind it, are refused as too large.
void CheckRefusedWithAnyBody(const std::string& framing) {
  for (const char* body : {"", "a", "abc"}) {
    std::string response_text = "HTTP/1.1 200 OK\r\n" + framing + body;
    HttpResponseParser response(kLimits, false);
    CHECK(response.Feed(response_text) == ParseState::kTooLarge);
    std::string request_text = "PUT / HTTP/1.1\r\nhost: h\r\n" + framing + body;
    HttpRequestParser request(kLimits);
    CHECK(request.Feed(request_text) == ParseState::kTooLarge);
    LONGS_EQUAL(413, request.refusal_status());
  }
}

TEST_GROUP(HttpCodec){
    // Feeds the text to the parser in pieces of `step` bytes. `rest` receives
    // what it leaves.
    ParseState FeedRequest(HttpRequestParser & parser, std::string text,
                           size_t step, std::string& rest){
        ParseState state = ParseState::kNeedMore;
while (!text.empty() && state == ParseState::kNeedMore) {
  rest += text.substr(0, step);
  text.erase(0, step);
  state = parser.Feed(rest);
}
rest += text;
return state;
}  // namespace
};  // namespace mimosadeal

TEST(HttpCodec, ARequestIsParsedFromPiecesOfAnySize) {
  const std::string text =
      "PUT /a/b?x=1&y=%20 HTTP/1.1\r\nHost: h\r\nX-Key: 7\r\n"
      "Content-Length: 5\r\n\r\nhello";
  for (size_t step = 1; step <= text.size(); ++step) {
    HttpRequestParser parser(kLimits);
    std::string rest;
    CHECK(FeedRequest(parser, text, step, rest) == ParseState::kDone);
    const ParsedHttpRequest read = parser.Take();
    STRCMP_EQUAL("/a/b?x=1&y=%20", read.request.target.c_str());
    STRCMP_EQUAL("/a/b", read.request.path.c_str());
    STRCMP_EQUAL("hello", read.request.body.c_str());
    CHECK(FindHeader(read.request.headers, "x-key") == "7");
    CHECK(read.keep_alive);
  }
}

TEST(HttpCodec, AChunkedBodyIsDecoded) {
  HttpRequestParser parser(kLimits);
  std::string text =
      "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
      "3\r\nabc\r\n2\r\nde\r\n0\r\n\r\nGET /next HTTP/1.1\r\n";
  CHECK(parser.Feed(text) == ParseState::kDone);
  STRCMP_EQUAL("abcde", parser.Take().request.body.c_str());
  STRCMP_EQUAL("GET /next HTTP/1.1\r\n", text.c_str());
}

TEST(HttpCodec, TooLargeRequestsAreRefusedWithTheirStatus) {
  HttpRequestParser body(kLimits);
  std::string large =
      "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 65\r\n\r\n";
  CHECK(body.Feed(large) == ParseState::kTooLarge);
  LONGS_EQUAL(413, body.refusal_status());
  HttpRequestParser header(kLimits);
  std::string long_header =
      "GET / HTTP/1.1\r\nHost: h\r\nX: " + std::string(2000, 'x') + "\r\n\r\n";
  CHECK(header.Feed(long_header) == ParseState::kTooLarge);
  LONGS_EQUAL(431, header.refusal_status());
}

// Guards against trailers, and chunk headers, that no limit counted.
TEST(HttpCodec, TrailersAndChunkHeadersHaveTheHeadersLimit) {
  const std::string chunked = "Transfer-Encoding: chunked\r\n\r\n";
  for (const std::string& begin :
       {std::string("1\r\nx\r\n0\r\nX-Trailer: "), std::string("1;x=")}) {
    const std::string end = begin + std::string(2000, 'x');
    for (const size_t step : {size_t{1}, size_t{100}, size_t{5000}}) {
      HttpRequestParser request(kLimits);
      std::string rest;
      CHECK(FeedRequest(request,
                        "POST / HTTP/1.1\r\nHost: h\r\n" + chunked + end, step,
                        rest) == ParseState::kTooLarge);
      LONGS_EQUAL(431, request.refusal_status());
    }
    HttpResponseParser response(kLimits, false);
    std::string text = "HTTP/1.1 200 OK\r\n" + chunked + end;
    CHECK(response.Feed(text) == ParseState::kTooLarge);
  }
}

TEST(HttpCodec, TrailersWithinTheLimitAreRead) {
  HttpRequestParser parser(kLimits);
  std::string text =
      "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
      "3\r\nabc\r\n0\r\nX-Trailer: " +
      std::string(500, 'x') + "\r\n\r\n";
  CHECK(parser.Feed(text) == ParseState::kDone);
  STRCMP_EQUAL("abc", parser.Take().request.body.c_str());
}

TEST(HttpCodec, ABodyWithoutALengthEndsWithTheConnection) {
  HttpResponseParser parser(kLimits, false);
  std::string text = "HTTP/1.1 200 OK\r\nX: 1\r\n\r\nall";
  CHECK(parser.Feed(text) == ParseState::kNeedMore);
  CHECK(parser.FeedEnd() == ParseState::kDone);
  const ParsedHttpResponse read = parser.Take();
  STRCMP_EQUAL("all", read.response.body.c_str());
  CHECK_FALSE(read.keep_alive);
}

TEST(HttpCodec, ABodyShorterThanItsLengthIsMalformed) {
  HttpResponseParser parser(kLimits, false);
  std::string text = "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\npart";
  CHECK(parser.Feed(text) == ParseState::kNeedMore);
  CHECK(parser.FeedEnd() == ParseState::kMalformed);
}

TEST(HttpCodec, BytesOtherThanAResponseAreMalformed) {
  HttpResponseParser parser(kLimits, false);
  std::string text = "\x01\x02garbage\r\n\r\n";
  CHECK(parser.Feed(text) == ParseState::kMalformed);
}

TEST(HttpCodec, ASerializedResponseIsParsedBack) {
  HttpResponse response;
  response.status = 503;
  response.content_type = "text/plain";
  response.headers = {{"retry-after", "0.5"}};
  response.body = "later";
  std::string text = SerializeResponse(response, false, true);
  HttpResponseParser parser(kLimits, false);
  CHECK(parser.Feed(text) == ParseState::kDone);
  const ParsedHttpResponse read = parser.Take();
  LONGS_EQUAL(503, read.response.status);
  STRCMP_EQUAL("later", read.response.body.c_str());
  CHECK_FALSE(read.keep_alive);
}

// Guards against a limit that holds only if the header comes without any of the
// body: the parser forgets that the stated length exceeds it.
TEST(HttpCodec, AStatedLengthBeyondTheLimitIsRefusedHoweverItArrives) {
  const std::string head = "content-length: 65\r\n\r\n";
  for (const size_t body_bytes :
       {size_t{0}, size_t{1}, size_t{64}, size_t{65}}) {
    const std::string body(body_bytes, 'x');
    std::string response_text = "HTTP/1.1 200 OK\r\n" + head + body;
    HttpResponseParser response(kLimits, false);
    CHECK(response.Feed(response_text) == ParseState::kTooLarge);
    std::string request_text = "PUT / HTTP/1.1\r\nhost: h\r\n" + head + body;
    HttpRequestParser request(kLimits);
    CHECK(request.Feed(request_text) == ParseState::kTooLarge);
    LONGS_EQUAL(413, request.refusal_status());
  }
  std::string no_body = "HTTP/1.1 200 OK\r\n" + head;
  HttpResponseParser to_head(kLimits, true);
  CHECK(to_head.Feed(no_body) == ParseState::kDone);
}

// Guards against memory that is reserved for a stated length before the length
// is compared with the limit: the allocation failed and ended the process.
TEST(HttpCodec, AnAbsurdStatedLengthIsRefusedBeforeMemoryIsReserved) {
  for (const char* length : {"9223372036854775807", "9223372036854775808",
                             "18446744073709551615", "1099511627776"}) {
    CheckRefusedWithAnyBody(std::string("content-length: ") + length +
                            "\r\n\r\n");
  }
}

// Guards against a sender that ends the process by a length within a limit that
// exceeds the memory: only the bytes that arrived may take memory.
TEST(HttpCodec, AStatedLengthWithinALargeLimitReservesNoMemory) {
  constexpr HttpMessageLimits large = {1024, size_t{1} << 62};
  const std::string rest = "content-length: 4611686018427387904\r\n\r\nabc";
  std::string response_text = "HTTP/1.1 200 OK\r\n" + rest;
  HttpResponseParser response(large, false);
  CHECK(response.Feed(response_text) == ParseState::kNeedMore);
  CHECK(response.FeedEnd() == ParseState::kMalformed);
  std::string request_text = "PUT / HTTP/1.1\r\nhost: h\r\n" + rest;
  HttpRequestParser request(large);
  CHECK(request.Feed(request_text) == ParseState::kNeedMore);
  CHECK(request.expected_body_bytes() == size_t{1} << 62);
}

// Guards against a chunk's length that is trusted as a body's was.
TEST(HttpCodec, AnAbsurdChunkLengthIsRefused) {
  for (const char* length :
       {"7fffffffffffffff", "ffffffffffffffff", "10000000000", "41"}) {
    CheckRefusedWithAnyBody(std::string("transfer-encoding: chunked\r\n\r\n") +
                            length + "\r\n");
  }
}

// Guards against an input that keeps the memory of a body which it received as
// a whole: no budget counts it.
TEST(HttpCodec, AParsedBodyLeavesNoMemoryInTheInput) {
  constexpr size_t body_bytes = size_t{4} * 1024 * 1024;
  const std::string next = "GET / HTTP/1.1\r\n";
  std::string text = "POST / HTTP/1.1\r\nhost: h\r\ncontent-length: " +
                     std::to_string(body_bytes) + "\r\n\r\n" +
                     std::string(body_bytes, 'x') + next;
  HttpRequestParser parser({1024, body_bytes});
  CHECK(parser.Feed(text) == ParseState::kDone);
  STRCMP_EQUAL(next.c_str(), text.c_str());
  CHECK(text.capacity() < body_bytes / 16);
}

TEST(HttpCodec, ASmallParsedBodyLeavesLittleMemoryInTheInput) {
  constexpr size_t body_bytes = size_t{60} * 1000;
  std::string text = "POST / HTTP/1.1\r\nhost: h\r\ncontent-length: " +
                     std::to_string(body_bytes) + "\r\n\r\n" +
                     std::string(body_bytes, 'x');
  HttpRequestParser parser({1024, body_bytes});
  CHECK(parser.Feed(text) == ParseState::kDone);
  CHECK(text.capacity() <= kMaxKeptInputBytes);
}

TEST(HttpCodec, ShortHeaderLinesCountMoreThanTheirLength) {
  constexpr size_t lines = 1000;
  std::string head = "GET / HTTP/1.1\r\n";
  for (size_t i = 0; i < lines; ++i) head += "a:\r\n";
  std::string text = head + "\r\n";
  HttpRequestParser parser({16 * 1024, 0});
  CHECK(parser.Feed(text) == ParseState::kDone);
  CHECK(parser.head_bytes() >= lines * sizeof(HttpHeader));
}

TEST(HttpCodec, TrailersCountAsTheHeadDoes) {
  constexpr size_t lines = 1000;
  std::string trailers;
  for (size_t i = 0; i < lines; ++i) trailers += "a:\r\n";
  std::string text =
      "POST / HTTP/1.1\r\ntransfer-encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n" +
      trailers + "\r\n";
  HttpRequestParser parser({16 * 1024, 16});
  CHECK(parser.Feed(text) == ParseState::kDone);
  CHECK(parser.head_bytes() >= lines * sizeof(HttpHeader));
}

// Guards against a response's lines that count by their length only while its
// body does not come.
TEST(HttpCodec, ShortHeaderLinesOfAResponseCountMoreThanTheirLength) {
  constexpr size_t lines = 1000;
  std::string text = "HTTP/1.1 200 OK\r\ncontent-length: 10\r\n";
  for (size_t i = 0; i < lines; ++i) text += "a:\r\n";
  text += "\r\n";
  HttpResponseParser parser({16 * 1024, 16}, false);
  CHECK(parser.Feed(text) == ParseState::kNeedMore);
  CHECK(parser.head_bytes() >= lines * sizeof(HttpHeader));
}

TEST(HttpCodec, HopByHopHeadersAreRecognised) {
  CHECK(IsHopByHopHeader("connection"));
  CHECK(IsHopByHopHeader("transfer-encoding"));
  CHECK_FALSE(IsHopByHopHeader("x-request-id"));
}

}  // namespace
}  // namespace mimosadeal
