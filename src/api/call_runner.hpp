/// @file Runs a CallFlow with real requests and a real dispatch, on one worker thread.
#pragma once

#include <functional>
#include <string>

#include "api/call_flow.hpp"
#include "api/statistics.hpp"
#include "backend/backend_client.hpp"
#include "node/node_runtime.hpp"

namespace sailgate::api {

/// Thread-safe; each run() blocks its thread until the call is answered.
class CallRunner {
 public:
  CallRunner(node::NodeRuntime& node, backend::BackendClient& backends, Statistics& statistics,
             observe::SharedLog& log)
      : node_(node), backends_(backends), statistics_(statistics), log_(log) {}

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
  observe::SharedLog& log_;
  FlowRules rules_;
};

}  // namespace sailgate::api
