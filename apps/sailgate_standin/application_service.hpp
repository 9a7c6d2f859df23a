/// @file Stand-in application engine and tool: runs operations and counts them by request key.
#pragma once

#include <atomic>
#include <map>
#include <mutex>
#include <set>
#include <string>

#include "fault_switches.hpp"
#include "service.hpp"

namespace sailgate::standin {

/// Faults: late_ms, cross_next, lose_next (the operation runs, the answer is lost), hang_next (it
/// never runs nor answers), fail_next. It does not remove duplicates: a second run of a key counts,
/// so that a test sees it.
class ApplicationService : public Service {
 public:
  /// @param resource "operations" or "tools"
  explicit ApplicationService(std::string resource);
  void handle(const http::HttpRequest& request, http::Responder& responder) override;

 private:
  void run(const http::HttpRequest& request, http::Responder& responder);
  http::HttpResponse inquire(const http::HttpRequest& request);
  http::HttpResponse effects();

  const std::string resource_;
  FaultSwitches faults_;
  std::mutex mutex_;
  std::map<std::string, int> effects_;
  std::map<std::string, std::string> results_;
  std::set<std::string> running_;
  std::set<std::string> fenced_;  ///< attempts that must not run any more
  std::atomic<bool> draining_{false};
  std::atomic<int> active_{0};
};

}  // namespace sailgate::standin
