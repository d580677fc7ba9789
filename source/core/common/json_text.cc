#include "common/json_text.h"

#include <nlohmann/json.hpp>

namespace mimosadeal {

std::string JsonText(const nlohmann::json& value) {
  return value.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

bool IsUtf8(const std::string& text) {
  return nlohmann::json::parse(JsonText(text)) == text;
}

}  // namespace mimosadeal
