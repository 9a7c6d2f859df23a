#include "node/node_runtime.hpp"

#include <algorithm>
#include <chrono>
#include <limits>
#include <random>
#include <utility>

#include "base/digest.hpp"
#include "configuration/bundle_check.hpp"
#include "configuration/bundle_roll.hpp"
#include "program/program_replies.hpp"
#include "program/request_decision.hpp"

namespace sailgate::node {
namespace {

using std::chrono::milliseconds;

constexpr std::size_t kBackgroundThreads = 6;
constexpr std::size_t kBackgroundQueue = 4096;
constexpr base::Millis kTimerInterval = 100;
constexpr base::Millis kBackendPollInterval = 500;
constexpr base::Millis kSettlePatience = 3000;

std::uint64_t random_seed() {
  std::random_device device;
  return (static_cast<std::uint64_t>(device()) << 32U) | device();
}

std::int64_t new_process_id() { return static_cast<std::int64_t>(random_seed() >> 1U); }

}  // namespace

NodeRuntime::NodeRuntime(const NodeSettings& settings, Services services)
    : settings_(settings),
      services_(services),
      process_id_(new_process_id()),
      families_(services.store, settings_.knobs),
      configuration_(settings_.knobs, std::make_shared<configuration::LeaseRules>()),
      random_(random_seed()),
      background_(kBackgroundThreads, kBackgroundQueue) {
  for (const auto& backend : settings_.backends) backends_.add(backend);
  const auto parts = static_cast<std::uint64_t>(families_.parts());
  next_part_ = static_cast<std::int32_t>(random_.below(parts));
  timer_ = std::thread([this] { run_timer(); });
}

NodeRuntime::~NodeRuntime() {
  {
    const std::lock_guard<std::mutex> lock(timer_mutex_);
    timer_stopping_ = true;
  }
  timer_wake_.notify_all();
  timer_.join();
  background_.stop();
}

std::string NodeRuntime::address() const {
  return settings_.host + ":" + std::to_string(settings_.http_port);
}

// ---------------------------------------------------------------- requests

wire::ProgramReply NodeRuntime::execute(const wire::ProgramRequest& request,
                                        base::Millis patience) {
  wire::ProgramReply reply;
  const auto decide = [&](program::FamilyState& state) {
    const std::lock_guard<std::mutex> lock(mutex_);
    const program::DecisionContext context{chooser_, backends_, settings_.zone, random_,
                                           unix_now()};
    reply = program::decide(state, request, context);
  };
  const auto family = program::family_of(request);
  const auto end = families_.change(family, decide, patience);
  if (end == ChangeEnd::kTooLarge) return program::refusal_reply(wire::ErrorKind::kStorageFull);
  if (end == ChangeEnd::kUnknown) return {};
  const bool ended = request.__isset.end_program && reply.__isset.accepted;
  const bool waits =
      reply.__isset.refusal && reply.refusal.kind == wire::ErrorKind::kCallInProgress;
  // An ended program owes evictions; a call in progress may have lost the process that ran it.
  if (ended || waits) background_.submit([this, family] { settle_family(family); });
  return reply;
}

wire::ProgramReply NodeRuntime::roll(const wire::SignedBundle& signed_bundle,
                                     base::Millis patience) {
  configuration::BundleRollout bundle_roll(signed_bundle, settings_.partner_keys);
  const store::UpdateRules rules;
  store::OptimisticUpdate steps(rules, bundle_roll, configuration::configuration_range(), false,
                                monotonic_now() + patience);
  const milliseconds timeout(settings_.knobs.store_timeout);
  if (!run_update(services_.store, steps, timeout)) return {};
  const auto& bundle = signed_bundle.bundle;
  wire::ProgramReply reply;
  if (bundle_roll.refusal()) {
    reply.__set_refusal(*bundle_roll.refusal());
    services_.log.event("bundle_refused", [&](auto& line) {
      line.with("partner", bundle.partner).with("version", bundle.version);
      line.with("why", reply.refusal.detail);
    });
    return reply;
  }
  const auto generation = bundle_roll.configuration().generation;
  services_.log.event("bundle_stored", [&](auto& line) {
    line.with("partner", bundle.partner).with("version", bundle.version);
    line.with("generation", generation);
  });
  std::this_thread::sleep_for(milliseconds(configuration::activation_delay(settings_.knobs)));
  return program::accepted_reply(std::to_string(generation));
}

// ---------------------------------------------------------------- timer

void NodeRuntime::run_timer() {
  base::Millis next_poll = 0;
  base::Millis next_read = 0;
  base::Millis next_sweep = monotonic_now() + settings_.knobs.sweep_interval;
  std::unique_lock<std::mutex> lock(timer_mutex_);
  while (!timer_stopping_) {
    lock.unlock();
    const auto now = monotonic_now();
    if (now >= next_read) {
      next_read = now + settings_.knobs.configuration_poll;
      background_.submit([this] { read_configuration(); });
    }
    if (now >= next_poll) {
      next_poll = now + kBackendPollInterval;
      poll_backends();
    }
    if (now >= next_sweep) {
      next_sweep = now + settings_.knobs.sweep_interval;
      background_.submit([this] { sweep(); });
    }
    lock.lock();
    timer_wake_.wait_for(lock, milliseconds(kTimerInterval), [this] { return timer_stopping_; });
  }
}

void NodeRuntime::read_configuration() {
  const auto asked_at = monotonic_now();
  const auto result = services_.store.read(configuration::configuration_range(),
                                           milliseconds(settings_.knobs.store_timeout));
  const bool answered = result.status == store::StoreStatus::kDone;
  const std::lock_guard<std::mutex> lock(mutex_);
  if (answered != store_answers_) {
    store_answers_ = answered;
    services_.log.event(answered ? "store_reached" : "store_lost",
                        [&](auto& line) { line.with("generation", configuration_.generation()); });
  }
  if (!answered) return;
  const auto before = configuration_.generation();
  try {
    configuration_.on_read(configuration::configuration_from_rows(result.rows), asked_at);
  } catch (const std::exception& error) {
    services_.log.event("configuration_unreadable",
                        [&](auto& line) { line.with("why", error.what()); });
    return;
  }
  if (configuration_.generation() == before) return;
  services_.log.event("configuration", [&](auto& line) {
    line.with("generation", configuration_.generation()).with("before", before);
    line.with("row_version", result.rows.front().version);
  });
}

void NodeRuntime::poll_backends() {
  for (const auto& backend : settings_.backends) {
    background_.submit([this, id = backend.id] {
      const auto report = services_.backends.load(id);
      if (!report) return;
      {
        const std::lock_guard<std::mutex> lock(mutex_);
        backends_.set_reported_load(id, report->running, monotonic_now());
      }
      if (report->draining) report_leaving(id);
    });
  }
  if (services_.machines == nullptr) return;
  background_.submit([this] {
    for (const auto& machine : services_.machines->read()) {
      if (machine.leaving) report_leaving(machine.address);
    }
  });
}

// ---------------------------------------------------------------- due work

void NodeRuntime::sweep() {
  for (std::int32_t i = 0; i < settings_.knobs.parts_per_sweep; ++i) {
    std::int32_t part = 0;
    {
      const std::lock_guard<std::mutex> lock(mutex_);
      part = next_part_;
      next_part_ = (next_part_ + 1) % families_.parts();
    }
    for (const auto& family : families_.due_families(part, unix_now())) settle_family(family);
  }
}

void NodeRuntime::settle_family(const std::string& family) {
  program::DueActions orders;
  const auto settle = [&](program::FamilyState& state) {
    orders = program::process_due_work(state, unix_now(), settings_.knobs);
  };
  if (families_.change(family, settle, kSettlePatience) != ChangeEnd::kDecided) return;
  services_.log.event("family_settled", [&](auto& line) {
    line.with("family", family).with("evictions", orders.evictions.size());
    line.with("cancels", orders.cancels.size()).with("inquiries", orders.inquiries.size());
    line.with("checks", orders.checks.size());
    line.with("removed", static_cast<int>(orders.remove_family));
  });
  if (orders.remove_family) families_.remove(family, kSettlePatience);
  carry_out(family, orders);
}

void NodeRuntime::change_quietly(const std::string& family, program::FamilyUpdate::Change change) {
  // NOTE: what is not stored now stays due, and is done again.
  families_.change(family, std::move(change), kSettlePatience);
}

void NodeRuntime::carry_out(const std::string& family, const program::DueActions& orders) {
  for (const auto& order : orders.cancels) services_.backends.cancel(order);
  for (const auto& order : orders.evictions) {
    if (!services_.backends.evict(order)) continue;
    wire::EvictionAcknowledged acknowledged;
    acknowledged.program = order.program;
    acknowledged.backend = order.backend;
    change_quietly(family, [acknowledged](program::FamilyState& state) {
      state.acknowledge_eviction(acknowledged);
    });
  }
  for (const auto& inquiry : orders.inquiries) {
    const auto answer = services_.backends.inquire(inquiry);
    change_quietly(family, [answer](program::FamilyState& state) {
      program::apply_inquiry_answer(state, answer, unix_now());
    });
  }
  for (const auto& check : orders.checks) check_gateway(family, check);
}

void NodeRuntime::check_gateway(const std::string& family, const program::GatewayCheck& check) {
  const bool own = check.gateway == process_id_;
  const auto state = own ? (runs_attempt(check.attempt) ? backend::AttemptState::kRunning
                                                        : backend::AttemptState::kNotRunning)
                         : services_.backends.ask_gateway(check);
  if (state != backend::AttemptState::kNotRunning) return;
  services_.log.event("gateway_lost", [&](auto& line) {
    line.with("program", check.program).with("attempt", check.attempt);
    line.with("gateway", check.gateway_address);
  });
  change_quietly(family, [check](program::FamilyState& changed) {
    program::mark_attempt_lost(changed, check, unix_now());
  });
}

// ---------------------------------------------------------------- configuration

bool NodeRuntime::configuration_live() const {
  const std::lock_guard<std::mutex> lock(mutex_);
  return configuration_.has_valid_lease(monotonic_now());
}

wire::Configuration NodeRuntime::configuration() const {
  const std::lock_guard<std::mutex> lock(mutex_);
  return configuration_.configuration();
}

bool NodeRuntime::admits(const std::string& tenant, const std::string& token) const {
  const std::lock_guard<std::mutex> lock(mutex_);
  const auto& in_force = configuration_.configuration();
  if (in_force.generation == 0) return true;
  const auto* rule = configuration::find_tenant(in_force, tenant);
  if (rule == nullptr) return false;
  if (rule->token_hashes.empty()) return true;
  const auto hash = base::token_digest(token);
  return std::find(rule->token_hashes.begin(), rule->token_hashes.end(), hash) !=
         rule->token_hashes.end();
}

std::optional<wire::ProgramRule> NodeRuntime::program_rule(const std::string& tenant,
                                                           const std::string& kind) const {
  const std::lock_guard<std::mutex> lock(mutex_);
  const auto& in_force = configuration_.configuration();
  if (in_force.generation == 0) {
    wire::ProgramRule unlimited;
    unlimited.kind = kind;
    unlimited.budget_limit_tokens = std::numeric_limits<std::int64_t>::max();
    unlimited.call_limit = std::numeric_limits<std::int32_t>::max();
    return unlimited;
  }
  const auto* rule = configuration::find_program(in_force, tenant, kind);
  if (rule == nullptr) return std::nullopt;
  return *rule;
}

// ---------------------------------------------------------------- back ends

void NodeRuntime::report_leaving(const std::string& backend) {
  const std::lock_guard<std::mutex> lock(mutex_);
  const auto* state = backends_.find(backend);
  if (state == nullptr || state->leaving) return;
  backends_.set_leaving(backend, true);
  services_.log.event("backend_leaving", [&](auto& line) { line.with("backend", backend); });
}

bool NodeRuntime::backend_is_leaving(const std::string& backend) const {
  const std::lock_guard<std::mutex> lock(mutex_);
  const auto* state = backends_.find(backend);
  return state != nullptr && state->leaving;
}

void NodeRuntime::attempt_started(std::int64_t attempt, const std::string& backend) {
  const std::lock_guard<std::mutex> lock(mutex_);
  running_.insert(attempt);
  backends_.attempt_started(backend);
}

void NodeRuntime::attempt_ended(std::int64_t attempt, const std::string& backend) {
  const std::lock_guard<std::mutex> lock(mutex_);
  running_.erase(attempt);
  backends_.attempt_ended(backend);
}

bool NodeRuntime::runs_attempt(std::int64_t attempt) const {
  const std::lock_guard<std::mutex> lock(mutex_);
  return running_.count(attempt) > 0;
}

// ---------------------------------------------------------------- stop, status

void NodeRuntime::begin_stop() {
  const std::lock_guard<std::mutex> lock(mutex_);
  stopping_ = true;
}

NodeStatus NodeRuntime::status() const {
  NodeStatus status;
  status.process_id = process_id_;
  status.families_cached = families_.cached();
  const std::lock_guard<std::mutex> lock(mutex_);
  status.attempts_running = running_.size();
  status.generation = configuration_.generation();
  status.configuration_live = configuration_.has_valid_lease(monotonic_now());
  status.stopping = stopping_;
  return status;
}

}  // namespace sailgate::node
