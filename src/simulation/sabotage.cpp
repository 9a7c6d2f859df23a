#include "simulation/sabotage.hpp"

#include <algorithm>
#include <memory>

namespace sailgate::simulation {
namespace {

using api::DispatchResult;
using api::FlowRules;
using program::ProgramRules;

class AnyOrder : public ProgramRules {
  bool sequence_is_next(const wire::ProgramRecord& record, std::int32_t sequence) const override {
    return sequence >= record.next_sequence;
  }
};

class SettleOnlyAtTheEnd : public ProgramRules {
  bool reservation_fits(const wire::ProgramRecord& record, std::int64_t) const override {
    return record.settled_tokens < record.opened.budget_tokens;
  }
};

class SecondAttempt : public ProgramRules {
  bool may_attempt_again(const wire::CallRecord&) const override { return true; }
};

class AnyEnding : public ProgramRules {
  bool ending_matches(const wire::CallRecord& call, const wire::AttemptEnded&) const override {
    return call.phase != wire::CallPhase::kDone;
  }
};

class ForgottenEviction : public ProgramRules {
  bool eviction_owed(const wire::ProgramRecord& record, const std::string& backend) const override {
    return ProgramRules::eviction_owed(record, backend) && backend != record.backends_used.front();
  }
};

class UnconditionalWrite : public store::UpdateRules {
  bool conditional() const override { return false; }
};

class TrustCache : public store::UpdateRules {
  bool verify_cached() const override { return false; }
};

class UnansweredIsDone : public store::UpdateRules {
  bool unanswered_is_done() const override { return true; }
};

class MatchByConnection : public FlowRules {
  bool answer_matches(std::int64_t, const DispatchResult&) const override { return true; }
};

class AnswerBeforeCommit : public FlowRules {
  bool wait_for_commit() const override { return false; }
};

class NotRunOnLoss : public FlowRules {
  wire::Outcome::type outcome_of_loss() const override { return wire::Outcome::kNotRun; }
};

class UseLeavingBackends : public scheduling::BackendChooser {
  bool feasible(const scheduling::CallContext& call,
                const scheduling::BackendState& state) const override {
    return state.backend.kind == call.target_kind && state.backend.targets.count(call.target) > 0;
  }
};

class ServeWithoutLease : public configuration::LeaseRules {
  bool lease_valid(base::Millis, base::Millis) const override { return true; }
};

class AcceptAtOnce : public configuration::LeaseRules {
  bool wait_for_leases() const override { return false; }
};

template <typename Rules>
std::function<void(SimulatedPolicies&)> break_leases() {
  return [](SimulatedPolicies& policies) { policies.lease = std::make_shared<Rules>(); };
}

template <typename Rules>
std::function<void(SimulatedPolicies&)> break_program() {
  return [](SimulatedPolicies& policies) { policies.program = std::make_shared<Rules>(); };
}

template <typename Rules>
std::function<void(SimulatedPolicies&)> break_update() {
  return [](SimulatedPolicies& policies) { policies.update = std::make_shared<Rules>(); };
}

template <typename Rules>
std::function<void(SimulatedPolicies&)> break_flow() {
  return [](SimulatedPolicies& policies) { policies.flow = std::make_shared<Rules>(); };
}

}  // namespace

const std::vector<Sabotage>& all_sabotages() {
  static const std::vector<Sabotage> sabotages{
      {"any-order", "order", "a call is admitted before the one before it has ended", 200,
       break_program<AnyOrder>()},
      {"answer-before-commit", "history", "the answer leaves before its ending is committed", 50,
       break_flow<AnswerBeforeCommit>()},
      {"unconditional-write", "history", "rows are written whatever happened to them meanwhile",
       200, break_update<UnconditionalWrite>()},
      {"trust-cache", "history", "a program is read from what this node saw last", 200,
       break_update<TrustCache>()},
      {"unanswered-is-done", "history", "a write without an answer is taken for done", 200,
       break_update<UnansweredIsDone>()},
      {"settle-only-at-the-end", "budget", "nothing is reserved at admission", 200,
       break_program<SettleOnlyAtTheEnd>()},
      {"forgotten-eviction", "memory", "one owed eviction is dropped", 50,
       break_program<ForgottenEviction>()},
      {"match-by-connection", "answer", "an answer counts for whatever waits on the connection",
       100, break_flow<MatchByConnection>()},
      {"any-ending", "answer", "an ending counts for any attempt of the call", 400,
       break_program<AnyEnding>()},
      {"not-run-on-loss", "not run", "a lost dispatch is called not run", 100,
       break_flow<NotRunOnLoss>()},
      {"second-attempt", "at most once", "a call that may not be repeated gets a second attempt",
       200, break_program<SecondAttempt>()},
      {"serve-without-lease", "configuration", "a node serves without a configuration lease", 200,
       break_leases<ServeWithoutLease>()},
      {"accept-at-once", "configuration", "a bundle is accepted before it is in force everywhere",
       200, break_leases<AcceptAtOnce>()},
      {"stop-at-once", "planned stop", "a planned stop does not wait for running calls", 200,
       [](SimulatedPolicies& policies) { policies.stop_at_once = true; }},
      {"use-leaving-backends", "leaving", "leaving back ends get new work", 100,
       [](SimulatedPolicies& policies) {
         policies.chooser = std::make_shared<UseLeavingBackends>();
       }},
  };
  return sabotages;
}

const Sabotage* find_sabotage(const std::string& name) {
  const auto& all = all_sabotages();
  const auto found = std::find_if(all.begin(), all.end(),
                                  [&](const Sabotage& sabotage) { return sabotage.name == name; });
  return found == all.end() ? nullptr : &*found;
}

}  // namespace sailgate::simulation
