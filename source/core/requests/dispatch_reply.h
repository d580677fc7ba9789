// Creates replies to dispatched requests that carry no upstream response.
#pragma once

#include <string>

#include "inner/request_messages.h"

namespace mimosadeal {

DispatchReply MakeDispatchReply(DispatchStatus status, RequestOutcome outcome,
                                std::string detail);

}  // namespace mimosadeal
