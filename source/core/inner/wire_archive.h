// Cereal archives for the messages between entry hosts. Unlike cereal's binary
// archive, the input archive checks each length against the bytes that are left
// before it allocates anything, so that a forged length cannot exhaust memory.
// Numbers are little-endian.
#pragma once

#include <cereal/cereal.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/vector.hpp>
#include <cstdint>
#include <cstring>
#include <string>
#include <string_view>
#include <type_traits>
#include <utility>
#include <vector>

namespace mimosadeal {

static_assert(__BYTE_ORDER__ == __ORDER_LITTLE_ENDIAN__,
              "the inner protocol is little-endian");

class WireOutputArchive
    : public cereal::OutputArchive<WireOutputArchive,
                                   cereal::AllowEmptyClassElision> {
 public:
  explicit WireOutputArchive(std::string& buffer)
      : OutputArchive(this), buffer_(buffer) {}

  void SaveBytes(const void* data, size_t length) {
    buffer_.append(static_cast<const char*>(data), length);
  }

 private:
  std::string& buffer_;
};

class WireInputArchive
    : public cereal::InputArchive<WireInputArchive,
                                  cereal::AllowEmptyClassElision> {
 public:
  explicit WireInputArchive(std::string_view data)
      : InputArchive(this), rest_(data) {}

  // Throws cereal::Exception, because cereal reports errors only by exceptions.
  // DecodeBody catches it.
  void LoadBytes(void* data, size_t length) {
    Require(length);
    std::memcpy(data, rest_.data(), length);
    rest_.remove_prefix(length);
  }

  // Throws if fewer than `length` bytes are left.
  void Require(size_t length) const {
    if (length > rest_.size())
      throw cereal::Exception("a length exceeds the message");
  }

  size_t bytes_left() const { return rest_.size(); }

 private:
  std::string_view rest_;
};

template <typename T>
std::enable_if_t<std::is_arithmetic_v<T>> CEREAL_SAVE_FUNCTION_NAME(
    WireOutputArchive& archive, const T& value) {
  archive.SaveBytes(&value, sizeof(value));
}

template <typename T>
std::enable_if_t<std::is_arithmetic_v<T>> CEREAL_LOAD_FUNCTION_NAME(
    WireInputArchive& archive, T& value) {
  if constexpr (std::is_same_v<T, bool>) {
    // A bool with any other byte than 0 or 1 would be invalid.
    uint8_t byte = 0;
    archive.LoadBytes(&byte, sizeof(byte));
    value = byte != 0;
  } else {
    archive.LoadBytes(&value, sizeof(value));
  }
}

template <typename T>
void CEREAL_SERIALIZE_FUNCTION_NAME(WireOutputArchive& archive,
                                    cereal::NameValuePair<T>& pair) {
  archive(pair.value);
}

template <typename T>
void CEREAL_SERIALIZE_FUNCTION_NAME(WireInputArchive& archive,
                                    cereal::NameValuePair<T>& pair) {
  archive(pair.value);
}

template <typename T>
void CEREAL_SAVE_FUNCTION_NAME(WireOutputArchive& archive,
                               const cereal::SizeTag<T>& tag) {
  const auto size = static_cast<uint32_t>(tag.size);
  archive.SaveBytes(&size, sizeof(size));
}

template <typename T>
void CEREAL_LOAD_FUNCTION_NAME(WireInputArchive& archive,
                               cereal::SizeTag<T>& tag) {
  uint32_t size = 0;
  archive.LoadBytes(&size, sizeof(size));
  // Each element takes at least one byte.
  archive.Require(size);
  tag.size = size;
}

// Cereal's own functions for vectors make all elements before they read the
// first.
template <typename T, typename Allocator>
void CEREAL_LOAD_FUNCTION_NAME(WireInputArchive& archive,
                               std::vector<T, Allocator>& elements) {
  cereal::size_type count = 0;
  archive(cereal::make_size_tag(count));
  elements.clear();
  if constexpr (std::is_arithmetic_v<T>) {
    archive.Require(static_cast<size_t>(count) * sizeof(T));
    elements.reserve(static_cast<size_t>(count));
  }
  for (cereal::size_type i = 0; i < count; ++i) {
    T element{};
    archive(element);
    elements.push_back(std::move(element));
  }
}

template <typename T>
void CEREAL_SAVE_FUNCTION_NAME(WireOutputArchive& archive,
                               const cereal::BinaryData<T>& data) {
  archive.SaveBytes(data.data, static_cast<size_t>(data.size));
}

template <typename T>
void CEREAL_LOAD_FUNCTION_NAME(WireInputArchive& archive,
                               cereal::BinaryData<T>& data) {
  archive.LoadBytes(data.data, static_cast<size_t>(data.size));
}

}  // namespace mimosadeal

CEREAL_SETUP_ARCHIVE_TRAITS(mimosadeal::WireInputArchive,
                            mimosadeal::WireOutputArchive)
