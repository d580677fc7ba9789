#include "net/http_message.h"

#include <cctype>

namespace mimosadeal {

std::string_view FindHeader(const HttpHeaders& headers, std::string_view name) {
  for (const HttpHeader& header : headers) {
    if (header.name == name) return header.value;
  }
  return {};
}

std::string EncodePath(std::string_view path) {
  constexpr std::string_view allowed = "-._~!$&'()*+,;=:@/";
  constexpr char hex_digits[] = "0123456789ABCDEF";
  std::string encoded;
  encoded.reserve(path.size());
  for (const char c : path) {
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

}  // namespace mimosadeal
