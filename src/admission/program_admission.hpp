/// @file Admission of new programs on one node, and retry delays for refused ones.
#pragma once

#include <string>
#include <unordered_map>

#include "admission/admission.hpp"
#include "admission/return_schedule.hpp"
#include "quota/usage_window.hpp"

namespace sailgate::admission {

/// Counts the programs admitted on this node, exchanges the counts with other nodes through beacons
/// and decides on new programs. Nothing is persisted: after a restart the counts are empty and only
/// the load decides. Not thread-safe: used from the event loop only.
class ProgramAdmission {
 public:
  /// @param phase offset of this node, in [0, 1); see RetrySchedule.
  explicit ProgramAdmission(double phase) : phase_(phase) {}

  /// Replaces the recent starts reported by other nodes. @param nodes that were heard from,
  /// including this one. @param heard_at time of the latest report of any other node; zero: none
  /// yet.
  void hear(ProgramStartsByTenant starts, std::size_t nodes, net::TimePoint heard_at);
  /// Age of the latest report; 0 if there was none.
  net::Millis age(net::TimePoint now) const;

  /// Decides on a request for a service and counts the program if it is admitted.
  Decision admit(const ServiceLoad& service, const ProgramRequest& request, net::TimePoint now);
  /// Delay after which the caller of a refused request should retry.
  net::Millis retry_delay(const std::string& service, const ProgramRequest& request,
                          net::TimePoint now);
  /// Records the duration of a first turn that was answered completely.
  void record_first_turn(const std::string& service, net::Millis time);
  /// Moving average of first-turn durations; 0: unknown.
  net::Millis first_turn_time(const std::string& service) const;

  /// Recent starts on this node, to be sent in its beacons.
  ProgramStartsByTenant told(net::TimePoint now);

 private:
  ProgramStartsByTenant own_starts(net::TimePoint now);
  double estimated_unreported_starts(net::TimePoint now);
  double starts_per_s(net::TimePoint now);

  double phase_;
  std::unordered_map<std::int32_t, quota::UsageWindow> own_starts_;  ///< by tenant
  ProgramStartsByTenant peer_starts_;
  std::size_t node_count_ = 1;
  net::TimePoint heard_at_{};
  std::unordered_map<std::string, RetrySchedule> retry_schedules_;  ///< by service
  std::unordered_map<std::string, double> first_turn_millis_;       ///< moving average, by service
};

}  // namespace sailgate::admission
