#include "serving/gateway_metrics.hpp"

#include <prometheus/text_serializer.h>

namespace sailgate::serving {

namespace {

constexpr double kMillisPerSecond = 1000;

double seconds(net::Millis duration) {
  return static_cast<double>(duration.count()) / kMillisPerSecond;
}

prometheus::Histogram::BucketBoundaries latency_buckets() {
  return {0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.8, 1.5, 3.0, 6.0};
}

prometheus::Gauge& gauge(prometheus::Registry& registry, const std::string& name,
                         const std::string& help) {
  return prometheus::BuildGauge().Name(name).Help(help).Register(registry).Add({});
}

prometheus::Histogram& histogram(prometheus::Registry& registry, const std::string& name,
                                 const std::string& help) {
  return prometheus::BuildHistogram().Name(name).Help(help).Register(registry).Add(
      {}, latency_buckets());
}

}  // namespace

GatewayMetrics::GatewayMetrics() : registry_(std::make_shared<prometheus::Registry>()) {
  auto& registry = *registry_;
  requests_ = &prometheus::BuildCounter()
                   .Name("sailgate_requests_total")
                   .Help("Requests by how they ended")
                   .Register(registry);
  store_calls_ = &prometheus::BuildCounter()
                      .Name("sailgate_store_calls_total")
                      .Help("Calls of the table store by how they ended")
                      .Register(registry);
  bytes_written_ = &prometheus::BuildCounter()
                        .Name("sailgate_store_written_bytes_total")
                        .Help("Keys and values written to the table store")
                        .Register(registry);
  rows_written_ = &prometheus::BuildCounter()
                       .Name("sailgate_store_rows_written_total")
                       .Help("Rows written to the table store")
                       .Register(registry);
  rows_removed_ = &prometheus::BuildCounter()
                       .Name("sailgate_store_rows_removed_total")
                       .Help("Rows removed from the table store")
                       .Register(registry);
  programs_ = &prometheus::BuildCounter()
                   .Name("sailgate_programs_total")
                   .Help("Programs by rank and by what they were refused for, if they were")
                   .Register(registry);
  tenant_requests_ = &prometheus::BuildCounter()
                          .Name("sailgate_tenant_requests_total")
                          .Help("Requests of a tenant by whether its limit let them through")
                          .Register(registry);
  durations_ = &histogram(registry, "sailgate_request_seconds", "From the request to its end");
  first_events_ =
      &histogram(registry, "sailgate_first_event_seconds", "From the request to the first event");
  held_turns_ = &prometheus::BuildCounter()
                     .Name("sailgate_held_turns_total")
                     .Help("Turns that waited for the table store, by how that ended")
                     .Register(registry);
  held_times_ = &histogram(registry, "sailgate_held_turn_seconds",
                           "Time that turns waited for the table store");
  store_losses_ = &prometheus::BuildCounter()
                       .Name("sailgate_store_losses_total")
                       .Help("Times the table store was lost")
                       .Register(registry)
                       .Add({});
  store_full_ = &gauge(registry, "sailgate_store_full",
                       "1 while the table store refuses rows for want of space");
  configuration_version_ =
      &gauge(registry, "sailgate_configuration_version", "Version of the configuration in force");
  configuration_behind_ = &gauge(registry, "sailgate_configuration_behind_seconds",
                                 "Time since a peer has known a newer configuration; 0: none does");
  resumptions_ = &prometheus::BuildCounter()
                      .Name("sailgate_resumptions_total")
                      .Help("Streams that callers resume, by whether their version was found")
                      .Register(registry);
  turn_resumptions_ =
      &prometheus::BuildCounter()
           .Name("sailgate_turn_resumptions_total")
           .Help("Retained turns resumed by their callers, by whether the events before are known")
           .Register(registry);
  discarded_snapshots_ = &prometheus::BuildCounter()
                              .Name("sailgate_discarded_snapshots_total")
                              .Help("Snapshots of a table older than a version known before")
                              .Register(registry);
  unanswered_feeds_ = &prometheus::BuildCounter()
                           .Name("sailgate_unanswered_feeds_total")
                           .Help("Feed calls that ended without an answer")
                           .Register(registry);
  broken_exchanges_ = &prometheus::BuildCounter()
                           .Name("sailgate_broken_exchanges_total")
                           .Help("Exchanges with engines that broke after the request was sent")
                           .Register(registry);
  lost_engines_ = &prometheus::BuildCounter()
                       .Name("sailgate_lost_engines_total")
                       .Help("Engines lost under a request, by what became of them")
                       .Register(registry);
  quarantined_requests_ = &prometheus::BuildCounter()
                               .Name("sailgate_quarantined_requests_total")
                               .Help("Requests refused because engines ended under them")
                               .Register(registry)
                               .Add({});
  escrow_shards_ = &gauge(registry, "sailgate_escrow_shards",
                          "Shards of programs whose budgets this node can spend without the store");
  bare_shards_ = &gauge(registry, "sailgate_bare_shards",
                        "Shards of programs that this node owns without an escrow to spend");
  engines_ = &gauge(registry, "sailgate_engines", "Engines known");
  unusable_entries_ = &gauge(registry, "sailgate_unusable_engine_entries",
                             "Entries of the list of engines that name no engine to use");
  engine_restarts_ = &prometheus::BuildCounter()
                          .Name("sailgate_engine_restarts_total")
                          .Help("Engines that started again under their name")
                          .Register(registry)
                          .Add({});
  outdated_entries_ = &prometheus::BuildCounter()
                           .Name("sailgate_outdated_engine_entries_total")
                           .Help("Entries of engines from before their newest start")
                           .Register(registry)
                           .Add({});
  slowest_engine_ = &gauge(registry, "sailgate_slowest_engine_speed",
                           "Lowest believed speed of an engine over the usual of its service");
  fastest_engine_ = &gauge(registry, "sailgate_fastest_engine_speed",
                           "Highest believed speed of an engine over the usual of its service");
  prompts_ = &gauge(registry, "sailgate_prompts", "Shared prompts that engines are set for");
  open_reservations_ = &gauge(registry, "sailgate_open_reservations",
                              "Reservations of tokens held for turns that other nodes run");
  prompt_engines_ = &gauge(registry, "sailgate_prompt_engines",
                           "Engines that keep a shared prompt, summed over the prompts");
  steps_aside_ =
      &gauge(registry, "sailgate_steps_aside", "1 while this node sends callers elsewhere");
  connections_ =
      &gauge(registry, "sailgate_engine_connections_opened", "Connections opened to engines");
  log_drops_ = &gauge(registry, "sailgate_log_lines_dropped", "Log lines that did not fit");
}

void GatewayMetrics::request_ended(const std::string& outcome, net::Millis duration) {
  requests_->Add({{"outcome", outcome}}).Increment();
  durations_->Observe(seconds(duration));
}

void GatewayMetrics::store_call_ended(store::StoreCall call, store::StoreStatus status) {
  store_calls_->Add({{"call", store::name_of(call)}, {"end", store::name_of(status)}}).Increment();
}

void GatewayMetrics::set_configuration(std::int64_t version, net::Millis behind) {
  configuration_version_->Set(static_cast<double>(version));
  configuration_behind_->Set(seconds(behind));
}

void GatewayMetrics::rows_changed(const store::RowsChanged& changed) {
  const prometheus::Labels labels{{"table", changed.table}};
  if (changed.rows_written > 0) {
    rows_written_->Add(labels).Increment(static_cast<double>(changed.rows_written));
    bytes_written_->Add(labels).Increment(static_cast<double>(changed.bytes_written));
  }
  if (changed.rows_removed > 0) {
    rows_removed_->Add(labels).Increment(static_cast<double>(changed.rows_removed));
  }
}

void GatewayMetrics::tenant_request(const std::string& tenant, const quota::Admission& admission) {
  const bool named = named_tenants_.size() < kMaxNamedTenants || named_tenants_.count(tenant) > 0;
  if (named) named_tenants_.insert(tenant);
  const auto* refused = admission.within_limit ? "refused_inside" : "beyond";
  const auto* limit = admission.admitted ? "within" : refused;
  tenant_requests_->Add({{"tenant", named ? tenant : "other"}, {"limit", limit}}).Increment();
}

void GatewayMetrics::program_decided(admission::Refusal refusal, int rank) {
  programs_->Add({{"refused_for", admission::name_of(refusal)}, {"rank", std::to_string(rank)}})
      .Increment();
}

void GatewayMetrics::held_turn_ended(const std::string& how, net::Millis waited) {
  held_turns_->Add({{"outcome", how}}).Increment();
  held_times_->Observe(seconds(waited));
}

void GatewayMetrics::first_event(net::Millis after) { first_events_->Observe(seconds(after)); }

std::string GatewayMetrics::text() const {
  return prometheus::TextSerializer().Serialize(registry_->Collect());
}

}  // namespace sailgate::serving
