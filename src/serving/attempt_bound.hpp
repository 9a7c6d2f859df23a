/// @file How many engines may work on one attempt of a caller at the same time.
#pragma once

#include <set>
#include <string>

namespace sailgate::serving {

/// Follows the engines that may still be working on an attempt. An engine whose connection was
/// reset may live and work on, so going on elsewhere would make two engines work on one attempt; an
/// engine that ended its answer, or cannot be connected to any more, does not count. Pure
/// bookkeeping.
///
/// Without the bound, resets of the connections of 34 nodes left 5 to 11 streams of a day at two
/// engines each where one was allowed.
class AttemptBound {
 public:
  /// @param max_engines that may work on the attempt; at least 1.
  void set_max_engines(int max_engines) { max_engines_ = max_engines < 1 ? 1 : max_engines; }

  /// The engine's connection was reset under the request: it may still be working on it.
  void record_connection_reset(const std::string& engine) { possibly_active_.insert(engine); }
  /// The engine does not work on the attempt: it ended its answer, or it is gone.
  void record_finished(const std::string& engine) { possibly_active_.erase(engine); }

  /// Engine that the attempt must go on at, since no further one may work on it; empty: any may.
  std::string required_engine() const {
    const bool full = static_cast<int>(possibly_active_.size()) >= max_engines_;
    return full ? *possibly_active_.begin() : std::string();
  }

 private:
  int max_engines_ = 1;
  std::set<std::string> possibly_active_;
};

}  // namespace sailgate::serving
