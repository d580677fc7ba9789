// Names of request outcomes and dispatch statuses for callers and the log.
#pragma once

#include <string_view>

#include "inner/request_messages.h"

namespace mimosadeal {

std::string_view OutcomeName(RequestOutcome outcome);
std::string_view DispatchStatusName(DispatchStatus status);

}  // namespace mimosadeal
