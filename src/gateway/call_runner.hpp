/// @file Runs a CallFlow with real requests and a real dispatch, on one worker thread.
#pragma once

#include <functional>
#include <string>

#include "backend/backend_client.hpp"
#include "gateway/core/call_flow.hpp"
#include "gateway/statistics.hpp"
#include "node/node_runtime.hpp"

namespace sailgate::gateway {

/// Thread-safe; each run() blocks its thread until the call is answered.
class CallRunner {
 public:
  CallRunner(node::NodeRuntime& node, backend::BackendClient& backends, Statistics& statistics)
      : node_(node), backends_(backends), statistics_(statistics) {}

  /// @param patience milliseconds until the caller must have a final answer.
  /// @param on_piece gets streamed pieces; may be empty.
  /// @return an outcome or a refusal.
  wire::ProgramReply run(wire::AdmitCall admit, bool first_send, base::Millis patience,
                         const backend::BackendClient::PieceHandler& on_piece);

 private:
  DispatchResult dispatch(const wire::AdmitCall& admit, const wire::Grant& grant,
                          base::Millis granted_at, base::Millis give_up_at,
                          const backend::BackendClient::PieceHandler& on_piece);

  node::NodeRuntime& node_;
  backend::BackendClient& backends_;
  Statistics& statistics_;
  FlowRules rules_;
};

}  // namespace sailgate::gateway
