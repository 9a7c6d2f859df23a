/// @file Faults a test sets over HTTP: POST /faults {"name": value, ...}; GET /faults reads them.
#pragma once

#include <cstdint>
#include <map>
#include <mutex>
#include <string>

#include "http/http_message.hpp"

namespace sailgate::standin {

/// Named integer switches; 0 is off. Thread-safe.
class FaultSwitches {
 public:
  /// @param known names this stand-in understands.
  explicit FaultSwitches(std::initializer_list<const char*> known);

  std::int64_t get(const std::string& name) const;
  /// Reads a switch and counts it down by one, for faults that hit a number of requests.
  bool take_one(const std::string& name);
  /// Answers GET and POST /faults.
  http::HttpResponse handle(const http::HttpRequest& request);

 private:
  mutable std::mutex mutex_;
  std::map<std::string, std::int64_t> values_;
};

}  // namespace sailgate::standin
