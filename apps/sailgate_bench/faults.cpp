#include "faults.hpp"

#include <signal.h>

#include <algorithm>
#include <chrono>
#include <iostream>
#include <iterator>
#include <random>
#include <sstream>
#include <thread>
#include <vector>

#include "cli/command_line.hpp"
#include "live_caller.hpp"
#include "local_deployment.hpp"

namespace sailgate::bench {
namespace {

using Clock = std::chrono::steady_clock;

constexpr int kStartTimeout = 60'000;
constexpr int kStopTimeout = 70'000;
constexpr int kMemoryTimeout = 30'000;
constexpr int kCalls = 6;
constexpr std::chrono::milliseconds kFreeze{4000};
constexpr std::chrono::milliseconds kPoll{100};
constexpr std::chrono::milliseconds kDown{1500};
constexpr std::chrono::milliseconds kDisturbed{1500};
/// A repair that takes longer is described.
constexpr std::chrono::milliseconds kSlowRepair{8000};

/// Brings faults about on real processes, one after the other, and waits until all serve again.
class FaultInjector {
 public:
  FaultInjector(LocalDeployment& deployment, const FaultOptions& options, std::ostream& text)
      : deployment_(deployment), options_(options), text_(text), random_(options.seed) {}

  /// Runs the stated number of faults: every kind once, in an order that follows from the seed,
  /// then kinds at random.
  void run() {
    std::vector<Fault> kinds{&FaultInjector::kill_node,       &FaultInjector::freeze_node,
                             &FaultInjector::stop_node,       &FaultInjector::table_outage,
                             &FaultInjector::table_disturbed, &FaultInjector::kill_all,
                             &FaultInjector::break_link,      &FaultInjector::break_links};
    std::shuffle(kinds.begin(), kinds.end(), random_);
    for (std::size_t i = 0; i < options_.faults; ++i) {
      const auto next = i < kinds.size() ? i : random_() % kinds.size();
      (this->*kinds[next])();
    }
  }

 private:
  using Fault = void (FaultInjector::*)();

  std::size_t pick() { return random_() % deployment_.node_count(); }

  void note(const std::string& what) { text_ << "  fault: " << what << "\n"; }

  /// Waits until all nodes serve.
  void wait_for_service() {
    const auto start = Clock::now();
    const auto limit = start + std::chrono::milliseconds(kStartTimeout);
    auto describe_at = start + kSlowRepair;
    while (Clock::now() < limit && !deployment_.serving()) {
      std::this_thread::sleep_for(kPoll);
      if (Clock::now() < describe_at) continue;
      describe_at += kSlowRepair;
      text_ << "  not serving yet:\n" << deployment_.describe();
    }
    const std::chrono::duration<double, std::milli> taken = Clock::now() - start;
    note("all serve after " + std::to_string(static_cast<int>(taken.count())) + " ms");
  }

  void kill_node() {
    const auto index = pick();
    note("SIGKILL of " + deployment_.node_address(index));
    deployment_.node(index).signal(SIGKILL);
    deployment_.node(index).wait(kStopTimeout);
    std::this_thread::sleep_for(kDown);
    deployment_.start_node(index);
    wait_for_service();
  }

  LinkMode pick_mode() {
    constexpr LinkMode kModes[] = {LinkMode::kDelay, LinkMode::kReset, LinkMode::kSilent,
                                   LinkMode::kOneWay};
    return kModes[random_() % std::size(kModes)];
  }

  void break_one(std::size_t link) {
    const auto mode = pick_mode();
    note(std::string(name_of(mode)) + " on a link to " + deployment_.links().target(link));
    deployment_.links().set_mode(link, mode);
  }

  /// One link fails for a while.
  void break_link() {
    break_one(random_() % deployment_.links().count());
    std::this_thread::sleep_for(kDisturbed);
    deployment_.links().heal();
    wait_for_service();
  }

  /// A third of the links fail for a while, each in its own way.
  void break_links() {
    for (std::size_t link = 0; link < deployment_.links().count(); ++link) {
      if (random_() % 3 == 0) break_one(link);
    }
    std::this_thread::sleep_for(kDisturbed);
    deployment_.links().heal();
    wait_for_service();
  }

  /// All power is lost at once: nothing in memory is left.
  void kill_all() {
    note("SIGKILL of all nodes");
    for (std::size_t i = 0; i < deployment_.node_count(); ++i) {
      deployment_.node(i).signal(SIGKILL);
      deployment_.node(i).wait(kStopTimeout);
    }
    for (std::size_t i = 0; i < deployment_.node_count(); ++i) deployment_.start_node(i);
    wait_for_service();
  }

  /// Lost and late answers, parts out of service, throttling, all for a while.
  void table_disturbed() {
    note("table service disturbed");
    const auto& table = deployment_.table_address();
    deployment_.set_faults(table, R"({"lose_next":3,"late_next":3,"parts_down":30})");
    std::this_thread::sleep_for(kDisturbed);
    deployment_.set_faults(table, R"({"parts_down":0,"writes_per_second":40})");
    std::this_thread::sleep_for(kDisturbed);
    deployment_.set_faults(table,
                           R"({"lose_next":0,"late_next":0,"parts_down":0,"writes_per_second":0})");
    wait_for_service();
  }

