// Error values. Functions that can fail return Result<T>. Only a violated
// invariant terminates the process, such as reading the value of a Result that
// holds an error (policy::terminate).
#pragma once

#include <boost/outcome/policy/terminate.hpp>
#include <boost/outcome/result.hpp>
#include <boost/outcome/try.hpp>
#include <cstdint>
#include <string>
#include <string_view>

namespace mimosadeal {

enum class ErrorCode : uint8_t {
  kInvalidArgument,
  kNotFound,
  kConflict,
  kUnavailable,
  kTimeout,
  kMalformed,
  kTooLarge,
  kIo,
  kUnknownOutcome,
};

std::string_view ErrorCodeName(ErrorCode code);

struct Error {
  ErrorCode code = ErrorCode::kInvalidArgument;
  std::string message;
};

namespace outcome = BOOST_OUTCOME_V2_NAMESPACE;

template <typename T>
using Result = outcome::basic_result<T, Error, outcome::policy::terminate>;

inline Error MakeError(ErrorCode code, std::string message) {
  return Error{code, std::move(message)};
}

// Returns "<code name>: <message>", for logs and problem details.
std::string DescribeError(const Error& error);

}  // namespace mimosadeal
