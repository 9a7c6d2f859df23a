/// @file A caller on a thread of its own that runs programs against real nodes and checks what it
/// is told.
#pragma once

#include <atomic>
#include <cstdint>
#include <map>
#include <mutex>
#include <random>
#include <string>
#include <vector>

#include "local_deployment.hpp"
#include "program_client.hpp"

namespace sailgate::bench {

/// Results of all callers. Thread-safe.
class LiveLedger {
 public:
  void violation(const std::string& what);
  void answered(const std::string& kind, double milliseconds);
  void finished() { ++finished_; }
  /// A key that may run at most once, with whether its caller ended up knowing that it ran.
  void non_repeatable(const std::string& key, bool ran);

  std::size_t programs_finished() const { return finished_; }
  std::size_t calls_answered() const;
  double longest() const;
  std::vector<std::string> violations() const;
  std::map<std::string, std::size_t> answers_by_kind() const;
  std::map<std::string, bool> keys() const;

 private:
  mutable std::mutex mutex_;
  std::atomic<std::size_t> finished_{0};
  std::vector<std::string> violations_;
  std::map<std::string, std::size_t> answers_;
  std::map<std::string, bool> keys_;
  double longest_ = 0;
};

/// Not thread-safe; one per thread.
class LiveCaller {
 public:
  LiveCaller(LocalDeployment& deployment, LiveLedger& ledger, std::uint64_t seed);

  /// Runs one program to its end: engine and application calls in turn, a read, the end.
  void run_program(const std::string& name, int calls);

 private:
  std::string node();
  std::string open(const std::string& name);
  bool call(const std::string& program, int sequence);
  void read(const std::string& program, int turns);
  void end(const std::string& program);
  void pause_after(const CallerAnswer& answer) const;

  LocalDeployment& deployment_;
  LiveLedger& ledger_;
  http::HttpClient http_;
  ProgramClient client_;
  std::mt19937_64 random_;
};

}  // namespace sailgate::bench
