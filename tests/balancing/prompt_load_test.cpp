#include <array>
#include <catch2/catch.hpp>
#include <cmath>
#include <deque>
#include <set>
#include <vector>

#include "balancing/engine_selector.hpp"
#include "balancing/prompt_placement.hpp"
#include "base/random.hpp"

using namespace sailgate;

namespace {

constexpr int kNodes = 36;
constexpr int kEngines = 48;
constexpr int kZones = 3;
constexpr int kSlots = 8;
constexpr int kPrompts = 16;
constexpr int kTurnMs = 300;
constexpr int kTurns = 5;
constexpr int kReportDelayMs = 300;  ///< age of what a node knows about the requests of others
constexpr int kPlacementIntervalMs = 1000;
constexpr int kWarmUpMs = 3000;  ///< excluded from the measurement

/// Simulates a cluster in steps of 1 ms. Nodes use the real selector and prompt placement; they
/// know their own requests at once and those of other nodes after a delay. Programs have several
/// turns and begin with one of a few prompts of skewed popularity; later turns stay at their line's
/// engine.
class PromptCluster {
 public:
  explicit PromptCluster(bool uses_placement) : uses_placement_(uses_placement) {
    for (int node = 0; node < kNodes; ++node) {
      registries_.push_back(registry());
      placements_.emplace_back();
    }
  }

  /// The rate of new programs keeps the given share of all slots busy.
  void run(int milliseconds, double load) {
    const double per_ms = load * kEngines * kSlots / (kTurnMs * kTurns);
    double due = 0;
    for (int step = 0; step < milliseconds; ++step, ++now_ms_) {
      end_turns();
      history_.push_back(in_flight_);
      if (static_cast<int>(history_.size()) > kReportDelayMs + 1) history_.pop_front();
      if (uses_placement_ && now_ms_ % kPlacementIntervalMs == 0) update_placements();
      for (due += per_ms; due >= 1; due -= 1) begin_program();
      if (now_ms_ < kWarmUpMs) continue;
      for (int engine = 0; engine < kEngines; ++engine) busy_.at(engine) += in_flight_.at(engine);
    }
  }

  double busiest_over_mean() const {
    double sum = 0;
    double highest = 0;
    for (const double busy : busy_) {
      sum += busy;
      highest = std::max(highest, busy);
    }
    return highest * kEngines / sum;
  }
  /// Number of distinct (prompt, engine) pairs, each of which cost a prefill.
  int prefills() const { return static_cast<int>(prefilled_.size()); }
  double cross_zone_share() const { return static_cast<double>(cross_zone_turns_) / turns_; }

 private:
  using Counts = std::array<int, kEngines>;
  struct Turn {
    int node;
    int prompt;
    int program;
    int remaining;
    int engine;
    int ends_ms;
  };

  static std::string zone(int member) { return std::to_string(member % kZones); }

  static balancing::EngineRegistry registry() {
    balancing::EngineRegistry engines;
    for (int engine = 0; engine < kEngines; ++engine) {
      balancing::EngineRecord record;
      record.id = std::to_string(engine);
      record.service = "llm";
      record.zone = zone(engine);
      record.slots = kSlots;
      engines.put(record);
    }
    return engines;
  }

  static std::int32_t key(int prompt) {
    return balancing::prompt_key("llm", std::to_string(prompt));
  }

  int draw_prompt() {
    double sum = 0;
    for (int prompt = 0; prompt < kPrompts; ++prompt) sum += std::pow(prompt + 1, -0.7);
    double remaining = sum * static_cast<double>(random_.below(1'000'000)) / 1'000'000;
    int prompt = 0;
    while (prompt + 1 < kPrompts && remaining >= std::pow(prompt + 1, -0.7)) {
      remaining -= std::pow(prompt + 1, -0.7);
      ++prompt;
    }
    return prompt;
  }

  void update_placements() {
    const auto counts = demand_.told(time());
    for (int node = 0; node < kNodes; ++node) {
      placements_[node].update(counts, registries_[node].of_service("llm"),
                               balancing::prompts_per_engine(0, 0));
    }
  }

  net::TimePoint time() const { return net::TimePoint{} + net::Millis(1'000'000 + now_ms_); }

  void begin_program() {
    const auto node = static_cast<int>(random_.below(kNodes));
    begin_turn({node, draw_prompt(), programs_++, kTurns, -1, 0});
  }

  void begin_turn(Turn turn) {
    auto& registry = registries_[turn.node];
    const auto& engines = registry.of_service("llm");
    for (const auto& engine : engines) {
      const int delayed_count = history_.front().at(std::stoi(engine->record.id));
      engine->peer_in_flight = std::max(delayed_count - engine->in_flight, 0);
    }
    demand_.note(key(turn.prompt), 12'000, time());
    balancing::SelectionQuery query;
    query.service = "llm";
    query.zone = zone(turn.node);
    query.now = net::Clock::now();
    query.draw = random_.below(UINT64_MAX);
    query.affinity_key = "program-" + std::to_string(turn.program);
    if (uses_placement_) query.prompt = &placements_[turn.node].replicas(key(turn.prompt), engines);
    if (turn.engine >= 0) query.line_engine = std::to_string(turn.engine);
    const auto chosen = balancing::select_engine(registry, query);
    turn.engine = std::stoi(chosen->record.id);
    turn.ends_ms = now_ms_ + kTurnMs;
    ++chosen->in_flight;
    ++in_flight_.at(turn.engine);
    ++turns_;
    if (chosen->record.zone != query.zone) ++cross_zone_turns_;
    prefilled_.insert({turn.prompt, turn.engine});
    in_progress_.push_back(turn);
  }

  void end_turns() {
    while (!in_progress_.empty() && in_progress_.front().ends_ms <= now_ms_) {
      auto turn = in_progress_.front();
      in_progress_.pop_front();
      --registries_[turn.node].find(std::to_string(turn.engine))->in_flight;
      --in_flight_.at(turn.engine);
      if (--turn.remaining > 0) begin_turn(turn);
    }
  }

  bool uses_placement_;
  int now_ms_ = 0;
  base::Random random_{1};
  std::vector<balancing::EngineRegistry> registries_;
  std::vector<balancing::PromptPlacement> placements_;
  balancing::PromptDemand demand_;
  Counts in_flight_{};
  std::array<double, kEngines> busy_{};
  std::deque<Counts> history_;
  std::deque<Turn> in_progress_;
  std::set<std::pair<int, int>> prefilled_;
  int programs_ = 0;
  int turns_ = 0;
  int cross_zone_turns_ = 0;
};

}  // namespace

TEST_CASE("prompts of skewed popularity are cached at few engines with even load",
          "[balancing][prompts]") {
  const double load = GENERATE(0.25, 0.6);
  constexpr int kRunMs = 15'000;
  PromptCluster without_placement(false);
  without_placement.run(kRunMs, load);
  PromptCluster with_placement(true);
  with_placement.run(kRunMs, load);
  INFO("load " << load << ": prefills " << without_placement.prefills() << " to "
               << with_placement.prefills() << ", busiest over mean "
               << without_placement.busiest_over_mean() << " to "
               << with_placement.busiest_over_mean() << ", in other zones "
               << without_placement.cross_zone_share() << " to "
               << with_placement.cross_zone_share());
  CHECK(with_placement.prefills() < without_placement.prefills() / 2);
  // Without placement every engine caches every prompt, so that any program fits anywhere.
  CHECK(with_placement.busiest_over_mean() < 1.4);
  CHECK(with_placement.cross_zone_share() < 0.1);
}
