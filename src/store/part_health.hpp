/// @file Which parts of the store failed lately.
#pragma once

#include <string>
#include <unordered_map>
#include <vector>

#include "net/asio.hpp"

namespace sailgate::store {

/// Remembers failures of single parts for a short time. Deterministic, not thread-safe.
class PartitionHealth {
 public:
  void note(const std::string& part, bool answered, net::TimePoint now);
  /// The same parts, those that failed lately last; the order is kept otherwise.
  std::vector<std::string> order(std::vector<std::string> parts, net::TimePoint now) const;

 private:
  bool failed_lately(const std::string& part, net::TimePoint now) const;

  std::unordered_map<std::string, net::TimePoint> failed_at_;  ///< bounded by the number of parts
};

}  // namespace sailgate::store
