// The body of a message for the parsers of Boost.Beast. Unlike
// http::string_body it takes memory for the bytes that have arrived, not for
// the length that the sender states, so that a stated length alone costs
// nothing.
#pragma once

#include <algorithm>
#include <bit>
#include <boost/beast/core/buffers_range.hpp>
#include <boost/beast/core/error.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/optional/optional.hpp>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>

namespace mimosadeal {

// A body of this size is read into one buffer that does not grow.
inline constexpr size_t kInitialBodyBytes = size_t{64} * 1024;

// Returns the capacity, in bytes, of a buffer that has to hold `needed` bytes
// of a body. With a stated length, of which `needed` is a part, the buffer
// grows to that length by doubling, so that the bytes in it and in the smaller
// buffer that is copied into it are never more than the stated length together.
inline size_t BodyCapacity(std::optional<uint64_t> stated, size_t needed) {
  if (!stated.has_value()) return std::bit_ceil(needed);
  size_t capacity = std::max<size_t>(*stated, needed);
  while (capacity > kInitialBodyBytes && capacity - capacity / 2 >= needed)
    capacity -= capacity / 2;
  return capacity;
}

struct GrowingBody {
  using value_type = std::string;

  // Implements the BodyReader requirements of Boost.Beast.
  class reader {  // NOLINT(readability-identifier-naming)
   public:
    template <bool is_request, class Fields>
    reader(boost::beast::http::header<is_request, Fields>& /*header*/,
           std::string& body)
        : body_(body) {}

    void init(const boost::optional<std::uint64_t>& stated,
              boost::beast::error_code& error) {
      if (stated) stated_ = *stated;
      error = {};
    }

    template <class Buffers>
    size_t put(const Buffers& buffers, boost::beast::error_code& error) {
      size_t added = 0;
      for (const auto buffer : boost::beast::buffers_range_ref(buffers)) {
        const size_t needed = body_.size() + buffer.size();
        if (needed > body_.capacity())
          body_.reserve(BodyCapacity(stated_, needed));
        body_.append(static_cast<const char*>(buffer.data()), buffer.size());
        added += buffer.size();
      }
      error = {};
      return added;
    }

    void finish(boost::beast::error_code& error) { error = {}; }

   private:
    std::string& body_;
    std::optional<uint64_t> stated_;
  };
};

}  // namespace mimosadeal
