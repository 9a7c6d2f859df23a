/// @file A child process that is ended by its pid.
#pragma once

#include <sys/types.h>

#include <string>
#include <vector>

namespace sailgate::bench {

/// Ends the process with SIGKILL when destroyed. Not thread-safe.
class ChildProcess {
 public:
  /// @param log_file gets standard output and error.
  /// @throws std::system_error when it cannot be started.
  ChildProcess(const std::vector<std::string>& arguments, const std::string& log_file);
  ChildProcess(const ChildProcess&) = delete;
  ChildProcess& operator=(const ChildProcess&) = delete;
  ~ChildProcess();

  void signal(int number) const;
  /// Waits up to `timeout_millis`. @return whether it has ended.
  bool wait(int timeout_millis);
  bool running();
  /// Exit code after it has ended; 128 + signal when a signal ended it.
  int exit_code() const { return exit_code_; }
  pid_t pid() const { return pid_; }

 private:
  pid_t pid_ = 0;
  bool ended_ = false;
  int exit_code_ = 0;
};

}  // namespace sailgate::bench
