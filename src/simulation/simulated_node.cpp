#include "simulation/simulated_node.hpp"

#include <utility>

#include "program/program_replies.hpp"
#include "program/request_decision.hpp"
#include "simulation/simulated_cluster.hpp"
#include "wire/replies.hpp"

namespace sailgate::simulation {
namespace {

using store::StoreResult;

constexpr base::Millis kRequestTimeout = 600;
constexpr base::Millis kSettlePatience = 1500;

}  // namespace

SimulatedNode::SimulatedNode(SimulatedCluster& cluster, std::string host, std::string zone,
                             std::uint64_t seed)
    : cluster_(cluster),
      host_(std::move(host)),
      zone_(std::move(zone)),
      random_(seed),
      family_context_{program::FamilyRows(cluster.knobs().family_parts), cluster.policies().program,
                      cluster.knobs(), [this] { return local_now(); }} {}

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
  if (process_) return;
  ++incarnation_;
  cluster_.oracle().node_restarted(host_);
  stopping_ = false;
  frozen_ = false;
  member_id_ = cluster_.next_member_id();
  process_ = std::make_unique<Process>(cluster_.knobs(), cluster_.policies());
  for (const auto& backend : cluster_.backend_descriptions()) process_->backends.add(backend);
  process_->next_part = static_cast<std::int32_t>(
      random_.below(static_cast<std::uint64_t>(cluster_.knobs().family_parts)));
  post(static_cast<base::Millis>(random_.below(100)), [this] { tick(); });
}

void SimulatedNode::kill() {
  process_.reset();
  frozen_ = false;
  deferred_.clear();
}

void SimulatedNode::freeze() {
  if (process_) frozen_ = true;
}

void SimulatedNode::thaw() {
  if (!frozen_) return;
  frozen_ = false;
  auto waiting = std::exchange(deferred_, {});
  for (auto& action : waiting) run_or_defer(std::move(action));
}

void SimulatedNode::begin_stop() {
  if (process_) stopping_ = true;
}

bool SimulatedNode::serving() const {
  return process_ != nullptr && !frozen_ && process_->configuration.has_valid_lease(local_now());
}

std::int64_t SimulatedNode::generation() const {
  return process_ == nullptr ? 0 : process_->configuration.generation();
}

void SimulatedNode::post(base::Millis delay, std::function<void()> action) {
  const auto incarnation = incarnation_;
  cluster_.events().after(delay, [this, incarnation, action = std::move(action)]() mutable {
    if (process_ && incarnation == incarnation_) run_or_defer(std::move(action));
  });
}

void SimulatedNode::run_or_defer(std::function<void()> action) {
  if (!process_) return;
  if (frozen_) {
    deferred_.push_back(std::move(action));
  } else {
    action();
  }
}

template <typename Value>
std::function<void(const Value&)> SimulatedNode::once(std::function<void(const Value&)> action) {
  auto settled = std::make_shared<bool>(false);
  return [this, settled, incarnation = incarnation_, action](const Value& value) {
    if (*settled || !process_ || incarnation != incarnation_) return;
    *settled = true;
    run_or_defer([action, value] { action(value); });
  };
}

void SimulatedNode::tick() {
  for (const auto& backend : cluster_.backend_list()) {
    if (backend->leaving()) process_->backends.set_leaving(backend->description().id, true);
  }
  if (stopping_ && (process_->flows.empty() || cluster_.policies().stop_at_once)) {
    cluster_.oracle().node_stopped(host_, process_->flows.size());
    kill();
    return;
  }
  read_configuration();
  sweep();
  post(cluster_.knobs().configuration_poll, [this] { tick(); });
}

void SimulatedNode::read_configuration() {
  const auto asked_at = local_now();
  const auto take = once<StoreResult>([this, asked_at](const StoreResult& result) {
    if (result.status != store::StoreStatus::kDone) return;
    process_->configuration.on_read(configuration::configuration_from_rows(result.rows), asked_at);
    cluster_.oracle().generation_held(host_, process_->configuration.generation());
  });
  cluster_.table().read(host_, configuration::configuration_range(), take);
}

// ---------------------------------------------------------------- due work

void SimulatedNode::sweep() {
  const auto& rows = family_context_.rows;
  const auto part = process_->next_part++ % rows.partition_count();
  const auto take = once<StoreResult>([this](const StoreResult& result) {
    for (const auto& row : result.rows) {
      if (program::FamilyRows::decode_due_time(row) <= local_now()) settle_family(row.id.key);
    }
  });
  cluster_.table().read(host_, rows.due_range(part, ""), take);
}

void SimulatedNode::settle_family(const std::string& family) {
  auto orders = std::make_shared<program::DueActions>();
  change_family(
      family,
      [this, orders](program::FamilyState& state) {
        *orders = program::process_due_work(state, local_now(), cluster_.knobs());
      },
      kSettlePatience,
      [this, family, orders](bool decided, const program::FamilyUpdate&) {
        if (decided) carry_out(family, *orders);
      });
}

