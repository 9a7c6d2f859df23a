/// @file Finds out whether an engine that broke an exchange still runs.
#pragma once

#include <string>

#include "balancing/engine_loss.hpp"
#include "serving/node_state.hpp"

namespace sailgate::serving {

/// Time limit of a probe. A repeat of the request, or the caller's failure, waits for its result.
constexpr net::Millis kProbeTimeout{100};

/// Connects to the engine and asks for its health. That its address accepts a connection says
/// little: the socket may belong to a process that outlived it.
/// @param health_path of its service; empty: only a connection is opened.
net::asio::awaitable<balancing::EngineFate> probe_engine(NodeState& state,
                                                         balancing::EnginePointer engine,
                                                         std::string health_path,
                                                         net::Millis timeout = kProbeTimeout);

}  // namespace sailgate::serving
