/// @file Counters and latency histograms of a serving node; listed in docs/OPERATIONS.md.
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

  /// A request ended. @param outcome stable name of how, as in the log.
  void request_ended(const std::string& outcome, net::Millis duration);
  /// A tenant's request was let through, or refused at its limit.
  void tenant_request(const std::string& tenant, const quota::Admission& admission);
  /// A program was let begin, or refused for the load of its service.
  void program_decided(admission::Refusal refusal, int rank);
  void first_event(net::Millis after);
  /// A call of the table store ended, a relayed one for a peer included.
  void store_call_ended(store::StoreCall call, store::StoreStatus status);
  /// A transaction changed rows of a table.
  void rows_changed(const store::RowsChanged& changed);
  void set_store_full(bool full) { store_full_->Set(full ? 1 : 0); }
  void store_lost() { store_losses_->Increment(); }
  /// A turn that waited for the store began, was refused or lost its caller.
  void held_turn_ended(const std::string& how, net::Millis waited);
  void set_engines(std::size_t count) { engines_->Set(static_cast<double>(count)); }
  /// An engine started again under its name.
  void engine_restarted() { engine_restarts_->Increment(); }
  /// Entries of the list of engines that name no engine to use.
  void set_unusable_entries(std::size_t count) {
    unusable_entries_->Set(static_cast<double>(count));
  }
  /// Believed speeds over the usual one of the service.
  void set_engine_speeds(double slowest, double fastest) {
    slowest_engine_->Set(slowest);
    fastest_engine_->Set(fastest);
  }
  /// Shards of programs that this node owns, with an escrow to spend and without.
  void set_escrow_shards(std::size_t spendable, std::size_t bare) {
    escrow_shards_->Set(static_cast<double>(spendable));
    bare_shards_->Set(static_cast<double>(bare));
  }
  /// Reservations that this node holds for turns that other nodes run.
  void set_open_reservations(std::size_t count) {
    open_reservations_->Set(static_cast<double>(count));
  }
  /// Shared prompts that have engines of their own, and the sum of these engines over the prompts.
  void set_prompts(std::size_t count, std::size_t engines) {
    prompts_->Set(static_cast<double>(count));
    prompt_engines_->Set(static_cast<double>(engines));
  }
  void set_steps_aside(bool aside) { steps_aside_->Set(aside ? 1 : 0); }
  void set_connections_opened(std::uint64_t count) {
    connections_->Set(static_cast<double>(count));
  }
  void set_dropped_log_lines(std::uint64_t count) { log_drops_->Set(static_cast<double>(count)); }

  /// All figures in Prometheus' text format.
  std::string text() const;

 private:
  std::shared_ptr<prometheus::Registry> registry_;
  prometheus::Family<prometheus::Counter>* requests_;
  prometheus::Family<prometheus::Counter>* tenant_requests_;
  /// Tenants with figures of their own; the others are counted together, so that neither the page
  /// nor memory grows with the configuration.
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
  prometheus::Gauge* engines_;
  prometheus::Gauge* unusable_entries_;
  prometheus::Counter* engine_restarts_;
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
