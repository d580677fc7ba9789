// A body that several parts keep at the same time, once in memory.
#pragma once

#include <memory>
#include <string>
#include <string_view>
#include <utility>

namespace mimosadeal {

class ByteHold;

class SharedBody {
 public:
  SharedBody() = default;
  // Not explicit: a body is written where a text is.
  // NOLINTNEXTLINE(google-explicit-constructor)
  SharedBody(std::string bytes) : SharedBody(std::move(bytes), nullptr) {}
  // `hold` counts the bytes for as long as anyone keeps them; may be null.
  SharedBody(std::string bytes, std::shared_ptr<ByteHold> hold);

  bool empty() const { return bytes_ == nullptr || bytes_->empty(); }
  // NOLINTNEXTLINE(google-explicit-constructor)
  operator std::string_view() const {
    return bytes_ == nullptr ? std::string_view() : *bytes_;
  }
  // Null if there is none.
  const std::shared_ptr<const std::string>& pointer() const { return bytes_; }

 private:
  std::shared_ptr<const std::string> bytes_;
};

}  // namespace mimosadeal
