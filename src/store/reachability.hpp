/// @file Whether the store answers this node at all.
#pragma once

#include "net/asio.hpp"

namespace sailgate::store {

/// Judged by the calls' own ends: single parts that fail do not count while others answer.
/// Deterministic, not thread-safe.
class Reachability {
 public:
  void note(bool answered, net::TimePoint now);
  /// False when several calls in a row have failed for some time.
  bool answers(net::TimePoint now) const;

 private:
  int failures_in_a_row_ = 0;
  net::TimePoint failing_since_{};
};

}  // namespace sailgate::store
