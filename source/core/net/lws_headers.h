// Reads and writes HTTP headers of libwebsockets' connections, for the server
// and the client.
#pragma once

#include <libwebsockets.h>

#include <cstddef>
#include <string>

#include "net/http_message.h"

namespace mimosadeal {

// Longer values are taken as missing.
inline constexpr size_t kMaxHeaderValueBytes = 4096;

// A header that libwebsockets knows, and its name in lower case.
struct HeaderToken {
  lws_token_indexes token;
  const char* name;
};

// Return the header's value, empty when it is missing.
std::string CopyHeader(lws* wsi, lws_token_indexes token);
std::string CopyCustomHeader(lws* wsi, const std::string& name);

// Writes a header to the buffer at `*at`. Returns false when there is no room
// before `end`.
bool AppendHeader(lws* wsi, const HttpHeader& header, unsigned char** at,
                  unsigned char* end);

}  // namespace mimosadeal
