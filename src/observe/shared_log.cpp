#include "observe/shared_log.hpp"

#include <chrono>

namespace sailgate::observe {

namespace {

constexpr std::chrono::milliseconds kFlushInterval{50};

}  // namespace

SharedLog::SharedLog(int descriptor) : log_(descriptor), writer_([this] { run_writer(); }) {}

SharedLog::~SharedLog() {
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    stopping_ = true;
  }
  stop_.notify_all();
  writer_.join();
  log_.flush();
}

void SharedLog::run_writer() {
  std::unique_lock<std::mutex> lock(mutex_);
  while (!stopping_) {
    log_.flush();
    stop_.wait_for(lock, kFlushInterval, [this] { return stopping_; });
  }
}

}  // namespace sailgate::observe
