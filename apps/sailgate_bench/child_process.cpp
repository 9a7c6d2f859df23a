#include "child_process.hpp"

#include <fcntl.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cerrno>
#include <chrono>
#include <system_error>
#include <thread>

namespace sailgate::bench {
namespace {

constexpr int kExecFailed = 127;
constexpr int kSignalBase = 128;
constexpr std::chrono::milliseconds kPoll{10};

/// Runs in the child between fork and exec: only async-signal-safe calls.
[[noreturn]] void become(char* const* arguments, int log) {
  prctl(PR_SET_PDEATHSIG, SIGKILL);
  sigset_t none;
  sigemptyset(&none);
  sigprocmask(SIG_SETMASK, &none, nullptr);
  dup2(log, STDOUT_FILENO);
  dup2(log, STDERR_FILENO);
  execv(arguments[0], arguments);
  _exit(kExecFailed);
}

}  // namespace

ChildProcess::ChildProcess(const std::vector<std::string>& arguments, const std::string& log_file) {
  std::vector<char*> pointers;
  pointers.reserve(arguments.size() + 1);
  for (const auto& argument : arguments) pointers.push_back(const_cast<char*>(argument.c_str()));
  pointers.push_back(nullptr);
  constexpr mode_t kMode = 0644;
  const int log = open(log_file.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, kMode);
  if (log < 0) throw std::system_error(errno, std::generic_category(), log_file);
  pid_ = fork();
  if (pid_ == 0) become(pointers.data(), log);
  close(log);
  if (pid_ < 0) throw std::system_error(errno, std::generic_category(), "fork");
}

ChildProcess::~ChildProcess() {
  if (!running()) return;
  signal(SIGKILL);
  waitpid(pid_, nullptr, 0);
}

void ChildProcess::signal(int number) const {
  if (!ended_) kill(pid_, number);
}

bool ChildProcess::running() {
  if (ended_) return false;
  int status = 0;
  if (waitpid(pid_, &status, WNOHANG) != pid_) return true;
  ended_ = true;
  exit_code_ = WIFEXITED(status) ? WEXITSTATUS(status) : kSignalBase + WTERMSIG(status);
  return false;
}

bool ChildProcess::wait(int timeout_millis) {
  const auto limit = std::chrono::steady_clock::now() + std::chrono::milliseconds(timeout_millis);
  while (running()) {
    if (std::chrono::steady_clock::now() >= limit) return false;
    std::this_thread::sleep_for(kPoll);
  }
  return true;
}

}  // namespace sailgate::bench
