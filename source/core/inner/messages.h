// Encodes and decodes message bodies.
#pragma once

#include <string>
#include <string_view>

#include "common/error.h"
#include "inner/control_messages.h"
#include "inner/owner_room_messages.h"
#include "inner/relay_messages.h"
#include "inner/request_messages.h"
#include "inner/room_messages.h"
#include "inner/zone_messages.h"

namespace mimosadeal {

template <typename Message>
std::string EncodeBody(const Message& message) {
  std::string body;
  WireOutputArchive archive(body);
  archive(message);
  return body;
}

// As EncodeBody, without the last field of the message: a text, which is empty
// in `message` and is sent after the result as it is.
template <typename Message>
std::string EncodeBodyBefore(const Message& message, size_t last_field_bytes) {
  std::string body = EncodeBody(message);
  body.resize(body.size() - sizeof(uint32_t));
  WireOutputArchive archive(body);
  archive(static_cast<uint32_t>(last_field_bytes));
  return body;
}

// Errors: kMalformed if the body is truncated, has bytes left over or holds a
// length beyond its end.
template <typename Message>
Result<Message> DecodeBody(std::string_view body) {
  Message message;
  try {
    WireInputArchive archive(body);
    archive(message);
    if (archive.bytes_left() != 0)
      return MakeError(ErrorCode::kMalformed,
                       "bytes left over after the message");
  } catch (const cereal::Exception& exception) {
    return MakeError(ErrorCode::kMalformed, exception.what());
  }
  return message;
}

// Checks that a body can be decoded as a message of the type. Errors:
// kMalformed.
Result<void> CheckBody(MessageType type, std::string_view body);

}  // namespace mimosadeal
