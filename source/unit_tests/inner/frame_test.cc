// Tests of the framing of the inner protocol.
#include "inner/frame.h"

#include <CppUTest/TestHarness.h>

namespace mimosadeal {
namespace {

constexpr size_t kMaxBody = 1000;

std::string MakeFrame(std::string_view body) {
  std::string frame;
  AppendFrame(MessageType::kTableReply, body, frame);
  return frame;
}

TEST_GROUP(Frame){};

TEST(Frame, IsParsedOnlyWhenComplete) {
  const std::string frame = MakeFrame("body") + "more";
  const size_t frame_size = frame.size() - 4;
  for (size_t length = 0; length < frame_size; ++length) {
    CHECK_FALSE(ParseFrame(std::string_view(frame).substr(0, length), kMaxBody)
                    .value()
                    .has_value());
  }
  const auto parsed = ParseFrame(frame, kMaxBody).value();
  LONGS_EQUAL(frame_size, parsed->length);
  CHECK_TRUE(parsed->frame.type == MessageType::kTableReply);
  CHECK_TRUE(parsed->frame.body == "body");
}

TEST(Frame, AWrongMagicVersionTypeOrLengthIsAnError) {
  for (const size_t position : {0U, 2U, 3U, 7U}) {
    std::string frame = MakeFrame("body");
    frame[position] = '\x7F';
    CHECK_FALSE(ParseFrame(frame, kMaxBody).has_value());
  }
}

}  // namespace
}  // namespace mimosadeal
