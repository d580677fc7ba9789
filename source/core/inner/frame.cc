#include "inner/frame.h"

#include <cstring>

namespace mimosadeal {
namespace {

struct Header {
  uint16_t magic;
  uint8_t version;
  uint8_t type;
  uint32_t body_bytes;
};
static_assert(sizeof(Header) == kFrameHeaderBytes);

}  // namespace

void AppendFrameHeader(const FrameStart& start, std::string& out) {
  const Header header{kFrameMagic, kProtocolVersion,
                      static_cast<uint8_t>(start.type),
                      static_cast<uint32_t>(start.body_bytes)};
  out.append(reinterpret_cast<const char*>(&header), sizeof(header));
}

void AppendFrame(MessageType type, std::string_view body, std::string& out) {
  AppendFrameHeader({type, body.size()}, out);
  out.append(body);
}

std::optional<FrameStart> PeekFrame(std::string_view buffer) {
  if (buffer.size() < kFrameHeaderBytes) return std::nullopt;
  Header header{};
  std::memcpy(&header, buffer.data(), sizeof(header));
  return FrameStart{static_cast<MessageType>(header.type), header.body_bytes};
}

Result<std::optional<ParsedFrame>> ParseFrame(std::string_view buffer,
                                              size_t max_body_bytes) {
  if (buffer.size() < kFrameHeaderBytes) return std::optional<ParsedFrame>();
  Header header{};
  std::memcpy(&header, buffer.data(), sizeof(header));
  if (header.magic != kFrameMagic)
    return MakeError(ErrorCode::kMalformed,
                     "not a frame of the inner protocol");
  if (header.version != kProtocolVersion) {
    return MakeError(ErrorCode::kMalformed, "unsupported protocol version " +
                                                std::to_string(header.version));
  }
  const auto type = static_cast<MessageType>(header.type);
  if (NameOf(kMessageTypeNames, type) == "?") {
    return MakeError(ErrorCode::kMalformed,
                     "unknown message type " + std::to_string(header.type));
  }
  if (header.body_bytes > max_body_bytes) {
    return MakeError(ErrorCode::kTooLarge,
                     "frame body of " + std::to_string(header.body_bytes) +
                         " bytes exceeds the limit");
  }
  const size_t length = kFrameHeaderBytes + header.body_bytes;
  if (buffer.size() < length) return std::optional<ParsedFrame>();
  return std::optional<ParsedFrame>(ParsedFrame{
      {type, buffer.substr(kFrameHeaderBytes, header.body_bytes)}, length});
}

}  // namespace mimosadeal