void SimulatedNode::carry_out(const std::string& family, const program::DueActions& orders) {
  for (const auto& order : orders.evictions) {
    const auto evicted = once<bool>([this, family, order](bool) {
      wire::EvictionAcknowledged acknowledged;
      acknowledged.program = order.program;
      acknowledged.backend = order.backend;
      change_family(
          family,
          [acknowledged](program::FamilyState& state) { state.acknowledge_eviction(acknowledged); },
          kSettlePatience, [](bool, const program::FamilyUpdate&) {});
    });
    cluster_.call_backend(order.backend, [this, order, evicted](auto& backend) {
      backend.evict(order.program);
      cluster_.reply_to_node([evicted] { evicted(true); });
    });
  }
  for (const auto& order : orders.cancels) {
    cluster_.call_backend(order.backend, [order](auto& backend) { backend.cancel(order.attempt); });
  }
  for (const auto& inquiry : orders.inquiries) {
    const auto answered =
        once<program::InquiryAnswer>([this, family](const program::InquiryAnswer& answer) {
          change_family(
              family,
              [this, answer](program::FamilyState& state) {
                program::apply_inquiry_answer(state, answer, local_now());
              },
              kSettlePatience, [](bool, const program::FamilyUpdate&) {});
        });
    cluster_.call_backend(inquiry.backend, [this, inquiry, answered](auto& backend) {
      const auto answer = backend.inquire(inquiry);
      cluster_.reply_to_node([answered, answer] { answered(answer); });
    });
  }
  for (const auto& check : orders.checks) check_gateway(family, check);
}

void SimulatedNode::check_gateway(const std::string& family, const program::GatewayCheck& check) {
  const auto told = once<bool>([this, family, check](bool running) {
    if (running) return;
    change_family(
        family,
        [this, check](program::FamilyState& state) {
          program::mark_attempt_lost(state, check, local_now());
        },
        kSettlePatience, [](bool, const program::FamilyUpdate&) {});
  });
  cluster_.ask_attempt(check.gateway, check.attempt, told);
}

void SimulatedNode::ask_attempt(std::int64_t attempt,
                                const std::function<void(bool running)>& answer) {
  run_or_defer([this, attempt, answer] {
    bool running = false;
    for (const auto& [id, flow] : process_->flows) running = running || flow.attempt == attempt;
    cluster_.reply_to_node([answer, running] { answer(running); });
  });
}

// ---------------------------------------------------------------- updates

void SimulatedNode::run_update(const UpdatePointer& update,
                               const store::OptimisticUpdate::Step& step) {
  using Kind = store::OptimisticUpdate::Step::Kind;
  if (step.kind == Kind::kDone) {
    update->done(step.decided);
    return;
  }
  post(step.wait, [this, update, step] {
    const bool reads = step.kind == Kind::kRead;
    const auto take = once<StoreResult>([this, update, reads](const StoreResult& result) {
      run_update(update, reads ? update->steps->on_read(result, local_now())
                               : update->steps->on_write(result, local_now()));
    });
    if (reads) {
      cluster_.table().read(host_, step.read, take);
    } else {
      cluster_.table().transact(host_, step.write, take);
    }
    post(kRequestTimeout, [take] { take(StoreResult{}); });
  });
}

void SimulatedNode::change_family(
    const std::string& family, const program::FamilyUpdate::Change& change, base::Millis patience,
    const std::function<void(bool decided, const program::FamilyUpdate&)>& done) {
  auto cached = process_->families[family];
  const bool known = cached.state != nullptr;
  auto subject = std::make_unique<program::FamilyUpdate>(family_context_, family, cached, change);
  auto* family_update = subject.get();
  auto update = std::make_shared<Update>();
  update->steps = std::make_unique<store::OptimisticUpdate>(
      *cluster_.policies().update, *subject, family_context_.rows.family_range(family), known,
      local_now() + patience);
  update->subject = std::move(subject);
  update->done = [this, family, family_update, done](bool decided) {
    if (decided) process_->families[family] = family_update->stored();
    done(decided, *family_update);
  };
  run_update(update, update->steps->start());
}

void SimulatedNode::execute(const wire::ProgramRequest& request, base::Millis patience,
                            const Answer& answer) {
  auto reply = std::make_shared<wire::ProgramReply>();
  change_family(
      program::family_of(request),
      [this, request, reply](program::FamilyState& state) {
        const program::DecisionContext context{*cluster_.policies().chooser, process_->backends,
                                               zone_, random_, local_now()};
        *reply = program::decide(state, request, context);
      },
      patience,
      [answer, reply](bool decided, const program::FamilyUpdate& update) {
        if (update.too_large()) {
          answer(program::refusal_reply(wire::ErrorKind::kStorageFull));
        } else {
          answer(decided ? *reply : wire::ProgramReply{});
        }
      });
}

// ---------------------------------------------------------------- requests