  void freeze_node() {
    const auto index = pick();
    note("SIGSTOP of " + deployment_.node_address(index));
    deployment_.node(index).signal(SIGSTOP);
    std::this_thread::sleep_for(kFreeze);
    deployment_.node(index).signal(SIGCONT);
    wait_for_service();
  }

  void stop_node() {
    const auto index = pick();
    note("SIGTERM of " + deployment_.node_address(index));
    deployment_.node(index).signal(SIGTERM);
    const bool ended = deployment_.node(index).wait(kStopTimeout);
    note(ended ? "exit " + std::to_string(deployment_.node(index).exit_code()) : "did not exit");
    deployment_.start_node(index);
    wait_for_service();
  }

  void table_outage() {
    note("table service down for " + std::to_string(options_.outage_millis) + " ms");
    deployment_.set_faults(deployment_.table_address(), R"({"down":1})");
    std::this_thread::sleep_for(std::chrono::milliseconds(options_.outage_millis));
    deployment_.set_faults(deployment_.table_address(), R"({"down":0})");
    wait_for_service();
  }

  LocalDeployment& deployment_;
  const FaultOptions& options_;
  std::ostream& text_;
  std::mt19937_64 random_;
};

/// At most once: no application engine ran a key twice, and what callers were told ran, ran.
void check_effects(LocalDeployment& deployment, LiveLedger& ledger) {
  std::map<std::string, int> effects;
  for (const auto& address : deployment.application_engines()) {
    const auto body = deployment.get(address, {"v1", "effects"});
    if (body.empty()) {
      ledger.violation("oracle: effects of " + address + " cannot be read");
      continue;
    }
    const auto counts = web::json::value::parse(body);
    for (const auto& entry : counts.as_object()) effects[entry.first] += entry.second.as_integer();
  }
  for (const auto& [key, count] : effects) {
    if (count > 1) ledger.violation("at most once: " + key + " ran " + std::to_string(count));
  }
  for (const auto& [key, ran] : ledger.keys()) {
    if (ran && effects[key] == 0) ledger.violation("answer: " + key + " was told and never ran");
  }
}

/// Memory: engines hold nothing once all programs have ended.
void check_memory(LocalDeployment& deployment, LiveLedger& ledger) {
  const auto limit = Clock::now() + std::chrono::milliseconds(kMemoryTimeout);
  while (true) {
    std::string held;
    for (const auto& engine : deployment.engines()) {
      const auto body = deployment.get(engine, {"v1", "cache", "inventory"});
      if (body.empty()) continue;
      const auto inventory = web::json::value::parse(body);
      for (const auto& program : inventory.at("programs").as_array()) {
        held += " " + program.as_string();
      }
    }
    if (held.empty()) return;
    if (Clock::now() >= limit) {
      ledger.violation("memory: engines still hold" + held);
      return;
    }
    std::this_thread::sleep_for(kPoll);
  }
}

}  // namespace

FaultReport faults(const FaultOptions& options) {
  DeploymentShape shape;
  shape.base_port = options.base_port;
  shape.proxied = true;
  LocalDeployment deployment(shape, options.programs_directory, options.work_directory);
  FaultReport report;
  report.started = deployment.start(kStartTimeout);
  if (!report.started) return report;
  LiveLedger ledger;
  std::ostringstream text;
  std::atomic<std::size_t> next_program{0};
  std::atomic<bool> injecting{true};
  std::vector<std::thread> callers;
  for (std::size_t i = 0; i < options.callers; ++i) {
    callers.emplace_back([&, i] {
      LiveCaller caller(deployment, ledger, options.seed * 1000 + i);
      // Load goes on while faults are injected, then the stated number is made up.
      while (true) {
        const auto number = next_program++;
        if (number >= options.programs && !injecting) return;
        caller.run_program("program-" + std::to_string(number), kCalls);
      }
    });
  }
  FaultInjector(deployment, options, text).run();
  injecting = false;
  for (auto& caller : callers) caller.join();
  check_effects(deployment, ledger);
  check_memory(deployment, ledger);
  if (!deployment.stop(kStopTimeout)) ledger.violation("stop: a node did not exit with 0");
  const auto violations = ledger.violations();
  report.programs_finished = ledger.programs_finished();
  report.calls_answered = ledger.calls_answered();
  report.violations = violations.size();
  report.longest_unavailable_ms = ledger.longest();
  for (const auto& [kind, count] : ledger.answers_by_kind()) {
    text << "  answers: " << kind << " " << count << "\n";
  }
  for (const auto& violation : violations) text << "  VIOLATION " << violation << "\n";
  report.text = text.str();
  return report;
}

int run_faults(const FaultOptions& options) {
  const auto report = faults(options);
  std::cout << report.text;
  if (!report.started) {
    std::cout << "faults: the deployment did not start, logs in " << options.work_directory << "\n";
    return cli::kFailure;
  }
  std::cout << "faults: seed " << options.seed << ", " << report.programs_finished
            << " programs finished, " << report.calls_answered << " calls, longest call "
            << static_cast<int>(report.longest_unavailable_ms) << " ms, "
            << (report.violations == 0 ? "no violation" : "VIOLATIONS") << "\n";
  return report.violations == 0 ? cli::kSuccess : cli::kFailure;
}

}  // namespace sailgate::bench
