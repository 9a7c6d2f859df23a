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
  int consecutive_failures() const { return failures_in_a_row_; }
  /// Time since the last answer.
  net::Millis unanswered(net::TimePoint now) const;
  /// How much longer the store is expected to be away; 0 while it answers.
  ///
  /// While an outage is younger than those before it were in the mean, it is expected to last as
  /// long as they did; after that, as long again as it has lasted.
  net::Millis expected_outage(net::TimePoint now) const;

 private:
  void note_return(net::TimePoint now);

  int failures_in_a_row_ = 0;
  net::TimePoint failing_since_{};
  net::TimePoint answered_at_{};  ///< zero: never yet
  int outages_ = 0;               ///< that have ended
  net::Millis outage_time_{0};    ///< of all of them
};

}  // namespace sailgate::store
