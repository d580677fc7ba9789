#include "operator_client/file_text.h"

#include <fstream>
#include <iostream>

namespace mimosadeal {

Result<std::string> ReadFileText(const std::string& path, size_t max_bytes) {
  std::ifstream file;
  if (path != "-") file.open(path, std::ios::binary);
  std::istream& input = path == "-" ? std::cin : file;
  // One byte more shows that there are too many.
  std::string text(max_bytes + 1, '\0');
  if (input) input.read(text.data(), static_cast<std::streamsize>(text.size()));
  // The end of the input sets failbit too, but not badbit.
  if (input.bad() || (input.fail() && !input.eof()))
    return MakeError(ErrorCode::kIo, "cannot read " + path);
  text.resize(static_cast<size_t>(input.gcount()));
  if (text.size() > max_bytes) {
    return MakeError(
        ErrorCode::kTooLarge,
        path + " has more than " + std::to_string(max_bytes) + " bytes");
  }
  return text;
}

}  // namespace mimosadeal
