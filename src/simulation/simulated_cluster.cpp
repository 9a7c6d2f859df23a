#include "simulation/simulated_cluster.hpp"

#include <algorithm>
#include <sstream>
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
constexpr const char* kTableHost = "table";

}  // namespace

SimulatedCluster::SimulatedCluster(ClusterShape shape, std::uint64_t seed,
                                   SimulatedPolicies policies)
    : shape_(shape),
      random_(seed),
      network_(events_, random_.below(UINT64_MAX)),
      table_(events_, random_.below(UINT64_MAX)),
      policies_(std::move(policies)) {
  knobs_.slot_count = shape_.slots;
  knobs_.join_delay = 1500;
  knobs_.full_sync_interval = 10'000;
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
  policies_.node.partner_keys = partner_public_keys();
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
  if (!settled()) oracle_.program_unfinished("cluster", "slots were not all founded");
}

void SimulatedCluster::start_callers(base::Millis span) {
  for (auto& caller : callers_) {
    const auto delay = static_cast<base::Millis>(random_.below(static_cast<std::uint64_t>(span)));
    events_.after(delay, [&caller] { caller->start(); });
  }
}

void SimulatedCluster::heal_and_finish() {
  network_.heal_all();
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
    oracle_.program_unfinished(caller->program(),
                               caller->standing() + "\n" + describe_program(caller->program()));
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
      ask(body, caller->program(), kQuiescence, [=, this](const wire::ProgramReply& reply) {
        *answered = reply.__isset.view;
        if (reply.__isset.refusal) *refused = base::error_answer(reply.refusal.kind).name;
        if (reply.__isset.view) oracle_.program_read(reply.view, told);
      });
      for (int i = 0; i < 10 && !*answered; ++i) run_for(kStep);
    }
    if (*answered) continue;
    const auto slot = node::slot_of(caller->program(), knobs_.slot_count);
    oracle_.program_unfinished(
        caller->program(), "cannot be read at the end: " + *refused + "\n" + describe_slot(slot));
  }
}

std::string SimulatedCluster::describe_program(const std::string& program) const {
  std::ostringstream text;
  const auto slot = node::slot_of(program, knobs_.slot_count);
  for (const auto& node : nodes_) {
    if (!node->up()) continue;
    const auto found = node->core().replicas().find(slot);
    if (found == node->core().replicas().end()) continue;
    const auto* record = found->second->state().find(program);
    if (record == nullptr) continue;
    text << node->host() << " next " << record->next_sequence << (record->ended ? " ended" : "");
    for (const auto& call : record->calls) {
      text << " [" << call.call.request_key << " phase " << call.phase << " attempts "
           << call.attempts << "]";
    }
    text << "\n";
  }
  return text.str() + describe_slot(slot);
}

std::string SimulatedCluster::describe_slot(std::int32_t slot) const {
  std::ostringstream text;
  const auto list = [&text](const std::vector<wire::Member>& members) {
    for (const auto& member : members) text << " " << member.id;
  };
  for (const auto& node : nodes_) {
    if (!node->up()) continue;
    text << node->host() << " hint " << node->core().leader_hint(slot) << " members";
    for (const auto& [id, rumor] : node->core().membership().table().members()) {
      text << " " << id << ":" << rumor.status << "/" << rumor.counter;
    }
    if (node->core().stopping()) text << " stopping";
    text << "\n";
    const auto found = node->core().replicas().find(slot);
    if (found == node->core().replicas().end()) continue;
    const auto& group = found->second->group();
    text << node->host() << " member " << node->member_id() << " role "
         << static_cast<int>(group.role()) << " epoch " << group.epoch() << " view " << group.view()
         << " leader " << group.leader() << " log " << group.log().base_index() << ".."
         << group.log().last_index() << " commit " << group.commit_index() << " members";
    list(group.log().members().members);
    text << " previous";
    list(group.log().members().previous);
    text << " at " << group.log().members().index << " rows";
    for (const auto& row : found->second->state().possible_rows()) {
      text << " [epoch " << row.epoch << ":";
      list(row.members);
      text << "]";
    }
    text << "\n";
  }
  return text.str();
}

