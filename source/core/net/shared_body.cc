#include "net/shared_body.h"

#include <utility>

namespace mimosadeal {
namespace {

struct HeldBytes {
  std::string bytes;
  std::shared_ptr<ByteHold> hold;
};

}  // namespace

SharedBody::SharedBody(std::string bytes, std::shared_ptr<ByteHold> hold) {
  const auto held = std::make_shared<const HeldBytes>(
      HeldBytes{std::move(bytes), std::move(hold)});
  bytes_ = std::shared_ptr<const std::string>(held, &held->bytes);
}

}  // namespace mimosadeal
