#include "requests/dispatch_reply.h"

#include <utility>

namespace mimosadeal {

DispatchReply MakeDispatchReply(DispatchStatus status, RequestOutcome outcome,
                                std::string detail) {
  DispatchReply reply;
  reply.status = static_cast<uint8_t>(status);
  reply.outcome = static_cast<uint8_t>(outcome);
  reply.detail = std::move(detail);
  return reply;
}

}  // namespace mimosadeal
