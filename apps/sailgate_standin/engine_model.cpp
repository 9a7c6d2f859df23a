#include "engine_model.hpp"

#include <algorithm>
#include <chrono>
#include <sstream>

namespace sailgate::standin {
namespace {

constexpr std::size_t kKeptSequences = 20'000;
constexpr std::chrono::milliseconds kIdleWait{50};

std::vector<std::string> tokenize(const std::string& text) {
  std::istringstream stream(text);
  std::vector<std::string> tokens;
  for (std::string token; stream >> token;) tokens.push_back(token);
  return tokens;
}

/// The answer names its request, so that a mixed-up answer is visible.
std::string answer_piece(const Sequence& sequence, std::size_t position) {
  if (position == 0) return "answer-to-" + sequence.request_key;
  return " w" + std::to_string(position);
}

}  // namespace

EngineModel::EngineModel(EngineShape shape)
    : shape_(shape), cache_(shape.cache_blocks), thread_([this] { run(); }) {}

EngineModel::~EngineModel() {
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    stopping_ = true;
  }
  changed_.notify_all();
  thread_.join();
}

void EngineModel::submit(const std::string& attempt, Sequence sequence, const std::string& prompt) {
  const auto tokens = tokenize(prompt);
  sequence.blocks = PrefixCache::blocks_of(tokens);
  sequence.prompt_tokens = tokens.size();
  sequence.answer_length =
      std::max<std::int64_t>(1, std::min(sequence.answer_length, shape_.answer_tokens));
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    if (!sequences_.emplace(attempt, std::move(sequence)).second) return;
    order_.push_back(attempt);
    if (order_.size() > kKeptSequences) {
      sequences_.erase(order_.front());
      order_.erase(order_.begin());
    }
  }
  changed_.notify_all();
}

bool EngineModel::wait_for_piece(const std::string& attempt, std::size_t position,
                                 std::string& piece) {
  std::unique_lock<std::mutex> lock(mutex_);
  while (!stopping_) {
    const auto found = sequences_.find(attempt);
    if (found == sequences_.end() || found->second.cancelled) return false;
    if (position < found->second.output.size()) {
      piece = found->second.output[position];
      return true;
    }
    if (found->second.done) return false;
    changed_.wait(lock);
  }
  return false;
}

bool EngineModel::known(const std::string& attempt) const {
  const std::lock_guard<std::mutex> lock(mutex_);
  return sequences_.count(attempt) > 0;
}

bool EngineModel::cancelled(const std::string& attempt) const {
  const std::lock_guard<std::mutex> lock(mutex_);
  const auto found = sequences_.find(attempt);
  return found == sequences_.end() || found->second.cancelled;
}

std::size_t EngineModel::answered_tokens(const std::string& attempt) const {
  const std::lock_guard<std::mutex> lock(mutex_);
  const auto found = sequences_.find(attempt);
  return found == sequences_.end() ? 0 : found->second.output.size();
}

void EngineModel::cancel(const std::string& attempt) {
  const std::lock_guard<std::mutex> lock(mutex_);
  // A cancel that overtakes its attempt leaves a mark, so that the attempt never starts.
  auto& sequence = sequences_[attempt];
  sequence.cancelled = true;
  sequence.running = false;
  changed_.notify_all();
}

void EngineModel::evict(const std::string& program) {
  const std::lock_guard<std::mutex> lock(mutex_);
  for (auto& [attempt, sequence] : sequences_) {
    if (sequence.program != program || sequence.done) continue;
    sequence.cancelled = true;
    sequence.running = false;
  }
  cache_.evict(program);
  changed_.notify_all();
}

void EngineModel::import_blocks(const std::string& program,
                                const std::vector<std::int64_t>& blocks) {
  const std::lock_guard<std::mutex> lock(mutex_);
  cache_.store(program, blocks);
}

std::vector<std::int64_t> EngineModel::export_blocks(const std::string& program) const {
  const std::lock_guard<std::mutex> lock(mutex_);
  return cache_.blocks_held_for(program);
}

std::vector<CacheEvent> EngineModel::events_after(std::int64_t after) const {
  const std::lock_guard<std::mutex> lock(mutex_);
  return cache_.events_after(after);
}

std::vector<std::string> EngineModel::programs_held() const {
  const std::lock_guard<std::mutex> lock(mutex_);
  const auto programs = cache_.programs();
  return {programs.begin(), programs.end()};
}

std::size_t EngineModel::load() const {
  const std::lock_guard<std::mutex> lock(mutex_);
  return static_cast<std::size_t>(std::count_if(
      sequences_.begin(), sequences_.end(),
      [](const auto& entry) { return !entry.second.done && !entry.second.cancelled; }));
}

std::int64_t EngineModel::computed_tokens() const {
  const std::lock_guard<std::mutex> lock(mutex_);
  return computed_;
}

std::int64_t EngineModel::reused_tokens() const {
  const std::lock_guard<std::mutex> lock(mutex_);
  return reused_;
}

void EngineModel::run() {
  std::unique_lock<std::mutex> lock(mutex_);
  while (!stopping_) {
    const auto batch = step();
    if (batch == 0) {
      changed_.wait_for(lock, kIdleWait);
      continue;
    }
    changed_.notify_all();
    const auto further = static_cast<std::int64_t>(batch - 1);
    const auto duration =
        shape_.step_microseconds + further * shape_.step_per_sequence_microseconds;
    lock.unlock();
    std::this_thread::sleep_for(std::chrono::microseconds(duration));
    lock.lock();
  }
}

/// One step of the batch. @return the number of sequences in it.
std::size_t EngineModel::step() {
  start_waiting();
  std::size_t batch = 0;
  auto prefill_budget = shape_.prefill_tokens_per_step;
  for (auto& [attempt, sequence] : sequences_) {
    if (!sequence.running) continue;
    ++batch;
    if (sequence.prefill_left > 0) {
      const auto done = std::min(sequence.prefill_left, prefill_budget);
      sequence.prefill_left -= done;
      prefill_budget -= done;
      computed_ += done;
      continue;
    }
    sequence.output.push_back(answer_piece(sequence, sequence.output.size()));
    const auto length = static_cast<std::int64_t>(sequence.output.size());
    if (length >= sequence.answer_length) finish(sequence);
  }
  return batch;
}

/// Moves waiting sequences into the batch, highest priority first, then in order of arrival.
void EngineModel::start_waiting() {
  auto running = static_cast<std::size_t>(
      std::count_if(sequences_.begin(), sequences_.end(),
                    [](const auto& entry) { return entry.second.running; }));
  while (running < shape_.maximum_batch) {
    Sequence* chosen = nullptr;
    for (const auto& attempt : order_) {
      auto& candidate = sequences_[attempt];
      if (candidate.running || candidate.done || candidate.cancelled) continue;
      if (chosen == nullptr || candidate.priority > chosen->priority) chosen = &candidate;
    }
    if (chosen == nullptr) return;
    chosen->running = true;
    chosen->cached_blocks = cache_.match(chosen->blocks);
    const auto cached = chosen->cached_blocks * PrefixCache::kBlockTokens;
    chosen->prefill_left = static_cast<std::int64_t>(chosen->prompt_tokens - cached);
    reused_ += static_cast<std::int64_t>(cached);
    ++running;
  }
}

void EngineModel::finish(Sequence& sequence) {
  sequence.running = false;
  sequence.done = true;
  cache_.store(sequence.program, sequence.blocks);
}

}  // namespace sailgate::standin
