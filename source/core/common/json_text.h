// JSON text of values with strings from outside. The library's own dump()
// throws if a string is no UTF-8.
#pragma once

#include <nlohmann/json_fwd.hpp>
#include <string>

namespace mimosadeal {

// Deeper nesting is read as null: the library's values are copied and written
// recursively, so that very deep ones could exhaust the stack. The platform's
// messages are nested less than 16 deep.
inline constexpr int kMaxJsonNesting = 64;

// Returns the JSON text of `value` on one line. U+FFFD replaces the bytes of
// strings that are no UTF-8.
std::string JsonText(const nlohmann::json& value);

// Whether JSON can carry `text` unchanged.
bool IsUtf8(const std::string& text);

// Returns the name of a member as a token of a JSON Pointer (RFC 6901).
std::string PointerToken(const std::string& name);

}  // namespace mimosadeal
