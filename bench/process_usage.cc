#include "process_usage.h"

#include <unistd.h>

#include <fstream>
#include <sstream>
#include <string>

namespace mimosadeal {
namespace {

// Fields of /proc/PID/stat between the state and the user time.
constexpr int kSkippedFields = 11;

}  // namespace

double ProcessorSeconds(pid_t pid) {
  std::ifstream file("/proc/" + std::to_string(pid) + "/stat");
  std::string text;
  std::getline(file, text);
  const size_t name_end = text.rfind(')');
  if (name_end == std::string::npos) return 0;
  std::istringstream fields(text.substr(name_end + 2));
  std::string skipped;
  for (int i = 0; i < kSkippedFields; ++i) fields >> skipped;
  double user = 0;
  double system = 0;
  fields >> user >> system;
  return (user + system) / static_cast<double>(sysconf(_SC_CLK_TCK));
}

int64_t ResidentKilobytes(pid_t pid) {
  std::ifstream file("/proc/" + std::to_string(pid) + "/status");
  std::string word;
  while (file >> word) {
    if (word != "VmRSS:") continue;
    int64_t kilobytes = 0;
    file >> kilobytes;
    return kilobytes;
  }
  return 0;
}

}  // namespace mimosadeal
