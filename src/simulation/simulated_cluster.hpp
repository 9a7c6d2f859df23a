/// @file A whole deployment on virtual time: nodes, network, table service, back ends, callers.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "base/knobs.hpp"
#include "base/random.hpp"
#include "simulation/event_queue.hpp"
#include "simulation/oracle.hpp"
#include "simulation/simulated_backend.hpp"
#include "simulation/simulated_caller.hpp"
#include "simulation/simulated_network.hpp"
#include "simulation/simulated_node.hpp"
#include "simulation/simulated_operator.hpp"
#include "simulation/simulated_table.hpp"

namespace sailgate::simulation {

/// Size of a simulated deployment.
struct ClusterShape {
  std::size_t zones = 3;
  std::size_t nodes_per_zone = 2;
  std::size_t engines = 3;
  std::size_t application_engines = 2;
  std::size_t programs = 12;
  std::int32_t slots = 4;
};

/// Deterministic for a seed. Not thread-safe.
class SimulatedCluster {
 public:
  SimulatedCluster(ClusterShape shape, std::uint64_t seed, SimulatedPolicies policies);
  SimulatedCluster(const SimulatedCluster&) = delete;
  SimulatedCluster& operator=(const SimulatedCluster&) = delete;
  ~SimulatedCluster() = default;

  /// Starts the nodes and waits until every slot takes programs.
  void start();
  /// Starts the callers, spread over `span` of virtual time.
  void start_callers(base::Millis span);
  void run_for(base::Millis duration) { events_.run_until(events_.now() + duration); }
  /// Ends all faults, lets everything finish, then asks the oracle about what is left.
  void heal_and_finish();

  // Faults. Each is ignored where it would go beyond what the replication promises to survive.
  void kill_node(std::size_t index);
  void restart_dead_nodes();
  void freeze_node(std::size_t index);
  void thaw_nodes();
  void kill_zone(std::size_t zone);
  void cut_zone(std::size_t zone);
  void cut_one_way(std::size_t from, std::size_t to);
  void heal_links();
  void disturb_network(bool on) { network_.disturb(on); }
  void disturb_backends(bool on);
  void set_table_mode(TableMode mode) { table_.set_mode(mode); }
  void set_drift(std::size_t index, int per_mille);
  void stop_node(std::size_t index);
  void backend_leaves(std::size_t index);
  /// One operator rolls a bundle, or both at once.
  void roll_configuration(std::size_t partner, bool both);

  // Used by nodes and callers.
  EventQueue& events() { return events_; }
  const EventQueue& events() const { return events_; }
  Oracle& oracle() { return oracle_; }
  const Oracle& oracle() const { return oracle_; }
  const base::Knobs& knobs() const { return knobs_; }
  const SimulatedPolicies& policies() const { return policies_; }
  std::int64_t next_member_id() { return next_member_id_++; }
  std::vector<membership::Address> seeds() const;
  std::vector<scheduling::Backend> backend_descriptions() const;
  const std::vector<std::unique_ptr<SimulatedBackend>>& backend_list() const { return backends_; }
  void send_envelope(const std::string& from, const std::string& to, wire::Envelope envelope);
  void send_table_command(const std::string& from, const node::TableCommand& command,
                          const SimulatedTable::Reply& reply);
  void send_request(const std::string& from, const std::string& to, std::int64_t member,
                    std::int32_t slot, const wire::ProgramRequest& request,
                    const SimulatedNode::Answer& answer);
  void call_backend(const std::string& backend,
                    const std::function<void(SimulatedBackend&)>& action);
  void reply_to_node(const std::function<void()>& action);
  /// A caller's call or other request, at a random node.
  void call(const wire::AdmitCall& admit, bool first_send, base::Millis patience,
            const SimulatedNode::Answer& answer);
  void ask(const wire::ProgramRequest& request, const std::string& program, base::Millis patience,
           const SimulatedNode::Answer& answer);
  void ask_slot(const wire::ProgramRequest& request, std::int32_t slot, base::Millis patience,
                const SimulatedNode::Answer& answer);
  /// Configuration generation that some node holds, as an operator would read it.
  std::int64_t some_generation();

  std::vector<std::unique_ptr<SimulatedNode>>& nodes() { return nodes_; }
  /// Whether every slot has a serving leader with a full group.
  bool settled() const;
  /// State of a slot on every node, for reports of a violation.
  std::string describe_slot(std::int32_t slot) const;
  std::string describe_program(const std::string& program) const;

 private:
  SimulatedNode* node_at(const std::string& host);
  SimulatedNode* node_of(std::int64_t member);
  SimulatedNode* random_node();
  SimulatedBackend* backend_at(const std::string& id);
  /// Whether every group keeps a majority of living members without these nodes.
  bool survives_without(const std::vector<SimulatedNode*>& victims);
  const replication::ReplicaGroup* newest_replica(std::int32_t slot) const;
  void check_remains();

  ClusterShape shape_;
  base::Random random_;
  EventQueue events_;
  Oracle oracle_;
  SimulatedNetwork network_;
  SimulatedTable table_;
  base::Knobs knobs_;
  SimulatedPolicies policies_;
  std::int64_t next_member_id_ = 1;
  std::vector<std::unique_ptr<SimulatedNode>> nodes_;
  std::vector<std::unique_ptr<SimulatedBackend>> backends_;
  std::vector<std::unique_ptr<SimulatedCaller>> callers_;
  std::vector<std::unique_ptr<SimulatedOperator>> operators_;
};

}  // namespace sailgate::simulation
