/// @file Stand-in transactional table service with compare-and-set rows.
#pragma once

#include <chrono>
#include <map>
#include <mutex>
#include <string>

#include "fault_switches.hpp"
#include "service.hpp"

namespace sailgate::standin {

/// Faults: down (every request fails), slow_ms, lose_next (the write takes effect, the answer is
/// lost), rate_per_second (0: no limit).
class TableStandIn : public Service {
 public:
  TableStandIn();
  void handle(const http::HttpRequest& request, http::Responder& responder) override;

 private:
  struct Row {
    std::int64_t version = 0;
    std::string value;
  };
  bool within_rate();
  http::HttpResponse read(const std::string& key);
  http::HttpResponse write(const std::string& key, const std::string& body);

  FaultSwitches faults_;
  std::mutex mutex_;
  std::map<std::string, Row> rows_;
  std::chrono::steady_clock::time_point window_;
  std::int64_t used_in_window_ = 0;
};

}  // namespace sailgate::standin
