/// @file The structured log for processes with several threads.
#pragma once

#include <condition_variable>
#include <mutex>
#include <string_view>
#include <thread>

#include "observe/structured_log.hpp"

namespace sailgate::observe {

/// Thread-safe. Lines are written by a thread of its own, so that no caller waits for the
/// descriptor. Lock order: its mutex is a leaf, nothing else is locked under it.
class SharedLog {
 public:
  explicit SharedLog(int descriptor);
  SharedLog(const SharedLog&) = delete;
  SharedLog& operator=(const SharedLog&) = delete;
  /// Writes what is left, as far as the descriptor takes it.
  ~SharedLog();

  /// Adds a line. @param fill adds its fields; called under the log's lock, must not block.
  template <typename Fill>
  void event(std::string_view name, Fill fill) {
    const std::lock_guard<std::mutex> lock(mutex_);
    auto line = log_.event(name);
    fill(line);
  }

 private:
  void write_out();

  std::mutex mutex_;
  StructuredLog log_;
  std::condition_variable stop_;
  bool stopping_ = false;
  std::thread writer_;
};

}  // namespace sailgate::observe
