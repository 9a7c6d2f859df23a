#include "scale.hpp"

#include <algorithm>
#include <iomanip>
#include <iostream>
#include <string>
#include <vector>

#include "balancing/engine_selector.hpp"
#include "base/random.hpp"
#include "cli/command_line.hpp"
#include "cluster/beacon_sender.hpp"
#include "cluster/peer_directory.hpp"
#include "program/family_update.hpp"
#include "program/request_decision.hpp"
#include "simulation/in_memory_rows.hpp"
#include "stopwatch.hpp"
#include "wire/codec.hpp"

namespace sailgate::bench {
namespace {

constexpr std::size_t kTextBytes = 512;
constexpr std::int64_t kTokens = 100;
constexpr std::size_t kSelections = 2000;
constexpr std::size_t kBeaconRounds = 20;
constexpr double kMillisPerSecond = 1000.0;

std::string engine_name(std::size_t index) { return "engine-" + std::to_string(index); }

/// Calls and bytes that went to the table store.
struct StoreCost {
  std::size_t calls = 0;
  std::size_t bytes = 0;
};

/// Runs programs on rows in memory, as one node would.
class ProgramLoad {
 public:
  explicit ProgramLoad(const ScaleOptions& options) : options_(options) {
    scheduling::Backend backend;
    backend.id = "engine";
    backend.targets = {"model"};
    backends_.add(backend);
  }

  void run() {
    for (std::size_t i = 0; i < options_.programs; ++i) run_program("p-" + std::to_string(i));
  }

  const StoreCost& cost() const { return cost_; }
  std::size_t rows() const { return rows_.size(); }
  std::size_t largest_record() const { return largest_record_; }

 private:
  wire::ProgramReply decide(const std::string& family, const wire::ProgramRequest& request) {
    wire::ProgramReply reply;
    const auto change = [&](program::FamilyState& state) {
      const program::DecisionContext context{chooser_, backends_, zone_, random_, now_};
      reply = program::decide(state, request, context);
    };
    program::FamilyUpdate update(context_, family, cached_, change);
    store::OptimisticUpdate steps(rules_, update, context_.rows.whole(family),
                                  cached_.state != nullptr, now_ + 1);
    auto step = steps.start();
    while (step.kind != store::OptimisticUpdate::Step::Kind::kDone) {
      ++cost_.calls;
      if (step.kind == store::OptimisticUpdate::Step::Kind::kRead) {
        auto result = rows_.read(step.read);
        for (const auto& row : result.rows) cost_.bytes += row.value.size();
        step = steps.on_read(std::move(result), now_);
      } else {
        for (const auto& row : step.write.puts) cost_.bytes += row.value.size();
        largest_record_ = std::max(largest_record_, step.write.puts.front().value.size());
        step = steps.on_write(rows_.transact(step.write), now_);
      }
    }
    cached_ = update.stored();
    return reply;
  }

  void run_program(const std::string& id) {
    cached_ = {};
    wire::OpenProgram open;
    open.program.program = id;
    open.program.budget_tokens = kTokens * static_cast<std::int64_t>(options_.calls);
    open.program.call_limit = static_cast<std::int32_t>(options_.calls);
    wire::ProgramRequest request;
    request.__set_open_program(open);
    decide(id, request);
    for (std::size_t i = 1; i <= options_.calls; ++i) {
      run_call(id, static_cast<std::int32_t>(i));
    }
  }

  void run_call(const std::string& id, std::int32_t sequence) {
    wire::AdmitCall admit;
    admit.call.program = id;
    admit.call.sequence = sequence;
    admit.call.request_key = id + "/" + std::to_string(sequence);
    admit.call.request_body = std::string(kTextBytes, 'q');
    admit.call.target = "model";
    admit.call.repeatable = true;
    admit.call.reserved_tokens = kTokens;
    wire::ProgramRequest request;
    request.__set_admit_call(admit);
    const auto granted = decide(id, request);
    wire::CompleteAttempt complete;
    complete.ended.program = id;
    complete.ended.sequence = sequence;
    complete.ended.attempt = granted.grant.attempt;
    complete.ended.result = std::string(kTextBytes, 'a');
    wire::ProgramRequest ending;
    ending.__set_complete_attempt(complete);
    decide(id, ending);
  }

