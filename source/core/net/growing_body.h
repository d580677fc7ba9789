// The body of a message for the parsers of Boost.Beast. Unlike
// http::string_body it takes memory for the bytes that have arrived, not for
// the length that the sender states, so that a stated length alone costs
// nothing.
#pragma once

#include <boost/beast/core/buffers_range.hpp>
#include <boost/beast/core/error.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/optional/optional.hpp>
#include <cstddef>
#include <cstdint>
#include <optional>

#include "net/piece_buffer.h"

namespace mimosadeal {

struct GrowingBody {
  using value_type = PieceBuffer;

  // Implements the BodyReader requirements of Boost.Beast.
  class reader {  // NOLINT(readability-identifier-naming)
   public:
    template <bool is_request, class Fields>
    reader(boost::beast::http::header<is_request, Fields>& /*header*/,
           PieceBuffer& body)
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
        body_.Append({static_cast<const char*>(buffer.data()), buffer.size()},
                     stated_);
        added += buffer.size();
      }
      error = {};
      return added;
    }

    void finish(boost::beast::error_code& error) { error = {}; }

   private:
    PieceBuffer& body_;
    std::optional<uint64_t> stated_;
  };
};

}  // namespace mimosadeal
