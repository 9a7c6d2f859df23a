/// @file Limits how many engines work on one attempt of a caller at the same time.
#pragma once

#include <set>
#include <string>

namespace sailgate::serving {

/// Tracks the engines that may still be working on an attempt. An engine whose connection was reset
/// may continue to run the request, so sending it to another engine would have two engines work on
/// one attempt. An engine that ended its response or no longer accepts connections does not count.
/// Performs no I/O.
///
/// Without this limit, connection resets at 34 nodes left 5 to 11 streams a day running on two
/// engines where one was allowed.
class AttemptBound {
 public:
  /// @param max_engines maximum number of engines working on the attempt; values below 1 count
  /// as 1.
  void set_max_engines(int max_engines) { max_engines_ = max_engines < 1 ? 1 : max_engines; }

  /// The connection to the engine was reset during the request: the engine may still be working on
  /// it.
  void record_connection_reset(const std::string& engine) { possibly_active_.insert(engine); }
  /// The engine no longer works on the attempt: it ended its response or is gone.
  void record_finished(const std::string& engine) { possibly_active_.erase(engine); }

  /// Engine that the attempt must continue on because the limit is reached; empty: any engine may
  /// take it.
  std::string required_engine() const {
    const bool full = static_cast<int>(possibly_active_.size()) >= max_engines_;
    return full ? *possibly_active_.begin() : std::string();
  }

 private:
  int max_engines_ = 1;
  std::set<std::string> possibly_active_;
};

}  // namespace sailgate::serving
