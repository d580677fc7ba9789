// Error responses as problem details (RFC 9457).
#pragma once

#include <string>

#include "inner/request_messages.h"
#include "net/http_message.h"

namespace mimosadeal {

struct Problem {
  int status = 500;
  std::string title;
  std::string detail;
  RequestOutcome outcome = RequestOutcome::kNotRun;
  // Zero when a retry is of no use.
  int32_t retry_after_ms = 0;
};

HttpResponse MakeProblemResponse(const Problem& problem);

}  // namespace mimosadeal
