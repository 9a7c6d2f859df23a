/// @file Detects whether this node can reach the store at all.
#pragma once

#include "net/asio.hpp"

namespace sailgate::store {

/// Passive health check based on the results of regular calls. Failures of single partitions do not
/// count while others respond. Deterministic, not thread-safe.
class Reachability {
 public:
  void note(bool answered, net::TimePoint now);
  /// False after several consecutive failures that span a minimum time.
  bool answers(net::TimePoint now) const;
  int consecutive_failures() const { return consecutive_failures_; }
  /// Time since the last response; before any response, since the first failure.
  net::Millis unanswered(net::TimePoint now) const;
  /// Expected remaining duration of the outage; 0 while the store responds.
  ///
  /// An outage shorter than the mean of the previous ones is expected to reach that mean; a longer
  /// one is expected to last as long again as it has lasted so far.
  net::Millis expected_outage(net::TimePoint now) const;

 private:
  void record_outage_end(net::TimePoint now);

  int consecutive_failures_ = 0;
  net::TimePoint failing_since_{};
  net::TimePoint answered_at_{};      ///< time of the last response; zero: none yet
  int ended_outages_ = 0;             ///< number of ended outages
  net::Millis total_outage_time_{0};  ///< total duration of the ended outages
};

}  // namespace sailgate::store
