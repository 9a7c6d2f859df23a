/// @file A fleet of nodes in virtual time that hold tenants to their limits.
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

/// What the network between the nodes is like.
struct FleetNetwork {
  net::Millis delay{2};
  double loss = 0.01;  ///< share of the beacons that are lost
};

/// Nodes send beacons to their own zone and summaries to the others, at the times at which
/// cluster::BeaconSender does; everything else is the code that nodes run.
class QuotaFleet {
 public:
  QuotaFleet(int nodes, int zones, FleetNetwork network, std::uint64_t seed);

  /// A tenant's request at a node drawn by chance, at the fleet's time. @return whether it is let
  /// through.
  bool request(const tenancy::Tenant& tenant, const cluster::QuotaRequest& request);
  /// Requests at `rate_per_s` for this time, each the first of a program.
  void send(const tenancy::Tenant& tenant, double rate_per_s, net::Millis time) {
    send(tenant, {}, rate_per_s, time);
  }
  void send(const tenancy::Tenant& tenant, const cluster::QuotaRequest& request, double rate_per_s,
            net::Millis time);
  /// Cuts this share of the nodes off from all others, or heals the cut. Callers still reach them.
  void cut(double share);
  /// Cuts this share of the nodes off from the rest; on each side nodes hear of each other.
  void split(double share);
  void heal() { cut(0); }
  /// This share of the nodes stands still: it sends and decides nothing until it wakes, and then
  /// decides on the requests that waited before it reads what the others told meanwhile.
  void freeze(double share);
  void resume();
  /// Callers keep to the first nodes of the fleet; 0: they go to all.
  void limit_callers_to_first(std::size_t nodes) { reached_ = nodes == 0 ? nodes_.size() : nodes; }
  /// This share of the nodes loses all memory.
  void restart(double share);
  /// The first nodes lose all memory.
  void restart_first(std::size_t nodes);
  /// This share of the nodes is lost; they serve for so long without being asked, are lost again
  /// and start anew.
  void crash(double share, net::Millis away);
  /// Every node that has this place among so many says that it leaves, and serves on.
  void leave(std::size_t place, std::size_t among);

  /// The nodes of this place start again after they have left.
  void rejoin(std::size_t place, std::size_t among);

  /// Most requests that were let through in any window, and those that were refused although the
  /// window before held fewer than the limit.
  int max_in_window() const;
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
    int side = 0;  ///< of a cut: nodes of the same side hear of each other
    bool frozen = false;
    std::vector<Waiting> waiting;  ///< requests that came while it stood still, or wait for news
    std::vector<std::shared_ptr<const wire::Beacon>> unread;
    net::TimePoint next_refresh{};
    cluster::StallDetector stalls{net::TimePoint{}};
    std::unique_ptr<cluster::PeerDirectory> directory;
    std::unique_ptr<cluster::TenantQuotas> quotas;
    net::TimePoint next_beacon{};
    net::TimePoint next_summary{};
    net::TimePoint urgent_from{};
    std::map<std::string, net::TimePoint> forwarded_at;
    std::size_t turn = 0;  ///< of processes that beacons pass on
  };
  struct Message {
    net::TimePoint at;
    std::size_t receiver;
    std::shared_ptr<const wire::Beacon> beacon;
    bool operator>(const Message& other) const { return at > other.at; }
  };

  void advance(net::Millis time);
  /// As cluster::BeaconSender: in larger fleets news between zones goes by summaries.
  bool summarizes() const { return zones_.size() > 1; }
  void start(std::size_t node);
  wire::Beacon beacon_of(Node& node) const;
  bool reaches(const Node& from, const Node& to) const;
  void send_to(const Node& from, std::size_t to, std::shared_ptr<const wire::Beacon> beacon);
  void send_beacons(Node& node);
  void send_summary(Node& node);
  void deliver(const Message& message);
  /// What cluster::BeaconSender::send_to_all() does.
  void send_to_zone(const Node& from, const std::shared_ptr<const wire::Beacon>& beacon);
  bool sends_to(const Node& from, const Node& to) const;
  /// Decides again on requests that wait for news.
  void retry_waiting(Node& node);
  void process_beacon(Node& node, const wire::Beacon& beacon);
  bool decide(Node& node, const tenancy::Tenant& tenant, const cluster::QuotaRequest& request);
  double draw() { return static_cast<double>(random_.below(1U << 20U)) / (1U << 20U); }

  FleetNetwork network_;
  base::Random random_;
  std::vector<Node> nodes_;
  std::size_t reached_;  ///< by callers, of the first nodes
  std::vector<std::string> zones_;
  std::priority_queue<Message, std::vector<Message>, std::greater<>> messages_;
  net::TimePoint now_ = net::TimePoint{} + std::chrono::hours(1);
  std::int64_t incarnations_ = 0;
  std::vector<net::TimePoint> admitted_;
  std::vector<net::TimePoint> refused_;
};

}  // namespace sailgate::test
