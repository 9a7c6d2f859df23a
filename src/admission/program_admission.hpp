/// @file Which programs a node lets begin, and when refused ones may come back.
#pragma once

#include <string>
#include <unordered_map>

#include "admission/admission.hpp"
#include "admission/return_schedule.hpp"
#include "quota/usage_window.hpp"

namespace sailgate::admission {

/// Counts the programs that it lets begin, tells other nodes of them and takes theirs over. Nothing
/// is kept on disk: after a restart the counts are empty, and the load alone decides. Not
/// thread-safe: belongs to the event loop.
class ProgramAdmission {
 public:
  /// @param phase of this node among all, in [0, 1); see RetrySchedule.
  explicit ProgramAdmission(double phase) : phase_(phase) {}

  /// Takes over what the other nodes let begin of late. @param nodes heard of, this one among them.
  /// @param heard_at when some other node was heard last; zero: none yet.
  void hear(ProgramStartsByTenant starts, std::size_t nodes, net::TimePoint heard_at);
  /// Age of what was heard last.
  net::Millis age(net::TimePoint now) const;

  /// Decides on a request for a service; a program that is let begin is counted.
  Decision admit(const ServiceLoad& service, const ProgramRequest& request, net::TimePoint now);
  /// Time to come back for a request that was just refused.
  net::Millis retry_delay(const std::string& service, const ProgramRequest& request,
                          net::TimePoint now);
  /// A first turn was answered whole in this time.
  void record_first_turn(const std::string& service, net::Millis time);
  /// Time that first turns took of late; 0: not known.
  net::Millis first_turn_time(const std::string& service) const;

  /// What this node let begin of late, for its beacons.
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
  std::unordered_map<std::string, double> first_turn_millis_;       ///< mean of late, by service
};

}  // namespace sailgate::admission
