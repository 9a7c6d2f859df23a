#include "simulation/hollow_fleet.hpp"

#include <algorithm>
#include <ctime>
#include <numeric>

#include "wire/codec.hpp"

namespace sailgate::simulation {
namespace {

constexpr std::int32_t kPort = 7400;
constexpr base::Millis kLinkDelay = 2;
constexpr base::Millis kStep = 1000;
constexpr std::size_t kSeeds = 5;
constexpr std::size_t kRackShare = 20;
constexpr std::size_t kProgramsPerBatch = 2000;
constexpr std::int64_t kTokensPerCall = 100;
constexpr std::size_t kNoNode = SIZE_MAX;

/// Processor time of this thread while it lives, added to a total.
class ProcessorTimer {
 public:
  explicit ProcessorTimer(double& total) : total_(total), start_(now()) {}
  ProcessorTimer(const ProcessorTimer&) = delete;
  ProcessorTimer& operator=(const ProcessorTimer&) = delete;
  ~ProcessorTimer() { total_ += now() - start_; }

 private:
  static double now() {
    timespec time{};
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
    constexpr double kNano = 1e-9;
    return static_cast<double>(time.tv_sec) + static_cast<double>(time.tv_nsec) * kNano;
  }
  double& total_;
  double start_;
};

std::string program_name(std::size_t number) { return "p-" + std::to_string(number); }

}  // namespace

const char* name_of(TrafficKind kind) {
  switch (kind) {
    case TrafficKind::kReplication:
      return "replication";
    case TrafficKind::kMembership:
      return "membership";
    case TrafficKind::kRumors:
      return "rumors";
    case TrafficKind::kConfiguration:
      return "configuration leases";
    case TrafficKind::kCount:
      break;
  }
  return "?";
}

std::uint64_t FleetCounts::total_bytes() const {
  return std::accumulate(bytes.begin(), bytes.end(), std::uint64_t{0});
}

HollowFleet::HollowFleet(FleetShape shape)
    : shape_(shape), random_(shape.seed), table_(events_, random_.below(UINT64_MAX)) {
  knobs_.slot_count = shape_.slots;
  knobs_.heartbeat_interval = shape_.heartbeat;
  knobs_.election_timeout = 4 * shape_.heartbeat;
  knobs_.lease_duration = 3 * shape_.heartbeat;
  knobs_.suspicion_timeout = 3 * shape_.heartbeat;
  knobs_.join_delay = 10 * shape_.heartbeat;
  nodes_.resize(shape_.nodes);
  for (std::size_t i = 0; i < nodes_.size(); ++i) {
    nodes_[i].host = "n" + std::to_string(i);
    nodes_[i].zone = i % shape_.zones;
    nodes_[i].region = nodes_[i].zone % shape_.regions;
    by_host_[nodes_[i].host] = i;
    if (i < kSeeds) seeds_.push_back({nodes_[i].host, kPort});
  }
  for (std::size_t i = 0; i < shape_.engines; ++i) {
    scheduling::Backend backend;
    backend.id = "engine" + std::to_string(i);
    backend.targets = {"model"};
    backend.zone = "zone" + std::to_string(i % shape_.zones);
    backends_.push_back(std::move(backend));
  }
}

// ---------------------------------------------------------------- processes

bool HollowFleet::start(base::Millis limit) {
  for (std::size_t i = 0; i < nodes_.size(); ++i) start_node(i);
  const auto end = events_.now() + limit;
  while (events_.now() < end) {
    run_for(kStep);
    if (unserved_slots() == 0 && short_slots() == 0) return true;
  }
  return false;
}

void HollowFleet::start_node(std::size_t index) {
  auto& node = nodes_[index];
  ++node.incarnation;
  node.member = next_member_++;
  node.peers.clear();
  node::NodeCore::Options options;
  options.self.id = node.member;
  options.self.host = node.host;
  options.self.rpc_port = kPort;
  options.self.zone = "zone" + std::to_string(node.zone);
  options.knobs = knobs_;
  options.policies = node::NodePolicies::standard();
  options.seeds = seeds_;
  options.backends = backends_;
  options.seed = random_.below(UINT64_MAX);
  node.core = std::make_unique<node::NodeCore>(std::move(options), events_.now());
  const auto phase = random_.below(static_cast<std::uint64_t>(shape_.heartbeat));
  events_.after(static_cast<base::Millis>(phase),
                [this, index, incarnation = node.incarnation] { tick(index, incarnation); });
}

void HollowFleet::tick(std::size_t index, std::int64_t incarnation) {
  auto& node = nodes_[index];
  if (!node.core || node.incarnation != incarnation) return;
  {
    const ProcessorTimer timer(counts_.processor_seconds);
    node.core->on_tick(events_.now());
  }
  carry_out(index);
  events_.after(shape_.heartbeat, [this, index, incarnation] { tick(index, incarnation); });
}

void HollowFleet::kill(const std::vector<std::size_t>& indices) {
  for (const auto index : indices) nodes_[index].core.reset();
}

void HollowFleet::replace(const std::vector<std::size_t>& indices) {
  for (const auto index : indices) start_node(index);
}

void HollowFleet::cut_region(std::size_t region, bool on) {
  if (on) {
    cut_regions_.insert(region);
  } else {
    cut_regions_.erase(region);
  }
}

std::vector<std::size_t> HollowFleet::nodes_in_zone(std::size_t zone) const {
  std::vector<std::size_t> result;
  for (std::size_t i = 0; i < nodes_.size(); ++i) {
    if (nodes_[i].zone == zone) result.push_back(i);
  }
  return result;
}

std::vector<std::size_t> HollowFleet::rack() const {
  auto zone = nodes_in_zone(0);
  const auto size = std::max<std::size_t>(1, nodes_.size() / kRackShare);
  if (zone.size() > size) zone.resize(size);
  return zone;
}

// ---------------------------------------------------------------- traffic

void HollowFleet::carry_out(std::size_t index) {
  auto actions = nodes_[index].core->take_actions();
  for (auto& outgoing : actions.envelopes) {
    send(index, outgoing.address.host, std::move(outgoing.envelope));
  }
  for (const auto& command : actions.table) {
    ++(command.write ? counts_.table_writes : counts_.table_reads);
    const auto incarnation = nodes_[index].incarnation;
    table_.execute(command, [this, index, incarnation](const node::TableAnswer& answer) {
      auto& node = nodes_[index];
      if (!node.core || node.incarnation != incarnation) return;
      {
        const ProcessorTimer timer(counts_.processor_seconds);
        node.core->on_table_answer(answer, events_.now());
      }
      carry_out(index);
    });
  }
  for (const auto& lease : actions.lease_requests) renew_lease(index, lease);
  for (const auto& completed : actions.completed) {
    const auto found = waiting_.find(completed.ticket);
    if (found == waiting_.end()) continue;
    const auto done = std::move(found->second);
    waiting_.erase(found);
    events_.after(0, [done, reply = completed.reply] { done(reply); });
  }
}

void HollowFleet::send(std::size_t from, const std::string& to, wire::Envelope envelope) {
  const auto target = by_host_.at(to);
  {
    // Encoding is part of a message's cost.
    const ProcessorTimer timer(counts_.processor_seconds);
    count(envelope);
  }
  nodes_[from].peers.insert(to);
  const bool cut = nodes_[from].region != nodes_[target].region &&
                   (cut_regions_.count(nodes_[from].region) > 0 ||
                    cut_regions_.count(nodes_[target].region) > 0);
  if (cut) return;
  auto shared = std::make_shared<wire::Envelope>(std::move(envelope));
  events_.after(kLinkDelay, [this, target, shared] {
    auto& node = nodes_[target];
    if (!node.core) return;
    {
      const ProcessorTimer timer(counts_.processor_seconds);
      node.core->on_envelope(*shared, events_.now());
    }
    carry_out(target);
  });
}

void HollowFleet::count(const wire::Envelope& envelope) {
  const auto total = wire::encode(envelope).size();
  std::size_t groups = 0;
  for (const auto& message : envelope.groups) groups += wire::encode(message).size();
  std::size_t rumors = 0;
  for (const auto& rumor : envelope.rumors) rumors += wire::encode(rumor).size();
  const auto add = [this](TrafficKind kind, std::size_t messages, std::size_t bytes) {
    counts_.messages.at(static_cast<std::size_t>(kind)) += messages;
    counts_.bytes.at(static_cast<std::size_t>(kind)) += bytes;
  };
  ++counts_.envelopes;
  const auto frame = total - groups - rumors;
  const bool carries_groups = !envelope.groups.empty();
  add(TrafficKind::kReplication, envelope.groups.size(), groups + (carries_groups ? frame : 0));
  add(TrafficKind::kMembership, carries_groups ? 0 : 1, carries_groups ? 0 : frame);
  add(TrafficKind::kRumors, envelope.rumors.size(), rumors);
}

/// Lease requests go to the leader of slot 0 as requests of their own, not in envelopes.
void HollowFleet::renew_lease(std::size_t index, const node::LeaseRequest& lease) {
  wire::ProgramRequest request;
  request.__set_renew_configuration_lease(lease.request);
  const auto kind = static_cast<std::size_t>(TrafficKind::kConfiguration);
  counts_.messages.at(kind) += 1;
  counts_.bytes.at(kind) += wire::encode(request).size();
  const auto incarnation = nodes_[index].incarnation;
  submit(node::kConfigurationSlot, request, [this, index, incarnation, lease](const auto& reply) {
    auto& node = nodes_[index];
    if (!reply.__isset.configuration_lease || !node.core || node.incarnation != incarnation) return;
    counts_.bytes.at(static_cast<std::size_t>(TrafficKind::kConfiguration)) +=
        wire::encode(reply).size();
    node.core->on_configuration_lease(reply.configuration_lease, lease.asked_at);
  });
}

FleetCounts HollowFleet::take_counts() {
  auto taken = counts_;
  taken.virtual_time = events_.now() - counted_from_;
  counts_ = FleetCounts{};
  counted_from_ = events_.now();
  return taken;
}

// ---------------------------------------------------------------- load

std::size_t HollowFleet::leader_of(std::int32_t slot) const {
  std::size_t best = kNoNode;
  std::int64_t best_view = -1;
  for (std::size_t i = 0; i < nodes_.size(); ++i) {
    if (!nodes_[i].core) continue;
    const auto found = nodes_[i].core->replicas().find(slot);
    if (found == nodes_[i].core->replicas().end()) continue;
    const auto& group = found->second->group();
    if (!group.may_serve(events_.now()) || group.view() <= best_view) continue;
    best = i;
    best_view = group.view();
  }
  return best;
}

void HollowFleet::submit(std::int32_t slot, const wire::ProgramRequest& request,
                         const Completion& done) {
  const auto leader = leader_of(slot);
  if (leader == kNoNode) {
    events_.after(0, [done] { done({}); });
    return;
  }
  const auto ticket = next_ticket_++;
  waiting_[ticket] = done;
  {
    const ProcessorTimer timer(counts_.processor_seconds);
    nodes_[leader].core->submit(ticket, slot, request, events_.now());
  }
  carry_out(leader);
}

std::size_t HollowFleet::open_programs(std::size_t count) {
  std::size_t accepted = 0;
  for (std::size_t i = 0; i < count; ++i) {
    const auto name = program_name(program_calls_.size());
    program_calls_.push_back(0);
    wire::OpenProgram open;
    open.program.program = name;
    open.program.tenant = "tenant";
    open.program.kind = "season-plan";
    open.program.budget_tokens = 1'000'000;
    open.program.call_limit = 1000;
    wire::ProgramRequest request;
    request.__set_open_program(open);
    submit(node::slot_of(name, shape_.slots), request, [&accepted](const auto& reply) {
      if (reply.__isset.accepted) ++accepted;
    });
    if (i % kProgramsPerBatch == 0) run_for(kLinkDelay * 4);
  }
  run_for(kStep);
  return accepted;
}

std::size_t HollowFleet::run_calls(std::size_t count, std::size_t per_second,
                                   std::size_t body_bytes, std::size_t result_bytes) {
  std::size_t ended = 0;
  for (std::size_t i = 0; i < count; ++i) {
    const auto delay = static_cast<base::Millis>(i * 1000 / per_second);
    events_.after(delay, [this, i, body_bytes, result_bytes, &ended] {
      start_call(i % program_calls_.size(), body_bytes, result_bytes, ended);
    });
  }
  run_for(static_cast<base::Millis>(count * 1000 / per_second) + kStep);
  return ended;
}

void HollowFleet::start_call(std::size_t program, std::size_t body_bytes, std::size_t result_bytes,
                             std::size_t& ended) {
  const auto name = program_name(program);
  const auto sequence = ++program_calls_[program];
  wire::AdmitCall admit;
  admit.call.program = name;
  admit.call.sequence = sequence;
  admit.call.request_key = "k" + std::to_string(sequence);
  admit.call.request_body = std::string(body_bytes, 'q');
  admit.call.target = "model";
  admit.call.repeatable = true;
  admit.call.reserved_tokens = kTokensPerCall;
  admit.deadline_in_ms = 60'000;
  admit.tenant = "tenant";
  wire::ProgramRequest request;
  request.__set_admit_call(admit);
  const auto slot = node::slot_of(name, shape_.slots);
  submit(slot, request, [this, name, sequence, slot, result_bytes, &ended](const auto& reply) {
    if (!reply.__isset.grant) return;
    wire::CompleteAttempt complete;
    complete.ended.program = name;
    complete.ended.sequence = sequence;
    complete.ended.attempt = reply.grant.attempt;
    complete.ended.outcome = wire::Outcome::kSucceeded;
    complete.ended.used_tokens = kTokensPerCall;
    complete.ended.result = std::string(result_bytes, 'a');
    wire::ProgramRequest ending;
    ending.__set_complete_attempt(complete);
    submit(slot, ending, [&ended](const auto& outcome) {
      if (outcome.__isset.outcome) ++ended;
    });
  });
}

// ---------------------------------------------------------------- state

std::size_t HollowFleet::unserved_slots() const {
  std::set<std::int32_t> served;
  for (const auto& node : nodes_) {
    if (!node.core) continue;
    for (const auto& [slot, replica] : node.core->replicas()) {
      if (replica->takes_programs(events_.now())) served.insert(slot);
    }
  }
  return static_cast<std::size_t>(shape_.slots) - served.size();
}

std::size_t HollowFleet::short_slots() const {
  std::set<std::int32_t> full;
  for (const auto& node : nodes_) {
    if (!node.core) continue;
    for (const auto& [slot, replica] : node.core->replicas()) {
      if (node.core->group_is_full(*replica, events_.now())) full.insert(slot);
    }
  }
  return static_cast<std::size_t>(shape_.slots) - full.size();
}

std::size_t HollowFleet::programs_held() const {
  std::size_t total = 0;
  for (const auto& node : nodes_) {
    if (!node.core) continue;
    for (const auto& [slot, replica] : node.core->replicas()) {
      if (replica->group().may_serve(events_.now())) total += replica->state().programs().size();
    }
  }
  return total;
}

std::size_t HollowFleet::peers_of(std::size_t index) const {
  const auto& core = nodes_[index].core;
  if (!core) return 0;
  std::set<std::int64_t> peers;
  for (const auto& [slot, replica] : core->replicas()) {
    const auto& group = replica->group();
    if (!group.is_member(nodes_[index].member)) continue;
    for (const auto& member : group.log().members().members) peers.insert(member.id);
  }
  peers.erase(nodes_[index].member);
  return peers.size();
}

double HollowFleet::mean_peers() const {
  std::size_t total = 0;
  for (std::size_t i = 0; i < nodes_.size(); ++i) total += peers_of(i);
  return static_cast<double>(total) / static_cast<double>(nodes_.size());
}

double HollowFleet::mean_replicas() const {
  return static_cast<double>(shape_.slots) * static_cast<double>(knobs_.replica_count) /
         static_cast<double>(nodes_.size());
}

}  // namespace sailgate::simulation