bool SimulatedCluster::settled() const {
  for (std::int32_t slot = 0; slot < knobs_.slot_count; ++slot) {
    const bool served = std::any_of(nodes_.begin(), nodes_.end(), [&](const auto& node) {
      if (!node->up()) return false;
      const auto found = node->core().replicas().find(slot);
      if (found == node->core().replicas().end()) return false;
      const auto& group = found->second->group();
      const auto& rows = found->second->state().possible_rows();
      const bool recorded = rows.size() == 1 && rows.front().members.size() == 3;
      return group.is_leader() && group.log().members().members.size() == 3 && recorded;
    });
    if (!served) return false;
  }
  return true;
}

// ---------------------------------------------------------------- faults

const replication::ReplicaGroup* SimulatedCluster::newest_replica(std::int32_t slot) const {
  const replication::ReplicaGroup* newest = nullptr;
  for (const auto& node : nodes_) {
    if (!node->up()) continue;
    const auto found = node->core().replicas().find(slot);
    if (found == node->core().replicas().end()) continue;
    const auto& group = found->second->group();
    if (group.role() == replication::Role::kPassive) continue;
    const auto rank = [](const replication::ReplicaGroup& replica) {
      return std::make_pair(replica.epoch(), replica.log().members().index);
    };
    if (newest == nullptr || rank(group) > rank(*newest)) newest = &group;
  }
  return newest;
}

/// Every list that is, or may still turn out to be, in force keeps a majority.
bool SimulatedCluster::survives_without(const std::vector<SimulatedNode*>& victims) {
  const auto is_lost = [&](std::int64_t member) {
    const auto* holder = node_of(member);
    return holder == nullptr || !holder->up() ||
           std::find(victims.begin(), victims.end(), holder) != victims.end();
  };
  // A lost learner may be listed before its loss is noticed: it counts as one more lost member.
  const auto loses_learner = [&](std::int32_t slot) {
    return std::any_of(nodes_.begin(), nodes_.end(), [&](const auto& node) {
      if (!node->up()) return false;
      const auto found = node->core().replicas().find(slot);
      if (found == node->core().replicas().end()) return false;
      const auto& learners = found->second->group().learners();
      return std::any_of(learners.begin(), learners.end(),
                         [&](const auto& learner) { return is_lost(learner.first); });
    });
  };
  for (std::int32_t slot = 0; slot < knobs_.slot_count; ++slot) {
    const auto* replica = newest_replica(slot);
    if (replica == nullptr) return false;
    const auto extra = loses_learner(slot) ? 1U : 0U;
    const auto keeps_majority = [&](const std::vector<wire::Member>& members) {
      std::size_t lost = extra;
      for (const auto& member : members) lost += is_lost(member.id) ? 1 : 0;
      return lost < (members.size() + 1) / 2;
    };
    const auto& newest = replica->log().members();
    const auto& committed = replica->log().members_at(replica->commit_index());
    const auto keeps_both = [&](const replication::ReplicatedLog::MemberList& list) {
      return keeps_majority(list.members) && (!list.joint() || keeps_majority(list.previous));
    };
    const bool safe = keeps_both(newest) && keeps_both(committed);
    if (!safe) return false;
  }
  return true;
}

void SimulatedCluster::kill_node(std::size_t index) {
  auto* node = nodes_[index % nodes_.size()].get();
  if (node->up() && survives_without({node})) node->kill();
}

