/// @file Serves one request: finds its route, applies the rate limit and runs it as a plain call or
/// as a stream.
#pragma once

#include <optional>

#include "sailgate_types.h"
#include "serving/call.hpp"
#include "serving/dispatcher.hpp"
#include "serving/node_state.hpp"

namespace sailgate::serving {

/// Result of a request.
struct CallEnd {
  const char* outcome = "answered";  ///< for logs and metrics
  bool connection_usable = true;     ///< the connection can carry another request
};

class CallHandler {
 public:
  explicit CallHandler(NodeState& state) : state_(state) {}

  /// @return whether the connection can carry another request.
  net::asio::awaitable<bool> handle(ClientChannel& channel, net::TextRequest request,
                                    net::TimePoint received_at);

 private:
  net::asio::awaitable<CallEnd> refuse_or_run(Call& call);
  net::asio::awaitable<CallEnd> run(Call& call);
  /// Whether a request that arrives during a shutdown would end before the process does.
  bool can_finish_before_exit(const Call& call) const;
  /// Applies the tenant's rate limit. Waits for the reports of other nodes if only their absence
  /// would cause a refusal.
  net::asio::awaitable<void> decide_admission(Call& call, cluster::QuotaRequest request);
  /// Refuses a request that exceeds its tenant's rate limit. @return nullopt if it is admitted.
  net::asio::awaitable<std::optional<CallEnd>> check_quota(Call& call);
  void log_end(const Call& call, const CallEnd& end);

  NodeState& state_;
};

/// Sends the error response for a failed dispatch. Must be called before any part of a response
/// was sent.
net::asio::awaitable<CallEnd> answer_failure(Call& call, DispatchFailure failure);

/// Sends an error response and returns the result of the call.
net::asio::awaitable<CallEnd> refuse(Call& call, wire::ErrorKind::type kind,
                                     net::Millis retry_after = net::Millis(0));

}  // namespace sailgate::serving
