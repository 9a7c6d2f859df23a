/// @file A caller of sailgate's HTTP interface.
#pragma once

#include <cpprest/json.h>

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

#include "http/http_client.hpp"

namespace sailgate::bench {

/// Answer to one request, as a caller sees it.
struct CallerAnswer {
  bool answered = false;  ///< a whole answer came
  int status = 0;
  std::string kind;  ///< error kind, empty without error
  std::string ran;   ///< not_run, unknown or ran; empty without error
  std::int64_t retry_after_ms = 0;
  std::string program;     ///< of an opening
  std::string result;      ///< of a call
  std::size_t pieces = 0;  ///< streamed pieces
  double first_piece_ms = 0;
  double total_ms = 0;
  web::json::value body;
};

/// What to call.
struct CallDescription {
  std::int32_t sequence = 1;
  std::string key;
  bool repeatable = true;
  bool first_send = true;
  bool stream = false;
  std::int64_t deadline_ms = 20'000;
  web::json::value target;
};

/// Targets in the form of docs/API.md.
web::json::value engine_target(const std::string& message, std::int64_t max_tokens);
web::json::value application_target(const std::string& operation);
web::json::value tool_target(const std::string& name);

/// Requests of one tenant. Thread-safe.
class ProgramClient {
 public:
  ProgramClient(http::HttpClient& client, std::string tenant)
      : client_(client), tenant_(std::move(tenant)) {}

  CallerAnswer open(const std::string& node, const std::string& key, const std::string& kind,
                    std::int64_t budget, const std::string& parent = "");
  CallerAnswer call(const std::string& node, const std::string& program,
                    const CallDescription& description);
  CallerAnswer look_up(const std::string& node, const std::string& program, const std::string& key);
  CallerAnswer pause(const std::string& node, const std::string& program, std::int64_t expected_ms);
  CallerAnswer read(const std::string& node, const std::string& program);
  CallerAnswer end(const std::string& node, const std::string& program);

 private:
  CallerAnswer send(const std::string& node, const std::string& method,
                    const std::vector<std::string>& path, const web::json::value& body,
                    std::chrono::milliseconds timeout);
  CallerAnswer send_streamed(const std::string& node, const http::HttpRequest& request,
                             std::chrono::milliseconds timeout);

  http::HttpClient& client_;
  std::string tenant_;
};

}  // namespace sailgate::bench
