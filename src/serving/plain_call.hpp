/// @file Serves a request whose response is buffered and forwarded as a whole.
#pragma once

#include "serving/call_handler.hpp"

namespace sailgate::serving {

/// Reads the engine's complete response before sending the first byte to the caller, so that a
/// request whose response is truncated can be repeated if the route allows it.
class PlainCall {
 public:
  PlainCall(NodeState& state, Call& call)
      : state_(state), call_(call), dispatcher_(state), losses_(state) {}

  net::asio::awaitable<CallEnd> run();

 private:
  /// Records the duration of a complete successful exchange as a sample of the engine's speed.
  void record_timing(EngineExchange& exchange);

  NodeState& state_;
  Call& call_;
  Dispatcher dispatcher_;
  LossReporter losses_;
};

}  // namespace sailgate::serving