void SimulatedCluster::kill_zone(std::size_t zone) {
  std::vector<SimulatedNode*> victims;
  for (const auto& node : nodes_) {
    const bool inside = node->zone() == "zone" + std::to_string(zone % shape_.zones);
    if (inside && node->up()) victims.push_back(node.get());
  }
  if (!survives_without(victims)) return;
  for (auto* victim : victims) victim->kill();
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

void SimulatedCluster::cut_zone(std::size_t zone) {
  const auto name = "zone" + std::to_string(zone % shape_.zones);
  for (const auto& inside : nodes_) {
    if (inside->zone() != name) continue;
    for (const auto& outside : nodes_) {
      if (outside->zone() == name) continue;
      network_.cut(inside->host(), outside->host());
      network_.cut(outside->host(), inside->host());
    }
  }
}

void SimulatedCluster::cut_one_way(std::size_t from, std::size_t to) {
  network_.cut(nodes_[from % nodes_.size()]->host(), nodes_[to % nodes_.size()]->host());
}

void SimulatedCluster::heal_links() { network_.heal_all(); }

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

std::vector<membership::Address> SimulatedCluster::seeds() const {
  std::vector<membership::Address> result;
  for (const auto& node : nodes_) result.push_back({node->host(), 7000});
  return result;
}

std::vector<scheduling::Backend> SimulatedCluster::backend_descriptions() const {
  std::vector<scheduling::Backend> result;
  for (const auto& backend : backends_) result.push_back(backend->description());
  return result;
}

SimulatedNode* SimulatedCluster::node_at(const std::string& host) {
  const auto found = std::find_if(nodes_.begin(), nodes_.end(),
                                  [&](const auto& node) { return node->host() == host; });
  return found == nodes_.end() ? nullptr : found->get();
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
    if (node->up() && !node->core().stopping()) candidates.push_back(node.get());
  }
  return candidates.empty() ? nullptr : candidates[random_.below(candidates.size())];
}

SimulatedBackend* SimulatedCluster::backend_at(const std::string& id) {
  const auto found = std::find_if(backends_.begin(), backends_.end(), [&](const auto& backend) {
    return backend->description().id == id;
  });
  return found == backends_.end() ? nullptr : found->get();
}

void SimulatedCluster::send_envelope(const std::string& from, const std::string& to,
                                     wire::Envelope envelope) {
  auto* receiver = node_at(to);
  if (receiver == nullptr) return;
  network_.send(from, to, [receiver, envelope = std::move(envelope)] {
    receiver->deliver_envelope(envelope);
  });
}

void SimulatedCluster::send_table_command(const std::string& from,
                                          const node::TableCommand& command,
                                          const SimulatedTable::Reply& reply) {
  network_.send(from, kTableHost, [this, command, reply] { table_.execute(command, reply); });
}

void SimulatedCluster::send_request(const std::string& from, const std::string& to,
                                    std::int64_t member, std::int32_t slot,
                                    const wire::ProgramRequest& request,
                                    const SimulatedNode::Answer& answer) {
  auto* receiver = node_at(to);
  if (receiver == nullptr) return;
  network_.send(from, to, [this, from, to, receiver, member, slot, request, answer] {
    if (!receiver->up() || receiver->member_id() != member) return;
    receiver->execute(slot, request, [this, from, to, answer](const wire::ProgramReply& reply) {
      network_.send(to, from, [answer, reply] { answer(reply); });
    });
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

void SimulatedCluster::ask(const wire::ProgramRequest& request, const std::string& program,
                           base::Millis patience, const SimulatedNode::Answer& answer) {
  ask_slot(request, node::slot_of(program, knobs_.slot_count), patience, answer);
}

void SimulatedCluster::ask_slot(const wire::ProgramRequest& request, std::int32_t slot,
                                base::Millis patience, const SimulatedNode::Answer& answer) {
  auto* node = random_node();
  if (node == nullptr) return;
  events_.after(1, [node, request, slot, patience, answer] {
    node->handle_request(request, slot, patience, answer);
  });
}

std::int64_t SimulatedCluster::some_generation() {
  const auto* node = random_node();
  return node == nullptr ? 0 : node->core().configuration().generation();
}

void SimulatedCluster::roll_configuration(std::size_t partner, bool both) {
  operators_[partner % operators_.size()]->roll();
  if (both) operators_[(partner + 1) % operators_.size()]->roll();
}

}  // namespace sailgate::simulation
