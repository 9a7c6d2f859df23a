/// @file One slot on one node: replica group, program state and, while leading, its requests.
#pragma once

#include <map>
#include <memory>
#include <set>
#include <string>

#include "base/knobs.hpp"
#include "base/random.hpp"
#include "configuration/lease_table.hpp"
#include "configuration/signing.hpp"
#include "node/core/node_actions.hpp"
#include "node/core/program_replies.hpp"
#include "program/slot_state.hpp"
#include "replication/replica_group.hpp"
#include "scheduling/backend_choice.hpp"
#include "scheduling/backend_directory.hpp"

namespace sailgate::node {

/// Replaceable parts of a node, shared by all its slots.
struct NodePolicies {
  std::shared_ptr<const program::ProgramRules> program_rules;
  std::shared_ptr<const replication::ReplicationRules> replication_rules;
  std::shared_ptr<const scheduling::BackendChooser> chooser;
  std::shared_ptr<const configuration::LeaseRules> lease_rules;
  configuration::PartnerKeys partner_keys;  ///< whose signatures a bundle needs

  /// The policies of the product.
  static NodePolicies standard();
};

/// Deterministic. Not thread-safe; owned by NodeCore.
class SlotReplica : private replication::StateMachine {
 public:
  struct Context {
    std::int32_t slot = 0;
    wire::Member self;
    const base::Knobs& knobs;
    const NodePolicies& policies;
    scheduling::BackendDirectory& backends;
    std::uint64_t seed = 0;
  };

  SlotReplica(Context context, base::Millis now);

  /// Evaluates a request. Its reply appears in `actions`, at once or after its entry is applied.
  void submit(Ticket ticket, const wire::ProgramRequest& request, base::Millis now,
              NodeActions& actions);
  /// Replies to requests whose entries were applied or can no longer be; call after each step.
  void settle(base::Millis now, NodeActions& actions);
  /// Proposes an entry nobody waits for. @return whether this replica took it.
  bool propose(const wire::JournalEntry& entry);

  /// Leads, serves, and a second member is recorded in the table service.
  bool takes_programs(base::Millis now) const;

  replication::ReplicaGroup& group() { return group_; }
  const replication::ReplicaGroup& group() const { return group_; }
  const program::SlotState& state() const { return state_; }
  std::int32_t slot() const { return context_.slot; }

 private:
  /// What to answer when an entry has been applied.
  struct Waiter {
    replication::View view = 0;
    Ticket ticket = 0;
    wire::ProgramRequest request;
    std::int64_t attempt = 0;
  };

  wire::ErrorKind::type apply(const wire::JournalEntry& entry) override;
  std::string snapshot() const override { return state_.snapshot(); }
  void restore(const std::string& bytes) override;

  void dispatch(Ticket ticket, const wire::ProgramRequest& request, base::Millis now,
                NodeActions& actions);
  void open_program(Ticket ticket, const wire::ProgramRequest& request, NodeActions& actions);
  void admit_call(Ticket ticket, const wire::ProgramRequest& request, NodeActions& actions);
  void answer_known_call(Ticket ticket, const wire::ProgramRequest& request,
                         const wire::ProgramRecord& record, const wire::CallRecord& call,
                         NodeActions& actions);
  void start_attempt(Ticket ticket, const wire::ProgramRequest& request,
                     const wire::ProgramRecord& record, const wire::CallRecord* admitted_call,
                     NodeActions& actions);
  void complete_attempt(Ticket ticket, const wire::ProgramRequest& request, NodeActions& actions);
  void look_up_call(Ticket ticket, const wire::LookUpCall& request, NodeActions& actions) const;
  void read_program(Ticket ticket, const wire::ReadProgram& request, NodeActions& actions) const;
  void report_tool_pause(Ticket ticket, const wire::ProgramRequest& request, NodeActions& actions);
  void end_program(Ticket ticket, const wire::ProgramRequest& request, NodeActions& actions);
  void roll_configuration(Ticket ticket, const wire::ProgramRequest& request, NodeActions& actions);
  void renew_lease(Ticket ticket, const wire::RenewConfigurationLease& request, base::Millis now,
                   NodeActions& actions);
  void answer_rolls(base::Millis now, NodeActions& actions);
  void wait_for(wire::JournalEntry entry, Waiter waiter, NodeActions& actions);
  wire::ProgramReply reply_for(const Waiter& waiter, wire::ErrorKind::type error) const;
  wire::ProgramReply reply_for_applied(const Waiter& waiter, wire::ErrorKind::type error) const;
  wire::ProgramReply grant_reply(const wire::ProgramRecord& record,
                                 const wire::CallRecord& call) const;
  const wire::ProgramRecord* find_owned(const std::string& program,
                                        const std::string& tenant) const;
  bool holds_enough_copies() const;
  void rebuild_outstanding();
  void release_outstanding();

  Context context_;
  base::Random random_;
  program::SlotState state_;
  replication::ReplicaGroup group_;
  std::map<replication::LogIndex, Waiter> waiters_;
  std::map<std::int64_t, std::string> outstanding_;  ///< attempt -> back end, while leading
  bool counted_as_leader_ = false;
  configuration::LeaseTable leases_;
  std::map<Ticket, std::int64_t> rolls_;  ///< accepted, not yet in force everywhere -> generation
};

}  // namespace sailgate::node
