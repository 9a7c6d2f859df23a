/// @file Structured log for multi-threaded processes.
#pragma once

#include <condition_variable>
#include <mutex>
#include <string_view>
#include <thread>

#include "observe/structured_log.hpp"

namespace sailgate::observe {

/// Thread-safe. A dedicated thread writes the lines, so that callers never block on the descriptor.
/// Lock order: the mutex is a leaf; no other lock is acquired while it is held.
class SharedLog {
 public:
  explicit SharedLog(int descriptor);
  SharedLog(const SharedLog&) = delete;
  SharedLog& operator=(const SharedLog&) = delete;
  /// Writes the remaining lines as far as the descriptor accepts them without blocking.
  ~SharedLog();

  /// Adds a line. @param fill adds its fields; called with the mutex held, so it must not block.
  template <typename Fill>
  void event(std::string_view name, Fill fill) {
    const std::lock_guard<std::mutex> lock(mutex_);
    auto line = log_.event(name);
    fill(line);
  }

 private:
  void run_writer();

  std::mutex mutex_;
  StructuredLog log_;
  std::condition_variable stop_;
  bool stopping_ = false;
  std::thread writer_;
};

}  // namespace sailgate::observe
