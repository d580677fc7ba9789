// Tables that map enum values to names, for both printing and parsing.
#pragma once

#include <array>
#include <cstddef>
#include <optional>
#include <string_view>

namespace mimosadeal {

template <typename Enum>
struct EnumName {
  Enum value;
  std::string_view name;
};

template <typename Enum, size_t kCount>
using EnumNames = std::array<EnumName<Enum>, kCount>;

// Returns the name of `value`, or "?" when the table lacks it.
template <typename Enum, size_t kCount>
constexpr std::string_view NameOf(const EnumNames<Enum, kCount>& table,
                                  Enum value) {
  for (const EnumName<Enum>& entry : table) {
    if (entry.value == value) return entry.name;
  }
  return "?";
}

// Returns the value with the name `name`, or nullopt when the table lacks it.
template <typename Enum, size_t kCount>
constexpr std::optional<Enum> ValueOf(const EnumNames<Enum, kCount>& table,
                                      std::string_view name) {
  for (const EnumName<Enum>& entry : table) {
    if (entry.name == name) return entry.value;
  }
  return std::nullopt;
}

}  // namespace mimosadeal
