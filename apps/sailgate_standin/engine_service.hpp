/// @file HTTP face of the stand-in engine (docs/API.md, "Engine").
#pragma once

#include <atomic>
#include <chrono>
#include <deque>
#include <mutex>
#include <set>
#include <string>
#include <utility>

#include "engine_model.hpp"
#include "fault_switches.hpp"
#include "service.hpp"

namespace sailgate::standin {

/// Faults: late_ms (delay of every answer), cross_next (that many answers carry another attempt's
/// id), cut_after (streams break after that many pieces), hang_next (that many calls never answer),
/// load_lag_ms, event_gap (every n-th cache event is left out).
class EngineService : public Service {
 public:
  EngineService(EngineShape shape, std::set<std::string> models);
  void handle(const http::HttpRequest& request, http::Responder& responder) override;

 private:
  void complete(const http::HttpRequest& request, http::Responder& responder);
  void resume(const http::HttpRequest& request, http::Responder& responder);
  void stream(const std::string& attempt, std::size_t position, http::Responder& responder);
  http::HttpResponse evict(const http::HttpRequest& request);
  http::HttpResponse move_blocks(const http::HttpRequest& request, bool import);
  http::HttpResponse events(const http::HttpRequest& request);
  http::HttpResponse order(const http::HttpRequest& request);
  http::HttpResponse load();
  http::HttpResponse inventory() const;

  EngineModel model_;
  FaultSwitches faults_;
  std::mutex mutex_;
  std::set<std::string> models_;
  std::int64_t last_fence_ = 0;
  std::atomic<bool> draining_{false};
  std::deque<std::pair<std::chrono::steady_clock::time_point, std::size_t>> load_history_;
};

}  // namespace sailgate::standin
