#include "net/lws_headers.h"

#include <array>

namespace mimosadeal {

std::string CopyHeader(lws* wsi, lws_token_indexes token) {
  const int length = lws_hdr_total_length(wsi, token);
  if (length <= 0 || static_cast<size_t>(length) > kMaxHeaderValueBytes)
    return {};
  std::array<char, kMaxHeaderValueBytes + 1> buffer{};
  const int copied =
      lws_hdr_copy(wsi, buffer.data(), static_cast<int>(buffer.size()), token);
  return copied > 0 ? std::string(buffer.data(), static_cast<size_t>(copied))
                    : std::string();
}

std::string CopyCustomHeader(lws* wsi, const std::string& name) {
  const std::string with_colon = name + ":";
  const int name_length = static_cast<int>(with_colon.size());
  const int length =
      lws_hdr_custom_length(wsi, with_colon.c_str(), name_length);
  if (length <= 0 || static_cast<size_t>(length) > kMaxHeaderValueBytes)
    return {};
  std::array<char, kMaxHeaderValueBytes + 1> buffer{};
  const int copied =
      lws_hdr_custom_copy(wsi, buffer.data(), static_cast<int>(buffer.size()),
                          with_colon.c_str(), name_length);
  return copied > 0 ? std::string(buffer.data(), static_cast<size_t>(length))
                    : std::string();
}

bool AppendHeader(lws* wsi, const HttpHeader& header, unsigned char** at,
                  unsigned char* end) {
  const std::string name = header.name + ":";
  return lws_add_http_header_by_name(
             wsi, reinterpret_cast<const unsigned char*>(name.c_str()),
             reinterpret_cast<const unsigned char*>(header.value.data()),
             static_cast<int>(header.value.size()), at, end) == 0;
}

}  // namespace mimosadeal
