/// @file Every metric of sailgated, in one list. docs/OPERATIONS.md explains them.
#pragma once

#include <memory>
#include <string>

#include "node/node_runtime.hpp"
#include "sailgate_types.h"

namespace sailgate::api {

/// Counters and gauges of one process. Thread-safe.
class Statistics {
 public:
  Statistics();
  Statistics(const Statistics&) = delete;
  Statistics& operator=(const Statistics&) = delete;
  ~Statistics();

  /// sailgate_requests_total{route}
  void count_request(const std::string& route);
  /// sailgate_refusals_total{kind}
  void count_refusal(wire::ErrorKind::type kind);
  /// sailgate_calls_total{outcome}
  void count_outcome(wire::Outcome::type outcome);
  /// sailgate_dispatches_total{result}
  void count_dispatch(const std::string& result);
  /// sailgate_foreign_answers_total
  void count_foreign_answer();
  /// sailgate_call_overhead_seconds: a call's time at the gateway less its back end's time
  void observe_overhead(double seconds);

  /// @return the page in Prometheus text format, with the gauges taken from `status`.
  std::string render(const node::NodeStatus& status);

 private:
  class Families;
  std::unique_ptr<Families> families_;
};

}  // namespace sailgate::api
