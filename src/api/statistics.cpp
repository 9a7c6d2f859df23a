#include "api/statistics.hpp"

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

#include "base/error_table.hpp"

namespace sailgate::api {
namespace {

using prometheus::BuildCounter;
using prometheus::BuildGauge;
using prometheus::BuildHistogram;

const prometheus::Histogram::BucketBoundaries kOverheadBuckets{
    0.0005, 0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1, 2, 5};

const char* name_of(wire::Outcome::type outcome) {
  switch (outcome) {
    case wire::Outcome::kSucceeded:
      return "succeeded";
    case wire::Outcome::kFailed:
      return "failed";
    case wire::Outcome::kNotRun:
      return "not_run";
    case wire::Outcome::kUnknown:
      return "unknown";
  }
  return "unknown";
}

}  // namespace

class Statistics::Families {
 public:
  prometheus::Registry registry;
  prometheus::Family<prometheus::Counter>& requests =
      BuildCounter().Name("sailgate_requests_total").Help("Requests by route").Register(registry);
  prometheus::Family<prometheus::Counter>& refusals = BuildCounter()
                                                          .Name("sailgate_refusals_total")
                                                          .Help("Refusals by error kind")
                                                          .Register(registry);
  prometheus::Family<prometheus::Counter>& calls =
      BuildCounter().Name("sailgate_calls_total").Help("Calls by outcome").Register(registry);
  prometheus::Family<prometheus::Counter>& dispatches = BuildCounter()
                                                            .Name("sailgate_dispatches_total")
                                                            .Help("Attempts sent, by result")
                                                            .Register(registry);
  prometheus::Counter& foreign_answers =
      BuildCounter()
          .Name("sailgate_foreign_answers_total")
          .Help("Answers that named another attempt and were dropped")
          .Register(registry)
          .Add({});
  prometheus::Histogram& overhead =
      BuildHistogram()
          .Name("sailgate_call_overhead_seconds")
          .Help("Time of a call at the gateway less its back end's time")
          .Register(registry)
          .Add({}, kOverheadBuckets);
  prometheus::Family<prometheus::Gauge>& node =
      BuildGauge().Name("sailgate_node").Help("State of the node, by what").Register(registry);

  void set(const std::string& what, double value) { node.Add({{"what", what}}).Set(value); }
};

Statistics::Statistics() : families_(std::make_unique<Families>()) {}
Statistics::~Statistics() = default;

void Statistics::count_request(const std::string& route) {
  families_->requests.Add({{"route", route}}).Increment();
}

void Statistics::count_refusal(wire::ErrorKind::type kind) {
  families_->refusals.Add({{"kind", base::error_answer(kind).name}}).Increment();
}

void Statistics::count_outcome(wire::Outcome::type outcome) {
  families_->calls.Add({{"outcome", name_of(outcome)}}).Increment();
}

void Statistics::count_dispatch(const std::string& result) {
  families_->dispatches.Add({{"result", result}}).Increment();
}

void Statistics::count_foreign_answer() { families_->foreign_answers.Increment(); }

void Statistics::observe_overhead(double seconds) { families_->overhead.Observe(seconds); }

std::string Statistics::render(const node::NodeStatus& status) {
  families_->set("families_cached", static_cast<double>(status.families_cached));
  families_->set("attempts_running", static_cast<double>(status.attempts_running));
  families_->set("generation", static_cast<double>(status.generation));
  families_->set("configuration_live", status.configuration_live ? 1 : 0);
  families_->set("stopping", status.stopping ? 1 : 0);
  return prometheus::TextSerializer().Serialize(families_->registry.Collect());
}

}  // namespace sailgate::api
