// Makes replies to dispatched requests other than an upstream's own answer.
#pragma once

#include <string>

#include "inner/request_messages.h"

namespace mimosadeal {

DispatchReply MakeDispatchReply(DispatchStatus status, RequestOutcome outcome,
                                std::string detail);

}  // namespace mimosadeal
