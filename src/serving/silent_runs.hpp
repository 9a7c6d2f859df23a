/// @file Tells other nodes of requests at engines that have fallen silent.
#pragma once

#include "serving/call.hpp"
#include "serving/node_state.hpp"

namespace sailgate::serving {

/// A request that ends its engine without a word is told to nobody until its caller gives up. If
/// its node is lost meanwhile, the next engine would count as the first one. Not thread-safe.
class SilentRuns {
 public:
  explicit SilentRuns(NodeState& state) : state_(state) {}

  /// Must be called about every 0.1 s.
  void maintain(net::TimePoint now);

 private:
  /// Whether nothing came of the call's exchange, or of its engine, for longer than usual.
  bool is_silent(const Call& call, net::TimePoint now) const;
  net::Millis usual_silence(const Call& call) const;

  NodeState& state_;
};

}  // namespace sailgate::serving
