#include "net/http_message.h"

#include <cctype>

namespace mimosadeal {
namespace {

// Percent-encodes every byte that is no letter, no digit and not in `allowed`.
std::string PercentEncode(std::string_view text, std::string_view allowed) {
  constexpr char hex_digits[] = "0123456789ABCDEF";
  std::string encoded;
  encoded.reserve(text.size());
  for (const char c : text) {
    const auto byte = static_cast<unsigned char>(c);
    if (std::isalnum(byte) != 0 || allowed.find(c) != std::string_view::npos) {
      encoded += c;
      continue;
    }
    encoded += '%';
    encoded += hex_digits[byte >> 4];
    encoded += hex_digits[byte & 0xF];
  }
  return encoded;
}

}  // namespace

std::string_view FindHeader(const HttpHeaders& headers, std::string_view name) {
  for (const HttpHeader& header : headers) {
    if (header.name == name) return header.value;
  }
  return {};
}

std::string EncodePath(std::string_view path) {
  return PercentEncode(path, "-._~!$&'()*+,;=:@/");
}

std::string EncodeComponent(std::string_view text) {
  return PercentEncode(text, "-._~");
}

}  // namespace mimosadeal
