#include "requests/problem.h"

#include <nlohmann/json.hpp>

#include "common/json_text.h"
#include "requests/outcome_names.h"

namespace mimosadeal {
namespace {

constexpr int32_t kMillisecondsPerSecond = 1000;

}  // namespace

HttpResponse MakeProblemResponse(const Problem& problem) {
  nlohmann::json body = {{"type", "about:blank"},
                         {"title", problem.title},
                         {"status", problem.status},
                         {"detail", problem.detail},
                         {"outcome", OutcomeName(problem.outcome)}};
  HttpResponse response;
  response.status = problem.status;
  response.content_type = "application/problem+json";
  if (problem.retry_after_ms > 0) {
    body["retry_after_ms"] = problem.retry_after_ms;
    // The header is in whole seconds (RFC 9110, section 10.2.3).
    const int32_t seconds =
        (problem.retry_after_ms + kMillisecondsPerSecond - 1) /
        kMillisecondsPerSecond;
    response.headers.push_back({"retry-after", std::to_string(seconds)});
  }
  response.headers.push_back(
      {"mimosa-outcome", std::string(OutcomeName(problem.outcome))});
  response.body = JsonText(body);
  return response;
}

}  // namespace mimosadeal
