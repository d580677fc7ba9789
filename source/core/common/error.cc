#include "common/error.h"

#include "common/enum_names.h"

namespace mimosadeal {
namespace {

constexpr EnumNames<ErrorCode, 9> kErrorCodeNames = {{
    {ErrorCode::kInvalidArgument, "invalid argument"},
    {ErrorCode::kNotFound, "not found"},
    {ErrorCode::kConflict, "conflict"},
    {ErrorCode::kUnavailable, "unavailable"},
    {ErrorCode::kTimeout, "timeout"},
    {ErrorCode::kMalformed, "malformed"},
    {ErrorCode::kTooLarge, "too large"},
    {ErrorCode::kIo, "input/output error"},
    {ErrorCode::kUnknownOutcome, "unknown outcome"},
}};

}  // namespace

std::string_view ErrorCodeName(ErrorCode code) {
  return NameOf(kErrorCodeNames, code);
}

std::string DescribeError(const Error& error) {
  return std::string(ErrorCodeName(error.code)) + ": " + error.message;
}

}  // namespace mimosadeal
