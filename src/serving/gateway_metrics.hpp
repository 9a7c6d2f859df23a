/// @file Prometheus metrics of a serving node, documented in docs/OPERATIONS.md.
#pragma once

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>

#include <memory>
#include <set>
#include <string>

#include "admission/admission.hpp"
#include "net/asio.hpp"
#include "quota/admission.hpp"
#include "store/metered_store.hpp"

namespace sailgate::serving {

class GatewayMetrics {
 public:
  GatewayMetrics();

  /// Counts a finished request. @param outcome stable name of the outcome, as in the log.
  void request_ended(const std::string& outcome, net::Millis duration);
  /// Counts a tenant's request, admitted or refused by its rate limit.
  void tenant_request(const std::string& tenant, const quota::Admission& admission);
  /// Counts a new program, admitted or refused because of the load of its service.
  void program_decided(admission::Refusal refusal, int rank);
  /// Records the time from a request to its first event.
  void first_event(net::Millis after);
  /// Counts a finished call to the table store, including calls relayed for peers.
  void store_call_ended(store::StoreCall call, store::StoreStatus status);
  /// Counts the rows of one table that a transaction changed.
  void rows_changed(const store::RowsChanged& changed);
  void set_store_full(bool full) { store_full_->Set(full ? 1 : 0); }
  /// Sets the version of the configuration in force and for how long a peer has known a newer one.
  void set_configuration(std::int64_t version, net::Millis behind);
  /// Counts a stream that its caller resumes. @param known whether the software version that began
  /// it was found.
  void resumption(bool known) {
    resumptions_->Add({{"origin", known ? "known" : "unknown"}}).Increment();
  }
  /// Counts a retained turn that its caller resumes.
  /// @param known whether the events before the resumption were found.
  void turn_resumption(bool known) {
    turn_resumptions_->Add({{"events", known ? "known" : "unknown"}}).Increment();
  }
  /// Counts a snapshot of a table that was discarded because it was older than a known version.
  void snapshot_discarded(const std::string& table) {
    discarded_snapshots_->Add({{"table", table}}).Increment();
  }
  /// Counts a feed call that ended without an answer.
  void feed_unanswered(const std::string& table) {
    unanswered_feeds_->Add({{"table", table}}).Increment();
  }
  /// Counts an exchange with an engine that broke after the request was sent.
  void exchange_broken(bool reset) {
    broken_exchanges_->Add({{"how", reset ? "reset" : "closed"}}).Increment();
  }
  /// Counts an engine that was lost under a request. @param fate stable name of what became of it.
  void engine_lost(const char* fate) { lost_engines_->Add({{"fate", fate}}).Increment(); }
  /// Counts a request that was refused because engines ended under it.
  void quarantined_request() { quarantined_requests_->Increment(); }
  void store_lost() { store_losses_->Increment(); }
  /// Records the end of a wait for the store: the turn started, was refused or its caller left.
  /// @param how stable name of the outcome.
  void held_turn_ended(const std::string& how, net::Millis waited);
  void set_engines(std::size_t count) { engines_->Set(static_cast<double>(count)); }
  /// Counts a restart of an engine under the same name.
  void engine_restarted() { engine_restarts_->Increment(); }
  void engine_entry_outdated() { outdated_entries_->Increment(); }
  /// Sets the number of invalid entries in the engine list.
  void set_unusable_entries(std::size_t count) {
    unusable_entries_->Set(static_cast<double>(count));
  }
  /// Sets the lowest and highest estimated speed, relative to the service's normal speed.
  void set_engine_speeds(double slowest, double fastest) {
    slowest_engine_->Set(slowest);
    fastest_engine_->Set(fastest);
  }
  /// Sets the numbers of program shards that this node owns with an escrow it may spend and
  /// without.
  void set_escrow_shards(std::size_t spendable, std::size_t bare) {
    escrow_shards_->Set(static_cast<double>(spendable));
    bare_shards_->Set(static_cast<double>(bare));
  }
  /// Sets the number of token reservations that this node holds for turns run by other nodes.
  void set_open_reservations(std::size_t count) {
    open_reservations_->Set(static_cast<double>(count));
  }
  /// Sets the number of shared prompts that are assigned to engines, and the number of assigned
  /// (prompt, engine) pairs.
  void set_prompts(std::size_t count, std::size_t engines) {
    prompts_->Set(static_cast<double>(count));
    prompt_engines_->Set(static_cast<double>(engines));
  }
  void set_steps_aside(bool aside) { steps_aside_->Set(aside ? 1 : 0); }
  void set_connections_opened(std::uint64_t count) {
    connections_->Set(static_cast<double>(count));
  }
  void set_dropped_log_lines(std::uint64_t count) { log_drops_->Set(static_cast<double>(count)); }

  /// Returns all metrics in the Prometheus text format.
  std::string text() const;

 private:
  std::shared_ptr<prometheus::Registry> registry_;
  prometheus::Family<prometheus::Counter>* requests_;
  prometheus::Family<prometheus::Counter>* tenant_requests_;
  /// Limit of tenants with their own label value. Further tenants are counted together as "other",
  /// so that neither the metrics page nor memory grows with the configuration.
  static constexpr std::size_t kMaxNamedTenants = 200;
  std::set<std::string> named_tenants_;
  prometheus::Family<prometheus::Counter>* store_calls_;
  prometheus::Family<prometheus::Counter>* rows_written_;
  prometheus::Family<prometheus::Counter>* rows_removed_;
  prometheus::Family<prometheus::Counter>* bytes_written_;
  prometheus::Family<prometheus::Counter>* programs_;
  prometheus::Family<prometheus::Counter>* held_turns_;
  prometheus::Histogram* held_times_;
  prometheus::Histogram* durations_;
  prometheus::Histogram* first_events_;
  prometheus::Counter* store_losses_;
  prometheus::Gauge* store_full_;
  prometheus::Gauge* configuration_version_;
  prometheus::Gauge* configuration_behind_;
  prometheus::Family<prometheus::Counter>* resumptions_;
  prometheus::Family<prometheus::Counter>* turn_resumptions_;
  prometheus::Family<prometheus::Counter>* discarded_snapshots_;
  prometheus::Family<prometheus::Counter>* unanswered_feeds_;
  prometheus::Family<prometheus::Counter>* broken_exchanges_;
  prometheus::Family<prometheus::Counter>* lost_engines_;
  prometheus::Counter* quarantined_requests_;
  prometheus::Gauge* engines_;
  prometheus::Gauge* unusable_entries_;
  prometheus::Counter* engine_restarts_;
  prometheus::Counter* outdated_entries_;
  prometheus::Gauge* slowest_engine_;
  prometheus::Gauge* fastest_engine_;
  prometheus::Gauge* steps_aside_;
  prometheus::Gauge* escrow_shards_;
  prometheus::Gauge* bare_shards_;
  prometheus::Gauge* open_reservations_;
  prometheus::Gauge* prompts_;
  prometheus::Gauge* prompt_engines_;
  prometheus::Gauge* connections_;
  prometheus::Gauge* log_drops_;
};

}  // namespace sailgate::serving
