/// @file Serves one request: finds its route and runs it as a plain call or a stream.
#pragma once

#include <optional>

#include "sailgate_types.h"
#include "serving/call.hpp"
#include "serving/dispatcher.hpp"
#include "serving/node_state.hpp"

namespace sailgate::serving {

/// How a request ended, for logs and metrics.
struct CallEnd {
  const char* outcome = "answered";
  bool connection_usable = true;  ///< the caller may send its next request
};

class CallHandler {
 public:
  explicit CallHandler(NodeState& state) : state_(state) {}

  /// @return whether the connection may carry another request.
  net::asio::awaitable<bool> handle(ClientChannel& channel, net::TextRequest request,
                                    net::TimePoint received_at);

 private:
  net::asio::awaitable<CallEnd> refuse_or_run(Call& call);
  net::asio::awaitable<CallEnd> run(Call& call);
  /// Decides by the tenant's limit; a node that lacks news of the others waits for it.
  net::asio::awaitable<void> decide_admission(Call& call, cluster::QuotaRequest request);
  /// Refuses a request beyond its tenant's limit. @return nullopt: it may go on.
  net::asio::awaitable<std::optional<CallEnd>> check_quota(Call& call);
  void log_end(const Call& call, const CallEnd& end);

  NodeState& state_;
};

/// Answers a failed dispatch whose answer has not begun.
net::asio::awaitable<CallEnd> answer_failure(Call& call, DispatchFailure failure);

/// Sends a refusal and tells how the call ended.
net::asio::awaitable<CallEnd> refuse(Call& call, wire::ErrorKind::type kind,
                                     net::Millis retry_after = net::Millis(0));

}  // namespace sailgate::serving
