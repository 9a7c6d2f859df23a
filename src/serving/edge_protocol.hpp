/// @file What the serving code must know of the headers that callers and engines use.
#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "net/asio.hpp"
#include "tenancy/tenant_directory.hpp"

namespace sailgate::serving {

using Fields = net::http::fields;

/// A caller's request, as its headers describe it.
struct CallDescription {
  std::string request_id;     ///< unique for each attempt of the caller
  std::string program;        ///< empty: not part of a program
  std::string line;           ///< line of turns within the program; sub-agents have their own
  std::string previous_turn;  ///< request id of the turn this one goes on from; empty: none
  std::optional<net::Millis> deadline;  ///< how long the caller will wait
  std::optional<net::Millis> finish;  ///< time left until the program should be over; 0: it is late
  std::optional<std::int64_t> token_budget;  ///< of the whole program
  std::int64_t max_output_tokens = 0;
  std::string shared_prefix;  ///< first part of the prompt, shared with other requests
  std::int64_t shared_prefix_tokens = 0;
  std::int64_t prompt_tokens = 0;
  std::string last_event_id;  ///< the caller's stream goes on after this event
  tenancy::Credential credential;
};

/// What the node tells an engine besides the caller's own headers.
struct DispatchDirectives {
  std::string expected_instance;
  net::Millis deadline{0};
  int priority = 0;
  std::string tenant;         ///< whose request it is; empty: nobody's
  std::string last_event_id;  ///< empty: as the caller said
};

/// What an engine's answer says about itself.
struct AnswerFacts {
  std::string request_id;
  bool sealed = false;       ///< carries the engine's signature
  bool not_run = false;      ///< the engine says that it did not run the request
  bool misdirected = false;  ///< another incarnation has this address
};

/// Header names in one place. Implementations are stateless.
class EdgeProtocol {
 public:
  virtual ~EdgeProtocol() = default;
  virtual CallDescription describe(const Fields& request) const = 0;
  /// Replaces in `request` the headers that the node sets itself, and removes those that only the
  /// system may set and the caller's key.
  virtual void apply_directives(Fields& request, const DispatchDirectives& directives) const = 0;
  virtual AnswerFacts inspect(const net::http::response_header<>& answer) const = 0;
  /// Path at which the entry asks whether this node takes new connections.
  virtual std::string readiness_path() const = 0;
};

}  // namespace sailgate::serving
