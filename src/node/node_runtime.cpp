#include "node/node_runtime.hpp"

#include <glog/logging.h>

#include <algorithm>
#include <chrono>
#include <limits>
#include <random>
#include <utility>

#include "base/digest.hpp"
#include "configuration/bundle_check.hpp"
#include "wire/replies.hpp"

namespace sailgate::node {
namespace {

using std::chrono::duration_cast;
using std::chrono::milliseconds;
using std::chrono::steady_clock;

constexpr std::size_t kBackgroundThreads = 6;
constexpr std::size_t kBackgroundQueue = 4096;
/// Longest a forwarded request occupies a connection.
constexpr base::Millis kForwardTimeout = 3000;
constexpr base::Millis kBackendPollInterval = 500;
constexpr base::Millis kRouteRetryPause = 20;
constexpr int kMaximumHops = 4;
constexpr unsigned kIncarnationRandomBits = 20;

/// Start time above random bits: higher than any earlier incarnation's id.
std::int64_t new_member_id() {
  const auto started =
      duration_cast<milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count();
  std::random_device device;
  const std::int64_t noise = device() & ((1U << kIncarnationRandomBits) - 1U);
  return static_cast<std::int64_t>(started) * (std::int64_t{1} << kIncarnationRandomBits) + noise;
}

std::uint64_t random_seed() {
  std::random_device device;
  return (static_cast<std::uint64_t>(device()) << 32U) | device();
}

}  // namespace

base::Millis NodeRuntime::now() {
  return duration_cast<milliseconds>(steady_clock::now().time_since_epoch()).count();
}

NodeRuntime::NodeRuntime(const NodeSettings& settings, Services services)
    : settings_(settings),
      services_(services),
      member_id_(new_member_id()),
      background_(kBackgroundThreads, kBackgroundQueue) {
  NodeCore::Options options;
  options.self.id = member_id_;
  options.self.host = settings_.host;
  options.self.rpc_port = settings_.rpc_port;
  options.self.zone = settings_.zone;
  options.knobs = settings_.knobs;
  options.policies = NodePolicies::standard();
  options.policies.partner_keys = settings_.partner_keys;
  options.seeds = settings_.seeds;
  options.backends = settings_.backends;
  options.seed = random_seed();
  core_ = std::make_unique<NodeCore>(std::move(options), now());
  server_ = std::make_unique<rpc::NodeServer>(settings_.host, settings_.rpc_port, *this);
  timer_ = std::thread([this] { run_timer(); });
}

NodeRuntime::~NodeRuntime() {
  {
    const std::lock_guard<std::mutex> lock(timer_mutex_);
    timer_stopping_ = true;
  }
  timer_wake_.notify_all();
  timer_.join();
  server_.reset();
  background_.stop();
}

// ---------------------------------------------------------------- core

void NodeRuntime::run(const Step& step) {
  NodeActions actions;
  {
    const std::lock_guard<std::mutex> lock(core_mutex_);
    step(*core_, now());
    actions = core_->take_actions();
    // Replies are handed over under the lock, which guards the table; waiters wake up after it.
    for (auto& completed : actions.completed) {
      const auto found = tickets_.find(completed.ticket);
      if (found == tickets_.end()) continue;
      found->second.set_value(std::move(completed.reply));
      tickets_.erase(found);
    }
  }
  carry_out(std::move(actions));
}

void NodeRuntime::carry_out(NodeActions actions) {
  for (auto& outgoing : actions.envelopes) {
    peers_.send(outgoing.address, std::move(outgoing.envelope));
  }
  for (auto& command : actions.table) {
    background_.submit([this, command = std::move(command)] {
      const auto answer = services_.table.execute(command);
      run([&answer](NodeCore& core, base::Millis time) { core.on_table_answer(answer, time); });
    });
  }
  for (auto& order : actions.evictions) {
    background_.submit([this, order = std::move(order)] {
      if (!services_.backends.evict(order)) return;
      run([&order](NodeCore& core, base::Millis time) { core.on_evicted(order, time); });
    });
  }
  for (auto& inquiry : actions.inquiries) {
    background_.submit([this, inquiry = std::move(inquiry)] {
      const auto answer = services_.backends.inquire(inquiry);
      run([&answer](NodeCore& core, base::Millis time) { core.on_inquiry_answer(answer, time); });
    });
  }
  for (const auto& lease : actions.lease_requests) {
    background_.submit([this, lease] {
      wire::ProgramRequest request;
      request.__set_renew_configuration_lease(lease.request);
      const auto reply =
          route_slot(kConfigurationSlot, request, settings_.knobs.configuration_poll);
      if (!reply.__isset.configuration_lease) return;
      run([&](NodeCore& core, base::Millis) {
        core.on_configuration_lease(reply.configuration_lease, lease.asked_at);
      });
    });
  }
  for (auto& order : actions.cancels) {
    background_.submit([this, order = std::move(order)] { services_.backends.cancel(order); });
  }
}

void NodeRuntime::run_timer() {
  base::Millis next_poll = now();
  std::unique_lock<std::mutex> lock(timer_mutex_);
  while (!timer_stopping_) {
    lock.unlock();
    run([](NodeCore& core, base::Millis time) { core.on_tick(time); });
    if (now() >= next_poll) {
      next_poll = now() + kBackendPollInterval;
      poll_backends();
    }
    lock.lock();
    timer_wake_.wait_for(lock, milliseconds(settings_.knobs.heartbeat_interval),
                         [this] { return timer_stopping_; });
  }
}

void NodeRuntime::poll_backends() {
  for (const auto& backend : settings_.backends) {
    background_.submit([this, id = backend.id] {
      const auto report = services_.backends.load(id);
      if (!report) return;
      run([&](NodeCore& core, base::Millis time) {
        core.on_backend_load(id, report->running, time);
        if (report->draining) core.on_backend_leaving(id);
      });
    });
  }
  if (services_.machines == nullptr) return;
  background_.submit([this] {
    for (const auto& machine : services_.machines->read()) {
      if (machine.leaving) report_leaving(machine.address);
    }
  });
}

void NodeRuntime::report_leaving(const std::string& backend) {
  run([&backend](NodeCore& core, base::Millis) { core.on_backend_leaving(backend); });
}

bool NodeRuntime::configuration_live() const {
  const std::lock_guard<std::mutex> lock(core_mutex_);
  return core_->configuration().live(now());
}

wire::Configuration NodeRuntime::configuration() const {
  const std::lock_guard<std::mutex> lock(core_mutex_);
  return core_->configuration().configuration();
}

bool NodeRuntime::admits(const std::string& tenant, const std::string& token) const {
  const std::lock_guard<std::mutex> lock(core_mutex_);
  const auto& in_force = core_->configuration().configuration();
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
  const std::lock_guard<std::mutex> lock(core_mutex_);
  const auto& in_force = core_->configuration().configuration();
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

bool NodeRuntime::backend_is_leaving(const std::string& backend) const {
  const std::lock_guard<std::mutex> lock(core_mutex_);
  const auto* state = core_->backends().find(backend);
  return state != nullptr && state->leaving;
}

// ---------------------------------------------------------------- requests

wire::ProgramReply NodeRuntime::execute_here(std::int32_t slot, const wire::ProgramRequest& request,
                                             base::Millis timeout) {
  std::future<wire::ProgramReply> reply;
  Ticket ticket = 0;
  run([&](NodeCore& core, base::Millis time) {
    ticket = next_ticket_++;
    reply = tickets_[ticket].get_future();
    core.submit(ticket, slot, request, time);
  });
  if (reply.wait_for(milliseconds(timeout)) == std::future_status::ready) return reply.get();
  const std::lock_guard<std::mutex> lock(core_mutex_);
  tickets_.erase(ticket);
  return {};
}

wire::ProgramReply NodeRuntime::route(const std::string& program,
                                      const wire::ProgramRequest& request, base::Millis timeout) {
  return route_slot(slot_of(program, settings_.knobs.slot_count), request, timeout);
}

wire::ProgramReply NodeRuntime::route_slot(std::int32_t slot, const wire::ProgramRequest& request,
                                           base::Millis timeout) {
  const auto give_up_at = now() + timeout;
  std::int64_t hint = 0;
  int hops = 0;
  while (now() < give_up_at) {
    membership::Address address;
    std::int64_t target = 0;
    {
      const std::lock_guard<std::mutex> lock(core_mutex_);
      target = hint != 0 ? hint : core_->leader_hint(slot);
      const auto* member = core_->membership().find(target);
      if (member != nullptr) address = {member->host, member->rpc_port};
    }
    const auto left = std::min(give_up_at - now(), kForwardTimeout);
    if (left <= 0) break;
    wire::ProgramReply reply;
    if (target == member_id_) {
      reply = execute_here(slot, request, left);
    } else if (!address.host.empty()) {
      const auto remote = requests_.execute(address, slot, request, static_cast<int>(left));
      if (remote) reply = *remote;
    }
    if (wire::is_decisive(reply)) return reply;
    hint = reply.__isset.redirect ? reply.redirect.leader : 0;
    ++hops;
    if (hint == 0 || hops > kMaximumHops) {
      hint = 0;
      hops = 0;
      std::this_thread::sleep_for(milliseconds(kRouteRetryPause));
    }
  }
  return {};
}

// ---------------------------------------------------------------- peers

void NodeRuntime::deliver(const wire::Envelope& envelope) {
  run([&envelope](NodeCore& core, base::Millis time) { core.on_envelope(envelope, time); });
}

wire::ProgramReply NodeRuntime::execute(std::int32_t slot, const wire::ProgramRequest& request) {
  if (slot < 0 || slot >= settings_.knobs.slot_count) {
    return refusal_reply(wire::ErrorKind::kMalformedRequest);
  }
  return execute_here(slot, request, kForwardTimeout);
}

wire::Member NodeRuntime::identify() {
  const std::lock_guard<std::mutex> lock(core_mutex_);
  return core_->membership().self();
}

// ---------------------------------------------------------------- stop, status

void NodeRuntime::begin_stop() {
  run([](NodeCore& core, base::Millis time) { core.begin_stop(time); });
}

bool NodeRuntime::released() const {
  const std::lock_guard<std::mutex> lock(core_mutex_);
  return core_->released(now());
}

bool NodeRuntime::successor_known() const {
  const std::lock_guard<std::mutex> lock(core_mutex_);
  return core_->successor_known();
}

NodeStatus NodeRuntime::status() const {
  NodeStatus status;
  status.member_id = member_id_;
  status.envelopes_sent = peers_.sent();
  status.envelopes_dropped = peers_.dropped();
  status.envelope_bytes_sent = peers_.sent_bytes();
  const std::lock_guard<std::mutex> lock(core_mutex_);
  status.members_alive = core_->membership().usable_members().size();
  status.slots_led = core_->led_slots();
  status.stopping = core_->stopping();
  for (const auto& [slot, replica] : core_->replicas()) {
    if (!replica->group().is_member(member_id_)) continue;
    ++status.slots_held;
    if (replica->takes_programs(now())) ++status.slots_open;
    if (core_->group_is_full(*replica, now())) ++status.slots_full;
    status.programs += replica->state().programs().size();
    status.state_bytes += replica->state().state_bytes();
  }
  return status;
}

}  // namespace sailgate::node
