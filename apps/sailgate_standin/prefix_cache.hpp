/// @file Bounded cache of prompt blocks, least recently used first out.
#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace sailgate::standin {

/// A change of the cache, as the engine publishes it.
struct CacheEvent {
  std::int64_t number = 0;
  bool stored = true;
  std::int64_t block = 0;
};

/// Blocks are chained digests of kBlockTokens tokens, so that a block stands for its whole prefix.
/// Not thread-safe.
class PrefixCache {
 public:
  static constexpr std::size_t kBlockTokens = 16;

  explicit PrefixCache(std::size_t capacity_blocks) : capacity_(capacity_blocks) {}

  /// Chain of block digests of a prompt; an incomplete last block is left out.
  static std::vector<std::int64_t> blocks_of(const std::vector<std::string>& tokens);

  /// @return how many leading blocks are held; they count as used now.
  std::size_t match(const std::vector<std::int64_t>& blocks);
  /// Holds blocks for a program, dropping the least recently used ones beyond the capacity.
  void store(const std::string& program, const std::vector<std::int64_t>& blocks);
  /// Drops a program's claim; blocks nobody else claims are dropped.
  void evict(const std::string& program);
  std::vector<std::int64_t> blocks_held_for(const std::string& program) const;
  std::set<std::string> programs() const;
  std::size_t size() const { return blocks_.size(); }
  /// Events since `after`.
  std::vector<CacheEvent> events_after(std::int64_t after) const;

 private:
  struct Block {
    std::int64_t used_at = 0;
    std::set<std::string> programs;
  };
  void publish(bool stored, std::int64_t block);
  void drop(std::int64_t block);

  std::size_t capacity_;
  std::int64_t clock_ = 0;
  std::map<std::int64_t, Block> blocks_;
  std::vector<CacheEvent> events_;
  std::int64_t next_event_ = 1;
};

}  // namespace sailgate::standin
