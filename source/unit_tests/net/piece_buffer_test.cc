// Tests of the buffer that grows without a copy of what it holds.
#include "net/piece_buffer.h"

#include <CppUTest/TestHarness.h>

#include <initializer_list>
#include <string>

namespace mimosadeal {
namespace {

constexpr size_t kReadBytes = 16 * 1024;

// Bytes of which any two parts of the same length differ.
std::string Numbered(size_t size) {
  std::string text;
  for (size_t i = 0; text.size() < size; ++i) text += std::to_string(i) + " ";
  text.resize(size);
  return text;
}

TEST_GROUP(PieceBuffer) {
  PieceBuffer buffer;

  // Appends the text as reads of a connection do.
  void AppendInReads(const std::string& text, std::optional<uint64_t> stated) {
    for (size_t at = 0; at < text.size(); at += kReadBytes)
      buffer.Append(std::string_view(text).substr(at, kReadBytes), stated);
  }
};

TEST(PieceBuffer, AllBytesComeBackInOrder) {
  for (const size_t size :
       {size_t{0}, size_t{1}, kInitialBodyBytes + 1, kBytesPerPiece - 1,
        kBytesPerPiece, kBytesPerPiece + 1, size_t{3'000'000}}) {
    const std::string text = Numbered(size);
    for (const std::optional<uint64_t> stated :
         {std::optional<uint64_t>(), std::optional<uint64_t>(size)}) {
      AppendInReads(text, stated);
      CHECK(buffer.size() == size);
      CHECK(buffer.TakeAll() == text);
      CHECK(buffer.empty());
      buffer.Append(text, stated);
      std::string joined;
      while (!buffer.empty()) joined += buffer.TakeFirst();
      CHECK(joined == text);
      CHECK(buffer.size() == 0);
    }
  }
}

// Guards against a buffer that takes more than what has arrived and a piece.
TEST(PieceBuffer, TheMemoryIsThatOfTheBytesAndAtMostAPiece) {
  constexpr size_t size = 3'000'000;
  const std::string text = Numbered(kReadBytes);
  for (const std::optional<uint64_t> stated :
       {std::optional<uint64_t>(), std::optional<uint64_t>(size)}) {
    while (buffer.size() < size) {
      buffer.Append(std::string_view(text).substr(0, size - buffer.size()),
                    stated);
      CHECK(buffer.capacity() >= buffer.size());
      CHECK(buffer.capacity() <= buffer.size() + kBytesPerPiece);
    }
    if (stated) CHECK(buffer.capacity() == size);
    CHECK(buffer.TakeAll().capacity() == size);
  }
}

TEST(PieceBuffer, ASmallStatedLengthIsOneBuffer) {
  const std::string text = Numbered(kInitialBodyBytes);
  AppendInReads(text, text.size());
  CHECK(buffer.capacity() == text.size());
  CHECK(buffer.TakeAll().capacity() == text.size());
}

TEST(PieceBuffer, AWrongStatedLengthLosesNoBytes) {
  const std::string text = Numbered(2 * kBytesPerPiece);
  for (const uint64_t stated :
       {uint64_t{0}, uint64_t{1}, uint64_t{kBytesPerPiece}, UINT64_MAX}) {
    AppendInReads(text, stated);
    CHECK(buffer.TakeAll() == text);
  }
}

}  // namespace
}  // namespace mimosadeal
