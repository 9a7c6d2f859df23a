/// @file A caller that runs one program to its end and tells the oracle what it was told.
#pragma once

#include <cstdint>
#include <string>

#include "base/random.hpp"
#include "sailgate_types.h"

namespace sailgate::simulation {

class SimulatedCluster;

/// What a caller's program does.
struct ProgramScript {
  std::int32_t calls = 4;
  std::int64_t budget = 4000;
  std::int64_t tokens_per_call = 200;
};

/// Retries with the same key until it knows the outcome, as a client should. Not thread-safe.
class SimulatedCaller {
 public:
  SimulatedCaller(SimulatedCluster& cluster, std::string program, ProgramScript script,
                  std::uint64_t seed);

  void start();
  bool finished() const { return finished_; }
  const std::string& program() const { return program_; }
  /// Where the caller stands, for a report of what did not finish.
  const std::string& standing() const { return standing_; }

 private:
  void open();
  void next_call();
  void send_call(bool first_send);
  void on_call_reply(const wire::ProgramReply& reply);
  void on_call_refused(const wire::Refusal& refusal);
  void read();
  void end();
  void send_early();
  std::string key_of(std::int32_t sequence) const;
  static bool is_application(const std::string& key);
  wire::AdmitCall make_call(std::int32_t sequence) const;

  SimulatedCluster& cluster_;
  std::string program_;
  ProgramScript script_;
  base::Random random_;
  std::int32_t sequence_ = 0;
  std::string key_;
  bool early_sent_ = false;   ///< a copy of the next call is under way already
  std::int64_t awaited_ = 0;  ///< number of the copy whose reply counts
  bool finished_ = false;
  std::string standing_ = "not started";
};

}  // namespace sailgate::simulation
