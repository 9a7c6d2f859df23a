/// @file One node process in simulation: the product's decisions and steps on virtual time.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "api/call_flow.hpp"
#include "base/random.hpp"
#include "configuration/bundle_roll.hpp"
#include "configuration/configuration_holder.hpp"
#include "program/family_update.hpp"
#include "scheduling/backend_choice.hpp"
#include "simulation/event_queue.hpp"

namespace sailgate::simulation {

class SimulatedCluster;

/// Replaceable parts, so that proofs can break one (src/simulation/sabotage.hpp).
struct SimulatedPolicies {
  std::shared_ptr<const program::ProgramRules> program = std::make_shared<program::ProgramRules>();
  std::shared_ptr<const store::UpdateRules> update = std::make_shared<store::UpdateRules>();
  std::shared_ptr<const scheduling::BackendChooser> chooser =
      std::make_shared<scheduling::BackendChooser>();
  std::shared_ptr<const configuration::LeaseRules> lease =
      std::make_shared<configuration::LeaseRules>();
  std::shared_ptr<const api::FlowRules> flow = std::make_shared<api::FlowRules>();
  /// A planned stop ends the process without finishing what it was asked.
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

  bool up() const { return process_ != nullptr; }
  bool stopping() const { return stopping_; }
  bool serving() const;
  const std::string& host() const { return host_; }
  const std::string& zone() const { return zone_; }
  std::int64_t member_id() const { return member_id_; }
  std::int64_t generation() const;
  /// Skew of this process's clock in parts per thousand.
  void set_drift(int per_mille);

  // What reaches the process from the network; dropped while down, kept while frozen.
  /// A caller's call; the answer comes exactly once unless the process dies.
  void handle_call(const wire::AdmitCall& admit, bool first_send, base::Millis patience,
                   const Answer& answer);
  /// A caller's other request.
  void handle_request(const wire::ProgramRequest& request, base::Millis patience,
                      const Answer& answer);
  /// An operator's bundle.
  void roll(const wire::SignedBundle& signed_bundle, base::Millis patience, const Answer& answer);
  /// Another node asks whether this process runs an attempt.
  void ask_attempt(std::int64_t attempt, const std::function<void(bool running)>& answer);

 private:
  struct Flow {
    std::unique_ptr<api::CallFlow> steps;
    wire::AdmitCall admit;
    std::int64_t attempt = 0;  ///< granted to it; 0: none
    Answer answer;
  };
  /// What one incarnation of the process holds in memory.
  struct Process {
    explicit Process(const base::Knobs& knobs, const SimulatedPolicies& policies)
        : configuration(knobs, policies.lease) {}
    scheduling::BackendDirectory backends;
    configuration::ConfigurationHolder configuration;
    std::map<std::string, program::StoredFamily> families;
    std::map<std::int64_t, Flow> flows;
    std::int64_t next_flow = 1;
    std::int32_t next_part = 0;
  };
  /// One update of rows under way.
  struct Update {
    std::unique_ptr<store::UpdateSubject> subject;
    std::unique_ptr<store::OptimisticUpdate> steps;
    std::function<void(bool decided)> done;
  };
  using UpdatePointer = std::shared_ptr<Update>;

  base::Millis local_now() const;
  /// Runs `action` on this incarnation after `delay`, once the process is not frozen.
  void post(base::Millis delay, std::function<void()> action);
  void run_or_defer(std::function<void()> action);
  /// Wraps what a reply does, so that it reaches this incarnation only, and at most once.
  template <typename Value>
  std::function<void(const Value&)> once(std::function<void(const Value&)> action);

  void tick();
  void read_configuration();
  void sweep();
  void settle_family(const std::string& family);
  void carry_out(const std::string& family, const program::DueActions& orders);
  void check_gateway(const std::string& family, const program::GatewayCheck& check);

  void run_update(const UpdatePointer& update, const store::OptimisticUpdate::Step& step);
  void change_family(const std::string& family, const program::FamilyUpdate::Change& change,
                     base::Millis patience,
                     const std::function<void(bool decided, const program::FamilyUpdate&)>& done);
  /// Decides a request; an empty reply when nobody could tell in time.
  void execute(const wire::ProgramRequest& request, base::Millis patience, const Answer& answer);

  void run_step(std::int64_t flow_id, const api::FlowStep& step);
  void dispatch(std::int64_t flow_id, const wire::Grant& grant, base::Millis granted_at);

  SimulatedCluster& cluster_;
  std::string host_;
  std::string zone_;
  base::Random random_;
  program::FamilyContext family_context_;
  std::unique_ptr<Process> process_;
  std::int64_t incarnation_ = 0;
  std::int64_t member_id_ = 0;
  int drift_per_mille_ = 0;
  base::Millis drift_since_ = 0;
  base::Millis local_at_drift_ = 0;
  bool frozen_ = false;
  bool stopping_ = false;
  std::vector<std::function<void()>> deferred_;
};

}  // namespace sailgate::simulation
