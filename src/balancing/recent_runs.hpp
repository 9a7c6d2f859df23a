/// @file When runs of engines ended or left, for those that did lately.
#pragma once

#include <deque>
#include <optional>
#include <string>
#include <unordered_map>

#include "net/asio.hpp"

namespace sailgate::balancing {

/// Times by run id. Forgets the run that was added first when there are too many.
class RecentRuns {
 public:
  explicit RecentRuns(std::size_t limit) : limit_(limit) {}

  /// Has no effect if the run is known.
  void add(const std::string& id, net::TimePoint at);
  void erase(const std::string& id);
  bool contains(const std::string& id) const { return times_.count(id) > 0; }
  std::optional<net::TimePoint> time_of(const std::string& id) const;

 private:
  std::size_t limit_;
  std::unordered_map<std::string, net::TimePoint> times_;
  std::deque<std::string> by_age_;
};

}  // namespace sailgate::balancing
