// Reads and writes the HTTP headers of libwebsockets connections, for
// HttpServer and HttpClientConnection.
#pragma once

#include <libwebsockets.h>

#include <cstddef>
#include <string>

#include "net/http_message.h"

namespace mimosadeal {

// Headers with longer values are treated as missing.
inline constexpr size_t kMaxHeaderValueBytes = 4096;

// A header that libwebsockets parses itself, and its name in lower case.
struct HeaderToken {
  lws_token_indexes token;
  const char* name;
};

// Return the value of the header, or an empty string if it is missing.
std::string CopyHeader(lws* wsi, lws_token_indexes token);
std::string CopyCustomHeader(lws* wsi, const std::string& name);

// Writes a header at `*at` and advances `*at`. Returns false if it does not fit
// before `end`.
bool AppendHeader(lws* wsi, const HttpHeader& header, unsigned char** at,
                  unsigned char* end);

}  // namespace mimosadeal
