/// @file A whole deployment on virtual time: nodes, table service, back ends, callers, operators.
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
  std::int32_t family_parts = 4;
};

/// Deterministic for a seed. Not thread-safe.
class SimulatedCluster {
 public:
  SimulatedCluster(ClusterShape shape, std::uint64_t seed, SimulatedPolicies policies);
  SimulatedCluster(const SimulatedCluster&) = delete;
  SimulatedCluster& operator=(const SimulatedCluster&) = delete;
  ~SimulatedCluster() = default;

  /// Starts the nodes and waits until all serve.
  void start();
  /// Starts the callers, spread over `span` of virtual time.
  void start_callers(base::Millis span);
  void run_for(base::Millis duration) { events_.run_until(events_.now() + duration); }
  /// Ends all faults, lets everything finish, then asks the oracle about what is left.
  void heal_and_finish();

  // Faults.
  void kill_node(std::size_t index);
  void kill_zone(std::size_t zone);
  /// All power is lost at once.
  void kill_all();
  void restart_dead_nodes();
  void freeze_node(std::size_t index);
  void thaw_nodes();
  /// The table service refuses one node, or a zone cannot reach it.
  void refuse_node(std::size_t index);
  void cut_zone(std::size_t zone);
  void heal_links() { table_.heal(); }
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
  std::vector<scheduling::Backend> backend_descriptions() const;
  const std::vector<std::unique_ptr<SimulatedBackend>>& backend_list() const { return backends_; }
  SimulatedTable& table() { return table_; }
  const configuration::PartnerKeys& partner_keys() const { return partner_keys_; }
  /// Asks a process, if it is there, whether it runs an attempt. A dead one's machine says no.
  void ask_attempt(std::int64_t gateway, std::int64_t attempt,
                   const std::function<void(const bool&)>& answer);
  void call_backend(const std::string& backend,
                    const std::function<void(SimulatedBackend&)>& action);
  void reply_to_node(const std::function<void()>& action);
  /// A caller's call or other request, at a random node.
  void call(const wire::AdmitCall& admit, bool first_send, base::Millis patience,
            const SimulatedNode::Answer& answer);
  void ask(const wire::ProgramRequest& request, base::Millis patience,
           const SimulatedNode::Answer& answer);
  void roll(const wire::SignedBundle& signed_bundle, base::Millis patience,
            const SimulatedNode::Answer& answer);
  /// Configuration generation that some node holds, as an operator would read it.
  std::int64_t some_generation();

  std::vector<std::unique_ptr<SimulatedNode>>& nodes() { return nodes_; }
  /// Whether every node serves.
  bool settled() const;

 private:
  SimulatedNode* node_of(std::int64_t member);
  SimulatedNode* random_node();
  SimulatedBackend* backend_at(const std::string& id);
  void check_remains();

  ClusterShape shape_;
  base::Random random_;
  EventQueue events_;
  Oracle oracle_;
  SimulatedTable table_;
  base::Knobs knobs_;
  SimulatedPolicies policies_;
  configuration::PartnerKeys partner_keys_;
  std::int64_t next_member_id_ = 1;
  std::vector<std::unique_ptr<SimulatedNode>> nodes_;
  std::vector<std::unique_ptr<SimulatedBackend>> backends_;
  std::vector<std::unique_ptr<SimulatedCaller>> callers_;
  std::vector<std::unique_ptr<SimulatedOperator>> operators_;
};

}  // namespace sailgate::simulation
