/// @file A run of a request that its engine may not have survived.
#pragma once

#include <string>

#include "balancing/engine_registry.hpp"
#include "net/asio.hpp"

namespace sailgate::balancing {

/// What became of an engine under a request; values are ordered by the strength of the evidence.
enum class EngineFate {
  kUnknown = 0,  ///< it was not heard since
  kAlive = 1,    ///< its address accepted a connection right afterwards
  kEnded = 2,    ///< its address refuses connections
};

/// Stable name for logs and metrics.
const char* name_of(EngineFate fate);

/// The exchange of one run broke, or nothing more came of it.
struct EngineLoss {
  std::string engine;   ///< id of the engine's run
  std::string attempt;  ///< caller's attempt during which the engine was lost
  bool shared = false;  ///< several callers may send the same request at the same time
  net::TimePoint began{};
  net::TimePoint ended{};
  EngineFate fate = EngineFate::kUnknown;
};

/// Whether the engine ended, or may have ended, under the request. Takes the list of engines and
/// what was heard of the engine since the loss into account.
bool may_have_ended(const EngineLoss& loss, const EngineRegistry& engines);

}  // namespace sailgate::balancing
