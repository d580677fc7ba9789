// JSON text of values with strings from outside. The library's own dump()
// throws if a string is no UTF-8.
#pragma once

#include <nlohmann/json_fwd.hpp>
#include <string>

namespace mimosadeal {

// Returns the JSON text of `value` on one line. U+FFFD replaces the bytes of
// strings that are no UTF-8.
std::string JsonText(const nlohmann::json& value);

// Whether JSON can carry `text` unchanged.
bool IsUtf8(const std::string& text);

}  // namespace mimosadeal
