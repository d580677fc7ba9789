#include "child_process.h"

#include <fcntl.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <csignal>
#include <utility>

namespace mimosadeal {
namespace {

int ExitCodeOf(int status) {
  return WIFEXITED(status) ? WEXITSTATUS(status) : -1;
}

}  // namespace

ChildProcess::ChildProcess(const std::string& program,
                           const std::vector<std::string>& arguments,
                           const std::string& log_path) {
  std::vector<char*> argv;
  argv.push_back(const_cast<char*>(program.c_str()));
  for (const std::string& argument : arguments)
    argv.push_back(const_cast<char*>(argument.c_str()));
  argv.push_back(nullptr);
  posix_spawn_file_actions_t actions;
  posix_spawn_file_actions_init(&actions);
  posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, log_path.c_str(),
                                   O_WRONLY | O_CREAT | O_APPEND, 0644);
  posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
  if (posix_spawn(&pid_, program.c_str(), &actions, nullptr, argv.data(),
                  environ) != 0)
    pid_ = 0;
  posix_spawn_file_actions_destroy(&actions);
}

ChildProcess::~ChildProcess() { Kill(); }

ChildProcess::ChildProcess(ChildProcess&& other) noexcept
    : pid_(std::exchange(other.pid_, 0)) {}

ChildProcess& ChildProcess::operator=(ChildProcess&& other) noexcept {
  if (this != &other) {
    Kill();
    pid_ = std::exchange(other.pid_, 0);
  }
  return *this;
}

void ChildProcess::Signal(int signal) const {
  if (pid_ > 0) kill(pid_, signal);
}

void ChildProcess::Kill() {
  if (pid_ <= 0) return;
  kill(pid_, SIGKILL);
  Wait();
}

int ChildProcess::Wait() {
  if (pid_ <= 0) return -1;
  int status = 0;
  waitpid(pid_, &status, 0);
  pid_ = 0;
  return ExitCodeOf(status);
}

bool ChildProcess::TryWait(int& exit_code) {
  if (pid_ <= 0) return false;
  int status = 0;
  if (waitpid(pid_, &status, WNOHANG) != pid_) return false;
  pid_ = 0;
  exit_code = ExitCodeOf(status);
  return true;
}

}  // namespace mimosadeal
