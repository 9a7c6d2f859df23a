/// @file Fixed pool of threads for work that may block.
#pragma once

#include <condition_variable>
#include <cstddef>
#include <deque>
#include <functional>
#include <mutex>
#include <thread>
#include <vector>

namespace sailgate::http {

/// Runs jobs in the order given. The threads are not those of the HTTP library, so that a job may
/// wait for that library's tasks. Thread-safe.
class WorkerPool {
 public:
  using Job = std::function<void()>;

  /// @param queue_limit jobs that may wait for a thread.
  WorkerPool(std::size_t threads, std::size_t queue_limit);
  WorkerPool(const WorkerPool&) = delete;
  WorkerPool& operator=(const WorkerPool&) = delete;
  /// Finishes queued jobs first.
  ~WorkerPool();

  /// @return false when the queue is full or the pool is stopping; the job is then not run.
  bool submit(Job job);
  /// Stops accepting, finishes queued jobs, joins the threads.
  void stop();
  /// Jobs queued or running.
  std::size_t pending() const;

 private:
  void run();

  const std::size_t queue_limit_;
  mutable std::mutex mutex_;
  std::condition_variable wake_;
  std::deque<Job> jobs_;
  std::size_t running_ = 0;
  bool stopping_ = false;
  std::vector<std::thread> threads_;
};

}  // namespace sailgate::http
