/// @file Programs with recently admitted requests.
#pragma once

#include <cstddef>
#include <string>
#include <unordered_set>

namespace sailgate::quota {

/// Keeps at least the last `min_size` programs and at most twice as many. Not thread-safe.
class RecentPrograms {
 public:
  explicit RecentPrograms(std::size_t min_size) : min_size_(min_size) {}

  void add(const std::string& program) {
    if (newer_.size() >= min_size_) {
      older_ = std::move(newer_);
      newer_.clear();
    }
    newer_.insert(program);
  }
  bool contains(const std::string& program) const {
    return newer_.count(program) > 0 || older_.count(program) > 0;
  }

 private:
  std::size_t min_size_;
  std::unordered_set<std::string> newer_;
  std::unordered_set<std::string> older_;
};

}  // namespace sailgate::quota
