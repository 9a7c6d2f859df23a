/// @file Counters and latency histograms of a serving node; listed in docs/OPERATIONS.md.
#pragma once

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>

#include <memory>
#include <set>
#include <string>

#include "net/asio.hpp"

namespace sailgate::serving {

class GatewayMetrics {
 public:
  GatewayMetrics();

  /// A request ended. @param outcome stable name of how, as in the log.
  void request_ended(const std::string& outcome, net::Millis duration);
  /// A tenant's request was let through, or refused at its limit.
  void tenant_request(const std::string& tenant, bool admitted);
  void first_event(net::Millis after);
  void store_lost() { store_losses_->Increment(); }
  /// A turn that waited for the store began, was refused or lost its caller.
  void held_turn_ended(const std::string& how, net::Millis waited);
  void set_engines(std::size_t count) { engines_->Set(static_cast<double>(count)); }
  /// Shards of programs that this node owns, with an escrow to spend and without.
  void set_escrow_shards(std::size_t spendable, std::size_t bare) {
    escrow_shards_->Set(static_cast<double>(spendable));
    bare_shards_->Set(static_cast<double>(bare));
  }
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
  static constexpr std::size_t kMostTenants = 200;
  std::set<std::string> named_tenants_;
  prometheus::Family<prometheus::Counter>* held_turns_;
  prometheus::Histogram* held_times_;
  prometheus::Histogram* durations_;
  prometheus::Histogram* first_events_;
  prometheus::Counter* store_losses_;
  prometheus::Gauge* engines_;
  prometheus::Gauge* escrow_shards_;
  prometheus::Gauge* bare_shards_;
  prometheus::Gauge* connections_;
  prometheus::Gauge* log_drops_;
};

}  // namespace sailgate::serving
