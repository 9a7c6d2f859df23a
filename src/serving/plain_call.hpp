/// @file A request whose answer is passed on whole.
#pragma once

#include "serving/call_handler.hpp"

namespace sailgate::serving {

/// Reads the engine's whole answer before the first byte goes to the caller, so that an answer that
/// breaks off can be asked for again where the route allows it.
class PlainCall {
 public:
  PlainCall(NodeState& state, Call& call) : state_(state), call_(call), dispatcher_(state) {}

  net::asio::awaitable<CallEnd> run();

 private:
  /// The answer is whole: its time tells of the engine's speed.
  void record_timing(EngineExchange& exchange);

  NodeState& state_;
  Call& call_;
  Dispatcher dispatcher_;
};

}  // namespace sailgate::serving
