#include "simulation/simulated_node.hpp"

#include <utility>

#include "simulation/simulated_cluster.hpp"
#include "wire/replies.hpp"

namespace sailgate::simulation {
namespace {

constexpr std::int32_t kPort = 7000;
constexpr base::Millis kRequestTimeout = 600;
constexpr base::Millis kRequestRetry = 100;
constexpr int kMaximumHops = 4;

}  // namespace

SimulatedNode::SimulatedNode(SimulatedCluster& cluster, std::string host, std::string zone,
                             std::uint64_t seed)
    : cluster_(cluster), host_(std::move(host)), zone_(std::move(zone)), random_(seed) {}

base::Millis SimulatedNode::local_now() const {
  const auto passed = cluster_.events().now() - drift_since_;
  return local_at_drift_ + passed + passed * drift_per_mille_ / 1000;
}

/// The clock goes on from where it is: it never jumps.
void SimulatedNode::set_drift(int per_mille) {
  local_at_drift_ = local_now();
  drift_since_ = cluster_.events().now();
  drift_per_mille_ = per_mille;
}

// ---------------------------------------------------------------- process

void SimulatedNode::start() {
  if (core_) return;
  ++incarnation_;
  cluster_.oracle().node_restarted(host_);
  stopped_ = false;
  frozen_ = false;
  const bool keep = cluster_.policies().restart_with_old_identity && member_id_ != 0;
  if (!keep) member_id_ = cluster_.next_member_id();
  node::NodeCore::Options options;
  options.self.id = member_id_;
  options.self.host = host_;
  options.self.rpc_port = kPort;
  options.self.zone = zone_;
  options.knobs = cluster_.knobs();
  options.policies = cluster_.policies().node;
  options.seeds = cluster_.seeds();
  options.backends = cluster_.backend_descriptions();
  options.seed = random_.below(UINT64_MAX);
  core_ = std::make_unique<node::NodeCore>(std::move(options), local_now());
  post(static_cast<base::Millis>(
           random_.below(static_cast<std::uint64_t>(cluster_.knobs().heartbeat_interval))),
       [this] { tick(); });
}

void SimulatedNode::kill() {
  core_.reset();
  frozen_ = false;
  deferred_.clear();
  tickets_.clear();
  flows_.clear();
}

void SimulatedNode::freeze() {
  if (core_) frozen_ = true;
}

void SimulatedNode::thaw() {
  if (!frozen_) return;
  frozen_ = false;
  auto waiting = std::exchange(deferred_, {});
  for (auto& action : waiting) run_or_defer(std::move(action));
}

void SimulatedNode::begin_stop() {
  if (core_) core_->begin_stop(local_now());
}

void SimulatedNode::post(base::Millis delay, std::function<void()> action) {
  const auto incarnation = incarnation_;
  cluster_.events().after(delay, [this, incarnation, action = std::move(action)]() mutable {
    if (core_ && incarnation == incarnation_) run_or_defer(std::move(action));
  });
}

void SimulatedNode::run_or_defer(std::function<void()> action) {
  if (!core_) return;
  if (frozen_) {
    deferred_.push_back(std::move(action));
  } else {
    action();
  }
}

void SimulatedNode::tick() {
  for (const auto& backend : cluster_.backend_list()) {
    if (backend->leaving()) core_->on_backend_leaving(backend->description().id);
  }
  core_->on_tick(local_now());
  carry_out(core_->take_actions());
  const bool drained = core_->stopping() && core_->released(local_now()) && flows_.empty();
  if (drained || (core_->stopping() && cluster_.policies().stop_at_once)) {
    cluster_.oracle().node_stopped(host_, flows_.size());
    stopped_ = true;
    kill();
    return;
  }
  post(cluster_.knobs().heartbeat_interval, [this] { tick(); });
}

// ---------------------------------------------------------------- network

void SimulatedNode::deliver_envelope(const wire::Envelope& envelope) {
  run_or_defer([this, envelope] {
    core_->on_envelope(envelope, local_now());
    carry_out(core_->take_actions());
  });
}

void SimulatedNode::carry_out(node::NodeActions actions) {
  for (auto& outgoing : actions.envelopes) {
    cluster_.send_envelope(host_, outgoing.address.host, std::move(outgoing.envelope));
  }
  for (const auto& command : actions.table) {
    cluster_.send_table_command(
        host_, command, [this, incarnation = incarnation_](const node::TableAnswer& answer) {
          if (!core_ || incarnation != incarnation_) return;
          run_or_defer([this, answer] {
            core_->on_table_answer(answer, local_now());
            carry_out(core_->take_actions());
          });
        });
  }
  send_evictions(actions);
  for (const auto& lease : actions.lease_requests) {
    wire::ProgramRequest request;
    request.__set_renew_configuration_lease(lease.request);
    route(node::kConfigurationSlot, request, 0, 0, [this, lease](const wire::ProgramReply& reply) {
      if (!reply.__isset.configuration_lease) return;
      core_->on_configuration_lease(reply.configuration_lease, lease.asked_at);
      cluster_.oracle().generation_held(host_, core_->configuration().generation());
    });
  }
  for (const auto& completed : actions.completed) {
    const auto found = tickets_.find(completed.ticket);
    if (found == tickets_.end()) continue;
    const auto answer = std::move(found->second);
    tickets_.erase(found);
    answer(completed.reply);
  }
}

void SimulatedNode::send_evictions(const node::NodeActions& actions) {
  const auto incarnation = incarnation_;
  for (const auto& order : actions.evictions) {
    cluster_.call_backend(order.backend, [this, order, incarnation](auto& backend) {
      backend.evict(order.program);
      cluster_.reply_to_node([this, order, incarnation] {
        if (!core_ || incarnation != incarnation_) return;
        run_or_defer([this, order] {
          core_->on_evicted(order, local_now());
          carry_out(core_->take_actions());
        });
      });
    });
  }
  for (const auto& order : actions.cancels) {
    cluster_.call_backend(order.backend, [order](auto& backend) { backend.cancel(order.attempt); });
  }
  for (const auto& inquiry : actions.inquiries) {
    cluster_.call_backend(inquiry.backend, [this, inquiry, incarnation](auto& backend) {
      const auto answer = backend.inquire(inquiry);
      cluster_.reply_to_node([this, answer, incarnation] {
        if (!core_ || incarnation != incarnation_) return;
        run_or_defer([this, answer] {
          core_->on_inquiry_answer(answer, local_now());
          carry_out(core_->take_actions());
        });
      });
    });
  }
}

void SimulatedNode::execute(std::int32_t slot, const wire::ProgramRequest& request,
                            const Answer& answer) {
  run_or_defer([this, slot, request, answer] {
    const auto ticket = next_ticket_++;
    tickets_[ticket] = answer;
    core_->submit(ticket, slot, request, local_now());
    carry_out(core_->take_actions());
  });
}

void SimulatedNode::route(std::int32_t slot, const wire::ProgramRequest& request, int hops,
                          std::int64_t hint, const Answer& answer) {
  const auto target = hint != 0 ? hint : core_->leader_hint(slot);
  const auto* member = core_->membership().find(target);
  if (hops >= kMaximumHops || member == nullptr) {
    post(1, [answer] { answer({}); });
    return;
  }
  // One of the reply and the time-out comes first; the other finds the question settled.
  auto settled = std::make_shared<bool>(false);
  const auto incarnation = incarnation_;
  const auto finish = [this, slot, request, hops, answer, settled,
                       incarnation](const wire::ProgramReply& reply) {
    if (*settled || !core_ || incarnation != incarnation_) return;
    *settled = true;
    run_or_defer([this, slot, request, hops, answer, reply] {
      if (reply.__isset.redirect && reply.redirect.leader != 0) {
        route(slot, request, hops + 1, reply.redirect.leader, answer);
      } else {
        answer(reply);
      }
    });
  };
  cluster_.send_request(host_, member->host, target, slot, request, finish);
  post(kRequestTimeout, [finish] { finish({}); });
}

// ---------------------------------------------------------------- gateway

void SimulatedNode::handle_request(const wire::ProgramRequest& request, std::int32_t slot,
                                   base::Millis patience, const Answer& answer) {
  run_or_defer([this, request, slot, patience, answer] {
    retry_request(request, slot, local_now() + patience, answer);
  });
}

void SimulatedNode::retry_request(const wire::ProgramRequest& request, std::int32_t slot,
                                  base::Millis until, const Answer& answer) {
  route(slot, request, 0, 0, [this, request, slot, until, answer](const auto& reply) {
    if (wire::is_decisive(reply)) {
      answer(reply);
    } else if (local_now() + kRequestRetry >= until) {
      answer(node::refusal_reply(wire::ErrorKind::kSlotUnavailable));
    } else {
      post(kRequestRetry,
           [this, request, slot, until, answer] { retry_request(request, slot, until, answer); });
    }
  });
}

void SimulatedNode::handle_call(const wire::AdmitCall& admit, bool first_send,
                                base::Millis patience, const Answer& answer) {
  run_or_defer([this, admit, first_send, patience, answer] {
    if (!core_->configuration().live(local_now())) {
      auto reply = node::refusal_reply(wire::ErrorKind::kConfigurationStale);
      if (!first_send) reply.refusal.ran = wire::Ran::kUnknown;
      answer(reply);
      return;
    }
    cluster_.oracle().served_under(host_, core_->configuration().generation());
    auto stamped = admit;
    stamped.gateway = member_id_;
    stamped.nonce = random_.identifier();
    const auto id = next_flow_++;
    Flow flow;
    flow.steps = std::make_unique<gateway::CallFlow>(*cluster_.policies().flow, stamped,
                                                     local_now() + patience, first_send);
    flow.program = admit.call.program;
    flow.admit = stamped;
    flow.answer = answer;
    const auto step = flow.steps->start();
    flows_[id] = std::move(flow);
    run_step(id, step);
  });
}

void SimulatedNode::run_step(std::int64_t flow_id, const gateway::FlowStep& step) {
  const auto found = flows_.find(flow_id);
  if (found == flows_.end()) return;
  if (step.kind == gateway::FlowStep::Kind::kAnswer) {
    const auto answer = std::move(found->second.answer);
    flows_.erase(found);
    answer(step.answer);
    return;
  }
  if (step.kind == gateway::FlowStep::Kind::kDispatch) {
    // The process may be frozen between receiving a grant and acting on it.
    post(1, [this, flow_id, grant = step.grant, granted_at = local_now()] {
      dispatch(flow_id, grant, granted_at);
    });
    return;
  }
  const auto slot = node::slot_of(found->second.program, cluster_.knobs().slot_count);
  post(step.wait, [this, flow_id, slot, request = step.request] {
    route(slot, request, 0, 0, [this, flow_id](const wire::ProgramReply& reply) {
      const auto flow = flows_.find(flow_id);
      if (flow == flows_.end()) return;
      run_step(flow_id, flow->second.steps->on_reply(reply, local_now()));
    });
  });
}

void SimulatedNode::dispatch(std::int64_t flow_id, const wire::Grant& grant,
                             base::Millis granted_at) {
  const auto found = flows_.find(flow_id);
  if (found == flows_.end()) return;
  const auto* state = core_->backends().find(grant.backend);
  const bool leaving = state != nullptr && state->leaving;
  if (!gateway::grant_is_fresh(local_now() - granted_at, leaving)) {
    gateway::DispatchResult unsent;
    unsent.kind = gateway::DispatchResult::Kind::kUnsent;
    run_step(flow_id, found->second.steps->on_dispatched(unsent));
    return;
  }
  const auto& call = found->second.admit.call;
  DispatchedCall dispatched;
  dispatched.program = call.program;
  dispatched.sequence = call.sequence;
  dispatched.request_key = call.request_key;
  dispatched.attempt = grant.attempt;
  dispatched.token_ceiling = grant.token_ceiling;
  auto settled = std::make_shared<bool>(false);
  const auto incarnation = incarnation_;
  const auto finish = [this, flow_id, settled, incarnation](const gateway::DispatchResult& result) {
    if (*settled || !core_ || incarnation != incarnation_) return;
    *settled = true;
    run_or_defer([this, flow_id, result] {
      const auto flow = flows_.find(flow_id);
      if (flow == flows_.end()) return;
      run_step(flow_id, flow->second.steps->on_dispatched(result));
    });
  };
  cluster_.call_backend(grant.backend, [this, dispatched, finish](auto& backend) {
    backend.dispatch(dispatched, [this, finish](const gateway::DispatchResult& result) {
      cluster_.reply_to_node([finish, result] { finish(result); });
    });
  });
  post(grant.deadline_in_ms, [finish] { finish({}); });
}

}  // namespace sailgate::simulation
