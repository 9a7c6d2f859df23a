#include "http/worker_pool.hpp"

#include <glog/logging.h>

#include <exception>

namespace sailgate::http {

WorkerPool::WorkerPool(std::size_t threads, std::size_t queue_limit) : queue_limit_(queue_limit) {
  threads_.reserve(threads);
  for (std::size_t i = 0; i < threads; ++i) threads_.emplace_back([this] { run(); });
}

WorkerPool::~WorkerPool() { stop(); }

bool WorkerPool::submit(Job job) {
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    if (stopping_ || jobs_.size() >= queue_limit_) return false;
    jobs_.push_back(std::move(job));
  }
  wake_.notify_one();
  return true;
}

void WorkerPool::stop() {
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    stopping_ = true;
  }
  wake_.notify_all();
  for (auto& thread : threads_) {
    if (thread.joinable()) thread.join();
  }
}

std::size_t WorkerPool::pending() const {
  const std::lock_guard<std::mutex> lock(mutex_);
  return jobs_.size() + running_;
}

void WorkerPool::run() {
  std::unique_lock<std::mutex> lock(mutex_);
  while (true) {
    wake_.wait(lock, [this] { return stopping_ || !jobs_.empty(); });
    if (jobs_.empty()) return;
    auto job = std::move(jobs_.front());
    jobs_.pop_front();
    ++running_;
    lock.unlock();
    try {
      job();
    } catch (const std::exception& error) {
      LOG(ERROR) << "job failed: " << error.what();
    }
    job = nullptr;
    lock.lock();
    --running_;
  }
}

}  // namespace sailgate::http
