#include "load.hpp"

#include <signal.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <iomanip>
#include <iostream>
#include <mutex>
#include <random>
#include <sstream>
#include <thread>
#include <vector>

#include "cli/command_line.hpp"
#include "local_deployment.hpp"
#include "program_client.hpp"
#include "stopwatch.hpp"

namespace sailgate::bench {
namespace {

using Clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

constexpr int kStartTimeout = 60'000;
constexpr int kStopTimeout = 70'000;
constexpr std::int64_t kBudget = 1'000'000;
constexpr std::int64_t kTokens = 8;
constexpr int kCallsPerProgram = 20;
constexpr int kFailoverRounds = 6;
constexpr std::int64_t kFailoverDeadline = 15'000;
constexpr std::chrono::milliseconds kRetryPause{20};

double percentile(std::vector<double> sorted, double share) {
  if (sorted.empty()) return 0;
  const auto index = static_cast<std::size_t>(share * static_cast<double>(sorted.size() - 1));
  return sorted[index];
}

void print_latencies(const std::string& what, std::vector<double> values) {
  std::sort(values.begin(), values.end());
  std::cout << what << ": " << values.size() << " samples, p50 " << percentile(values, 0.5)
            << " ms, p95 " << percentile(values, 0.95) << " ms, p99 " << percentile(values, 0.99)
            << " ms, most " << (values.empty() ? 0 : values.back()) << " ms" << std::endl;
}

/// Sum of a metric over all nodes; `line` is its name with labels.
double metric_sum(LocalDeployment& deployment, const std::string& line) {
  double sum = 0;
  for (std::size_t i = 0; i < deployment.node_count(); ++i) {
    std::istringstream page(deployment.get(deployment.node_address(i), {"metrics"}));
    for (std::string text; std::getline(page, text);) {
      if (text.rfind(line + " ", 0) == 0) sum += std::stod(text.substr(line.size() + 1));
    }
  }
  return sum;
}

/// Latencies gathered by many threads.
class Samples {
 public:
  void add(double value) {
    const std::lock_guard<std::mutex> lock(mutex_);
    values_.push_back(value);
  }
  std::vector<double> take() {
    const std::lock_guard<std::mutex> lock(mutex_);
    return std::move(values_);
  }

