#include "common/json_text.h"

#include <nlohmann/json.hpp>

namespace mimosadeal {

std::string JsonText(const nlohmann::json& value) {
  return value.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

bool IsUtf8(const std::string& text) {
  return nlohmann::json::parse(JsonText(text)) == text;
}

std::string PointerToken(const std::string& name) {
  std::string token;
  for (const char c : name) {
    if (c == '~') {
      token += "~0";
    } else if (c == '/') {
      token += "~1";
    } else {
      token += c;
    }
  }
  return token;
}

}  // namespace mimosadeal
