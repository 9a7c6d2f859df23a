#include "simulation/simulated_cluster.hpp"

#include <algorithm>
#include <utility>

#include "base/error_table.hpp"

namespace sailgate::simulation {
namespace {

constexpr base::Millis kStartLimit = 60'000;
constexpr base::Millis kFinishLimit = 120'000;
constexpr base::Millis kStep = 1000;
constexpr base::Millis kQuiescence = 8000;
/// Time a leaving back end may still get new work before the oracle objects.
constexpr base::Millis kLeavingTolerance = 2000;
/// A read at the end may meet a node that is not up to date yet.
constexpr int kFinalReads = 3;
/// Families are removed within a run of the simulation.
constexpr base::Millis kRetention = 60'000;

}  // namespace

SimulatedCluster::SimulatedCluster(ClusterShape shape, std::uint64_t seed,
                                   SimulatedPolicies policies)
    : shape_(shape),
      random_(seed),
      table_(events_, random_.below(UINT64_MAX)),
      policies_(std::move(policies)) {
  knobs_.family_parts = shape_.family_parts;
  knobs_.retention = kRetention;
  for (std::size_t zone = 0; zone < shape_.zones; ++zone) {
    for (std::size_t i = 0; i < shape_.nodes_per_zone; ++i) {
      const auto host = "n" + std::to_string(nodes_.size());
      nodes_.push_back(std::make_unique<SimulatedNode>(*this, host, "zone" + std::to_string(zone),
                                                       random_.below(UINT64_MAX)));
    }
  }
  const auto add_backend = [this](const std::string& id, wire::TargetKind::type kind,
                                  const std::string& target) {
    scheduling::Backend backend;
    backend.id = id;
    backend.kind = kind;
    backend.targets = {target};
    backend.zone = "zone" + std::to_string(backends_.size() % shape_.zones);
    backends_.push_back(
        std::make_unique<SimulatedBackend>(events_, oracle_, backend, random_.below(UINT64_MAX)));
  };
  for (std::size_t i = 0; i < shape_.engines; ++i) {
    add_backend("engine" + std::to_string(i), wire::TargetKind::kEngine, "model");
  }
  for (std::size_t i = 0; i < shape_.application_engines; ++i) {
    add_backend("application" + std::to_string(i), wire::TargetKind::kApplication, "book");
  }
  partner_keys_ = partner_public_keys();
  for (const auto* partner : kPartners) {
    operators_.push_back(std::make_unique<SimulatedOperator>(*this, partner));
  }
  for (std::size_t i = 0; i < shape_.programs; ++i) {
    ProgramScript script;
    script.calls = 2 + static_cast<std::int32_t>(random_.below(4));
    const bool tight = random_.chance(25);
    script.budget = script.calls * script.tokens_per_call * (tight ? 1 : 6);
    callers_.push_back(std::make_unique<SimulatedCaller>(*this, "p" + std::to_string(i), script,
                                                         random_.below(UINT64_MAX)));
  }
}

void SimulatedCluster::start() {
  for (auto& node : nodes_) node->start();
  const auto limit = events_.now() + kStartLimit;
  while (events_.now() < limit && !settled()) run_for(kStep);
  if (!settled()) oracle_.program_unfinished("cluster", "not all nodes serve");
}

void SimulatedCluster::start_callers(base::Millis span) {
  for (auto& caller : callers_) {
    const auto delay = static_cast<base::Millis>(random_.below(static_cast<std::uint64_t>(span)));
    events_.after(delay, [&caller] { caller->start(); });
  }
}

void SimulatedCluster::heal_and_finish() {
  table_.heal();
  table_.set_mode(TableMode::kUp);
  disturb_backends(false);
  thaw_nodes();
  restart_dead_nodes();
  const auto limit = events_.now() + kFinishLimit;
  const auto all_done = [this] {
    return std::all_of(callers_.begin(), callers_.end(),
                       [](const auto& caller) { return caller->finished(); });
  };
  run_for(kStep);
  while (events_.now() < limit && !all_done()) run_for(kStep);
  run_for(kQuiescence);
  check_remains();
}

void SimulatedCluster::check_remains() {
  for (const auto& caller : callers_) {
    if (caller->finished()) continue;
    oracle_.program_unfinished(caller->program(), caller->standing());
  }
  for (const auto& backend : backends_) {
    for (const auto& program : backend->cached_programs()) {
      oracle_.memory_held(program, backend->description().id);
    }
  }
  for (const auto& caller : callers_) {
    wire::ReadProgram request;
    request.program = caller->program();
    request.tenant = "federation";
    wire::ProgramRequest body;
    body.__set_read_program(request);
    const auto told = oracle_.outcomes_told(caller->program());
    auto answered = std::make_shared<bool>(false);
    auto refused = std::make_shared<std::string>("no answer");
    for (int attempt = 0; attempt < kFinalReads && !*answered; ++attempt) {
      ask(body, kQuiescence, [=, this](const wire::ProgramReply& reply) {
        *answered = reply.__isset.view;
        if (reply.__isset.refusal) *refused = base::error_answer(reply.refusal.kind).name;
        if (reply.__isset.view) oracle_.program_read(reply.view, told);
      });
      for (int i = 0; i < 10 && !*answered; ++i) run_for(kStep);
    }
    if (*answered) continue;
    oracle_.program_unfinished(caller->program(), "cannot be read at the end: " + *refused);
  }
}

bool SimulatedCluster::settled() const {
  return std::all_of(nodes_.begin(), nodes_.end(),
                     [](const auto& node) { return node->serving(); });
}

// ---------------------------------------------------------------- faults

void SimulatedCluster::kill_node(std::size_t index) { nodes_[index % nodes_.size()]->kill(); }

void SimulatedCluster::kill_zone(std::size_t zone) {
  for (const auto& node : nodes_) {
    if (node->zone() == "zone" + std::to_string(zone % shape_.zones)) node->kill();
  }
}

void SimulatedCluster::kill_all() {
  for (const auto& node : nodes_) node->kill();
}

void SimulatedCluster::restart_dead_nodes() {
  for (auto& node : nodes_) {
    if (!node->up()) node->start();
  }
}

void SimulatedCluster::freeze_node(std::size_t index) { nodes_[index % nodes_.size()]->freeze(); }

void SimulatedCluster::thaw_nodes() {
  for (auto& node : nodes_) node->thaw();
}

void SimulatedCluster::refuse_node(std::size_t index) {
  table_.refuse(nodes_[index % nodes_.size()]->host());
}

void SimulatedCluster::cut_zone(std::size_t zone) {
  for (const auto& node : nodes_) {
    if (node->zone() == "zone" + std::to_string(zone % shape_.zones)) table_.cut(node->host());
  }
}

void SimulatedCluster::disturb_backends(bool on) {
  for (auto& backend : backends_) backend->disturb(on);
}

void SimulatedCluster::set_drift(std::size_t index, int per_mille) {
  nodes_[index % nodes_.size()]->set_drift(per_mille);
}

void SimulatedCluster::stop_node(std::size_t index) { nodes_[index % nodes_.size()]->begin_stop(); }

/// The last engine and the last application engine stay.
void SimulatedCluster::backend_leaves(std::size_t index) {
  auto& chosen = backends_[index % backends_.size()];
  const auto staying = std::count_if(backends_.begin(), backends_.end(), [&](const auto& other) {
    return other->description().kind == chosen->description().kind && !other->leaving();
  });
  if (staying > 1 && !chosen->leaving()) chosen->leave(kLeavingTolerance);
}

// ---------------------------------------------------------------- wiring

std::vector<scheduling::Backend> SimulatedCluster::backend_descriptions() const {
  std::vector<scheduling::Backend> result;
  for (const auto& backend : backends_) result.push_back(backend->description());
  return result;
}

SimulatedNode* SimulatedCluster::node_of(std::int64_t member) {
  const auto found = std::find_if(nodes_.begin(), nodes_.end(), [&](const auto& node) {
    return node->up() && node->member_id() == member;
  });
  return found == nodes_.end() ? nullptr : found->get();
}

SimulatedNode* SimulatedCluster::random_node() {
  std::vector<SimulatedNode*> candidates;
  for (auto& node : nodes_) {
    if (node->up() && !node->stopping()) candidates.push_back(node.get());
  }
  return candidates.empty() ? nullptr : candidates[random_.below(candidates.size())];
}

SimulatedBackend* SimulatedCluster::backend_at(const std::string& id) {
  const auto found = std::find_if(backends_.begin(), backends_.end(), [&](const auto& backend) {
    return backend->description().id == id;
  });
  return found == backends_.end() ? nullptr : found->get();
}

void SimulatedCluster::ask_attempt(std::int64_t gateway, std::int64_t attempt,
                                   const std::function<void(const bool&)>& answer) {
  events_.after(1, [this, gateway, attempt, answer] {
    auto* node = node_of(gateway);
    if (node != nullptr) {
      node->ask_attempt(attempt, answer);
    } else {
      events_.after(1, [answer] { answer(false); });
    }
  });
}

void SimulatedCluster::call_backend(const std::string& backend,
                                    const std::function<void(SimulatedBackend&)>& action) {
  auto* receiver = backend_at(backend);
  if (receiver == nullptr) return;
  events_.after(1, [receiver, action] { action(*receiver); });
}

void SimulatedCluster::reply_to_node(const std::function<void()>& action) {
  events_.after(1, action);
}

void SimulatedCluster::call(const wire::AdmitCall& admit, bool first_send, base::Millis patience,
                            const SimulatedNode::Answer& answer) {
  auto* node = random_node();
  if (node == nullptr) return;
  events_.after(1, [node, admit, first_send, patience, answer] {
    node->handle_call(admit, first_send, patience, answer);
  });
}

void SimulatedCluster::ask(const wire::ProgramRequest& request, base::Millis patience,
                           const SimulatedNode::Answer& answer) {
  auto* node = random_node();
  if (node == nullptr) return;
  events_.after(
      1, [node, request, patience, answer] { node->handle_request(request, patience, answer); });
}

void SimulatedCluster::roll(const wire::SignedBundle& signed_bundle, base::Millis patience,
                            const SimulatedNode::Answer& answer) {
  auto* node = random_node();
  if (node == nullptr) return;
  events_.after(
      1, [node, signed_bundle, patience, answer] { node->roll(signed_bundle, patience, answer); });
}

std::int64_t SimulatedCluster::some_generation() {
  const auto* node = random_node();
  return node == nullptr ? 0 : node->generation();
}

void SimulatedCluster::roll_configuration(std::size_t partner, bool both) {
  operators_[partner % operators_.size()]->roll();
  if (both) operators_[(partner + 1) % operators_.size()]->roll();
}

}  // namespace sailgate::simulation
