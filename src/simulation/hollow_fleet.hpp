/// @file Many nodes in one process: the product's cores on virtual time, every message encoded and
/// counted, every step's processor time taken.
#pragma once

#include <array>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "base/knobs.hpp"
#include "base/random.hpp"
#include "node/core/node_core.hpp"
#include "simulation/event_queue.hpp"
#include "simulation/simulated_table.hpp"

namespace sailgate::simulation {

/// Size of a fleet.
struct FleetShape {
  std::size_t nodes = 25;
  std::int32_t slots = 64;
  std::size_t zones = 12;
  std::size_t regions = 5;
  std::size_t engines = 10;
  base::Millis heartbeat = 500;
  std::uint64_t seed = 1;
};

/// What a message is for.
enum class TrafficKind { kReplication, kMembership, kRumors, kConfiguration, kCount };
const char* name_of(TrafficKind kind);

/// Counts over an interval of virtual time, for all nodes together.
struct FleetCounts {
  std::array<std::uint64_t, static_cast<std::size_t>(TrafficKind::kCount)> messages{};
  std::array<std::uint64_t, static_cast<std::size_t>(TrafficKind::kCount)> bytes{};
  std::uint64_t envelopes = 0;
  std::uint64_t table_reads = 0;
  std::uint64_t table_writes = 0;
  double processor_seconds = 0;
  base::Millis virtual_time = 0;

  std::uint64_t total_bytes() const;
};

/// Deterministic for a shape, processor time aside. Not thread-safe.
class HollowFleet {
 public:
  explicit HollowFleet(FleetShape shape);
  HollowFleet(const HollowFleet&) = delete;
  HollowFleet& operator=(const HollowFleet&) = delete;
  ~HollowFleet() = default;

  /// Starts all nodes; runs until every slot is served by a full group or the limit has passed.
  bool start(base::Millis limit);
  void run_for(base::Millis duration) { events_.run_until(events_.now() + duration); }
  base::Millis now() const { return events_.now(); }

  /// Opens programs, spread over all slots. @return how many were accepted.
  std::size_t open_programs(std::size_t count);
  /// Runs whole calls (admission, attempt, ending) on open programs, at a rate per second.
  /// @return how many ended with an outcome.
  std::size_t run_calls(std::size_t count, std::size_t per_second, std::size_t body_bytes,
                        std::size_t result_bytes);

  void kill(const std::vector<std::size_t>& indices);
  /// Starts an empty process in place of each of these.
  void replace(const std::vector<std::size_t>& indices);
  void cut_region(std::size_t region, bool on);
  std::vector<std::size_t> nodes_in_zone(std::size_t zone) const;
  /// One twentieth of the nodes, all in one zone.
  std::vector<std::size_t> rack() const;

  /// Counts since the last call.
  FleetCounts take_counts();
  /// Slots without a leader that serves.
  std::size_t unserved_slots() const;
  /// Slots whose group is not full.
  std::size_t short_slots() const;
  /// Programs held by serving leaders.
  std::size_t programs_held() const;
  /// Other members that this node shares replica groups with.
  std::size_t peers_of(std::size_t index) const;
  double mean_peers() const;
  double mean_replicas() const;
  const FleetShape& shape() const { return shape_; }

 private:
  struct Node {
    std::unique_ptr<node::NodeCore> core;
    std::string host;
    std::size_t zone = 0;
    std::size_t region = 0;
    std::int64_t member = 0;
    std::int64_t incarnation = 0;
    std::set<std::string> peers;
  };
  using Completion = std::function<void(const wire::ProgramReply&)>;

  void start_node(std::size_t index);
  void tick(std::size_t index, std::int64_t incarnation);
  void carry_out(std::size_t index);
  void send(std::size_t from, const std::string& to, wire::Envelope envelope);
  void count(const wire::Envelope& envelope);
  void renew_lease(std::size_t index, const node::LeaseRequest& lease);
  std::size_t leader_of(std::int32_t slot) const;
  void submit(std::int32_t slot, const wire::ProgramRequest& request, const Completion& done);
  void start_call(std::size_t program, std::size_t body_bytes, std::size_t result_bytes,
                  std::size_t& ended);

  FleetShape shape_;
  base::Knobs knobs_;
  base::Random random_;
  EventQueue events_;
  SimulatedTable table_;
  std::vector<Node> nodes_;
  std::map<std::string, std::size_t> by_host_;
  std::vector<membership::Address> seeds_;
  std::vector<scheduling::Backend> backends_;
  std::set<std::size_t> cut_regions_;
  std::int64_t next_member_ = 1;
  node::Ticket next_ticket_ = 1;
  std::map<node::Ticket, Completion> waiting_;
  std::vector<std::int32_t> program_calls_;
  FleetCounts counts_;
  base::Millis counted_from_ = 0;
};

}  // namespace sailgate::simulation