void SimulatedNode::handle_request(const wire::ProgramRequest& request, base::Millis patience,
                                   const Answer& answer) {
  run_or_defer([this, request, patience, answer] {
    execute(request, patience, [this, request, answer](const wire::ProgramReply& reply) {
      const bool ended = request.__isset.end_program && reply.__isset.accepted;
      if (ended) settle_family(program::family_of(request));
      answer(wire::is_decisive(reply) ? reply
                                      : program::refusal_reply(wire::ErrorKind::kStoreUnavailable));
    });
  });
}

void SimulatedNode::roll(const wire::SignedBundle& signed_bundle, base::Millis patience,
                         const Answer& answer) {
  run_or_defer([this, signed_bundle, patience, answer] {
    auto subject =
        std::make_unique<configuration::BundleRollout>(signed_bundle, cluster_.partner_keys());
    auto* bundle_roll = subject.get();
    auto update = std::make_shared<Update>();
    update->steps = std::make_unique<store::OptimisticUpdate>(*cluster_.policies().update, *subject,
                                                              configuration::configuration_range(),
                                                              false, local_now() + patience);
    update->subject = std::move(subject);
    update->done = [this, bundle_roll, answer](bool decided) {
      wire::ProgramReply reply;
      if (!decided) {
        answer(program::refusal_reply(wire::ErrorKind::kStoreUnavailable));
        return;
      }
      if (bundle_roll->refusal()) {
        reply.__set_refusal(*bundle_roll->refusal());
        answer(reply);
        return;
      }
      reply = program::accepted_reply(std::to_string(bundle_roll->configuration().generation));
      const bool wait = cluster_.policies().lease->wait_for_leases();
      post(wait ? configuration::activation_delay(cluster_.knobs()) : 0,
           [answer, reply] { answer(reply); });
    };
    run_update(update, update->steps->start());
  });
}

void SimulatedNode::handle_call(const wire::AdmitCall& admit, bool first_send,
                                base::Millis patience, const Answer& answer) {
  run_or_defer([this, admit, first_send, patience, answer] {
    if (!process_->configuration.has_valid_lease(local_now())) {
      auto reply = program::refusal_reply(wire::ErrorKind::kConfigurationStale);
      if (!first_send) reply.refusal.ran = wire::Ran::kUnknown;
      answer(reply);
      return;
    }
    cluster_.oracle().served_under(host_, process_->configuration.generation());
    auto stamped = admit;
    stamped.gateway = member_id_;
    stamped.nonce = random_.identifier();
    const auto id = process_->next_flow++;
    Flow flow;
    flow.steps = std::make_unique<api::CallFlow>(*cluster_.policies().flow, stamped,
                                                 local_now() + patience, first_send);
    flow.admit = stamped;
    flow.answer = answer;
    const auto step = flow.steps->start();
    process_->flows[id] = std::move(flow);
    run_step(id, step);
  });
}

void SimulatedNode::run_step(std::int64_t flow_id, const api::FlowStep& step) {
  const auto found = process_->flows.find(flow_id);
  if (found == process_->flows.end()) return;
  if (step.kind == api::FlowStep::Kind::kAnswer) {
    const auto answer = std::move(found->second.answer);
    process_->flows.erase(found);
    answer(step.answer);
    return;
  }
  if (step.kind == api::FlowStep::Kind::kDispatch) {
    found->second.attempt = step.grant.attempt;
    // The process may be frozen between receiving a grant and acting on it.
    post(1, [this, flow_id, grant = step.grant, granted_at = local_now()] {
      dispatch(flow_id, grant, granted_at);
    });
    return;
  }
  post(step.wait, [this, flow_id, request = step.request] {
    execute(request, kSettlePatience, [this, flow_id](const wire::ProgramReply& reply) {
      const auto flow = process_->flows.find(flow_id);
      if (flow == process_->flows.end()) return;
      run_step(flow_id, flow->second.steps->on_reply(reply, local_now()));
    });
  });
}

void SimulatedNode::dispatch(std::int64_t flow_id, const wire::Grant& grant,
                             base::Millis granted_at) {
  const auto found = process_->flows.find(flow_id);
  if (found == process_->flows.end()) return;
  const auto* state = process_->backends.find(grant.backend);
  const bool leaving = state != nullptr && state->leaving;
  if (!api::grant_is_fresh(local_now() - granted_at, leaving)) {
    api::DispatchResult unsent;
    unsent.kind = api::DispatchResult::Kind::kUnsent;
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
  process_->backends.attempt_started(grant.backend);
  const auto finish = once<api::DispatchResult>(
      [this, flow_id, backend = grant.backend](const api::DispatchResult& result) {
        process_->backends.attempt_ended(backend);
        const auto flow = process_->flows.find(flow_id);
        if (flow == process_->flows.end()) return;
        run_step(flow_id, flow->second.steps->on_dispatched(result));
      });
  cluster_.call_backend(grant.backend, [this, dispatched, finish](auto& backend) {
    backend.dispatch(dispatched, [this, finish](const api::DispatchResult& result) {
      cluster_.reply_to_node([finish, result] { finish(result); });
    });
  });
  post(grant.deadline_in_ms, [finish] { finish({}); });
}

}  // namespace sailgate::simulation
