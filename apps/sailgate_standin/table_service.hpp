/// @file Stand-in for the platform's table service.
#pragma once

#include <chrono>
#include <condition_variable>
#include <map>
#include <mutex>
#include <string>

#include "fault_switches.hpp"
#include "service.hpp"
#include "simulation/in_memory_rows.hpp"

namespace sailgate::standin {

/// Speaks the platform's calls: rows in parts, conditions on several rows, ranges, feeds.
///
/// Faults: down (every call fails), silent (no call is answered), slow_ms, lose_next and late_next
/// (so many writes take effect, at once or 2 s later, and are not answered), writes_per_second,
/// reads_per_second and part_writes_per_second (beyond them 429; 0: no limit), parts_down (so many
/// of a hundred parts fail), forget_history (once).
class TableStandIn : public Service {
 public:
  TableStandIn();
  void handle(const http::HttpRequest& request, http::Responder& responder) override;

 private:
  /// Calls in the current second.
  class Rate {
   public:
    bool take(std::int64_t limit);

   private:
    std::chrono::steady_clock::time_point window_;
    std::int64_t used_ = 0;
  };

  void serve(const http::HttpRequest& request, http::Responder& responder);
  /// Answers nothing until the silence ends or callers have given up.
  void stay_silent() const;
  void transact(const http::HttpRequest& request, http::Responder& responder);
  void read(const http::HttpRequest& request, http::Responder& responder);
  void follow(const http::HttpRequest& request, http::Responder& responder);
  bool part_is_down(const std::string& part) const;

  FaultSwitches faults_;
  std::mutex mutex_;
  std::condition_variable changed_;
  simulation::InMemoryRows rows_;
  Rate writes_;
  Rate reads_;
  std::map<std::string, Rate> part_writes_;
};

}  // namespace sailgate::standin
