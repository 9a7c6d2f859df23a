/// @file One node process in simulation: the product's core and call flow on virtual time.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "base/random.hpp"
#include "gateway/core/call_flow.hpp"
#include "node/core/node_core.hpp"
#include "simulation/event_queue.hpp"

namespace sailgate::simulation {

class SimulatedCluster;

/// Replaceable parts, so that proofs can break one (src/simulation/sabotage.hpp).
struct SimulatedPolicies {
  node::NodePolicies node = node::NodePolicies::standard();
  std::shared_ptr<const gateway::FlowRules> flow = std::make_shared<gateway::FlowRules>();
  /// A restarted process keeps the id of the one before.
  bool restart_with_old_identity = false;
  /// A planned stop ends the process without draining.
  bool stop_at_once = false;
};

/// Process of one address over all its incarnations. Not thread-safe.
class SimulatedNode {
 public:
  using Answer = std::function<void(const wire::ProgramReply&)>;

  SimulatedNode(SimulatedCluster& cluster, std::string host, std::string zone, std::uint64_t seed);

  void start();
  void kill();
  void freeze();
  void thaw();
  void begin_stop();

  bool up() const { return core_ != nullptr; }
  bool frozen() const { return frozen_; }
  bool stopped() const { return stopped_; }
  const std::string& host() const { return host_; }
  const std::string& zone() const { return zone_; }
  std::int64_t member_id() const { return member_id_; }
  node::NodeCore& core() { return *core_; }
  const node::NodeCore& core() const { return *core_; }
  /// Skew of this process's clock in parts per thousand.
  void set_drift(int per_mille);

  // What reaches the process from the network; dropped while down, kept while frozen.
  void deliver_envelope(const wire::Envelope& envelope);
  /// A caller's call; the answer comes exactly once unless the process dies.
  void handle_call(const wire::AdmitCall& admit, bool first_send, base::Millis patience,
                   const Answer& answer);
  /// A caller's other request.
  void handle_request(const wire::ProgramRequest& request, std::int32_t slot, base::Millis patience,
                      const Answer& answer);
  /// A program request forwarded by another node.
  void execute(std::int32_t slot, const wire::ProgramRequest& request, const Answer& answer);

 private:
  struct Flow {
    std::unique_ptr<gateway::CallFlow> steps;
    std::string program;
    wire::AdmitCall admit;
    Answer answer;
  };

  base::Millis local_now() const;
  /// Runs `action` on this incarnation after `delay`, once the process is not frozen.
  void post(base::Millis delay, std::function<void()> action);
  void run_or_defer(std::function<void()> action);
  void tick();
  void carry_out(node::NodeActions actions);
  void send_evictions(const node::NodeActions& actions);
  void run_step(std::int64_t flow_id, const gateway::FlowStep& step);
  void dispatch(std::int64_t flow_id, const wire::Grant& grant, base::Millis granted_at);
  /// Finds the slot's leader, follows redirects; an empty reply when that fails.
  void route(std::int32_t slot, const wire::ProgramRequest& request, int hops, std::int64_t hint,
             const Answer& answer);
  void retry_request(const wire::ProgramRequest& request, std::int32_t slot, base::Millis until,
                     const Answer& answer);

  SimulatedCluster& cluster_;
  std::string host_;
  std::string zone_;
  base::Random random_;
  std::unique_ptr<node::NodeCore> core_;
  std::int64_t incarnation_ = 0;
  std::int64_t member_id_ = 0;
  int drift_per_mille_ = 0;
  base::Millis drift_since_ = 0;
  base::Millis local_at_drift_ = 0;
  bool frozen_ = false;
  bool stopped_ = false;
  std::vector<std::function<void()>> deferred_;
  node::Ticket next_ticket_ = 1;
  std::map<node::Ticket, Answer> tickets_;
  std::int64_t next_flow_ = 1;
  std::map<std::int64_t, Flow> flows_;
};

}  // namespace sailgate::simulation
