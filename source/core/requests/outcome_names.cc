#include "requests/outcome_names.h"

#include "common/enum_names.h"

namespace mimosadeal {
namespace {

constexpr EnumNames<RequestOutcome, 3> kOutcomeNames = {{
    {RequestOutcome::kRan, "ran"},
    {RequestOutcome::kNotRun, "not run"},
    {RequestOutcome::kUnknown, "unknown"},
}};

constexpr EnumNames<DispatchStatus, 7> kDispatchStatusNames = {{
    {DispatchStatus::kAnswered, "answered"},
    {DispatchStatus::kRefused, "refused"},
    {DispatchStatus::kNoOwner, "no-owner"},
    {DispatchStatus::kUpstreamLost, "upstream-lost"},
    {DispatchStatus::kUpstreamSilent, "upstream-silent"},
    {DispatchStatus::kDeadline, "deadline"},
    {DispatchStatus::kConflict, "conflict"},
}};

}  // namespace

std::string_view OutcomeName(RequestOutcome outcome) {
  return NameOf(kOutcomeNames, outcome);
}

std::string_view DispatchStatusName(DispatchStatus status) {
  return NameOf(kDispatchStatusNames, status);
}

}  // namespace mimosadeal
