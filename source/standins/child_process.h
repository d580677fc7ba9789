// A process that a test, a bench or the demo starts and ends. The product
// itself starts none.
#pragma once

#include <sys/types.h>

#include <string>
#include <vector>

namespace mimosadeal {

class ChildProcess {
 public:
  ChildProcess() = default;
  // Starts `program`; its output goes to `log_path`.
  ChildProcess(const std::string& program,
               const std::vector<std::string>& arguments,
               const std::string& log_path);
  // Kills the process if it still runs.
  ~ChildProcess();
  ChildProcess(ChildProcess&& other) noexcept;
  ChildProcess& operator=(ChildProcess&& other) noexcept;

  bool running() const { return pid_ > 0; }
  pid_t pid() const { return pid_; }
  void Signal(int signal) const;
  // Kills the process at once and waits for its end.
  void Kill();
  // Waits for the process to end by itself; returns its exit code, or -1 for an
  // end by a signal.
  int Wait();
  // Returns true, and the exit code, when the process has ended.
  bool TryWait(int& exit_code);

 private:
  pid_t pid_ = 0;
};

}  // namespace mimosadeal
