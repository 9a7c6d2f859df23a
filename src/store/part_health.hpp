/// @file Tracks which partitions of the store failed recently.
#pragma once

#include <string>
#include <unordered_map>
#include <vector>

#include "net/asio.hpp"

namespace sailgate::store {

/// Remembers failures of single partitions for a short time. Deterministic, not thread-safe.
class PartitionHealth {
 public:
  void note(const std::string& partition, bool answered, net::TimePoint now);
  /// Moves the partitions that failed recently to the end and keeps the order otherwise.
  std::vector<std::string> order(std::vector<std::string> partitions, net::TimePoint now) const;

 private:
  bool recently_failed(const std::string& partition, net::TimePoint now) const;

  std::unordered_map<std::string, net::TimePoint>
      failed_at_;  ///< bounded by the number of partitions
};

}  // namespace sailgate::store
