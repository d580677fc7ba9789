// Reads the files that operators name on the command line.
#pragma once

#include <string>

#include "common/error.h"

namespace mimosadeal {

// Returns the content of a file, or of standard input for "-". Errors: kIo;
// kTooLarge if it has more than `max_bytes`.
Result<std::string> ReadFileText(const std::string& path, size_t max_bytes);

}  // namespace mimosadeal