  const ScaleOptions& options_;
  const base::Knobs knobs_;
  const store::UpdateRules rules_;
  const scheduling::BackendChooser chooser_;
  scheduling::BackendDirectory backends_;
  const std::string zone_ = "zone";
  base::Random random_{1};
  base::Millis now_ = 0;
  program::FamilyContext context_{program::FamilyRows(knobs_.family_parts),
                                  std::make_shared<program::ProgramRules>(), knobs_,
                                  [this] { return now_; }};
  simulation::InMemoryRows rows_;
  program::StoredFamily cached_;
  StoreCost cost_;
  std::size_t largest_record_ = 0;
};

void measure_programs(const ScaleOptions& options) {
  ProgramLoad load(options);
  const auto start = std::chrono::steady_clock::now();
  load.run();
  const double calls = static_cast<double>(options.programs * options.calls);
  std::cout << "programs of " << options.calls << " calls: store calls a call "
            << static_cast<double>(load.cost().calls) / calls << ", bytes a call "
            << static_cast<double>(load.cost().bytes) / calls << ", processor "
            << millis_since(start) * kMillisPerSecond / calls << " us a call, largest record "
            << load.largest_record() << " bytes, rows " << load.rows() << std::endl;
}

wire::Beacon sample_beacon(std::int64_t incarnation, std::size_t engines) {
  wire::Beacon beacon;
  beacon.incarnation = incarnation;
  beacon.reaches_store = true;
  for (std::size_t i = 0; i < engines; ++i) {
    beacon.loads[cluster::engine_key(engine_name(i))] = 1;
  }
  return beacon;
}

/// @param busy engines a node has requests at, which its beacons name.
void measure_beacons(const ScaleOptions& options, std::size_t busy) {
  cluster::PeerDirectory directory("self", "zone");
  const auto now = net::Clock::now();
  for (std::size_t i = 1; i < options.nodes; ++i) {
    wire::PeerRow row;
    row.incarnation = static_cast<std::int64_t>(i);
    row.zone = "zone" + std::to_string(i % 12);
    row.address = "127.0.0.1";
    row.port = 7000;
    directory.put("node-" + std::to_string(i), row, now);
  }
  const auto bytes = wire::encode(sample_beacon(1, busy)).size();
  const auto start = std::chrono::steady_clock::now();
  for (std::size_t round = 0; round < kBeaconRounds; ++round) {
    for (std::size_t i = 1; i < options.nodes; ++i) {
      directory.on_beacon(sample_beacon(static_cast<std::int64_t>(i), busy), now);
    }
  }
  const auto received = static_cast<double>(kBeaconRounds * (options.nodes - 1));
  const auto round = cluster::BeaconSender::round_time(options.nodes - 1);
  const double per_second = static_cast<double>(options.nodes - 1) * kMillisPerSecond /
                            static_cast<double>(round.count());
  std::cout << "beacons at " << options.nodes << " nodes, " << busy
            << " engines named: " << per_second << " a second each way, " << bytes
            << " bytes each, " << per_second * static_cast<double>(bytes) << " bytes a second, "
            << millis_since(start) * kMillisPerSecond / received << " us to take one; silence of "
            << round.count() << " ms between two of a peer" << std::endl;
}

void measure_selection(const ScaleOptions& options) {
  balancing::EngineRegistry registry;
  base::Random random(1);
  for (std::size_t i = 0; i < options.engines; ++i) {
    balancing::EngineRecord record;
    record.id = engine_name(i);
    record.service = "service";
    record.zone = "zone" + std::to_string(i % 12);
    record.slots = 8;
    registry.put(record);
    registry.find(record.id)->peer_in_flight = static_cast<int>(random.below(8));
  }
  std::vector<double> times;
  for (std::size_t i = 0; i < kSelections; ++i) {
    balancing::SelectionQuery query;
    query.service = "service";
    query.affinity_key = "program-" + std::to_string(i);
    query.zone = "zone1";
    const auto start = std::chrono::steady_clock::now();
    const auto engine = balancing::select_engine(registry, query);
    times.push_back(millis_since(start) * kMillisPerSecond);
    if (engine == nullptr) std::cout << "no engine chosen\n";
  }
  std::sort(times.begin(), times.end());
  std::cout << "choice among " << options.engines << " engines of one service: median "
            << times[times.size() / 2] << " us, 99th of 100 " << times[times.size() * 99 / 100]
            << " us" << std::endl;
}

}  // namespace

int run_scale(const ScaleOptions& options) {
  std::cout << std::fixed << std::setprecision(2) << "scale: " << options.nodes << " nodes, "
            << options.engines << " engines, " << options.programs << " programs of "
            << options.calls << " calls" << std::endl;
  measure_programs(options);
  constexpr std::size_t kBusyEngines = 10;
  measure_beacons(options, kBusyEngines);
  measure_selection(options);
  return cli::kSuccess;
}

}  // namespace sailgate::bench
