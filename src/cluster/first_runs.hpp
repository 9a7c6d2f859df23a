/// @file First runs of requests at other nodes, in case those are lost.
#pragma once

#include <cstddef>
#include <deque>
#include <string>
#include <unordered_map>
#include <vector>

#include "balancing/engine_loss.hpp"

namespace sailgate::cluster {

/// A node tells one peer of each request that it sends to an engine for the first time. Nearly all
/// of them end well and nobody hears of it; what is kept here counts only once an engine was lost
/// under the same request. Deterministic, not thread-safe.
class FirstRuns {
 public:
  /// Keeps a run, or drops it if it was withdrawn.
  void note(const std::string& fingerprint, balancing::EngineLoss run, net::TimePoint now);
  /// Removes and returns the runs of a request.
  std::vector<balancing::EngineLoss> take(const std::string& fingerprint, net::TimePoint now);
  std::size_t size() const { return runs_.size(); }

 private:
  /// Callers come back within this time.
  static constexpr net::Millis kRetention{std::chrono::seconds(10)};
  /// Bounds the memory at some 10 MB.
  static constexpr std::size_t kMaxRuns = 20'000;

  struct Age {
    std::string fingerprint;
    std::string engine;
    std::string attempt;
    net::TimePoint kept_until{};
  };
  void expire(net::TimePoint now);
  void erase(const std::string& fingerprint, const std::string& engine, const std::string& attempt);

  std::unordered_multimap<std::string, balancing::EngineLoss> runs_;  ///< by fingerprint
  std::deque<Age> by_age_;
};

}  // namespace sailgate::cluster
