#include "prefix_cache.hpp"

#include <algorithm>

#include "base/digest.hpp"

namespace sailgate::standin {
namespace {

constexpr std::size_t kKeptEvents = 10'000;

}  // namespace

std::vector<std::int64_t> PrefixCache::blocks_of(const std::vector<std::string>& tokens) {
  std::vector<std::int64_t> blocks;
  std::string chain;
  for (std::size_t start = 0; start + kBlockTokens <= tokens.size(); start += kBlockTokens) {
    for (std::size_t i = start; i < start + kBlockTokens; ++i) chain += tokens[i] + ' ';
    const auto digest = base::fast_digest(chain);
    blocks.push_back(digest);
    chain = std::to_string(digest) + '|';
  }
  return blocks;
}

std::size_t PrefixCache::match(const std::vector<std::int64_t>& blocks) {
  std::size_t matched = 0;
  for (const auto block : blocks) {
    const auto found = blocks_.find(block);
    if (found == blocks_.end()) break;
    found->second.used_at = ++clock_;
    ++matched;
  }
  return matched;
}

void PrefixCache::store(const std::string& program, const std::vector<std::int64_t>& blocks) {
  for (const auto block : blocks) {
    const auto [found, fresh] = blocks_.try_emplace(block);
    found->second.used_at = ++clock_;
    found->second.programs.insert(program);
    if (fresh) publish(true, block);
  }
  while (blocks_.size() > capacity_) {
    const auto oldest =
        std::min_element(blocks_.begin(), blocks_.end(), [](const auto& left, const auto& right) {
          return left.second.used_at < right.second.used_at;
        });
    drop(oldest->first);
  }
}

void PrefixCache::evict(const std::string& program) {
  std::vector<std::int64_t> unclaimed;
  for (auto& [block, state] : blocks_) {
    if (state.programs.erase(program) > 0 && state.programs.empty()) unclaimed.push_back(block);
  }
  for (const auto block : unclaimed) drop(block);
}

std::vector<std::int64_t> PrefixCache::blocks_held_for(const std::string& program) const {
  std::vector<std::int64_t> held;
  for (const auto& [block, state] : blocks_) {
    if (state.programs.count(program) > 0) held.push_back(block);
  }
  return held;
}

std::set<std::string> PrefixCache::programs() const {
  std::set<std::string> result;
  for (const auto& [block, state] : blocks_) {
    result.insert(state.programs.begin(), state.programs.end());
  }
  return result;
}

std::vector<CacheEvent> PrefixCache::events_after(std::int64_t after) const {
  std::vector<CacheEvent> result;
  for (const auto& event : events_) {
    if (event.number > after) result.push_back(event);
  }
  return result;
}

void PrefixCache::drop(std::int64_t block) {
  blocks_.erase(block);
  publish(false, block);
}

void PrefixCache::publish(bool stored, std::int64_t block) {
  events_.push_back({next_event_++, stored, block});
  if (events_.size() > kKeptEvents) events_.erase(events_.begin());
}

}  // namespace sailgate::standin
