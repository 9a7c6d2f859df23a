#include "selection.hpp"

#include <algorithm>
#include <iomanip>
#include <iostream>
#include <string>
#include <vector>

#include "balancing/engine_selector.hpp"
#include "base/random.hpp"
#include "cli/command_line.hpp"
#include "stopwatch.hpp"

namespace sailgate::bench {
namespace {

constexpr std::size_t kSelections = 2000;
constexpr std::size_t kZones = 12;
constexpr int kSlots = 8;
constexpr double kMicrosPerMilli = 1000.0;

std::string engine_name(std::size_t index) { return "engine-" + std::to_string(index); }

void fill(balancing::EngineRegistry& registry, std::size_t engines) {
  base::Random random(1);
  for (std::size_t i = 0; i < engines; ++i) {
    balancing::EngineRecord record;
    record.id = engine_name(i);
    record.service = "service";
    record.zone = "zone" + std::to_string(i % kZones);
    record.slots = kSlots;
    registry.put(record);
    registry.find(record.id)->peer_in_flight = static_cast<int>(random.below(kSlots));
  }
}

void measure(const balancing::EngineRegistry& registry, const std::string& line_engine,
             const char* what) {
  std::vector<double> micros;
  for (std::size_t i = 0; i < kSelections; ++i) {
    balancing::SelectionQuery query;
    query.service = "service";
    query.line_engine = line_engine;
    query.draw = i;
    query.zone = "zone1";
    const auto start = std::chrono::steady_clock::now();
    const auto engine = balancing::select_engine(registry, query);
    micros.push_back(millis_since(start) * kMicrosPerMilli);
    if (engine == nullptr) std::cout << "no engine chosen\n";
  }
  std::sort(micros.begin(), micros.end());
  std::cout << what << ": median " << micros[micros.size() / 2] << " us, 99th of 100 "
            << micros[micros.size() * 99 / 100] << " us" << std::endl;
}

}  // namespace

int run_selection(std::size_t engines) {
  balancing::EngineRegistry registry;
  fill(registry, engines);
  std::cout << std::fixed << std::setprecision(2) << "choice among " << engines
            << " engines of one service" << std::endl;
  measure(registry, "", "a line without an engine");
  measure(registry, engine_name(0), "a line that stays at its engine");
  return cli::kSuccess;
}

}  // namespace sailgate::bench
