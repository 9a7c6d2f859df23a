/// @file Simulation of a cluster of nodes that enforce tenants' limits, in virtual time.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <string>
#include <vector>

#include "base/random.hpp"
#include "cluster/tenant_quotas.hpp"

namespace sailgate::test {

/// Properties of the simulated network between the nodes.
struct FleetNetwork {
  net::Millis delay{2};
  double loss = 0.01;  ///< share of the beacons that are lost
};

/// The simulated nodes send beacons to their own zone and summaries to the other zones, with the
/// timing of cluster::BeaconSender; everything else is production code.
class QuotaFleet {
 public:
  QuotaFleet(int nodes, int zones, FleetNetwork network, std::uint64_t seed);

  /// Sends a tenant's request to a random node at the current virtual time.
  /// @return whether it is admitted.
  bool request(const tenancy::Tenant& tenant, const cluster::QuotaRequest& request);
  /// Sends requests at `rate_per_s` for this time, each the first of a program.
  void send(const tenancy::Tenant& tenant, double rate_per_s, net::Millis time) {
    send(tenant, {}, rate_per_s, time);
  }
  void send(const tenancy::Tenant& tenant, const cluster::QuotaRequest& request, double rate_per_s,
            net::Millis time);
  /// Isolates this share of the nodes from all others; 0 heals the partition. Callers still reach
  /// them.
  void cut(double share);
  /// Partitions the cluster in two: this share of the nodes and the rest.
  void split(double share);
  void heal() { cut(0); }
  /// Stalls this share of the nodes until resume(). They then decide on the queued requests before
  /// they read the beacons that have arrived in the meantime.
  void freeze(double share);
  void resume();
  /// Callers use only the first `nodes` nodes; 0: all nodes.
  void limit_callers_to_first(std::size_t nodes) { reached_ = nodes == 0 ? nodes_.size() : nodes; }
  /// Restarts this share of the nodes with empty state.
  void restart(double share);
  /// Restarts the first `nodes` nodes with empty state.
  void restart_first(std::size_t nodes);
  /// Restarts this share of the nodes with empty state and, unless `away` is 0, once more after
  /// `away`, during which no requests are sent.
  void crash(double share, net::Millis away);
  /// Nodes `place`, `place + among`, `place + 2 * among` and so on announce that they leave, but
  /// continue to serve.
  void leave(std::size_t place, std::size_t among);

  /// Restarts the nodes that left with the same arguments.
  void rejoin(std::size_t place, std::size_t among);

  /// Maximum number of requests admitted in any window.
  int max_in_window() const;
  /// Number of requests refused although they would not have exceeded the limit in the window
  /// before them.
  int refused_within_limit(double limit) const;
  int admitted() const { return static_cast<int>(admitted_.size()); }
  int sent() const { return static_cast<int>(admitted_.size() + refused_.size()); }
  net::TimePoint now() const { return now_; }

 private:
  struct Waiting {
    tenancy::Tenant tenant;
    cluster::QuotaRequest request;
    net::TimePoint not_before{};
  };
  struct Node {
    std::string name;
    std::string zone;
    std::int64_t incarnation = 0;
    net::TimePoint started_at{};
    int side = 0;  ///< side of a partition; only nodes on the same side can communicate
    bool frozen = false;
    std::vector<Waiting> waiting;  ///< requests queued during a stall or until peer reports arrive
    std::vector<std::shared_ptr<const wire::Beacon>> unread;
    net::TimePoint next_refresh{};
    cluster::StallDetector stalls{net::TimePoint{}};
    std::unique_ptr<cluster::PeerDirectory> directory;
    std::unique_ptr<cluster::TenantQuotas> quotas;
    net::TimePoint next_beacon{};
    net::TimePoint next_summary{};
    net::TimePoint urgent_from{};
    std::map<std::string, net::TimePoint> forwarded_at;
    std::size_t turn = 0;  ///< rotation over the lost processes that beacons pass on
  };
  struct Message {
    net::TimePoint at;
    std::size_t receiver;
    std::shared_ptr<const wire::Beacon> beacon;
    bool operator>(const Message& other) const { return at > other.at; }
  };

  void advance(net::Millis time);
  /// Like cluster::BeaconSender, larger clusters exchange reports between zones by summaries.
  bool summarizes() const { return zones_.size() > 1; }
  void start(std::size_t node);
  wire::Beacon beacon_of(Node& node) const;
  bool reaches(const Node& from, const Node& to) const;
  void send_to(const Node& from, std::size_t to, std::shared_ptr<const wire::Beacon> beacon);
  void send_beacons(Node& node);
  void send_summary(Node& node);
  void deliver(const Message& message);
  /// Models cluster::BeaconSender::send_to_all().
  void send_to_zone(const Node& from, const std::shared_ptr<const wire::Beacon>& beacon);
  bool sends_to(const Node& from, const Node& to) const;
  /// Retries requests that wait for peer reports.
  void retry_waiting(Node& node);
  void process_beacon(Node& node, const wire::Beacon& beacon);
  bool decide(Node& node, const tenancy::Tenant& tenant, const cluster::QuotaRequest& request);
  double draw() { return static_cast<double>(random_.below(1U << 20U)) / (1U << 20U); }

  FleetNetwork network_;
  base::Random random_;
  std::vector<Node> nodes_;
  std::size_t reached_;  ///< number of nodes that callers use, counted from the first one
  std::vector<std::string> zones_;
  std::priority_queue<Message, std::vector<Message>, std::greater<>> messages_;
  net::TimePoint now_ = net::TimePoint{} + std::chrono::hours(1);
  std::int64_t incarnations_ = 0;
  std::vector<net::TimePoint> admitted_;
  std::vector<net::TimePoint> refused_;
};

}  // namespace sailgate::test
