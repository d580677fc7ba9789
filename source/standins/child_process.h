// Child process of a test, a benchmark or the demo. The router itself starts no
// processes.
#pragma once

#include <sys/types.h>

#include <string>
#include <vector>

namespace mimosadeal {

class ChildProcess {
 public:
  ChildProcess() = default;
  // Starts `program` and appends its output to `log_path`.
  ChildProcess(const std::string& program,
               const std::vector<std::string>& arguments,
               const std::string& log_path);
  // Kills the process if it is running.
  ~ChildProcess();
  ChildProcess(ChildProcess&& other) noexcept;
  ChildProcess& operator=(ChildProcess&& other) noexcept;

  bool running() const { return pid_ > 0; }
  pid_t pid() const { return pid_; }
  void Signal(int signal) const;
  // Sends SIGKILL and waits for the process to exit.
  void Kill();
  // Waits for the process to exit. Returns its exit code, or -1 if a signal
  // ended it or none is running.
  int Wait();
  // Returns true and sets `exit_code` if the process has exited. Doesn't block.
  bool TryWait(int& exit_code);

 private:
  pid_t pid_ = 0;
};

}  // namespace mimosadeal