 private:
  std::mutex mutex_;
  std::vector<double> values_;
};

/// Runs programs of short calls until told to stop.
void run_caller(LocalDeployment& deployment, std::size_t number, const web::json::value& target,
                bool repeatable, const std::atomic<bool>& stopping, Samples& samples) {
  http::HttpClient http;
  ProgramClient client(http, "federation");
  for (int program_number = 0; !stopping; ++program_number) {
    const auto node = deployment.node_address(number % deployment.node_count());
    const auto name = "load-" + std::to_string(repeatable) + "-" + std::to_string(number) + "-" +
                      std::to_string(program_number);
    const auto program = client.open(node, name, "season-plan", kBudget).program;
    if (program.empty()) continue;
    for (int sequence = 1; sequence <= kCallsPerProgram && !stopping; ++sequence) {
      CallDescription description;
      description.sequence = sequence;
      description.key = program + "-" + std::to_string(sequence);
      description.repeatable = repeatable;
      description.target = target;
      const auto answer = client.call(node, program, description);
      if (answer.status != 200) break;
      samples.add(answer.total_ms);
    }
    client.end(node, program);
  }
}

void measure_calls(LocalDeployment& deployment, const LoadOptions& options, const std::string& what,
                   const web::json::value& target, std::size_t callers) {
  const auto spent = metric_sum(deployment, "sailgate_call_overhead_seconds_sum");
  const auto counted = metric_sum(deployment, "sailgate_call_overhead_seconds_count");
  Samples samples;
  std::atomic<bool> stopping{false};
  std::vector<std::thread> threads;
  const auto start = Clock::now();
  for (std::size_t i = 0; i < callers; ++i) {
    threads.emplace_back([&, i] { run_caller(deployment, i, target, true, stopping, samples); });
  }
  std::this_thread::sleep_for(milliseconds(options.duration_millis));
  stopping = true;
  for (auto& thread : threads) thread.join();
  const auto seconds = millis_since(start) / 1000.0;
  auto values = samples.take();
  const auto calls = static_cast<double>(values.size());
  const auto overhead = metric_sum(deployment, "sailgate_call_overhead_seconds_sum") - spent;
  const auto overhead_calls =
      metric_sum(deployment, "sailgate_call_overhead_seconds_count") - counted;
  std::cout << what << ", " << callers << " callers: " << calls / seconds
            << " calls/s; gateway time "
            << "less back end time " << overhead / std::max(1.0, overhead_calls) * 1000.0
            << " ms a call on average" << std::endl;
  print_latencies("  whole call", std::move(values));
}

/// Kills a node while it runs calls of programs; the gap is the time until the repeated calls have
/// their answers, asked of another node.
double measure_failover(LocalDeployment& deployment, int round) {
  http::HttpClient http;
  ProgramClient client(http, "federation");
  const std::size_t victim = static_cast<std::size_t>(round) % deployment.node_count();
  const std::size_t other = (victim + 1) % deployment.node_count();
  const auto node = deployment.node_address(other);
  std::vector<std::string> programs;
  for (int i = 0; i < 16; ++i) {
    const auto name = "failover-" + std::to_string(round) + "-" + std::to_string(i);
    const auto program = client.open(node, name, "season-plan", kBudget).program;
    if (!program.empty()) programs.push_back(program);
  }
  deployment.node(victim).signal(SIGKILL);
  deployment.node(victim).wait(kStopTimeout);
  const auto killed = Clock::now();
  double longest = 0;
  for (const auto& program : programs) {
    CallDescription description;
    description.key = program + "-1";
    description.deadline_ms = kFailoverDeadline;
    description.target = engine_target("after the failure", kTokens);
    while (true) {
      const auto answer = client.call(node, program, description);
      if (answer.status == 200) break;
      if (millis_since(killed) > kFailoverDeadline * 2) break;
      std::this_thread::sleep_for(kRetryPause);
      description.first_send = false;
    }
    longest = std::max(longest, millis_since(killed));
  }
  deployment.start_node(victim);
  const auto limit = Clock::now() + milliseconds(kStartTimeout);
  while (Clock::now() < limit && !deployment.serving()) std::this_thread::sleep_for(kRetryPause);
  return longest;
}

}  // namespace

int run_load(const LoadOptions& options) {
  DeploymentShape shape;
  shape.base_port = options.base_port;
  shape.step_microseconds = 200;
  shape.answer_tokens = kTokens;
  shape.engines = 4;
  shape.application_engines = 2;
  LocalDeployment deployment(shape, options.programs_directory, options.work_directory);
  if (!deployment.start(kStartTimeout)) {
    std::cout << "load: the deployment did not start, logs in " << options.work_directory << "\n";
    return cli::kFailure;
  }
  std::cout << std::fixed << std::setprecision(2) << "load: 6 nodes in 3 zones" << std::endl;
  measure_calls(deployment, options, "tool calls", tool_target("calendar"), 1);
  measure_calls(deployment, options, "tool calls", tool_target("calendar"), options.callers);
  measure_calls(deployment, options, "engine calls", engine_target("Plan", kTokens),
                options.callers);
  std::vector<double> gaps;
  gaps.reserve(kFailoverRounds);
  for (int round = 0; round < kFailoverRounds; ++round)
    gaps.push_back(measure_failover(deployment, round));
  print_latencies("failover after SIGKILL, as a caller sees it", gaps);
  const bool clean = deployment.stop(kStopTimeout);
  std::cout << "load: " << (clean ? "ok" : "a node did not exit with 0") << "\n";
  return clean ? cli::kSuccess : cli::kFailure;
}

}  // namespace sailgate::bench
