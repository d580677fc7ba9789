// Names of request outcomes and dispatch statuses, as callers and logs see
// them.
#pragma once

#include <string_view>

#include "inner/request_messages.h"

namespace mimosadeal {

std::string_view OutcomeName(RequestOutcome outcome);
std::string_view DispatchStatusName(DispatchStatus status);

}  // namespace mimosadeal
