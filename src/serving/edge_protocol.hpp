/// @file Interface between the serving code and the headers that callers and engines use.
#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "net/asio.hpp"
#include "tenancy/tenant_directory.hpp"

namespace sailgate::serving {

using Fields = net::http::fields;

/// Contents of a caller's request headers.
struct CallDescription {
  std::string request_id;     ///< unique per attempt of the caller
  std::string program;        ///< empty: not part of a program
  std::string line;           ///< line of turns within the program; each sub-agent has its own
  std::string previous_turn;  ///< request id of the turn that this one continues; empty: none
  std::optional<net::Millis> deadline;  ///< how long the caller waits for the response
  std::optional<net::Millis> finish;    ///< time left until the program should finish; 0: overdue
  std::optional<std::int64_t> token_budget;  ///< for the whole program
  std::int64_t max_output_tokens = 0;
  std::string shared_prefix;  ///< id of the first prompt segment, shared with other requests
  std::int64_t shared_prefix_tokens = 0;
  std::int64_t prompt_tokens = 0;
  std::string last_event_id;    ///< resume the stream after this event; empty: from the start
  std::string resumed_attempt;  ///< attempt that brought the first event of a resumed stream
  tenancy::Credential credential;
};

/// Values that the node adds to the caller's headers for an engine.
struct DispatchDirectives {
  std::string expected_instance;
  net::Millis deadline{0};
  int priority = 0;
  std::string tenant;         ///< empty for an anonymous request
  std::string last_event_id;  ///< empty: leave the caller's value
};

/// Facts that an engine states in the headers of its response.
struct AnswerFacts {
  std::string request_id;
  std::string instance;      ///< id of the engine; only in responses to health checks
  bool sealed = false;       ///< has a signature of the engine
  bool not_run = false;      ///< the engine did not run the request
  bool misdirected = false;  ///< a different run of the engine now has this address
};

/// Keeps header names out of the serving code. Implementations are stateless.
class EdgeProtocol {
 public:
  virtual ~EdgeProtocol() = default;
  virtual CallDescription describe(const Fields& request) const = 0;
  /// Sets the headers that the node controls, and removes the caller's API key and any headers that
  /// callers are not allowed to set.
  virtual void apply_directives(Fields& request, const DispatchDirectives& directives) const = 0;
  /// Whether a caller's header differs between attempts of the same request, or engines do not get
  /// it. @param name in lower case.
  virtual bool differs_between_attempts(const std::string& name) const = 0;
  virtual AnswerFacts inspect(const net::http::response_header<>& answer) const = 0;
  /// Path on which the load balancer in front of the nodes queries whether this node accepts new
  /// connections.
  virtual std::string readiness_path() const = 0;
};

}  // namespace sailgate::serving
