/// @file Continuous batching: one step gives every running sequence one token.
#pragma once

#include <condition_variable>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "prefix_cache.hpp"

namespace sailgate::standin {

/// Speed and size of the engine.
struct EngineShape {
  std::int64_t step_microseconds = 2000;              ///< of a step with one sequence
  std::int64_t step_per_sequence_microseconds = 150;  ///< for each further one
  std::int64_t prefill_tokens_per_step = 512;         ///< uncached prompt tokens per step
  std::size_t maximum_batch = 32;
  std::size_t cache_blocks = 4096;
  std::int64_t answer_tokens = 24;  ///< length of an answer, unless limited
};

/// One attempt's sequence and its output, kept for a while after its end so that a cut stream can
/// be resumed.
struct Sequence {
  std::string program;
  std::string request_key;
  std::int64_t priority = 0;
  std::int64_t prefill_left = 0;
  std::size_t cached_blocks = 0;
  std::size_t prompt_tokens = 0;
  std::int64_t answer_length = 0;
  std::vector<std::int64_t> blocks;
  std::vector<std::string> output;
  bool running = false;
  bool done = false;
  bool cancelled = false;
};

/// Thread-safe; a thread of its own runs the steps.
class EngineModel {
 public:
  explicit EngineModel(EngineShape shape);
  EngineModel(const EngineModel&) = delete;
  EngineModel& operator=(const EngineModel&) = delete;
  ~EngineModel();

  /// Queues an attempt; one that is known already is joined.
  void submit(const std::string& attempt, Sequence sequence, const std::string& prompt);
  /// Waits for the piece at `position`. @return false when there is none: at the end, when the
  /// attempt is unknown or was cancelled.
  bool wait_for_piece(const std::string& attempt, std::size_t position, std::string& piece);
  bool known(const std::string& attempt) const;
  bool cancelled(const std::string& attempt) const;
  std::size_t answered_tokens(const std::string& attempt) const;
  void cancel(const std::string& attempt);
  /// Cancels what runs for a program and drops its cache.
  void evict(const std::string& program);
  void import_blocks(const std::string& program, const std::vector<std::int64_t>& blocks);
  std::vector<std::int64_t> export_blocks(const std::string& program) const;
  std::vector<CacheEvent> events_after(std::int64_t after) const;
  std::vector<std::string> programs_held() const;
  /// Sequences running or waiting.
  std::size_t load() const;
  /// Prompt tokens computed and prompt tokens taken from the cache, since the start.
  std::int64_t computed_tokens() const;
  std::int64_t reused_tokens() const;

 private:
  void run();
  std::size_t step();
  void start_waiting();
  void finish(Sequence& sequence);

  const EngineShape shape_;
  mutable std::mutex mutex_;
  std::condition_variable changed_;
  bool stopping_ = false;
  PrefixCache cache_;
  std::map<std::string, Sequence> sequences_;
  std::vector<std::string> order_;  ///< attempts in order of arrival
  std::int64_t computed_ = 0;
  std::int64_t reused_ = 0;
  std::thread thread_;
};

}  // namespace sailgate::standin
