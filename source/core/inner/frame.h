// Framing of the inner protocol, which entry hosts speak among themselves: a
// header of fixed size and one encoded message. A frame is sent as one UDP
// datagram or as a part of a TCP stream.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "common/error.h"
#include "inner/message_type.h"

namespace mimosadeal {

inline constexpr uint16_t kFrameMagic = 0x4D44;
// Hosts ignore frames of other versions. In 2, revisions have the store's era
// as their high part (store/store_revision.h).
inline constexpr uint8_t kProtocolVersion = 2;
inline constexpr size_t kFrameHeaderBytes = 8;
// Fits into the largest UDP datagram over IPv4.
inline constexpr size_t kMaxDatagramBytes = 60 * 1024;

struct Frame {
  MessageType type = MessageType::kHello;
  std::string_view body;  // Refers to the parsed buffer.
};

struct ParsedFrame {
  Frame frame;
  size_t length = 0;  // Of the whole frame.
};

// What the header of a frame says.
struct FrameStart {
  MessageType type = MessageType::kHello;
  size_t body_bytes = 0;
};

// Appends the header of a frame.
void AppendFrameHeader(const FrameStart& start, std::string& out);
void AppendFrame(MessageType type, std::string_view body, std::string& out);

// Returns the first frame in `buffer`, or nothing if it is not complete yet.
// Errors: kMalformed (magic, protocol version, message type), kTooLarge. After
// an error the rest of the stream cannot be parsed.
Result<std::optional<ParsedFrame>> ParseFrame(std::string_view buffer,
                                              size_t max_body_bytes);

// Returns the header of the first frame in `buffer`, which ParseFrame found to
// be sound.
std::optional<FrameStart> PeekFrame(std::string_view buffer);

}  // namespace mimosadeal
